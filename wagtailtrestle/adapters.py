"""Adapters between the router and the platform it runs on: the protocol and the native adapter."""

from typing import Protocol

from wagtailtrestle.callers.native_dialect import NativeDialect
from wagtailtrestle.configuration.sources import NativeDeclarations
from wagtailtrestle.declarations.check import parse_declaration
from wagtailtrestle.declarations.settings import PLATFORM_ADAPTER
from wagtailtrestle.engines.native_call import CANCEL_CALL
from wagtailtrestle.engines.reports import NativeReports
from wagtailtrestle.store.object_store_http import HttpObjectStore


class Adapter(Protocol):
    """Everything specific to one platform: its store, declarations, engines and callers.

    Attributes
    ----------
    location : DeclarationLocation
    reports : ReportDialect
    ended_call : EngineDialect or None
        See :class:`wagtailtrestle.engines.client.EngineClient`.
    router_kind : str or None
        Kind of the objects by which routers discover each other; ``None`` where the store lists VMs.
    rollout_kind : str or None
        Kind of the objects by which operators request rollouts; ``None`` where rollouts are not supported.
    version_kind : str or None
        Kind of the objects that record services with several software versions; ``None`` where no caller resumes a
        stream at another router.
    stream_kind : str or None
        Kind of the objects that record the versions of running streams; ``None`` as for ``version_kind``.
    shares_confirmations : bool
        Whether a router may rely on a peer's confirmation of the configuration instead of reading the
        store itself. Safe only if reads are never stale.
    engine_kind : str or None
        Kind of the objects by which engines register themselves; ``None`` where they are declared.
    epoch_kind : str or None
        Kind of the object that records the store's epoch; ``None`` where the store reports none.
    """

    location: object
    reports: object
    ended_call: object
    router_kind: str | None
    engine_kind: str | None
    epoch_kind: str | None
    rollout_kind: str | None
    version_kind: str | None
    stream_kind: str | None
    shares_confirmations: bool

    def open_store(self, url: str, epoch):
        """Return an ``ObjectStore``, not yet started, that reports the epochs in its answers to ``epoch``."""

    def parse(self, text: str):
        """Return a ``Declaration``, or an object whose ``faults`` say why the text is invalid."""

    def read_engine(self, name: str, value):
        """Return the ``DeclaredEngine`` described by an engine's registration, or ``None``."""

    def make_dialect(self, *, key_proof, quotas, **parts):
        """Return the ``CallerDialect``; ``parts`` are the arguments of ``NativeDialect``."""


class NativeAdapter:
    """The native interface."""

    location = NativeDeclarations()
    reports = NativeReports()
    ended_call = CANCEL_CALL
    router_kind = None
    engine_kind = None
    epoch_kind = None
    rollout_kind = None
    version_kind = None
    stream_kind = None
    shares_confirmations = False

    def open_store(self, url, epoch):
        """Return the client of the native object API, whose answers carry no epoch."""
        return HttpObjectStore(url=url)

    def parse(self, text):
        """Parse and check a declaration in YAML."""
        return parse_declaration(text)

    def read_engine(self, name, value):
        """Return ``None``: engines are declared, they do not register themselves."""
        return None

    def make_dialect(self, *, key_proof, quotas, **parts):
        """Return the native HTTP dialect for callers."""
        return NativeDialect(**parts)


def make_adapter(settings) -> Adapter:
    """Return the adapter named in a router's settings."""
    if settings.adapter == PLATFORM_ADAPTER:
        # Imported here because a router with the native adapter needs none of it.
        from wagtailtrestle.platform.adapter import PlatformAdapter

        return PlatformAdapter()
    return NativeAdapter()
