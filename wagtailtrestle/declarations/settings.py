"""Parsing and checks of a process's settings, which have a file of their own beside the declaration."""

from wagtailtrestle.capacity.retry_budget import RETRY_WINDOW_S
from wagtailtrestle.declarations.argument_types import Flag, HostPort, Integer, Name, Number, OneOf, Peer, Url
from wagtailtrestle.declarations.field_reader import open_mapping
from wagtailtrestle.declarations.yaml_source import Fault, FaultList, compose, read_file
from wagtailtrestle.record import record

DEFAULT_CALLER_THREADS = 128
DEFAULT_MAX_BODY_BYTES = 4_194_304
DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_DRAIN_TIMEOUT_S = 60.0
DEFAULT_PEER_HEARTBEAT_S = 0.3
DEFAULT_RETRY_SHARE = 0.1
"""One retry per ten successes: enough to cover single losses, too few to amplify a failure."""
DEFAULT_RETRY_EXTRA = 30.0
"""Three per router in ten seconds, in a fleet of ten routers, so that a service with little traffic can recover."""
DEFAULT_ENGINE_RETURN_GRACE_S = 2.0
DEFAULT_CONFIGURATION_POLL_S = 2.0
DEFAULT_REPORT_INTERVAL_S = 0.5
DEFAULT_VM_LIST_INTERVAL_S = 1.0
DEFAULT_ENGINE_LEAVING_MS = 2000.0
"""Engines usually serve for some seconds after they announce that they drain."""
DEFAULT_START_HOLD_S = 1.2
"""Twice the half second for which routers that were started together refused requests. After that something is wrong,
and another router is the better choice."""
DEFAULT_BALANCER_GRACE_S = 1.0
"""Within this time a balancer that probes at least once a second has noticed the drain."""
FRESHNESS_SHARE = 0.9
"""Share of the key revocation time for which a proof is valid; the rest covers the request's own transit time."""
DRAIN_SHARE = 0.84
"""Share of the stop grace period for which a process waits for requests in flight; shutting down takes 1.1 s."""
MIN_CALLER_THREADS = 4
BASE_MEMORY_MB = 64.0
"""Memory of a router without requests, after hours of use."""
CALLER_THREAD_MEMORY_MB = 0.2
"""Memory of one request in progress, with its thread and connections."""
OWN_ADAPTER = "own"
PLATFORM_ADAPTER = "platform"
ADAPTERS = (OWN_ADAPTER, PLATFORM_ADAPTER)
PLACEMENTS = ("hash", "capacity")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@record
class SettingsFaults:
    """All faults of a rejected settings file, with which the process does not start."""

    faults: tuple[Fault, ...]


