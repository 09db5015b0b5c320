"""Engines' own entries in the users' store, decoded strictly.

Anybody may write there. An entry that is not what an engine writes names no engine to use: a state that
nobody knows may mean anything, and an address or service of another type would break whoever uses it later.
"""

from loguru import logger

from wagtailtrestle.contracts.declaration import DeclaredEngine
from wagtailtrestle.declarations.argument_types import HostPort, Wrong

READY = "ready"
DRAINING = "draining"
STATES = (READY, DRAINING)
MAX_TEXT_CHARS = 256
"""Longest name or version believed: ours have under 64 characters."""
MAX_SLOTS = 4096
"""Most requests at once believed: a few hundred times what engines have today."""
PRIOR_STEP_MS = 6.0
"""Decode step assumed of an engine that nobody measured yet; entries say nothing of speed."""
PRIOR_PREFILL_TOKENS_PER_S = 30_000.0
"""Prefill rate assumed likewise; both are replaced by what runs show within seconds."""
MAX_SHOWN_CHARS = 80


class InvalidField(ValueError):
    """A field of what an engine says of itself is not what an engine writes."""


def read_engine(name, value):
    """Build an engine from its own entry in the store.

    Parameters
    ----------
    name : str
        The entry's name, which is the engine's.
    value : object
        Whatever the entry holds.

    Returns
    -------
    DeclaredEngine or None
        ``None`` for an entry that no engine wrote; a log line says which field and why.
    """
    try:
        return _engine(name, value)
    except InvalidField as problem:
        logger.error("the entry of engine {} is not used: {}", _shortened(name), problem)
        return None


def start_ms(fields):
    """When the engine started, Unix milliseconds, by what it says of itself; 0 where it doesn't say.

    An engine may start again under its name; only this tells that nothing of before holds.

    Raises
    ------
    Unfit
    """
    return read_integer(fields, "born") if "born" in fields else 0


def _engine(name, value):
    if not isinstance(value, dict):
        raise InvalidField(f"it holds {_shortened(value)}, no fields")
    service = _text(value, "service")
    # Asked for though not used: what lacks it was written by something else than an engine.
    _number(value, "cold_remaining_ms")
    read_integer(value, "sequence")
    return DeclaredEngine(
        name=name,
        service=service,
        cell=service,
        zone=_text(value, "zone"),
        # The version of an engine's software: engines of one version are taken to be alike at first.
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
        raise InvalidField(f"{name} is {_shortened(text)}, no name")
    return text


def read_integer(value, name, *, minimum=0, maximum=None):
    """Return a field that must hold a whole number; raises ``Unfit`` otherwise."""
    number = _field(value, name)
    # To Python, true is a whole number too.
    if not isinstance(number, int) or isinstance(number, bool) or number < minimum:
        raise InvalidField(f"{name} is {_shortened(number)}, no whole number from {minimum}")
    if maximum is not None and number > maximum:
        raise InvalidField(f"{name} is {_shortened(number)}, above {maximum}")
    return number


def _number(value, name):
    number = _field(value, name)
    if not isinstance(number, int | float) or isinstance(number, bool):
        raise InvalidField(f"{name} is {_shortened(number)}, no number")
    return number


def _address(value):
    address = HostPort().read(_text(value, "address"))
    if isinstance(address, Wrong):
        raise InvalidField(f"address {address.problem}")
    return address


def _state(value):
    state = _field(value, "state")
    if state not in STATES:
        raise InvalidField(f"state is {_shortened(state)}, none of {', '.join(STATES)}")
    return state


def _shortened(value):
    return repr(value)[:MAX_SHOWN_CHARS]
