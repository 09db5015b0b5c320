"""Parses a program's command line with fire, runs the command, and cleans up fire's messages."""

import io
import re
from contextlib import redirect_stderr, redirect_stdout

import fire

from wagtailtrestle.declarations.argument_types import InvalidValue
from wagtailtrestle.exit_status import ExitStatus

ANSI = re.compile(r"\x1b\[[0-9;]*m")
# fire lists its own metadata on how arguments are parsed as if it were one of the program's commands.
FIRE_NOISE = re.compile(
    r"^INFO: .*\n+"
    r"|^GROUPS\n(.*\n)*?.*FIRE_METADATA\n+"
    r"|^ +available groups: +FIRE_METADATA\n"
    r"|^ +Type: Optional\[\]\n"
    r"|^For detailed information on this command, run:\n.*\n?"
    r"|(?<= )(GROUP|<group>) \| ",
    re.MULTILINE,
)
FIRE_FLAGS_MARK = "--"
HELP_FLAGS = ("--help", "-h")


class Plan:
    """The command chosen by the command line, recorded while fire parses and run afterwards.

    fire calls a command before it has parsed the remaining arguments. If the command ran immediately,
    ``apply FILE --platform URL --bsae 7`` would replace the declaration without the requested
    check and report the misspelt flag only afterwards.
    """

    __slots__ = ("_command",)

    def __init__(self):
        self._command = None

    def defer(self, command):
        """Set the command to run once the command line has been parsed."""
        self._command = command

    @property
    def command(self):
        """The command to run, or ``None`` if the command line named none."""
        return self._command


def run_program(make_fire_component, *, environment, arguments):
    """Parse a command line, run its command, and return the exit status.

    Parameters
    ----------
    make_fire_component : callable
        Takes a ``Plan`` and returns the function or object given to fire; its commands only defer
        their work to the ``Plan``.
    environment : Environment
    arguments : sequence of str
        Without the program's name.

    Returns
    -------
    ExitStatus
    """
    if FIRE_FLAGS_MARK in arguments and arguments[-1] not in HELP_FLAGS:
        return _exit_without_running(
            f"Nothing may stand after a bare {FIRE_FLAGS_MARK}.", environment=environment, is_help=False
        )
    plan = Plan()
    fire_output = io.StringIO()
    try:
        # On a terminal fire shows help in a pager; with its output redirected to memory it starts none.
        with redirect_stdout(fire_output), redirect_stderr(fire_output):
            fire.Fire(make_fire_component(plan), command=list(arguments), name=environment.program)
    except fire.core.FireExit as fire_exit:
        return _exit_without_running(fire_output.getvalue(), environment=environment, is_help=fire_exit.code == 0)
    if plan.command is None:
        return _exit_without_running(fire_output.getvalue(), environment=environment, is_help=False)
    return plan.command()


def _exit_without_running(fire_output, *, environment, is_help):
    text = FIRE_NOISE.sub("", ANSI.sub("", fire_output)).strip()
    if is_help:
        environment.print_result(text)
        return ExitStatus.DONE
    environment.print_error(f"{text}\n\nNothing was run. See: {environment.program} --help")
    return ExitStatus.USAGE


def read_arguments(environment, **typed):
    """Parse and check arguments, each given as ``name=(text, ValueType)``.

    Returns
    -------
    dict or None
        Values by name, or ``None`` if any argument is invalid; each invalid one is reported. An
        absent optional argument, whose text is ``None``, stays ``None``.
    """
    values = {}
    has_errors = False
    for name, (text, value_type) in typed.items():
        value = None if text is None else value_type.read(text)
        if isinstance(value, InvalidValue):
            has_errors = True
            environment.print_error(f"{name} {value.problem}; allowed: {value_type.allowed}")
        values[name] = value
    if has_errors:
        environment.print_error(f"Nothing was run. See: {environment.program} --help")
        return None
    return values
