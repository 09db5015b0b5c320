"""``wagtailtrestle-router``: the daemon on every entry VM."""

import gc
import os
import sys

from wagtailtrestle.callers.listening import listen, listen_error_message
from wagtailtrestle.declarations.argument_types import split_address
from wagtailtrestle.declarations.settings import SettingsFaults, load_router_settings
from wagtailtrestle.environment import Environment
from wagtailtrestle.exit_status import ExitStatus

PROGRAM = "wagtailtrestle-router"
SETTINGS_FLAG = "--settings"
GARBAGE_THRESHOLD = 10_000
"""New container objects until the youngest generation is collected; the default of 700 collects several times for one
batch of messages. Garbage in reference cycles is rare, so that ten thousand objects hold at most a few MB."""


def run(environment, arguments):
    """Parse and run a ``wagtailtrestle-router`` command line in ``environment``."""
    settings_file = _only_settings_file(arguments)
    if settings_file is not None:
        return start_router(environment, settings_file=settings_file)
    # Imported only here: fire and its console package take 10 ms of processor time to load, at each start of a router.
    from fire.decorators import SetParseFn

    from wagtailtrestle.cli.runner import run_program

    def make_command(plan):
        @SetParseFn(str)
        def router(*, settings):
            """Run one router until SIGTERM; requests in flight are finished before it exits.

            Exit statuses: 0 stopped on request; 1 could not listen on an address; 2 the settings are invalid.

            Args:
                settings: The settings file of this router, YAML; see examples/settings/router.yaml.
            """
            plan.defer(lambda: start_router(environment, settings_file=settings))

        return router

    return run_program(make_command, environment=environment, arguments=arguments)


def _only_settings_file(arguments):
    """Return the file of a command line that consists of ``--settings FILE``, or ``None`` for any other."""
    match arguments:
        case [flag, settings_file] if flag == SETTINGS_FLAG and settings_file and not settings_file.startswith("-"):
            return settings_file
    return None


def start_router(environment, *, settings_file):
    """Run the router described by a settings file, and return its exit status."""
    settings = load_router_settings(settings_file)
    if isinstance(settings, SettingsFaults):
        # Imported only here: it loads an HTTP client, which a router that starts does not need.
        from wagtailtrestle.output.text import faults_text

        environment.print_error(faults_text(settings.faults))
        environment.print_error(f"The router was not started: correct {settings_file}.")
        return ExitStatus.USAGE
    try:
        listener = listen(split_address(settings.callers_address))
    except OSError as error:
        environment.print_error(listen_error_message(error))
        return ExitStatus.CHECK_FAILED
    # The imports create some 40,000 objects, none of them garbage, which a hundred collections would scan.
    gc.disable()
    # Imported once the listener exists: these imports take longer than everything before them.
    from wagtailtrestle.observe.logs import start_logs

    logs = start_logs(stream=environment.stdout, level=settings.log_level, as_json=settings.log_json)
    from wagtailtrestle.core import run_router

    # What was loaded stays until the process ends and is not scanned again.
    gc.freeze()
    gc.set_threshold(GARBAGE_THRESHOLD)
    gc.enable()
    try:
        return run_router(settings=settings, settings_file=settings_file, environment=environment, listener=listener)
    finally:
        logs.close()


def main():
    """Run the command line of this process and exit with its status."""
    # Otherwise loguru prepares a sink that start_logs removes before anything is logged.
    os.environ.setdefault("LOGURU_AUTOINIT", "False")
    sys.exit(run(Environment.of_process(program=PROGRAM), sys.argv[1:]))


if __name__ == "__main__":
    main()
