"""Converts state objects to plain data for ``/state``, without keys or prompts."""

import dataclasses
import enum
from collections import deque

MAX_DEPTH = 12
MAX_ITEMS = 2000
MAX_TEXT = 512
HIDDEN = "(hidden)"
# Hidden by field name: secret values can't be distinguished from ordinary text.
SECRET_NAMES = frozenset(
    {
        "authorization",
        "body",
        "content",
        "data",
        "headers",
        "idempotency_key",
        "json",
        "key",
        "key_sha256",
        "messages",
        "prompt",
        "resume_text",
        "secret",
        "text",
        "token",
    }
)


def plain(value, *, depth=0):
    """Return ``value`` as dicts, lists, strings and numbers.

    Slots and dataclass fields are included, except private ones; bytes are replaced by their
    length; hidden, too deep or truncated values are marked as such.
    """
    if depth > MAX_DEPTH:
        return "(too deep)"
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, str):
        return value if len(value) <= MAX_TEXT else value[:MAX_TEXT] + "…"
    if isinstance(value, bytes | bytearray | memoryview):
        return f"({len(value)} bytes)"
    if isinstance(value, dict):
        return _plain_dict(value, depth)
    if isinstance(value, list | tuple | set | frozenset | deque):
        return _plain_list(value, depth)
    return _plain_object(value, depth)


def _plain_dict(value, depth):
    result = {}
    for position, (key, item) in enumerate(list(value.items())):
        if position >= MAX_ITEMS:
            result["…"] = f"({len(value) - MAX_ITEMS} more)"
            break
        name = key if isinstance(key, str) else str(plain(key, depth=depth + 1))
        result[name] = _named(name, item, depth)
    return result


def _plain_list(value, depth):
    items = list(value)
    result = [plain(item, depth=depth + 1) for item in items[:MAX_ITEMS]]
    if len(items) > MAX_ITEMS:
        result.append(f"({len(items) - MAX_ITEMS} more)")
    return result


def _plain_object(value, depth):
    names = _field_names(value)
    if names is None:
        return f"({type(value).__name__})"
    result = {"type": type(value).__name__}
    for name in names:
        if not name.startswith("_") and hasattr(value, name):
            result[name] = _named(name, getattr(value, name), depth)
    return result


def _field_names(value):
    if dataclasses.is_dataclass(value):
        return [field.name for field in dataclasses.fields(value)]
    names = []
    for cls in type(value).__mro__:
        slots = cls.__dict__.get("__slots__", ())
        names.extend((slots,) if isinstance(slots, str) else slots)
    return names or None


def _named(name, item, depth):
    if name.lower() in SECRET_NAMES and item not in (None, "", b"", (), 0):
        return HIDDEN
    return plain(item, depth=depth + 1)
