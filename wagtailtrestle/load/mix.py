"""Reads the mix of request kinds in a load from a YAML file."""

import yaml

FIELDS = {
    "name": str,
    "service": str,
    "method": str,
    "path": str,
    "route": str,
    "tier": str,
    "key": str,
    "share": (int, float),
    "prompt_tokens": (int, float),
    "output_tokens": (int, float),
    "spread": (int, float),
    "deadline_ms": int,
    "stream": bool,
    "idempotent_key": bool,
    "repeatable": bool,
}
REQUIRED = ("name", "service", "path", "tier", "key", "share")


class RequestKind:
    """One kind of request in a mix.

    Parameters
    ----------
    name, service, method, path, route, tier, key : str
        ``route`` names the declared route; empty selects the default. ``tier`` only
        groups the report: the router takes the tier from the declaration.
    share : float
        Weight relative to the other kinds of the mix.
    prompt_tokens, output_tokens : float
        Median lengths; zero for a plain service.
    spread : float
        Sigma of the log-normal distribution of lengths; with 1.2 they span a factor of a hundred.
    deadline_ms : int
    stream, idempotent_key, repeatable : bool
    """

    __slots__ = tuple(FIELDS)

    def __init__(
        self,
        *,
        name,
        service,
        path,
        tier,
        key,
        share,
        method="POST",
        route="",
        prompt_tokens=0.0,
        output_tokens=0.0,
        spread=1.0,
        deadline_ms=10_000,
        stream=True,
        idempotent_key=False,
        repeatable=True,
    ):
        self.name = name
        self.service = service
        self.method = method
        self.path = path
        self.route = route
        self.tier = tier
        self.key = key
        self.share = share
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.spread = spread
        self.deadline_ms = deadline_ms
        self.stream = stream
        self.idempotent_key = idempotent_key
        self.repeatable = repeatable


class MixFault(Exception):
    """The mix file is invalid; the message names the kinds and fields at fault."""


def read_mix(text):
    """Parse a mix.

    Raises
    ------
    MixFault
        If the mix is invalid, with every fault found.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise MixFault(f"not YAML: {error}") from None
    kinds = document.get("kinds") if isinstance(document, dict) else None
    if not isinstance(kinds, list) or not kinds:
        raise MixFault("kinds: a list of request kinds is needed")
    faults = [fault for number, kind in enumerate(kinds) for fault in _faults(number, kind)]
    if faults:
        raise MixFault("\n".join(faults))
    return tuple(RequestKind(**kind) for kind in kinds)


def _faults(number, kind):
    if not isinstance(kind, dict):
        return [f"kinds[{number}]: a mapping is needed"]
    faults = [f"kinds[{number}].{field}: missing" for field in REQUIRED if field not in kind]
    for field, value in kind.items():
        expected_type = FIELDS.get(field)
        if expected_type is None:
            faults.append(f"kinds[{number}].{field}: unknown; allowed are {', '.join(FIELDS)}")
        elif not isinstance(value, expected_type):
            faults.append(f"kinds[{number}].{field}: wrong type {type(value).__name__}")
    return faults
