"""Parsing of YAML text to a :class:`Declaration`, or to all its faults at once.

Sections are read in the order in which they refer to each other, and reading continues
after a fault, so that all are reported. Nothing here raises, whatever the text.
"""

from wagtailtrestle.contracts.declaration import Declaration, Team, Tier
from wagtailtrestle.declarations.argument_types import Integer, Name, Number, Sha256
from wagtailtrestle.declarations.engine_check import read_engines
from wagtailtrestle.declarations.field_reader import open_mapping, read_scalar
from wagtailtrestle.declarations.names import DeclaredNames
from wagtailtrestle.declarations.service_check import read_services
from wagtailtrestle.declarations.yaml_source import Fault, FaultList, compose
from wagtailtrestle.record import record

FORMAT_VERSION = 1
DEFAULT_SHARE = 1.0
MAX_CLOCK_SKEW_S = 30.0
DEFAULT_SHARDS = 16
MAX_SHARDS = 4096
DEFAULT_RETENTION_S = 3600.0
MAX_RETENTION_S = 604_800


@record
class DeclarationFaults:
    """All faults of a rejected declaration."""

    faults: tuple[Fault, ...]


def parse_declaration(text, *, file="declaration"):
    """Check a declaration and build it.

    Parameters
    ----------
    text : str or bytes
        At most 1 MB of YAML.
    file : str
        Name of the file to give in faults.

    Returns
    -------
    Declaration or DeclarationFaults
    """
    faults = FaultList(file=file)
    node = compose(text, faults=faults)
    root = open_mapping(node, field="", faults=faults) if node is not None else None
    if root is None:
        return DeclarationFaults(faults=faults.sorted_by_line())
    declaration = _read(root)
    if faults.faults:
        return DeclarationFaults(faults=faults.sorted_by_line())
    return declaration


def _read(root):
    """Return the declaration, which must not be used if any fault was recorded."""
    names = DeclaredNames()
    root.value("format", Integer(minimum=FORMAT_VERSION, maximum=FORMAT_VERSION))
    organisation = root.value("organisation", Name())
    zones_by_region = _read_regions(root, names)
    tiers_by_name = _read_tiers(root, names)
    teams_by_name = _read_teams(root, names)
    services_by_name = read_services(root, names)
    engines_by_name = read_engines(root, names)
    ledger_shards, ledger_retention_s = _read_ledger(root, services_by_name)
    root.close()
    return Declaration(
        organisation=organisation,
        zones_by_region=zones_by_region,
        tiers_by_name=tiers_by_name,
        teams_by_name=teams_by_name,
        services_by_name=services_by_name,
        engines_by_name=engines_by_name,
        ledger_shards=ledger_shards,
        ledger_retention_s=ledger_retention_s,
    )


def _read_regions(root, names):
    section = root.mapping("regions")
    zones_by_region = {}
    if section is None:
        return zones_by_region
    for key in section.keys():
        region = read_scalar(key, Name(), field="regions", faults=root.faults)
        zones = section.values(key.text, Name())
        for zone, node in zones:
            names.zones.declare(section, key.text, zone, node=node)
        zones_by_region[region] = tuple(zone for zone, _ in zones)
    if not zones_by_region:
        section.add_fault(None, "declares no region", "at least one region with its zones")
    return zones_by_region


def _read_tiers(root, names):
    tiers_by_name = {}
    for name, node in root.values("tiers", Name()):
        names.tiers.declare(root, "tiers", name, node=node)
        tiers_by_name[name] = Tier(name=name, rank=len(tiers_by_name))
    return tiers_by_name


def _read_teams(root, names):
    teams_by_name = {}
    for reader in root.mappings("teams"):
        name = reader.value("name", Name())
        names.teams.declare(reader, "name", name)
        teams_by_name[name] = Team(
            name=name,
            key_sha256=_read_keys(reader, names),
            share=reader.value("share", Number(minimum=0.001, maximum=1000), default=DEFAULT_SHARE),
        )
        reader.close()
    return teams_by_name


def _read_keys(reader, names):
    """Return a team's key digests.

    A key of two teams would make it arbitrary which team's share and routes a call gets. The fault does not
    contain the digest, as anybody may see it.
    """
    digests = reader.values("key_sha256", Sha256())
    for digest, node in digests:
        first_line = names.keys.lines_by_name.get(digest)
        names.keys.lines_by_name.setdefault(digest, node.line)
        if first_line is not None:
            problem = f"has a key that is already declared on line {first_line}"
            reader.add_fault("key_sha256", problem, "each key once, for one team", node=node)
    return tuple(digest for digest, _ in digests)


def _read_ledger(root, services_by_name):
    reader = root.mapping("ledger", required=False)
    if reader is None:
        return DEFAULT_SHARDS, DEFAULT_RETENTION_S
    shards = reader.value("shards", Integer(minimum=1, maximum=MAX_SHARDS), default=DEFAULT_SHARDS)
    retention_s = reader.value("retention_s", Number(minimum=1, maximum=MAX_RETENTION_S), default=DEFAULT_RETENTION_S)
    _check_retention(reader, retention_s, services_by_name)
    reader.close()
    return shards, retention_s


def _check_retention(reader, retention_s, services_by_name):
    # If a claim expired while its request may still run, a repeated request would run a second time. The
    # clocks of two VMs may differ, and each VM timestamps its claims by its own.
    routes = [route for service in services_by_name.values() for route in service.routes_by_name.values()]
    longest_ms = max((route.deadline_ms or 0 for route in routes if route.at_most_once), default=0)
    min_retention_s = longest_ms / 1000 + MAX_CLOCK_SKEW_S
    if longest_ms and retention_s is not None and retention_s < min_retention_s:
        problem = "lets claims expire while their requests may still run"
        reader.add_fault(
            "retention_s",
            problem,
            f"at least {min_retention_s:g}: the longest deadline of an at_most_once route + 30 s",
        )