class RouterSettings:
    """Settings of one router.

    Parameters
    ----------
    name : str
        Unique among the routers of the deployment.
    zone : str
        Availability zone.
    callers_address, peers_address, admin_address : str
        ``IP:PORT`` of the listeners for callers, other routers and operators.
    platform_url : str
    peers : tuple of (str, str)
        Name and peers address of routers to contact before the platform answers.
    caller_threads : int
        Largest number of callers' requests in progress.
    max_body_bytes, max_header_bytes : int
        Size limits of a caller's request.
    log_level : str
    log_json : bool
    drain_timeout_s : float
        Longest wait for requests in flight during a graceful stop.
    peer_heartbeat_s : float
        Time between two heartbeats to a peer.
    adapter : {"own", "platform"}
        Interface to callers, engines and the store: the native one, or that of the users' platform.
    metrics_address : str or None
        ``IP:PORT`` of a second listener for metrics and state.
    retry_share : float
        Retries allowed per success of a service within the window, over all routers.
    retry_extra : float
        Retries allowed in addition within the window, over all routers.
    retry_window_s : float
        Length of that window.
    key_revocation_ms : float
        Time after which a revoked key must not run any request, on any router; 0 for no such bound.
    stop_grace_s : float
        Time from SIGTERM until the process is killed; if 0, ``drain_timeout_s`` applies.
    quota_window_s : float
        Time window over which operators measure a team's use; 0 if they tolerate no excess.
    quota_overage : float
        Share of a quota by which it may be exceeded within that window.
    quota_slack : float
        Units by which any quota may be exceeded in addition.
    configuration_poll_s : float
        Interval between reads of the declaration, in addition to the watch on it.
    vm_list_interval_s : float
        Interval between reads of the list of VMs.
    vm_list_settled_s : float
        Interval once the list has not changed for some reads; 0 to keep ``vm_list_interval_s``.
    engine_leaving_ms : float
        Time within which every router must know that an engine drains.
    report_interval_s : float
        Interval at which the scheduler of a cell reads an engine's load report.
    balancer_grace_s : float
        How long a draining router still serves requests that the balancer sends it.
    start_hold_s : float
        Longest time for which requests are held that arrive before the router is ready; 0 to refuse them immediately.
    plain_grace_s : float
        How long a draining router still serves calls of plain services, if longer than ``balancer_grace_s``.
    engine_return_grace_s : float
        How long after an outage of the store an engine is kept that is missing from the list.
    rollout_share : float
        Share of a service's requests that an untested version may get; 0 where no rollouts are ordered.
    rollout_slack : float
        Requests that an untested version may get in addition.
    memory_mb : float
        Memory that this process may use; 0 if unknown.
    cpu_share : float
        Share of a processor core that this process may use; 0 if unknown.
    cpu_speed : float
        Speed of that core, as a multiple of a usual one.
    tight_target_ms : float
        The settings below take effect only while the configuration has a streaming route with a target to its first
        token of at most this; 0 for never. See ``capacity/features.py``.
    placement : {"hash", "capacity"}
        Whether schedulers and quota owners are chosen among all routers or among those with most capacity.
    tier_floor : float
        Share of a cell's work that each lower tier with waiting requests is entitled to.
    late_service : bool
        Whether requests that miss their target may wait on while their callers do.
    engine_match : bool
        Whether a request takes only engines on which it is predicted to finish in time.
    zone_cost_ms : float
        Cost of an engine in another zone, in the comparison of engines.
    direct_after_ms : float
        Time after which a plain call is dispatched without its silent scheduler; 0 for never.
    """

    __slots__ = (
        "name",
        "zone",
        "callers_address",
        "peers_address",
        "admin_address",
        "platform_url",
        "peers",
        "caller_threads",
        "max_body_bytes",
        "max_header_bytes",
        "log_level",
        "log_json",
        "drain_timeout_s",
        "peer_heartbeat_s",
        "adapter",
        "metrics_address",
        "retry_share",
        "retry_extra",
        "retry_window_s",
        "key_revocation_ms",
        "stop_grace_s",
        "quota_window_s",
        "quota_overage",
        "quota_slack",
        "configuration_poll_s",
        "vm_list_interval_s",
        "vm_list_settled_s",
        "engine_leaving_ms",
        "report_interval_s",
        "balancer_grace_s",
        "start_hold_s",
        "plain_grace_s",
        "engine_return_grace_s",
        "rollout_share",
        "rollout_slack",
        "memory_mb",
        "cpu_share",
        "cpu_speed",
        "tight_target_ms",
        "placement",
        "tier_floor",
        "late_service",
        "engine_match",
        "zone_cost_ms",
        "direct_after_ms",
    )

    def __init__(
        self,
        *,
        name,
        zone,
        callers_address,
        peers_address,
        admin_address,
        platform_url,
        peers=(),
        caller_threads=DEFAULT_CALLER_THREADS,
        max_body_bytes=DEFAULT_MAX_BODY_BYTES,
        max_header_bytes=DEFAULT_MAX_HEADER_BYTES,
        log_level="INFO",
        log_json=False,
        drain_timeout_s=DEFAULT_DRAIN_TIMEOUT_S,
        peer_heartbeat_s=DEFAULT_PEER_HEARTBEAT_S,
        adapter=OWN_ADAPTER,
        metrics_address=None,
        retry_share=DEFAULT_RETRY_SHARE,
        retry_extra=DEFAULT_RETRY_EXTRA,
        retry_window_s=RETRY_WINDOW_S,
        key_revocation_ms=0.0,
        stop_grace_s=0.0,
        quota_window_s=0.0,
        quota_overage=0.0,
        quota_slack=0.0,
        configuration_poll_s=DEFAULT_CONFIGURATION_POLL_S,
        vm_list_interval_s=DEFAULT_VM_LIST_INTERVAL_S,
        vm_list_settled_s=0.0,
        engine_leaving_ms=DEFAULT_ENGINE_LEAVING_MS,
        report_interval_s=DEFAULT_REPORT_INTERVAL_S,
        balancer_grace_s=DEFAULT_BALANCER_GRACE_S,
        start_hold_s=DEFAULT_START_HOLD_S,
        plain_grace_s=0.0,
        engine_return_grace_s=DEFAULT_ENGINE_RETURN_GRACE_S,
        rollout_share=0.0,
        rollout_slack=0.0,
        memory_mb=0.0,
        cpu_share=0.0,
        cpu_speed=1.0,
        tight_target_ms=0.0,
        placement="hash",
        tier_floor=0.0,
        late_service=False,
        engine_match=False,
        zone_cost_ms=0.0,
        direct_after_ms=0.0,
    ):
        self.name = name
        self.zone = zone
        self.callers_address = callers_address
        self.peers_address = peers_address
        self.admin_address = admin_address
        self.platform_url = platform_url
        self.peers = peers
        self.caller_threads = caller_threads
        self.max_body_bytes = max_body_bytes
        self.max_header_bytes = max_header_bytes
        self.log_level = log_level
        self.log_json = log_json
        self.drain_timeout_s = drain_timeout_s
        self.peer_heartbeat_s = peer_heartbeat_s
        self.adapter = adapter
        self.metrics_address = metrics_address
        self.retry_share = retry_share
        self.retry_extra = retry_extra
        self.retry_window_s = retry_window_s
        self.key_revocation_ms = key_revocation_ms
        self.stop_grace_s = stop_grace_s
        self.quota_window_s = quota_window_s
        self.quota_overage = quota_overage
        self.quota_slack = quota_slack
        self.configuration_poll_s = configuration_poll_s
        self.vm_list_interval_s = vm_list_interval_s
        self.vm_list_settled_s = vm_list_settled_s
        self.engine_leaving_ms = engine_leaving_ms
        self.report_interval_s = report_interval_s
        self.balancer_grace_s = balancer_grace_s
        self.start_hold_s = start_hold_s
        self.plain_grace_s = plain_grace_s
        self.engine_return_grace_s = engine_return_grace_s
        self.rollout_share = rollout_share
        self.rollout_slack = rollout_slack
        self.memory_mb = memory_mb
        self.cpu_share = cpu_share
        self.cpu_speed = cpu_speed
        self.tight_target_ms = tight_target_ms
        self.placement = placement
        self.tier_floor = tier_floor
        self.late_service = late_service
        self.engine_match = engine_match
        self.zone_cost_ms = zone_cost_ms
        self.direct_after_ms = direct_after_ms

    @property
    def cores(self):
        """Processor capacity in usual cores; 0 if unknown."""
        return self.cpu_share * self.cpu_speed

    @property
    def affordable_caller_threads(self):
        """``caller_threads``, or fewer if the memory would not last for all of them to be in use."""
        if not self.memory_mb:
            return self.caller_threads
        affordable = int((self.memory_mb - BASE_MEMORY_MB) / CALLER_THREAD_MEMORY_MB)
        return min(self.caller_threads, max(MIN_CALLER_THREADS, affordable))

    @property
    def key_freshness_s(self):
        """How long a key may be used without new proof that it is valid; 0 for no such limit."""
        return FRESHNESS_SHARE * self.key_revocation_ms / 1000.0

    @property
    def max_drain_s(self):
        """Longest wait for requests in flight; shutting down takes another second."""
        return DRAIN_SHARE * self.stop_grace_s if self.stop_grace_s else self.drain_timeout_s


