"""Cost of checking a declaration and of holding it in memory, by number of teams and engines."""

import hashlib
import time
import tracemalloc

import yaml

from wagtailtrestle.callers.authentication import KeyIndex
from wagtailtrestle.contracts.declaration import Declaration
from wagtailtrestle.declarations.check import parse_declaration
from wagtailtrestle.slopes.slope import Slope

SIZES = ((170, 75), (425, 190), (850, 375), (1_700, 750))
MODELS = 6
TIERS = ("tier-1", "tier-2", "tier-3", "tier-4", "tier-5")
ENGINES_PER_CELL = 4
ZONES = {"region-1": ["zone-1", "zone-2", "zone-3"], "region-2": ["zone-4", "zone-5", "zone-6"]}


def declaration_text(*, teams, engines):
    """Return a declaration with the given numbers of teams and engines, 5 tiers, 6 models and 6 zones."""
    document = {
        "format": 1,
        "organisation": "full-size",
        "regions": ZONES,
        "tiers": list(TIERS),
        "teams": [_team(number) for number in range(teams)],
        "services": [_service(number) for number in range(MODELS)],
        "engines": [_engine(number) for number in range(engines)],
        "ledger": {"shards": 64, "retention_s": 3600},
    }
    return yaml.safe_dump(document, sort_keys=False, width=1000)


def check_s(text):
    """Return the processor time of one check of the text in seconds, the best of three."""
    best = float("inf")
    for _ in range(3):
        began = time.process_time()
        parsed = parse_declaration(text)
        best = min(best, time.process_time() - began)
        if not isinstance(parsed, Declaration):
            raise ValueError(str(parsed.faults[:3]))
    return best


def held_bytes(text):
    """Return the bytes held by a declaration in force: its text, its parsed form and its index of keys."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = (str(text) + " ", parse_declaration(text))
    index = KeyIndex(declaration=kept[1])
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del index
    return held


def peak_bytes(text):
    """Return the peak number of bytes in use while the text is checked."""
    tracemalloc.start()
    tracemalloc.reset_peak()
    parse_declaration(text)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak


def _team(number):
    digest = hashlib.sha256(f"key-{number}".encode()).hexdigest()
    return {"name": f"team-{number}", "key_sha256": [digest], "share": 1 + number % 3}


def _service(number):
    routes = [
        {
            "name": f"route-{tier}",
            "method": "POST",
            "path": "/v1/chat/completions",
            "tier": tier,
            "deadline_ms": 30000,
            "repeatable": True,
        }
        for tier in TIERS
    ]
    return {"name": f"model-{number}", "kind": "language", "routes": routes}


def _engine(number):
    zones = [zone for names in ZONES.values() for zone in names]
    return {
        "name": f"engine-{number}",
        "service": f"model-{number % MODELS}",
        "cell": f"cell-{number % MODELS}-{number // (MODELS * ENGINES_PER_CELL)}",
        "zone": zones[number // MODELS % len(zones)],
        "hardware": f"gen{1 + number % 2}",
        "address": f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:8000",
        "slots": 64,
        "step_ms": 20,
        "prefill_tokens_per_s": 8000,
    }


def main():
    """Print the slopes of the configuration."""
    texts = [(teams + engines, declaration_text(teams=teams, engines=engines)) for teams, engines in SIZES]
    for quantity, measured in (
        ("processor time of one check, s", check_s),
        ("memory held, bytes", held_bytes),
        ("peak memory of one check, bytes", peak_bytes),
        ("length of the text, bytes", len),
    ):
        points = [(size, measured(text)) for size, text in texts]
        Slope(role="configuration", quantity=quantity, against="teams and engines", points=points).print()


if __name__ == "__main__":
    main()
