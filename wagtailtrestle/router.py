"""The router: its components, how they are connected, and the order in which they start and stop."""

import asyncio
import contextlib
import time
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from wagtailtrestle.adapters import make_adapter
from wagtailtrestle.broken_invariant import report_failed_task
from wagtailtrestle.callers.authentication import KeyProof
from wagtailtrestle.callers.limits import DEFAULT_BODY_BYTES, CallerLimits, max_held_requests
from wagtailtrestle.callers.server import CallersServer
from wagtailtrestle.capacity.features import ALL_OFF, features_in_force
from wagtailtrestle.capacity.retry_budget import RetryLimits
from wagtailtrestle.capacity.scheduler_set import SchedulerSet
from wagtailtrestle.configuration.configuration import Configuration, InForce
from wagtailtrestle.configuration.engine_list import EngineList
from wagtailtrestle.configuration.engine_relay import EngineRelay, RelayLimits
from wagtailtrestle.configuration.epoch_note import EpochNote
from wagtailtrestle.configuration.peer_configuration import PeerConfiguration
from wagtailtrestle.configuration.running_time import RunningTime
from wagtailtrestle.configuration.store_epoch import StoreEpoch
from wagtailtrestle.configuration.store_readers import StoreReaders
from wagtailtrestle.configuration.version_note import VersionNote
from wagtailtrestle.contracts.declaration import LANGUAGE
from wagtailtrestle.contracts.ledger_messages import ClaimAsk, NonceAsk, SettleAsk
from wagtailtrestle.contracts.outcomes import Reason
from wagtailtrestle.contracts.peer_messages import PeerUnreachable
from wagtailtrestle.contracts.report_messages import CacheEvents, LoadReport, LoadUnreachable
from wagtailtrestle.declarations.argument_types import split_address
from wagtailtrestle.engines.answer_memory import AnswerMemory, answer_memory_bytes
from wagtailtrestle.engines.client import EngineClient
from wagtailtrestle.engines.connector import PathConnector
from wagtailtrestle.engines.paths import EnginePaths
from wagtailtrestle.engines.reports import EngineReports
from wagtailtrestle.entry.cells import cells_of
from wagtailtrestle.entry.crash_watch import CrashWatch
from wagtailtrestle.entry.entry import Entry
from wagtailtrestle.entry.part_crashes import PartTable
from wagtailtrestle.entry.poison import CrashClearance, CrashDetector, CrashReport, CrashTable
from wagtailtrestle.entry.stream_store import StreamStore
from wagtailtrestle.entry.stream_versions import StreamVersions
from wagtailtrestle.entry.version_history import VersionHistory
from wagtailtrestle.ledger.ledger import Ledger
from wagtailtrestle.membership.announcement import Announcement
from wagtailtrestle.membership.membership import Membership
from wagtailtrestle.membership.vm_list import VMList
from wagtailtrestle.observe.admin_http import AdminServer
from wagtailtrestle.observe.metrics import Metrics
from wagtailtrestle.peers.broadcast import Broadcast
from wagtailtrestle.peers.directory import Directory
from wagtailtrestle.peers.peers_grpc import Peers
from wagtailtrestle.peers.rendezvous import Rendezvous
from wagtailtrestle.peers.tunnel_client import TunnelClient
from wagtailtrestle.peers.tunnel_server import TunnelServer
from wagtailtrestle.quotas.owner import Tolerance
from wagtailtrestle.quotas.shared import SharedQuotas
from wagtailtrestle.rollouts.coordinator import Coordinator

TICK_S = 0.1
MS_PER_S = 1000.0
CONNECT_TIMEOUT_S = 1.0
STREAM_RETENTION_FACTOR = 2
"""Retention of a stream's version, as a multiple of the time in which its route answers."""
MAX_STREAM_RETENTION_S = 600.0
ENGINE_ROLE = "engine"
ROUTER_ROLE = "router"


