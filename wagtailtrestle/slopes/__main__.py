"""Print every slope as JSON lines; run by ``make slopes``."""

from wagtailtrestle.slopes import admin, configuration, control, data_path, entry, ledger, peers, scheduler, streams

if __name__ == "__main__":
    for module in (scheduler, entry, admin, ledger, configuration, peers, control, data_path, streams):
        module.main()
