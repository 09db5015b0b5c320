"""Formats faults, differences and status reports as text."""

from datetime import UTC, datetime

from wagtailtrestle.configuration.status_report import RouterInForce
from wagtailtrestle.declarations.diff import Added, Changed, Removed
from wagtailtrestle.output.table import table

NOT_YET = "none yet"


def faults_text(faults):
    """Return the faults, one per line, followed by their count."""
    lines = [str(fault) for fault in faults]
    lines.append(f"{len(faults)} fault" + ("s" if len(faults) != 1 else ""))
    return "\n".join(lines)


def change_text(change):
    """Return one change as a line that begins with '+', '-' or '~'."""
    match change:
        case Added(section=section, name=name):
            return f"+ {section} {name}"
        case Removed(section=section, name=name):
            return f"- {section} {name}"
        case Changed(section=section, name=name, field=field, before=before, after=after):
            what = f"{section} {name}".rstrip()
            return f"~ {what} {field}: {before} -> {after}"


def summary_text(declaration):
    """Return the numbers of tiers, teams, services and engines in a declaration, as one line."""
    return (
        f"{declaration.organisation}: {len(declaration.tiers_by_name)} tiers, {len(declaration.teams_by_name)} teams, "
        f"{len(declaration.services_by_name)} services, {len(declaration.engines_by_name)} engines"
    )


def status_text(report):
    """Return a status report: the accepted generation, then a table of the routers."""
    if not report.generation:
        accepted = f"accepted generation: {NOT_YET}"
    else:
        applied_at = datetime.fromtimestamp(report.applied_at, UTC).isoformat(timespec="seconds")
        accepted = f"accepted generation: {report.generation} (apply {report.apply_id}, {applied_at})"
    if not report.routers:
        return f"{accepted}\nno router is on the platform's list"
    rows = [(router.id, router.zone, _in_force(router), _state(router)) for router in report.routers]
    return f"{accepted}\n\n{table(header=('router', 'zone', 'in force', 'state'), rows=rows)}"


def _in_force(router):
    if not isinstance(router, RouterInForce):
        return "?"
    return str(router.generation or NOT_YET)


def _state(router):
    if not isinstance(router, RouterInForce):
        state = f"unreachable: {router.detail}"
    elif router.faults:
        state = "refuses a newer generation: " + "; ".join(str(fault) for fault in router.faults)
    else:
        state = "behind" if router.is_lagging else "up to date"
    return f"{state} (leaving)" if router.is_leaving else state
