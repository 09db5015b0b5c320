"""Types of values in files and on the command line: parsing, and a description of what is allowed.

The same types check YAML scalars and command-line arguments. ``read`` parses the text
as it was written and returns the value or an :class:`InvalidValue`; it never raises.
"""

import ipaddress
import math
import re
from typing import Protocol
from urllib.parse import urlsplit

from wagtailtrestle.record import record

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
# No leading zeros, as YAML 1.1 reads 010 as eight.
INTEGER_PATTERN = re.compile(r"[-+]?(0|[1-9][0-9]{0,17})")
NUMBER_PATTERN = re.compile(r"[-+]?(0|[1-9][0-9]{0,17})(\.[0-9]{0,18})?([eE][-+]?[0-9]{1,2})?")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
PATH_PATTERN = re.compile(r"(/[A-Za-z0-9._~!$&'()*+,;=:@-]+)*/?")
MAX_PATH_LENGTH = 512
MAX_PORT = 65535
MAX_QUOTED_LENGTH = 40


@record
class InvalidValue:
    """A rejected value; ``problem`` completes a sentence that begins with the field's name."""

    problem: str


class ValueType(Protocol):
    """A type of value.

    Attributes
    ----------
    allowed : str
        Description of the allowed values, for people to read.
    is_text : bool
        Whether the value is a YAML string; any other value must be unquoted.
    """

    allowed: str
    is_text: bool

    def read(self, text: str) -> object:
        """Return the value, or ``InvalidValue``."""


def quote_value(text):
    """Return a value quoted for a message, truncated so that a long value can't flood it."""
    text = str(text)
    if len(text) > MAX_QUOTED_LENGTH:
        text = text[:MAX_QUOTED_LENGTH] + "…"
    return repr(text)


class Name:
    """Name of a declared item; safe in a URL path, a header and a metric label."""

    allowed = "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"
    is_text = True

    def read(self, text):
        """Return the name, or ``InvalidValue``."""
        if NAME_PATTERN.fullmatch(text):
            return text
        return InvalidValue(problem=f"is {quote_value(text)}, which is not a name")


class Integer:
    """Whole number within inclusive bounds."""

    is_text = False

    def __init__(self, *, minimum, maximum):
        self.minimum = minimum
        self.maximum = maximum
        self.allowed = f"a whole number from {minimum} to {maximum}"

    def read(self, text):
        """Return the number, or ``InvalidValue``."""
        if not INTEGER_PATTERN.fullmatch(text):
            return InvalidValue(problem=f"is {quote_value(text)}, which is not a whole number")
        value = int(text)
        if not self.minimum <= value <= self.maximum:
            return InvalidValue(problem=f"is {value}, out of range")
        return value


class Number:
    """Finite decimal number within inclusive bounds."""

    is_text = False

    def __init__(self, *, minimum, maximum):
        self.minimum = minimum
        self.maximum = maximum
        self.allowed = f"a number from {minimum} to {maximum}"

    def read(self, text):
        """Return the number as a float, or ``InvalidValue``."""
        if not NUMBER_PATTERN.fullmatch(text):
            return InvalidValue(problem=f"is {quote_value(text)}, which is not a number")
        value = float(text)
        if not math.isfinite(value) or not self.minimum <= value <= self.maximum:
            return InvalidValue(problem=f"is {text}, out of range")
        return value


class Flag:
    """Boolean, only as ``true`` or ``false`` as in YAML 1.2: 'no' and 'off' are too easily misread."""

    allowed = "true or false"
    is_text = False

    def read(self, text):
        """Return the boolean, or ``InvalidValue``."""
        if text.lower() == "true":
            return True
        if text.lower() == "false":
            return False
        return InvalidValue(problem=f"is {quote_value(text)}, which is neither true nor false")


class OneOf:
    """One of a fixed set of words."""

    is_text = True

    def __init__(self, *, words):
        self.words = tuple(words)
        self.allowed = " or ".join(self.words) if len(self.words) < 3 else "one of " + ", ".join(self.words)

    def read(self, text):
        """Return the word, or ``InvalidValue``."""
        if text in self.words:
            return text
        return InvalidValue(problem=f"is {quote_value(text)}, which is not supported")


class HostPort:
    """``host:port`` with an IP address; an IPv6 address is in brackets."""

    allowed = "IP:PORT, for instance 10.0.0.7:8080 or [fd00::7]:8080"
    is_text = True

    def read(self, text):
        """Return the address as written, or ``InvalidValue``."""
        host, colon, port = text.rpartition(":")
        if not colon:
            return InvalidValue(problem=f"is {quote_value(text)}, which has no port")
        if not (port.isascii() and port.isdigit() and len(port) <= 5 and 1 <= int(port) <= MAX_PORT):
            return InvalidValue(problem=f"is {quote_value(text)}, whose port is not from 1 to {MAX_PORT}")
        bracketed = host.startswith("[") and host.endswith("]")
        if not _is_ip(host[1:-1] if bracketed else host, version=6 if bracketed else 4):
            return InvalidValue(problem=f"is {quote_value(text)}, whose host is not an IP number")
        return text


def split_address(text):
    """Split an address that :class:`HostPort` allows into host, without brackets, and port."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class Sha256:
    """Hex digest of a key; the value is never printed, as it may be the key itself by mistake."""

    allowed = "the SHA-256 of the key: 64 lower-case hex digits (printf %s KEY | sha256sum)"
    is_text = True

    def read(self, text):
        """Return the digest, or ``InvalidValue``."""
        if SHA256_PATTERN.fullmatch(text):
            return text
        return InvalidValue(problem=f"is not a SHA-256 digest ({len(text)} characters; not shown, as it may be a key)")


class UrlPath:
    """Path of a URL, without query, empty segments, '.' or '..'."""

    allowed = "a path that begins with '/', without query, '%', '//', '.' or '..' segments"
    is_text = True

    def read(self, text):
        """Return the path, or ``InvalidValue``."""
        segments = text.split("/")
        if len(text) > MAX_PATH_LENGTH or not text.startswith("/") or "." in segments or ".." in segments:
            return InvalidValue(problem=f"is {quote_value(text)}, which is not a path")
        if not PATH_PATTERN.fullmatch(text):
            return InvalidValue(problem=f"is {quote_value(text)}, which is not a path")
        return text


class Url:
    """``http://host:port`` or ``https://host:port`` of a server, optionally with a path."""

    allowed = "http://HOST:PORT, for instance http://10.0.0.5:8700"
    is_text = True

    def read(self, text):
        """Return the URL without a trailing slash, or ``InvalidValue``."""
        try:
            parts = urlsplit(text)
            usable = parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
        except ValueError:
            usable = False
        if not usable or parts.query or parts.fragment or parts.username is not None or _has_whitespace(text):
            return InvalidValue(problem=f"is {quote_value(text)}, which is not the URL of a process")
        return text.rstrip("/")


class Peer:
    """``name=host:port`` of another router."""

    allowed = "NAME=IP:PORT, for instance router-2=10.0.0.8:7100"
    is_text = True

    def read(self, text):
        """Return ``(name, address)``, or ``InvalidValue``."""
        name, _, address = text.partition("=")
        if isinstance(Name().read(name), InvalidValue) or isinstance(HostPort().read(address), InvalidValue):
            return InvalidValue(problem=f"is {quote_value(text)}, which is not a router's name and address")
        return name, address


def _is_ip(text, *, version):
    try:
        return ipaddress.ip_address(text).version == version
    except ValueError:
        return False


def _has_whitespace(text):
    return any(character.isspace() or not character.isprintable() for character in text)
