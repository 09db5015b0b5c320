"""``wagtailtrestle-standin``: runs one stand-in (platform, engine or service) as a process."""

import importlib

import fire


class StandinCommands:
    """Run one stand-in process until SIGTERM."""

    def platform(self, *, settings):
        """Run the stand-in platform with its object API and its list of VMs."""
        _run("platform", settings)

    def engine(self, *, settings):
        """Run the stand-in language engine."""
        _run("engine", settings)

    def service(self, *, settings):
        """Run the stand-in plain service."""
        _run("service", settings)


def _run(kind, settings_path):
    # Imported only here, so that an engine's process does not load the platform's modules.
    importlib.import_module(f"wagtailtrestle.standins.{kind}").main(str(settings_path))


def main():
    """Run the command line of this process."""
    fire.Fire(StandinCommands, name="wagtailtrestle-standin")


if __name__ == "__main__":
    main()
