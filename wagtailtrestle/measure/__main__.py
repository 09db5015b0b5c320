"""Run the measurements in parallel, write the results and print tables: ``python -m wagtailtrestle.measure``."""

import json
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import fire

from wagtailtrestle.measure.one_run import measure
from wagtailtrestle.measure.plan_of_runs import full_plan, quick_plan
from wagtailtrestle.measure.report import platform_table, rows_of, table, targets

MAX_WORKERS = 8


def run(quick=False, output="var/measure.jsonl", workers=0, only=""):
    """Measure the policies and print their tables.

    Parameters
    ----------
    quick : bool
        Make only a few short runs.
    output : str
        File for the results, one JSON object a line.
    workers : int
        Number of processes; 0 means one for each core, at most 8.
    only : str
        ``FIELD=VALUE,…``: make only the runs whose fields have these values.
    """
    began = time.monotonic()
    specs = [spec for spec in (quick_plan() if quick else full_plan()) if _wanted(spec, only)]
    path = Path(output)
    path.parent.mkdir(parents=True, exist_ok=True)
    results = []
    with path.open("w") as lines, ProcessPoolExecutor(workers or min(MAX_WORKERS, os.cpu_count() or 1)) as pool:
        for future in as_completed([pool.submit(measure, spec) for spec in specs]):
            results.append(future.result())
            lines.write(json.dumps(results[-1]) + "\n")
            lines.flush()
            print(f"\r{len(results)}/{len(specs)} runs", end="", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    rows = rows_of(results)
    print(table(rows))
    print()
    print(platform_table(results))
    print()
    print("\n".join(targets(rows)))
    print(f"\n{len(results)} runs in {time.monotonic() - began:.0f} s; results in {output}")


def _wanted(spec, only):
    wanted = dict(part.split("=", 1) for part in only.split(",") if part)
    return all(str(getattr(spec, field)) == value for field, value in wanted.items())


def main():
    """Run the command line."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
