"""Validated settings of the stand-in engine and the stand-in service."""

import sys

import yaml

USAGE_STATUS = 2
ENGINE_DEFAULTS = {
    "name": "engine",
    "host": "127.0.0.1",
    "port": 0,
    "control_port": -1,
    "slots": 32,
    "base_step_ms": 4.0,
    "per_run_step_ms": 0.1,
    "prefill_tokens_per_s": 8000.0,
    "prefill_chunk_tokens": 512,
    "cache_tokens": 65536,
    "load_lag_ms": 200.0,
    "cache_lag_ms": 500.0,
    "cache_gap_every": 0,
    "checks_fencing": True,
    "default_output_tokens": 64,
    "orphan_grace_ms": 5000.0,
    "drain_grace_ms": 1500.0,
    "drain_linger_ms": 300.0,
    "threads": 160,
}
SERVICE_DEFAULTS = {
    "name": "service",
    "host": "127.0.0.1",
    "port": 0,
    "control_port": -1,
    "service_ms": 5.0,
    "concurrency": 8,
    "drain_grace_ms": 1500.0,
    "drain_linger_ms": 300.0,
    "threads": 64,
}


class StandinSettings:
    """Settings by name, each validated against the type of its default."""

    __slots__ = ("_by_name",)

    def __init__(self, *, by_name):
        self._by_name = by_name

    def __getitem__(self, name):
        return self._by_name[name]

    def as_dict(self) -> dict:
        """Return the effective settings."""
        return dict(self._by_name)


def settings_problems(values, defaults) -> list:
    """Return all problems of the values of a settings file, one message each."""
    if not isinstance(values, dict):
        return ["the file must hold a mapping of settings"]
    return [problem for name, value in values.items() if (problem := _problem(name, value, defaults))]


def _problem(name, value, defaults) -> str:
    if name not in defaults:
        return f"{name}: unknown setting; allowed: {', '.join(sorted(defaults))}"
    default = defaults[name]
    if isinstance(default, bool) or isinstance(value, bool):
        return "" if type(value) is type(default) else f"{name}: {value!r}; allowed: {_kind(default)}"
    kinds = (int, float) if isinstance(default, float) else type(default)
    if not isinstance(value, kinds):
        return f"{name}: {value!r}; allowed: {_kind(default)}"
    if name == "control_port":
        return "" if value >= -1 else f"{name}: {value!r}; allowed: -1 (none), 0 (any free one) or a port"
    if not isinstance(value, str) and value < 0:
        return f"{name}: {value!r}; allowed: 0 or more"
    return ""


def _kind(default) -> str:
    return {bool: "true or false", int: "a whole number", float: "a number", str: "a text"}[type(default)]


def load_settings(path, defaults) -> StandinSettings:
    """Read a settings file; if it has problems, print all of them and exit with status 2."""
    try:
        with open(path, encoding="utf-8") as file:
            values = yaml.safe_load(file) or {}
    except (OSError, yaml.YAMLError) as error:
        _refuse(path, [str(error)])
    problems = settings_problems(values, defaults)
    if problems:
        _refuse(path, problems)
    return StandinSettings(by_name={**defaults, **values})


def _refuse(path, problems):
    for problem in problems:
        print(f"{path}: {problem}", file=sys.stderr)
    raise SystemExit(USAGE_STATUS)
