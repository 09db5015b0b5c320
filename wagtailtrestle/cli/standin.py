"""``wagtailtrestle-standin``: the stand-ins, each its own process."""

import importlib

import fire


class StandinCommands:
    """Run one stand-in process until SIGTERM."""

    def platform(self, *, settings):
        """Run the stand-in platform: object API and list of VMs."""
        _run("platform", settings)

    def engine(self, *, settings):
        """Run the stand-in language engine."""
        _run("engine", settings)

    def service(self, *, settings):
        """Run the stand-in plain service."""
        _run("service", settings)


def _run(kind, settings_path):
    # Imported late: an engine's process loads nothing of the platform's.
    importlib.import_module(f"wagtailtrestle.standins.{kind}").main(str(settings_path))


def main():
    """Run the command line."""
    fire.Fire(StandinCommands, name="wagtailtrestle-standin")


if __name__ == "__main__":
    main()
