"""The report of ``wagtailtrestle status``: the accepted generation, and the one in force on each router."""

import asyncio
import http.client
import json

import urllib3

from wagtailtrestle.configuration.applying import NOTHING_ACCEPTED, read_accepted
from wagtailtrestle.contracts.outcomes import StoreDone, StoreUnavailable
from wagtailtrestle.membership.vm_list import ROUTER
from wagtailtrestle.record import record
from wagtailtrestle.short_response import limit_responses, read_body

FETCH_TIMEOUT_S = 2.0
MAX_STATE_BYTES = 64 * 1024 * 1024
MAX_CONCURRENT_FETCHES = 16


@record
class RouterInForce:
    """A router that answered.

    Parameters
    ----------
    id, zone : str
    generation : int
        Generation in force on the router; 0 if none.
    is_lagging : bool
        Whether the generation is below the accepted one.
    is_leaving : bool
    faults : tuple of str
        Why a newer generation was not put in force; empty if none was rejected.
    """

    id: str
    zone: str
    generation: int
    is_lagging: bool
    is_leaving: bool
    faults: tuple = ()


@record
class RouterUnreachable:
    """A router on the platform's list that returned no usable answer."""

    id: str
    zone: str
    is_leaving: bool
    detail: str


@record
class StatusReport:
    """The accepted declaration and what each router on the list has in force.

    Parameters
    ----------
    generation : int
        Generation accepted by the platform; 0 if there is none.
    apply_id : str
    applied_at : float
        Unix time.
    routers : tuple of RouterInForce or RouterUnreachable
        Sorted by id.
    """

    generation: int
    apply_id: str
    applied_at: float
    routers: tuple

    @property
    def is_in_force_everywhere(self):
        """Whether every router on the list that is not leaving has the accepted generation."""
        staying = [router for router in self.routers if not router.is_leaving]
        return all(isinstance(router, RouterInForce) and not router.is_lagging for router in staying)


def fetch_json(url):
    """Read a URL's JSON from a thread.

    Returns
    -------
    object or str
        The decoded JSON, or a text that describes the error.
    """
    try:
        parsed = urllib3.util.parse_url(url)
        connection = urllib3.connection.HTTPConnection(parsed.host, parsed.port, timeout=FETCH_TIMEOUT_S)
        limit_responses(connection, max_bytes=MAX_STATE_BYTES)
        try:
            connection.request("GET", parsed.request_uri, preload_content=False)
            response = connection.getresponse()
            body = read_body(response, max_bytes=MAX_STATE_BYTES)
        finally:
            connection.close()
        return json.loads(body) if response.status == 200 else f"HTTP {response.status}"
    except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError) as error:
        return f"{type(error).__name__}: {error}"


async def collect_status(*, store, fetch=fetch_json):
    """Query the platform and every router on its list.

    Parameters
    ----------
    store : ObjectStore
    fetch : callable
        ``fetch(url)`` runs on a thread; see :func:`fetch_json`.

    Returns
    -------
    StatusReport or StoreUnavailable
    """
    accepted, listed = await asyncio.gather(read_accepted(store=store), store.vms())
    if isinstance(accepted, StoreUnavailable):
        return accepted
    if not isinstance(listed, StoreDone):
        return StoreUnavailable(detail=f"the list of VMs can't be read: {getattr(listed, 'detail', '')}")
    routers = sorted((vm for vm in listed.value if vm.role == ROUTER), key=lambda vm: vm.id)
    slots = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)
    answers = await asyncio.gather(*(_fetch_router(vm, accepted.generation, fetch, slots) for vm in routers))
    return StatusReport(
        generation=accepted.generation,
        apply_id=accepted.apply_id,
        applied_at=accepted.applied_at if accepted is not NOTHING_ACCEPTED else 0.0,
        routers=tuple(answers),
    )


async def _fetch_router(vm, accepted_generation, fetch, slots):
    if not vm.admin:
        return RouterUnreachable(id=vm.id, zone=vm.zone, is_leaving=vm.leaving, detail="no admin address on the list")
    async with slots:
        state = await asyncio.to_thread(fetch, f"{_base_url(vm.admin)}/state")
    configuration = state.get("configuration") if isinstance(state, dict) else None
    if not isinstance(configuration, dict) or not isinstance(configuration.get("generation"), int):
        detail = state if isinstance(state, str) else "router state has no generation"
        return RouterUnreachable(id=vm.id, zone=vm.zone, is_leaving=vm.leaving, detail=detail)
    generation = configuration["generation"]
    return RouterInForce(
        id=vm.id,
        zone=vm.zone,
        generation=generation,
        is_lagging=generation < accepted_generation,
        is_leaving=vm.leaving,
        faults=_faults_above(generation, configuration.get("faults_by_generation")),
    )


def _faults_above(generation, faults_by_generation):
    """Faults of the newest declaration that a router rejected, if it is newer than the one in force there."""
    newer = {int(key): faults for key, faults in (faults_by_generation or {}).items() if int(key) > generation}
    return tuple(newer[max(newer)]) if newer else ()


def _base_url(admin):
    return admin.rstrip("/") if "://" in admin else f"http://{admin}"
