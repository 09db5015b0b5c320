"""Difference of two declarations, as typed changes."""

from wagtailtrestle.record import record

DIGEST_PREFIX_LENGTH = 8


@record
class Added:
    """An item that only the newer declaration has."""

    section: str
    name: str


@record
class Removed:
    """An item that only the older declaration has."""

    section: str
    name: str


@record
class Changed:
    """A field that differs; ``before`` and ``after`` are its values, formatted for people to read.

    ``name`` is empty for a field of the whole section.
    """

    section: str
    name: str
    field: str
    before: str
    after: str


Change = Added | Removed | Changed


def difference(before, after):
    """Return what changes if ``after`` replaces ``before``.

    Parameters
    ----------
    before : Declaration or None
        ``None`` if there was no declaration before.
    after : Declaration

    Returns
    -------
    tuple of Change
        Ordered by section, as in a declaration's file.
    """
    old, new = _sections(before), _sections(after)
    changes = []
    for section in new:
        changes += _section_changes(section, old.get(section, {}), new[section])
    return tuple(changes)


def _section_changes(section, old, new):
    removed = [Removed(section=section, name=name) for name in old if name not in new]
    added = [Added(section=section, name=name) for name in new if name not in old]
    changed = []
    for name, fields in new.items():
        for field, value in fields.items() if name in old else ():
            if old[name][field] != value:
                changed.append(Changed(section=section, name=name, field=field, before=old[name][field], after=value))
    return removed + added + changed


def _sections(declaration):
    """Return the fields of each declared item by section and name, formatted for people to read."""
    if declaration is None:
        return {}
    routes = {}
    for service in declaration.services_by_name.values():
        for route in service.routes_by_name.values():
            routes[f"{service.name}/{route.name}"] = _fields(route)
    return {
        "declaration": {"": _declaration_fields(declaration)},
        "regions": {name: {"zones": _format_value(zones)} for name, zones in declaration.zones_by_region.items()},
        "tiers": _fields_by_name(declaration.tiers_by_name),
        "teams": _fields_by_name(declaration.teams_by_name),
        "services": {name: _service_fields(service) for name, service in declaration.services_by_name.items()},
        "routes": routes,
        "engines": _fields_by_name(declaration.engines_by_name),
    }


def _declaration_fields(declaration):
    return {
        "organisation": declaration.organisation,
        "ledger.shards": _format_value(declaration.ledger_shards),
        "ledger.retention_s": _format_value(declaration.ledger_retention_s),
    }


def _service_fields(service):
    # The order matters: a team's first route on a path is its default.
    return {
        "kind": service.kind,
        "prefill_weight": _format_value(service.prefill_weight),
        "routes, in order": _format_value(tuple(service.routes_by_name)),
    }


def _fields_by_name(items_by_name):
    return {name: _fields(item) for name, item in items_by_name.items()}


def _fields(item):
    return {field: _format_field(field, getattr(item, field)) for field in item.__slots__ if field != "name"}


def _format_field(field, value):
    if field == "key_sha256":
        value = tuple(f"{digest[:DIGEST_PREFIX_LENGTH]}…" for digest in value)
    return _format_value(value)


def _format_value(value):
    if isinstance(value, tuple):
        return "[" + ", ".join(value) + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.12g}"
    return str(value)
