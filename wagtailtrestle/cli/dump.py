"""``wagtailtrestle-dump``: prints the state of one running process."""

import json
import sys

import yaml
from fire.decorators import SetParseFn

from wagtailtrestle.cli.runner import read_arguments, run_program
from wagtailtrestle.declarations.argument_types import Flag, Url
from wagtailtrestle.environment import Environment
from wagtailtrestle.exit_status import ExitStatus

PROGRAM = "wagtailtrestle-dump"
STATE_PATH = "/state"


def run(environment, arguments):
    """Parse and run a ``wagtailtrestle-dump`` command line in ``environment``."""

    def make_command(plan):
        @SetParseFn(str)
        def dump(url, *, json=False):
            """Print the complete state of one running process as YAML.

            Works with routers and stand-ins. The state never contains keys or prompts.
            Exit statuses: 0 done; 4 the process could not be reached.

            Args:
                url: Admin address of the process, for example http://10.0.0.7:9090
                json: Print JSON instead.
            """
            plan.defer(lambda: print_state(environment, url=url, as_json=json))

        return dump

    return run_program(make_command, environment=environment, arguments=arguments)


def print_state(environment, *, url, as_json):
    """Print the state served at ``url`` and return the exit status."""
    arguments = read_arguments(
        environment, url=(url if "://" in url else f"http://{url}", Url()), json=(str(as_json), Flag())
    )
    if arguments is None:
        return ExitStatus.USAGE
    state_url = arguments["url"].removesuffix(STATE_PATH) + STATE_PATH
    state = environment.fetch_json(state_url)
    if not isinstance(state, dict):
        environment.print_error(
            f"No state from {state_url}: {state}. Check that the process runs and that this is its admin address."
        )
        return ExitStatus.NOT_REACHED
    if arguments["json"]:
        environment.print_result(json.dumps(state, indent=2))
    else:
        environment.print_result(yaml.safe_dump(state, sort_keys=False, allow_unicode=True).rstrip())
    return ExitStatus.DONE


def main():
    """Run the command line of this process and exit with its status."""
    sys.exit(run(Environment.of_process(program=PROGRAM), sys.argv[1:]))


if __name__ == "__main__":
    main()
