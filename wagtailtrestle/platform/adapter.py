"""The users' platform as an ``Adapter``."""

from wagtailtrestle.configuration.epoch_store import EpochStore
from wagtailtrestle.platform.callers import PlatformCallers
from wagtailtrestle.platform.declarations import PlatformDeclarations
from wagtailtrestle.platform.engine_entries import read_engine
from wagtailtrestle.platform.engines import PlatformReports
from wagtailtrestle.platform.kinds import ENGINE_KIND, EPOCH_KIND, ROLLOUT_KIND, ROUTER_KIND, STREAM_KIND, VERSION_KIND
from wagtailtrestle.platform.rollouts import read_rollout, rollout_status
from wagtailtrestle.platform.store import PlatformStore


class PlatformAdapter:
    """Adapter for the users' platform."""

    location = PlatformDeclarations()
    reports = PlatformReports()
    ended_call = None
    router_kind = ROUTER_KIND
    engine_kind = ENGINE_KIND
    epoch_kind = EPOCH_KIND
    rollout_kind = ROLLOUT_KIND
    version_kind = VERSION_KIND
    stream_kind = STREAM_KIND
    shares_confirmations = True

    def open_store(self, url, epoch):
        """Return the client of the users' store."""
        return EpochStore(store=PlatformStore(url=url), epoch=epoch)

    def parse(self, text):
        """Decode the operator's configuration."""
        return self.location.parse(text)

    def read_engine(self, name, value):
        """Decode an engine's registration."""
        return read_engine(name, value)

    def read_rollout(self, name, version, value):
        """Decode the operator's rollout order."""
        return read_rollout(name, version, value)

    def rollout_status(self, target, state):
        """Return the rollout status to write to the store."""
        return rollout_status(target, state)

    def make_dialect(self, **parts):
        """Return the platform's HTTP dialect for callers."""
        return PlatformCallers(**parts)
