"""``wagtailtrestle``: the operators' command line for declarations and router logs."""

import asyncio
import sys

from fire.decorators import SetParseFn

from wagtailtrestle.cli.explain import explain
from wagtailtrestle.cli.runner import read_arguments, run_program
from wagtailtrestle.configuration.applying import (
    NOTHING_ACCEPTED,
    Applied,
    ApplyConflict,
    ApplyNotDone,
    ApplyUnknown,
    apply,
    read_accepted,
)
from wagtailtrestle.configuration.status_report import collect_status
from wagtailtrestle.contracts.outcomes import StoreUnavailable
from wagtailtrestle.declarations.argument_types import Integer, Url
from wagtailtrestle.declarations.check import DeclarationFaults, parse_declaration
from wagtailtrestle.declarations.diff import difference
from wagtailtrestle.declarations.yaml_source import read_file
from wagtailtrestle.environment import Environment
from wagtailtrestle.exit_status import ExitStatus
from wagtailtrestle.output.text import change_text, faults_text, status_text, summary_text

PROGRAM = "wagtailtrestle"
MAX_GENERATION = 10**15


class OperatorCommands:
    """Check and apply declarations, show where they are in force, and explain request outcomes.

    A declaration is one YAML file with all tiers, teams, services, routes and engines.
    Applying it replaces the previous declaration completely, on every router.

    Exit statuses: 0 done; 1 a check failed; 2 wrong usage; 3 conflict, another declaration was applied first;
    4 platform unreachable, nothing was applied; 5 unknown whether it was applied.
    """

    def __init__(self, *, plan, environment):
        self._plan = plan
        self._environment = environment

    @SetParseFn(str)
    def check(self, file):
        """Check a declaration and print all its faults with their line numbers.

        Reads only the file. Exit status 0 if it is valid, 1 if not.

        Args:
            file: The declaration, YAML.
        """
        self._plan.defer(lambda: check(self._environment, file=file))

    @SetParseFn(str)
    def diff(self, file, *, platform=None, against=None):
        """Show what applying a declaration would change, without applying it.

        Lines begin with '+' (added), '-' (removed) or '~' (changed). With --platform it also
        prints the accepted generation, which `apply --base` takes.

        Args:
            file: The new declaration.
            platform: URL of the platform; compares with the accepted declaration.
            against: Another declaration file to compare with instead.
        """
        self._plan.defer(lambda: diff(self._environment, file=file, platform=platform, against=against))

    @SetParseFn(str)
    def apply(self, file, *, platform, base=None):
        """Check a declaration and make it the accepted one, in a single update.

        Routers put it in force within seconds: see `status`. If a check fails, nothing is applied.
        If the platform's response is lost, the declaration is read back to find out whether it was applied.

        Args:
            file: The declaration.
            platform: URL of the platform.
            base: The generation that the file is based on, as printed by `diff` or `status`. If another
                generation has been accepted since, nothing is applied (exit status 3). Without --base,
                the accepted declaration is replaced whatever its generation.
        """
        self._plan.defer(lambda: apply_file(self._environment, file=file, platform=platform, base=base))

    @SetParseFn(str)
    def status(self, *, platform):
        """Show the accepted generation and the one in force on each router.

        Exit status 0 if every router that is not leaving has it in force, otherwise 1.

        Args:
            platform: URL of the platform.
        """
        self._plan.defer(lambda: status(self._environment, platform=platform))

    @SetParseFn(str)
    def explain(self, *files, id=None, by="cause", begin=None, end=None):  # noqa: A002
        """Show the outcomes of requests from router log files.

        With --id: every log line about one request, in chronological order. Without: a table of the
        requests that got no answer. Give the files of all routers, in any order; incomplete lines
        are skipped and counted.

        Args:
            files: Log files in JSON, as routers write them; any prefix before the JSON is skipped.
            id: The request id given by the caller or by the router.
            by: What to count by, in addition to the cause: cause, tier, team, zone or second.
            begin: Count requests from this time on, in the logs' format, UTC.
            end: Count requests up to this time.
        """
        self._plan.defer(lambda: explain(self._environment, files=files, request_id=id, by=by, begin=begin, end=end))


def check(environment, *, file):
    """Check a file, print its faults or a summary, and return the exit status."""
    loaded = _load(environment, file)
    if isinstance(loaded, ExitStatus):
        return loaded
    _, declaration = loaded
    environment.print_result(f"{file} is valid. {summary_text(declaration)}")
    return ExitStatus.DONE


def diff(environment, *, file, platform, against):
    """Print what applying a file would change, and return the exit status."""
    if (platform is None) == (against is None):
        environment.print_error("Give either --platform URL or --against FILE. Nothing was run.")
        return ExitStatus.USAGE
    arguments = read_arguments(environment, platform=(platform, Url()))
    if arguments is None:
        return ExitStatus.USAGE
    loaded = _load(environment, file)
    if isinstance(loaded, ExitStatus):
        return loaded
    _, declaration = loaded
    if against is not None:
        return _diff_files(environment, declaration, against=against)
    return _diff_platform(environment, declaration, platform=arguments["platform"])


def _diff_files(environment, declaration, *, against):
    loaded = _load(environment, against)
    if isinstance(loaded, ExitStatus):
        return loaded
    _, other = loaded
    return _print_difference(environment, other, declaration, base=against)


