"""Reads JSON of which other clients wrote parts: what can't be read in one object leaves the others readable."""

import json
import re

MAX_DEPTH = 64
"""Levels of lists and objects above which a value is read as ``None``, in the text of all objects together."""

MAX_INTEGER_CHARS = 64
TOKEN = re.compile(r'"(?:[^"\\]|\\.)*+"|[\[{]|[\]}]', re.DOTALL)
"""A string, or one end of a list or an object."""


def parse_json(data: bytes):
    """Parse JSON; values that are nested too deeply, and numbers that are too long, are read as ``None``.

    Raises
    ------
    ValueError
        If the text as a whole is not JSON.
    """
    # Invalid text in one object must not make a list of all objects unreadable.
    text = data.decode(errors="replace")
    try:
        return json.loads(text, strict=False)
    except (ValueError, RecursionError):
        return _parse_bounded(text)


def _parse_bounded(text):
    try:
        return json.loads(_without_deep_values(text), strict=False, parse_int=_read_integer)
    except RecursionError:
        # Its lists and objects have no ends.
        raise ValueError("the JSON is nested too deeply") from None


def is_too_deep(value):
    """Whether a value has more than ``MAX_DEPTH`` levels, which other readers and writers may not bear."""
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        level = [inner for outer in level for inner in _inner_values(outer)]
        if not level:
            return False
    return True


def _inner_values(value):
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return ()
    return [inner for inner in value if isinstance(inner, dict | list)]


def _without_deep_values(text):
    kept = []
    depth = kept_to = 0
    for token in TOKEN.finditer(text):
        match token.group()[0]:
            case "[" | "{":
                depth += 1
                if depth == MAX_DEPTH + 1:
                    kept.append(text[kept_to : token.start()])
            case "]" | "}":
                if depth == MAX_DEPTH + 1:
                    kept.append("null")
                    kept_to = token.end()
                depth -= 1
    kept.append(text[kept_to:])
    return "".join(kept)


def _read_integer(text):
    return int(text) if len(text) <= MAX_INTEGER_CHARS else None
