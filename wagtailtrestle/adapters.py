"""Whose interface a router speaks: what the wiring needs of an adapter, and the product's own."""

from typing import Protocol

from wagtailtrestle.callers.intake import Intake
from wagtailtrestle.configuration.sources import OwnDeclarations
from wagtailtrestle.declarations.check import parse_declaration
from wagtailtrestle.declarations.settings import PLATFORM_ADAPTER
from wagtailtrestle.engines.native_call import CANCEL_CALL
from wagtailtrestle.engines.reports import NativeReports
from wagtailtrestle.store.object_store_http import HttpObjectStore


class Adapter(Protocol):
    """One outside world: its store, declarations, engines and callers.

    Attributes
    ----------
    place : DeclarationPlace
    reports : ReportDialect
    ended_call : EngineDialect or None
        See :class:`wagtailtrestle.engines.client.EngineClient`.
    router_kind : str or None
        Kind of the objects by which routers find each other; ``None`` where the store lists VMs.
    rollout_kind : str or None
        Kind of the objects by which operators order roll-outs; ``None`` where they can't.
    shares_confirmations : bool
        Whether a peer's word that the platform confirmed the configuration spares a read: only where
        reads are never stale.
    engine_kind : str or None
        Kind of the objects by which engines list themselves; ``None`` where they are declared.
    epoch_kind : str or None
        Kind of the fleet's note of the store's epoch; ``None`` where the store tells none.
    """

    place: object
    reports: object
    ended_call: object
    router_kind: str | None
    engine_kind: str | None
    epoch_kind: str | None
    rollout_kind: str | None
    shares_confirmations: bool

    def open_store(self, url: str, epoch):
        """Return an ``ObjectStore`` that is not started yet; it tells ``epoch`` what its answers bear."""

    def parse(self, text: str):
        """Return a ``Declaration``, or an object whose ``faults`` say why it can't be read."""

    def read_engine(self, name: str, value):
        """Return the ``DeclaredEngine`` of an engine's own entry, or ``None``."""

    def make_dialect(self, *, key_proof, quotas, **parts):
        """Return the ``CallerDialect``; ``parts`` are those of ``callers.intake.Intake``."""


class NativeAdapter:
    """The product's own interface."""

    place = OwnDeclarations()
    reports = NativeReports()
    ended_call = CANCEL_CALL
    router_kind = None
    engine_kind = None
    epoch_kind = None
    rollout_kind = None
    shares_confirmations = False

    def open_store(self, url, epoch):
        """Return the client of the product's own object API, which bears no epoch."""
        return HttpObjectStore(url=url)

    def parse(self, text):
        """Check a declaration in YAML."""
        return parse_declaration(text)

    def read_engine(self, name, value):
        """Engines are declared here, so there is no entry to read."""
        return None

    def make_dialect(self, *, key_proof, quotas, **parts):
        """Return the product's own callers' HTTP."""
        return Intake(**parts)


def make_adapter(settings) -> Adapter:
    """Return the adapter that a router's settings name."""
    if settings.adapter == PLATFORM_ADAPTER:
        # Imported late: a router that speaks the product's own interface needs none of it.
        from wagtailtrestle.platform.adapter import PlatformAdapter

        return PlatformAdapter()
    return NativeAdapter()