def load_router_settings(path):
    """Return the settings in the file at ``path``, or all its faults.

    Parameters
    ----------
    path : str

    Returns
    -------
    RouterSettings or SettingsFaults
    """
    content = read_file(path)
    if isinstance(content, str):
        fault = Fault(file=str(path), line=0, field="", problem=content, allowed="a readable settings file")
        return SettingsFaults(faults=(fault,))
    return parse_router_settings(content, file=str(path))


def parse_router_settings(text, *, file="settings"):
    """Return the settings in ``text``, or all its faults."""
    return check_settings(text, file=file, read=_read_router, settings_class=RouterSettings)


def check_settings(text, *, file, read, settings_class):
    """Check a settings text against the fields of one kind of process.

    Parameters
    ----------
    text : str or bytes
    file : str
        Name of the file to give in faults.
    read : callable
        Called with a ``MappingReader``; returns the values by field name.
    settings_class : type
        Class of the settings, instantiated with those values if there is no fault.
    """
    faults = FaultList(file=file)
    node = compose(text, faults=faults)
    reader = open_mapping(node, field="", faults=faults) if node is not None else None
    if reader is None:
        return SettingsFaults(faults=faults.sorted_by_line())
    values = read(reader)
    reader.close()
    if faults.faults:
        return SettingsFaults(faults=faults.sorted_by_line())
    return settings_class(**values)


def _read_router(reader):
    address = HostPort()
    values = {
        "name": reader.value("name", Name()),
        "zone": reader.value("zone", Name()),
        "callers_address": reader.value("callers_address", address),
        "peers_address": reader.value("peers_address", address),
        "admin_address": reader.value("admin_address", address),
        "platform_url": reader.value("platform_url", Url()),
        "peers": tuple(peer for peer, _ in reader.values("peers", Peer(), required=False)),
        "adapter": reader.value("adapter", OneOf(words=ADAPTERS), default=OWN_ADAPTER),
        "metrics_address": reader.value("metrics_address", address, default=None),
    }
    values |= _read_router_limits(reader)
    values |= _read_tight_targets(reader)
    _check_addresses_differ(reader, values)
    return values


