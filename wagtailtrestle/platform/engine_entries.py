"""Strictly decodes the engines' registrations in the users' store.

Any client can write to this kind. An invalid entry is ignored: an unknown state could mean anything,
and an address or service of another type would cause errors later where it is used.
"""

import reprlib

from loguru import logger

from wagtailtrestle.contracts.declaration import DeclaredEngine
from wagtailtrestle.declarations.argument_types import HostPort, InvalidValue
from wagtailtrestle.peers.codec import is_encodable

READY = "ready"
DRAINING = "draining"
STATES = (READY, DRAINING)
MAX_TEXT_CHARS = 256
"""Longest name or version accepted; real ones have under 64 characters."""
MAX_INTEGER = 2**53 - 1
"""Largest integer that every JSON reader represents exactly; a larger one is not a count or a time."""
MAX_SLOTS = 4096
"""Largest number of slots accepted, a few hundred times that of current engines."""
PRIOR_STEP_MS = 6.0
"""Decode step assumed for an engine without measurements; entries do not state its speed."""
PRIOR_PREFILL_TOKENS_PER_S = 30_000.0
"""Prefill rate assumed in the same way; measurements of runs replace both within seconds."""
MAX_SHOWN_CHARS = 80


class InvalidField(ValueError):
    """A field of an engine's registration or load report is missing or invalid."""


def read_engine(name, value):
    """Build an engine from its registration in the store.

    Parameters
    ----------
    name : str
        The entry's name, which is the engine's.
    value : object
        Content of the entry, of any type.

    Returns
    -------
    DeclaredEngine or None
        ``None`` for an invalid entry; a log line names the field and the problem.
    """
    try:
        return _engine(name, value)
    except InvalidField as problem:
        logger.error("the entry of engine {} is not used: {}", _shortened(name), problem)
        return None


def start_ms(fields):
    """Return the start time that the engine reports, Unix milliseconds, or 0 if it reports none.

    An engine may restart under the same name; only this time shows that its earlier state is obsolete.

    Raises
    ------
    InvalidField
    """
    return read_integer(fields, "born") if "born" in fields else 0


def _engine(name, value):
    if not isinstance(value, dict):
        raise InvalidField(f"it holds {_shortened(value)}, which has no fields")
    _check_encodable("its name", name)
    service = _text(value, "service")
    # Required although unused: an entry without these fields was not written by an engine.
    _number(value, "cold_remaining_ms")
    read_integer(value, "sequence")
    return DeclaredEngine(
        name=name,
        service=service,
        cell=service,
        zone=_text(value, "zone"),
        # The version of the engine's software: engines of one version are initially assumed to be alike.
        hardware=_text(value, "version"),
        address=_address(value),
        slots=read_integer(value, "slots", minimum=1, maximum=MAX_SLOTS),
        step_ms=PRIOR_STEP_MS,
        prefill_tokens_per_s=PRIOR_PREFILL_TOKENS_PER_S,
        leaving=_state(value) == DRAINING,
        start_ms=start_ms(value),
        version=_text(value, "version"),
    )


def _field(value, name):
    if name not in value:
        raise InvalidField(f"{name} is missing")
    return value[name]


def _text(value, name):
    text = _field(value, name)
    if not isinstance(text, str) or not 0 < len(text) <= MAX_TEXT_CHARS:
        raise InvalidField(f"{name} is {_shortened(text)}, no valid name")
    _check_encodable(name, text)
    return text


def _check_encodable(name, text):
    if not is_encodable(text):
        raise InvalidField(f"{name} is {_shortened(text)}, which is not valid Unicode")


def read_integer(value, name, *, minimum=0, maximum=MAX_INTEGER):
    """Return an integer field; raises ``InvalidField`` if it is anything else."""
    number = _field(value, name)
    # In Python, bool is a subclass of int.
    if not isinstance(number, int) or isinstance(number, bool) or number < minimum:
        raise InvalidField(f"{name} is {_shortened(number)}, no whole number from {minimum}")
    if number > maximum:
        raise InvalidField(f"{name} is {_shortened(number)}, above {maximum}")
    return number


def _number(value, name):
    number = _field(value, name)
    if not isinstance(number, int | float) or isinstance(number, bool):
        raise InvalidField(f"{name} is {_shortened(number)}, no number")
    return number


def _address(value):
    address = HostPort().read(_text(value, "address"))
    if isinstance(address, InvalidValue):
        raise InvalidField(f"address {address.problem}")
    return address


def _state(value):
    state = _field(value, "state")
    if state not in STATES:
        raise InvalidField(f"state is {_shortened(state)}, not one of {', '.join(STATES)}")
    return state


def _shortened(value):
    return reprlib.repr(value)[:MAX_SHOWN_CHARS]