class Router:
    """The router daemon on one VM.

    Parameters
    ----------
    settings : RouterSettings
    loop : asyncio.AbstractEventLoop
    listener : socket.socket, optional
        Socket that already listens for callers.
    """

    def __init__(self, *, settings, loop, listener=None):
        self._listener = listener
        self._settings = settings
        self._loop = loop
        self._incarnation = time.time_ns() // 1_000_000
        self._tick_task = None
        self._exit_stack = contextlib.AsyncExitStack()
        self._ledger_start_task = None
        self._draining = False
        self._is_initialized = False
        self._known_members = set()
        self._rendezvous = Rendezvous()
        # Checking a declaration of full size takes a third of a second, too long for the event loop.
        self._parsing = ThreadPoolExecutor(max_workers=1, thread_name_prefix="parse")
        self._metrics = Metrics()
        self._adapter = make_adapter(settings)
        self._in_force = None
        self._features = ALL_OFF
        self._start_ms_by_engine = {}
        self._store_epoch = StoreEpoch()
        self._store = self._adapter.open_store(settings.platform_url, self._store_epoch)
        self._make_peers()
        self._make_engine_client()
        self._make_configuration()
        self._make_scheduling()
        self._make_servers()

    # Construction of the components.

    def _make_peers(self):
        settings = self._settings
        self._peers = Peers(
            name=settings.name,
            incarnation=self._incarnation,
            listen_address=settings.peers_address,
            loop=self._loop,
            zone=settings.zone,
            cores=settings.cores,
        )
        self._membership = Membership(
            name=settings.name,
            zone=settings.zone,
            incarnation=self._incarnation,
            peers=self._peers,
            loop=self._loop,
            seeds=dict(settings.peers),
            heartbeat_s=settings.peer_heartbeat_s,
            epoch=self._store_epoch,
            cores=settings.cores,
        )
        self._store_epoch.on_restore(self._membership.send_heartbeats)
        self._broadcast = Broadcast(peers=self._peers, targets=self._membership.broadcast_targets)

    def _make_engine_client(self):
        self._tunnels = TunnelClient(
            name=self._settings.name,
            members=lambda: self._membership.view.members,
            address_of=self._peers.address_of,
            loop=self._loop,
        )
        self._connector = PathConnector(
            paths=EnginePaths(clock=self._loop.time),
            tunnels=self._tunnels,
            loop=self._loop,
            count=self._metrics.count,
        )
        self._tunnel_server = TunnelServer(
            address_of=lambda engine: None if self._in_force is None else self._entry.usable_address(engine),
            is_member=lambda router: router in self._membership.view.all_members,
            is_lost=self._connector.is_lost,
            count=self._metrics.count,
        )
        self._peers.serve_tunnels(self._tunnel_server.serve)
        self._membership.on_view_change(lambda view: self._tunnel_server.close_departed(view.all_members))
        self._answer_memory = AnswerMemory(limit_bytes=answer_memory_bytes(self._settings.memory_mb))
        self._engine_client = EngineClient(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            ended_call=self._adapter.ended_call,
            connector=self._connector,
            memory=self._answer_memory,
            may_send=lambda engine: self._entry.is_available(engine),
        )

    def _make_configuration(self):
        self._peer_configuration = PeerConfiguration(
            peers=self._peers,
            members=self._other_members,
            in_force=lambda: self._configuration.in_force,
            confirmed_age_s=lambda: self._configuration.confirmed_age_s(),
        )
        readers = self._make_readers()
        self._configuration = Configuration(
            store=self._store,
            parse=self._adapter.parse,
            on_change=self._apply_configuration,
            query_peers=self._peer_configuration.fetch,
            executor=self._parsing,
            location=self._adapter.location,
            readers=readers,
            request_confirmation=self._peer_configuration.request_confirmation,
            poll_interval_s=self._settings.configuration_poll_s,
            epoch=self._store_epoch,
        )
        self._engine_list = None
        self._running_time = RunningTime(clock=self._loop.time)
        if self._adapter.engine_kind is not None:
            self._engine_list = EngineList(
                store=self._store,
                kind=self._adapter.engine_kind,
                read_entry=self._adapter.read_engine,
                on_change=self._apply_engine_list,
                clock=self._loop.time,
                return_grace_s=self._settings.engine_return_grace_s,
                relay=None if readers is None else self._make_engine_relay(readers),
                running_s=self._running_time.running_s,
            )
        self._epoch_note = None
        if readers is not None and self._adapter.epoch_kind is not None:
            self._epoch_note = EpochNote(
                store=self._store,
                kind=self._adapter.epoch_kind,
                epoch=self._store_epoch,
                is_writer=lambda: readers.reads_store,
            )
        self._vm_list = VMList(
            store=self._store,
            on_change=self._apply_vm_list,
            interval_s=self._settings.vm_list_interval_s,
            settled_s=self._settings.vm_list_settled_s,
        )
        self._store_epoch.on_restore(self._vm_list.resume_fast_polling)
        self._store_epoch.on_restore(lambda: self._metrics.count("store_returns"))
        self._membership.on_generation(
            lambda peer, generation: self._configuration.observe_generation(generation, peer)
        )
        self._membership.on_view_change(self._fail_queries_of_departed)
        self._membership.on_view_change(lambda view: self._watch_engines())
        self._membership.on_trusted(self._check_initialized)

    def _make_readers(self):
        # Where reads may be stale, a reader's report does not prove what the store holds now.
        if not self._adapter.shares_confirmations:
            return None
        return StoreReaders(name=self._settings.name, members=lambda: self._membership.view.members)

    def _make_engine_relay(self, readers):
        limits = RelayLimits(propagation_limit_s=self._settings.engine_leaving_ms / MS_PER_S)
        return EngineRelay(peers=self._peers, readers=readers, limits=limits)

    def _make_scheduling(self):
        name = self._settings.name
        self._directory = Directory(
            name=name,
            membership=self._membership,
            peers=self._peers,
            loop=self._loop,
            deliver_to_scheduler=lambda cell, message: self._schedulers.deliver(cell, message),
            deliver_to_entry=lambda message: self._entry.on_scheduler_message(message),
            register=lambda cell: self._entry.register(cell),
            cells=self._cells,
            set_members=lambda names: self._schedulers.set_members(names),
            begin_cell=lambda cell: self._schedulers.begin(cell),
            features=self._features_in_force,
        )
        self._schedulers = SchedulerSet(
            clock=self._loop.time,
            entries=self._directory.entry_link,
            runs_outlive_routers=self._adapter.ended_call is not None,
            retry_limits=self._retry_limits,
            features=self._features_in_force,
            needs_version=lambda service: service in self._resumable_services(),
        )
        self._schedulers.set_members(self._membership.view.all_members)
        self._crashes = CrashWatch(
            table=CrashTable(clock=self._loop.time, reporter=name),
            detector=CrashDetector(clock=self._loop.time),
            broadcast=self._broadcast.send,
            parts=PartTable(clock=self._loop.time),
            clock=self._loop.time,
        )
        self._broadcast.on(CrashReport, key=lambda report: report.incident, handler=self._crashes.merge)
        self._broadcast.on(CrashClearance, key=lambda clearance: clearance, handler=self._crashes.merge_clearance)
        self._peers.on_reconnect(self._send_crash_reports)
        self._make_ledger()
        self._make_rollouts()
        self._make_stream_versions()
        self._entry = Entry(
            name=name,
            schedulers=self._directory.scheduler_link,
            claims=self._ledger,
            crashes=self._crashes,
            declaration=self._declaration,
            loop=self._loop,
            retry_window_s=lambda: self._settings.retry_window_s,
            count=self._metrics.count,
            zone=self._settings.zone,
            features=self._features_in_force,
            routers=self._directory.routers_sharing,
            reserved_engines=self._reserved_engines,
            streams=self._stream_versions,
        )
        self._reports = EngineReports(
            interval_s=self._settings.report_interval_s,
            loop=self._loop,
            on_report=self._handle_report,
            dialect=self._adapter.reports,
            connector=self._connector,
        )
        self._quotas = SharedQuotas(
            name=name,
            peers=self._peers,
            membership=self._membership,
            loop=self._loop,
            tolerance=self._tolerance,
            features=self._features_in_force,
        )

    def _make_rollouts(self):
        self._rollouts = None
        if self._adapter.rollout_kind is None or not self._settings.rollout_share:
            return
        self._rollouts = Coordinator(
            store=self._store,
            adapter=self._adapter,
            schedulers=self._schedulers,
            broadcast=self._broadcast,
            own_services=self._own_cells,
            engines=lambda: self._engine_list.by_name,
            share=self._settings.rollout_share,
            slack=self._settings.rollout_slack,
            clock=self._loop.time,
        )
        self._peers.on_reconnect(self._send_rollout_states)
        self._membership.on_view_change(lambda view: self._rollouts.refresh())

    def _make_stream_versions(self):
        self._stream_versions = None
        self._stream_retention_s = MAX_STREAM_RETENTION_S
        if self._adapter.version_kind is None:
            return
        self._version_history = VersionHistory(clock=self._loop.time, retention_s=lambda: self._stream_retention_s)
        self._version_note = VersionNote(
            store=self._store,
            kind=self._adapter.version_kind,
            history=self._version_history,
            own_services=self._own_resumable_services,
            epoch=self._store_epoch,
            clock=self._loop.time,
            on_check=self._hold_unnoted_engines,
        )
        self._stream_store = StreamStore(
            store=self._store,
            kind=self._adapter.stream_kind,
            clock=self._loop.time,
            retention_s=lambda: self._stream_retention_s,
            count=self._metrics.count,
        )
        self._store_epoch.on_restore(self._stream_store.write_again)
        self._stream_versions = StreamVersions(
            name=self._settings.name,
            peers=self._peers,
            members=lambda: self._membership.view.members,
            clock=self._loop.time,
            retention_s=lambda: self._stream_retention_s,
            history=self._version_history,
            note=self._version_note,
            store=self._stream_store,
            list_age_s=lambda: self._engine_list.proof_age_s,
            count=self._metrics.count,
        )
        self._membership.on_view_change(lambda view: self._stream_versions.update_members())

    def _update_stream_versions(self, declaration):
        limits_ms = [route.timeout_ms for route in declaration.host_routes if route.resumable]
        retention_s = STREAM_RETENTION_FACTOR * max(limits_ms, default=0) / MS_PER_S
        self._stream_retention_s = min(MAX_STREAM_RETENTION_S, retention_s)
        if self._engine_list.is_known:
            self._version_history.update(declaration.engines_by_name.values())
            self._stream_versions.update_services(declaration.services_by_name)
            self._hold_unnoted_engines()
            self._version_note.refresh()

    def _hold_unnoted_engines(self):
        """Keep streams from engines whose version the note doesn't name yet, where others can serve meanwhile."""
        engines_by_service = {}
        for engine in self._engine_list.by_name.values():
            if not engine.leaving:
                engines_by_service.setdefault(engine.service, []).append(engine)
        own = self._own_resumable_services()
        for service, engines in engines_by_service.items():
            unnoted = self._version_note.unnoted(service) if service in own else frozenset()
            names = frozenset(engine.name for engine in engines if engine.version in unnoted)
            # The note can't be written while the store is away: most of the engines must not wait for it.
            self._schedulers.set_unnoted(service, names if 2 * len(names) <= len(engines) else frozenset())

    def _reserved_engines(self, service, engines):
        return frozenset() if self._rollouts is None else self._rollouts.unproven_engines(service, engines)

    def _make_ledger(self):
        self._ledger = Ledger(
            name=self._settings.name,
            incarnation=str(self._incarnation),
            store=self._store,
            owner_of=lambda shard: self._rendezvous.choose(key=shard, members=self._membership.view.members) or "",
            query_peer=self._query_peer,
            shards=lambda: self._declaration().ledger_shards,
            retention_s=lambda: self._declaration().ledger_retention_s,
            live_routers=lambda: len(self._membership.view.all_members),
        )
        for question in (ClaimAsk, SettleAsk, NonceAsk):
            self._peers.on(question, lambda peer, message, cell: self._ledger.handle(message))

    def _make_servers(self):
        settings = self._settings
        limits = CallerLimits(held=max_held_requests(settings.affordable_caller_threads), body_bytes=DEFAULT_BODY_BYTES)
        self._callers = CallersServer(
            name=f"{settings.name}-{self._incarnation}",
            address=split_address(settings.callers_address),
            directory=lambda: self._in_force,
            submit=lambda request, caller: self._entry.submit(request, caller),
            post=lambda request_id, event: self._entry.post(request_id, event),
            engine_client=self._engine_client,
            loop=self._loop,
            limits=limits,
            metrics=self._metrics,
            ready=self.not_ready,
            threads=settings.affordable_caller_threads,
            max_body_bytes=settings.max_body_bytes,
            max_header_bytes=settings.max_header_bytes,
            start_hold_s=settings.start_hold_s,
            has_alternatives=lambda: self._is_initialized and len(self._membership.view.members) > 1,
            listener=self._listener,
            make_dialect=lambda **parts: self._adapter.make_dialect(
                key_proof=self._key_proof, quotas=self._quotas.accounts, **parts
            ),
        )
        addresses = [settings.admin_address, settings.metrics_address]
        self._admins = [self._make_admin(address) for address in addresses if address is not None]

    def _make_admin(self, address):
        return AdminServer(
            address=split_address(address),
            ready=self.not_ready,
            state=self.state,
            metrics=self._metrics,
            loop=self._loop,
        )

    # Lifecycle.

    async def start(self):
        """Start all components; the router is ready once a configuration is in force.

        If one of them cannot start (for example, its address is in use), those already started are stopped again.
        """
        try:
            await self._start_parts()
        except BaseException:
            await self._exit_stack.aclose()
            raise
        logger.bind(name=self._settings.name, zone=self._settings.zone).info("router started")

    async def _start_parts(self):
        self._exit_stack.callback(self._parsing.shutdown, wait=False)
        self._store.start()
        self._exit_stack.callback(self._store.close)
        self._engine_client.start()
        self._exit_stack.callback(self._engine_client.close)
        for admin in self._admins:
            admin.start()
            self._exit_stack.push_async_callback(self._in_thread, admin.close)
        await self._peers.start()
        self._exit_stack.push_async_callback(self._peers.close)
        self._exit_stack.push_async_callback(self._tunnels.close)
        await self._membership.start()
        self._exit_stack.push_async_callback(self._membership.close)
        self._announcement = self._announce()
        self._vm_list.start()
        self._exit_stack.push_async_callback(self._vm_list.close)
        self._configuration.start()
        self._exit_stack.push_async_callback(self._configuration.close)
        if self._engine_list is not None:
            self._engine_list.start()
            self._exit_stack.push_async_callback(self._engine_list.close)
        if self._epoch_note is not None:
            self._epoch_note.start()
            self._exit_stack.push_async_callback(self._epoch_note.close)
        if self._stream_versions is not None:
            self._version_note.start()
            self._exit_stack.push_async_callback(self._version_note.close)
            self._exit_stack.push_async_callback(self._stream_store.close)
        self._exit_stack.push_async_callback(self._ledger.close)
        if self._rollouts is not None:
            self._rollouts.start()
            self._exit_stack.push_async_callback(self._rollouts.close)
        self._reports.start()
        self._exit_stack.push_async_callback(self._in_thread, self._reports.close)
        self._tick_task = self._loop.create_task(self._tick())
        self._tick_task.add_done_callback(
            lambda ended: report_failed_task(ended, "the task that ticks the schedulers ended")
        )
        self._exit_stack.push_async_callback(_cancel_task, self._tick_task)
        self._exit_stack.push_async_callback(self._entry.close)
        self._callers.start()
        self._exit_stack.push_async_callback(self._in_thread, self._callers.close)

    def _announce(self):
        """Publish this router's addresses in the store, if routers discover each other through the store."""
        if self._adapter.router_kind is None:
            return None
        announcement = Announcement(
            store=self._store,
            kind=self._adapter.router_kind,
            name=self._settings.name,
            value={
                "role": ROUTER_ROLE,
                "zone": self._settings.zone,
                "address": self._peers.address,
                "admin": f"http://{self._settings.admin_address}",
                "state": "live",
            },
            epoch=self._store_epoch,
        )
        announcement.start()
        self._exit_stack.push_async_callback(announcement.close)
        return announcement

    async def drain(self):
        """Stop accepting work, hand the cells over and finish the requests in flight."""
        self._draining = True
        self._membership.set_draining()
        self._tunnel_server.drain()
        self._schedulers.stop_granting()
        try:
            async with asyncio.timeout(self._settings.max_drain_s):
                await self._callers.drain(
                    grace_s=self._settings.balancer_grace_s, plain_grace_s=self._settings.plain_grace_s
                )
                await self._entry.drained()
                await self._tunnel_server.drained()
        except TimeoutError:
            logger.error("requests were still in flight after {} s", self._settings.max_drain_s)
        if self._announcement is not None:
            await self._announcement.withdraw()

    async def close(self):
        """Stop all components in reverse order of their start."""
        await self._exit_stack.aclose()

    async def _in_thread(self, close):
        await self._loop.run_in_executor(None, close)

    def not_ready(self):
        """Return the reason why the balancer must not send requests now, or ``None``."""
        if self._draining:
            return Reason.DRAINING
        if not self._check_initialized():
            return Reason.NOT_READY
        return None

    def _check_initialized(self):
        # A starting router requests the view from its peers. They send the crashes that they know on the
        # same link ahead of the answer. If the router became ready without them, it would run again a
        # poison request that every other router refuses. Without peers, the view is trusted after a second.
        if not self._is_initialized:
            engines_known = self._engine_list is None or self._engine_list.is_known
            self._is_initialized = self._in_force is not None and engines_known and self._membership.trusted
            if self._is_initialized:
                self._callers.release_held()
        return self._is_initialized

    def state(self):
        """Return the complete state for the state dump."""
        return {
            "name": self._settings.name,
            "zone": self._settings.zone,
            "incarnation": self._incarnation,
            "draining": self._draining,
            "configuration": self._configuration.dump(),
            "membership": self._membership.dump(),
            "store_epoch": self._store_epoch.dump(),
            "vm_list": self._vm_list.dump(),
            "engine_list": None if self._engine_list is None else self._engine_list.dump(),
            "quotas": self._quotas.dump(),
            "peers": self._peers.dump(),
            "engine_paths": self._connector.dump() | {"tunnels_served": self._tunnel_server.dump()},
            "stewards_by_cell": self._directory.dump(),
            "placement": self._directory.dump_placement(),
            "stewards": self._schedulers.dump(),
            "entry": self._entry.dump(),
            "callers": self._callers.dump(),
            "answer_memory": self._answer_memory.dump(),
            "ledger": self._ledger.dump(),
            "crashes": self._crashes.dump(),
            "rollouts": None if self._rollouts is None else self._rollouts.dump(),
            "stream_versions": None if self._stream_versions is None else self._stream_versions.dump(),
        }

    # Callbacks between the components.

    def _declaration(self):
        return self._in_force.declaration

    def _cells(self):
        if self._in_force is None:
            return ()
        declaration = self._declaration()
        return {cell for service in declaration.services_by_name for cell in cells_of(declaration, service)}

    def _features_in_force(self):
        return self._features

    def _apply_configuration(self, in_force):
        self._membership.set_generation(in_force.generation)
        declaration = in_force.declaration
        self._set_features(features_in_force(self._settings, declaration))
        self._quotas.set_declaration(declaration)
        self._apply_declaration(in_force)
        if self._ledger_start_task is None and declaration.ledger_shards:
            # The ledger's layout depends on the declared number of shards.
            self._ledger_start_task = self._loop.create_task(self._ledger.start())

    def _set_features(self, features):
        if features != self._features:
            logger.bind(**{name: getattr(features, name) for name in features.__dataclass_fields__}).info(
                "features for tight targets in force"
            )
        self._features = features

    def _apply_engine_list(self, by_name):
        self._record_ended_engines({name: engine.start_ms for name, engine in by_name.items()})
        if self._configuration.in_force is not None:
            self._apply_declaration(self._configuration.in_force)

    def _record_ended_engines(self, start_ms_by_engine):
        """Tell the crash watch which engines left the list, or started again before their entry expired."""
        for name, start_ms in self._start_ms_by_engine.items():
            if start_ms_by_engine.get(name) != start_ms:
                self._crashes.record_engine_down(name)
        self._start_ms_by_engine = start_ms_by_engine

    def _apply_declaration(self, in_force):
        """Apply a declaration, with the engines that register themselves if the platform has such."""
        declaration = in_force.declaration
        if self._engine_list is not None:
            declaration = declaration.with_engines(self._engine_list.by_name)
        self._in_force = InForce(generation=in_force.generation, declaration=declaration, text=in_force.text)
        if self._rollouts is not None:
            # First, so that no engine is used before it is known whether its version is permitted.
            self._rollouts.refresh()
        if self._stream_versions is not None:
            self._update_stream_versions(declaration)
        self._connector.retain_engines(declaration.engines_by_name.keys())
        self._schedulers.set_declaration(declaration)
        self._directory.refresh()
        self._watch_engines()
        self._check_initialized()

    def _key_proof(self):
        # A key that is revoked while this router is cut off from the platform must not run requests
        # for longer than the operator allows. Any key may be the revoked one, so past the limit no key
        # is accepted: callers are asked to retry, and mostly reach another router.
        return KeyProof(age_s=self._configuration.confirmed_age_s(), limit_s=self._settings.key_freshness_s)

    def _tolerance(self):
        settings = self._settings
        return Tolerance(window_s=settings.quota_window_s, share=settings.quota_overage, units=settings.quota_slack)

    def _apply_vm_list(self, by_id):
        vms = tuple(by_id.values())
        self._membership.observe_vms(vms)
        self._schedulers.set_leaving(frozenset(vm.id for vm in vms if vm.role == ENGINE_ROLE and vm.leaving))

    def _watch_engines(self):
        """Poll the load of the language engines in the cells that this router schedules.

        A plain service has no load report: it could take the poll for a request.
        """
        if self._in_force is None:
            return
        own_cells = self._own_cells()
        declaration = self._declaration()
        polled = {
            engine.name: engine.address
            for engine in declaration.engines_by_name.values()
            if engine.cell in own_cells and declaration.services_by_name[engine.service].kind == LANGUAGE
        }
        self._reports.set_engines(polled)

    def _own_cells(self):
        """Return the cells that this router schedules."""
        return {cell for cell in self._cells() if self._directory.scheduler_of(cell) == self._settings.name}

    def _own_resumable_services(self):
        """Return the services with resumable streams that this router schedules."""
        return self._resumable_services() & self._own_cells()

    def _resumable_services(self):
        """Return the services with resumable streams."""
        if self._in_force is None:
            return set()
        routes = [route for route in self._declaration().host_routes if route.resumable]
        return {service for route in routes for service in route.weight_by_service}

    def _handle_report(self, report):
        match report:
            case LoadReport():
                self._schedulers.on_load_report(report)
            case LoadUnreachable(engine=engine):
                self._schedulers.on_unreachable(engine)
            case CacheEvents():
                self._schedulers.on_cache_events(report)

    def _retry_limits(self):
        settings = self._settings
        return RetryLimits(
            share=settings.retry_share,
            extra=settings.retry_extra,
            window_s=settings.retry_window_s,
            routers=self._membership.fleet_size(),
        )

    def _other_members(self):
        return [name for name in self._membership.view.all_members if name != self._settings.name]

    def _send_crash_reports(self, peer):
        # A router that has just started, or was cut off, knows of no crashes. Without these reports a
        # poison request that every other router refuses would crash engines again through that router.
        for report in self._crashes.reports():
            self._peers.send(peer, report)

    def _send_rollout_states(self, peer):
        # A router that has just started may become the scheduler and would send an untested version its full share.
        for word in self._rollouts.words():
            self._peers.send(peer, word)

    async def _query_peer(self, peer, message, timeout_s):
        if peer == self._settings.name:
            return await self._ledger.handle(message)
        if peer not in self._membership.view.all_members:
            return None
        answer = await self._peers.query(peer, message, timeout_s)
        return None if isinstance(answer, PeerUnreachable) else answer

    def _fail_queries_of_departed(self, view):
        # A query queued for a router that was killed would wait its full timeout for a connection that
        # is never made, and the caller behind it would wait as long.
        gone = self._known_members - set(view.all_members)
        self._known_members = set(view.all_members)
        for name in gone:
            self._peers.fail_queries(name)

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            self._running_time.running_s()
            if self._engine_list is not None:
                self._engine_list.check_proof()
            self._callers.deliver_deferred()
            self._schedulers.tick()
            self._crashes.tick()
            for cell, scheduler in self._schedulers.by_cell.items():
                self._directory.request_registrations(cell=cell, entries=scheduler.awaited_entries)
            if self._in_force is not None:
                self._quotas.tick()
                if self._stream_versions is not None:
                    self._stream_versions.update_services(self._declaration().services_by_name)
            if self._rollouts is not None:
                self._rollouts.tick()


async def _cancel_task(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