def _diff_platform(environment, declaration, *, platform):
    accepted = _with_store(environment, platform, lambda store: read_accepted(store=store))
    if isinstance(accepted, StoreUnavailable):
        environment.print_error(_unreachable(platform, accepted.detail))
        return ExitStatus.NOT_REACHED
    if accepted is NOTHING_ACCEPTED:
        return _print_difference(environment, None, declaration, base="nothing accepted yet")
    base = f"generation {accepted.generation}"
    other = parse_declaration(accepted.text, file=base)
    if isinstance(other, DeclarationFaults):
        environment.print_error(faults_text(other.faults))
        environment.print_error(
            f"{base} was accepted, but this version of {PROGRAM} can't read it: use a newer version."
        )
        return ExitStatus.CHECK_FAILED
    return _print_difference(environment, other, declaration, base=base)


def _print_difference(environment, before, after, *, base):
    changes = difference(before, after)
    for change in changes:
        environment.print_result(change_text(change))
    environment.print_result(f"{len(changes)} changes against {base}" if changes else f"No change against {base}")
    return ExitStatus.DONE


def apply_file(environment, *, file, platform, base):
    """Check and apply a file, print the outcome, and return the exit status."""
    arguments = read_arguments(
        environment, platform=(platform, Url()), base=(base, Integer(minimum=0, maximum=MAX_GENERATION))
    )
    if arguments is None:
        return ExitStatus.USAGE
    loaded = _load(environment, file)
    if isinstance(loaded, ExitStatus):
        environment.print_error("Nothing was applied.")
        return loaded
    text, _ = loaded
    apply_id = environment.new_id()
    try:
        outcome = _with_store(
            environment,
            arguments["platform"],
            lambda store: apply(
                store=store,
                text=text,
                apply_id=apply_id,
                clock=environment.unix_time,
                base_generation=arguments["base"],
            ),
        )
    except KeyboardInterrupt:
        # The update may have been sent already, so it is not known to be unapplied.
        outcome = ApplyUnknown(detail="interrupted")
    return _report_apply(environment, outcome, file=file, platform=arguments["platform"], apply_id=apply_id)


def _report_apply(environment, outcome, *, file, platform, apply_id):
    match outcome:
        case Applied(generation=generation):
            environment.print_result(
                f"Applied: {file} is generation {generation}. Routers put it in force within seconds; "
                f"see: {PROGRAM} status --platform {platform}"
            )
            return ExitStatus.DONE
        case ApplyConflict(generation=generation, by=by):
            applied_by = f", applied as {by}," if by else ""
            environment.print_error(
                f"Conflict, nothing was applied: generation {generation}{applied_by} came first. See what "
                f"differs with: {PROGRAM} diff {file} --platform {platform}; bring its changes into "
                f"your file, then apply again with --base {generation}."
            )
            return ExitStatus.CONFLICT
        case ApplyNotDone(detail=detail):
            environment.print_error(f"Nothing was applied. {_unreachable(platform, detail)}")
            return ExitStatus.NOT_REACHED
        case ApplyUnknown(detail=detail):
            environment.print_error(
                f"Unknown whether {file} was applied: {detail}. Don't apply again yet. Once the platform answers, run: "
                f"{PROGRAM} status --platform {platform}; it was applied if the accepted one is "
                f"apply {apply_id}; if another one is accepted, see: {PROGRAM} diff {file} --platform {platform}"
            )
            return ExitStatus.UNKNOWN


def status(environment, *, platform):
    """Print the accepted generation and those in force, and return the exit status."""
    arguments = read_arguments(environment, platform=(platform, Url()))
    if arguments is None:
        return ExitStatus.USAGE
    report = _with_store(
        environment,
        arguments["platform"],
        lambda store: collect_status(store=store, fetch=environment.fetch_json),
    )
    if isinstance(report, StoreUnavailable):
        environment.print_error(_unreachable(arguments["platform"], report.detail))
        return ExitStatus.NOT_REACHED
    environment.print_result(status_text(report))
    if report.is_in_force_everywhere:
        return ExitStatus.DONE
    environment.print_error("Not in force on every router yet: run status again in a few seconds.")
    return ExitStatus.CHECK_FAILED


def _load(environment, file):
    """Return a file's text and declaration, or the exit status after printing what is wrong."""
    content = read_file(file)
    if isinstance(content, str):
        environment.print_error(f"{file} {content}. Give a readable file.")
        return ExitStatus.USAGE
    declaration = parse_declaration(content, file=file)
    if isinstance(declaration, DeclarationFaults):
        environment.print_error(faults_text(declaration.faults))
        return ExitStatus.CHECK_FAILED
    return content.decode(), declaration


def _with_store(environment, url, work):
    async def run():
        store = environment.open_store(url)
        store.start()
        try:
            return await work(store)
        finally:
            store.close()

    return asyncio.run(run())


def _unreachable(platform, detail):
    reason = f" ({detail})" if detail else ""
    return f"The platform at {platform} can't be used now{reason}. Check the URL, or try again later."


def run(environment, arguments):
    """Parse and run an operator's command line in ``environment``."""
    return run_program(
        lambda plan: OperatorCommands(plan=plan, environment=environment),
        environment=environment,
        arguments=arguments,
    )


def main():
    """Run the command line of this process and exit with its status."""
    sys.exit(run(Environment.of_process(program=PROGRAM), sys.argv[1:]))


if __name__ == "__main__":
    main()
