"""``wagtailtrestle-load``: generates open-loop load against running routers."""

import json
import sys
from pathlib import Path

import fire

from wagtailtrestle.exit_status import ExitStatus
from wagtailtrestle.load.mix import MixFault, read_mix
from wagtailtrestle.load.plan import make_plan
from wagtailtrestle.load.records import check_against_records, read_records
from wagtailtrestle.load.report import reason_lines, record_check_lines, rows_by_tier, table
from wagtailtrestle.load.run import run_load

MAX_DURATION_S = 600
MAX_RATE = 2_000


def load(*, url, mix, rate=20.0, duration_s=10.0, seed=1, engines="", json_output=False):
    """Send a mix of requests open-loop and print the goodput of each tier.

    Parameters
    ----------
    url : str
        Address at which a router accepts callers, or several separated by commas.
    mix : str
        YAML file with the request kinds.
    rate : float
        Requests per second, over all kinds.
    duration_s : float
        How long new requests are sent.
    seed : int
        The same seed gives the same requests at the same times.
    engines : str
        Engine addresses separated by commas. The callers' responses are checked
        against the runs that these engines recorded.
    json_output : bool
        Print one JSON document instead of the table.
    """
    if not 0 < rate <= MAX_RATE or not 0 < duration_s <= MAX_DURATION_S:
        print(f"rate must be in (0, {MAX_RATE}] and duration_s in (0, {MAX_DURATION_S}]", file=sys.stderr)
        return ExitStatus.USAGE
    try:
        kinds = read_mix(Path(mix).read_text())
    except (OSError, MixFault) as error:
        print(f"{mix}: {error}", file=sys.stderr)
        return ExitStatus.USAGE
    results = run_load(urls=_addresses(url), plan=make_plan(kinds=kinds, rate=rate, duration_s=duration_s, seed=seed))
    rows = rows_by_tier(results, dict.fromkeys(kind.tier for kind in kinds))
    record_check = check_against_records(results, *read_records(_addresses(engines)))
    _print(results, rows, record_check, json_output)
    return ExitStatus.CHECK_FAILED if record_check.false_refusals or record_check.doubled else ExitStatus.DONE


def _print(results, rows, record_check, json_output):
    if json_output:
        document = {"tiers": [row.as_dict() for row in rows.values()], "wasted_share": record_check.wasted_share()}
        document["false_refusals"] = record_check.false_refusals
        document["doubled"] = record_check.doubled
        print(json.dumps(document))
        return
    print(table(rows))
    print(reason_lines(results))
    print(record_check_lines(record_check))


def _addresses(text):
    words = text if isinstance(text, list | tuple) else str(text).split(",")
    return [word if "://" in word else f"http://{word}" for word in words if word]


def main():
    """Run the command line of this process and exit with its status."""
    outcome = fire.Fire(load, serialize=lambda _: None)
    sys.exit(outcome if isinstance(outcome, int) else 0)


if __name__ == "__main__":
    main()