def _read_router_limits(reader):
    seconds = Number(minimum=0, maximum=3600)
    return {
        "caller_threads": reader.value(
            "caller_threads", Integer(minimum=MIN_CALLER_THREADS, maximum=4096), default=DEFAULT_CALLER_THREADS
        ),
        "max_body_bytes": reader.value(
            "max_body_bytes", Integer(minimum=1024, maximum=67_108_864), default=DEFAULT_MAX_BODY_BYTES
        ),
        "max_header_bytes": reader.value(
            "max_header_bytes", Integer(minimum=1024, maximum=1_048_576), default=DEFAULT_MAX_HEADER_BYTES
        ),
        "log_level": reader.value("log_level", OneOf(words=LOG_LEVELS), default="INFO"),
        "log_json": reader.value("log_json", Flag(), default=False),
        "drain_timeout_s": reader.value("drain_timeout_s", seconds, default=DEFAULT_DRAIN_TIMEOUT_S),
        "peer_heartbeat_s": reader.value(
            "peer_heartbeat_s", Number(minimum=0.01, maximum=60), default=DEFAULT_PEER_HEARTBEAT_S
        ),
        "retry_share": reader.value("retry_share", Number(minimum=0, maximum=10), default=DEFAULT_RETRY_SHARE),
        "retry_extra": reader.value("retry_extra", Number(minimum=0, maximum=1_000_000), default=DEFAULT_RETRY_EXTRA),
        "retry_window_s": reader.value("retry_window_s", Number(minimum=0.1, maximum=3600), default=RETRY_WINDOW_S),
        "key_revocation_ms": reader.value("key_revocation_ms", Number(minimum=0, maximum=3_600_000), default=0.0),
        "stop_grace_s": reader.value("stop_grace_s", seconds, default=0.0),
        "quota_window_s": reader.value("quota_window_s", seconds, default=0.0),
        "quota_overage": reader.value("quota_overage", Number(minimum=0, maximum=10), default=0.0),
        "quota_slack": reader.value("quota_slack", Number(minimum=0, maximum=1e12), default=0.0),
        "configuration_poll_s": reader.value(
            "configuration_poll_s", Number(minimum=0.05, maximum=60), default=DEFAULT_CONFIGURATION_POLL_S
        ),
        "vm_list_interval_s": reader.value(
            "vm_list_interval_s", Number(minimum=0.05, maximum=60), default=DEFAULT_VM_LIST_INTERVAL_S
        ),
        "vm_list_settled_s": reader.value("vm_list_settled_s", Number(minimum=0, maximum=600), default=0.0),
        "engine_leaving_ms": reader.value(
            "engine_leaving_ms", Number(minimum=100, maximum=600_000), default=DEFAULT_ENGINE_LEAVING_MS
        ),
        "report_interval_s": reader.value(
            "report_interval_s", Number(minimum=0.05, maximum=60), default=DEFAULT_REPORT_INTERVAL_S
        ),
        "balancer_grace_s": reader.value("balancer_grace_s", seconds, default=DEFAULT_BALANCER_GRACE_S),
        "start_hold_s": reader.value("start_hold_s", seconds, default=DEFAULT_START_HOLD_S),
        "plain_grace_s": reader.value("plain_grace_s", seconds, default=0.0),
        "engine_return_grace_s": reader.value("engine_return_grace_s", seconds, default=DEFAULT_ENGINE_RETURN_GRACE_S),
        "rollout_share": reader.value("rollout_share", Number(minimum=0, maximum=1), default=0.0),
        "rollout_slack": reader.value("rollout_slack", Number(minimum=0, maximum=1_000_000), default=0.0),
    }


def _read_tight_targets(reader):
    milliseconds = Number(minimum=0, maximum=60_000)
    return {
        "memory_mb": reader.value("memory_mb", Number(minimum=0, maximum=1_000_000), default=0.0),
        "cpu_share": reader.value("cpu_share", Number(minimum=0, maximum=4096), default=0.0),
        "cpu_speed": reader.value("cpu_speed", Number(minimum=0.01, maximum=1000), default=1.0),
        "tight_target_ms": reader.value("tight_target_ms", milliseconds, default=0.0),
        "placement": reader.value("placement", OneOf(words=PLACEMENTS), default="hash"),
        "tier_floor": reader.value("tier_floor", Number(minimum=0, maximum=0.4), default=0.0),
        "late_service": reader.value("late_service", Flag(), default=False),
        "engine_match": reader.value("engine_match", Flag(), default=False),
        "zone_cost_ms": reader.value("zone_cost_ms", milliseconds, default=0.0),
        "direct_after_ms": reader.value("direct_after_ms", milliseconds, default=0.0),
    }


def _check_addresses_differ(reader, values):
    names_by_address = {}
    for name in ("callers_address", "peers_address", "admin_address", "metrics_address"):
        address = values[name]
        if address is None:
            continue
        other = names_by_address.setdefault(address, name)
        if other != name:
            reader.add_fault(name, f"is the same as {other}", "an address of its own")
