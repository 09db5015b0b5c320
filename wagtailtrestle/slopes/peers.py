"""Cost of the traffic between peers: message pairs, heartbeats, links and views.

Both ends run in this process over loopback, so processor time is the sum of both ends.
"""

import asyncio
import gc
import time
import tracemalloc

from wagtailtrestle.contracts.messages import Granted, GrantRequest
from wagtailtrestle.contracts.peer_messages import Heartbeat, MemberState, ViewEvent
from wagtailtrestle.membership.member_table import MemberTable
from wagtailtrestle.membership.membership import HEARTBEAT_S
from wagtailtrestle.membership.partners import Ring
from wagtailtrestle.peers.peers_grpc import Peers
from wagtailtrestle.slopes.counting_relay import CountingRelay
from wagtailtrestle.slopes.fleet import idle_cost
from wagtailtrestle.slopes.slope import Slope

ROLE = "peers"
IN_FLIGHT = (1, 4, 16, 64)
BLOCK_COUNTS = (0, 32, 128, 512)
LINK_COUNTS = (1, 4, 8)
HELD_LINK_COUNTS = (8, 32, 64)
# Up to five routers all are partners of each other; with six to nine each has four partners; beyond that, two.
MESH_SIZES = (2, 4, 5)
SMALL_SIZES = (6, 8, 9)
RING_SIZES = (10, 14, 18)
MEMBER_COUNTS = (9, 90, 370)
PAIRS = 2_000
HEARTBEATS = 400
HEARTBEAT_PAUSE_S = 0.005
COUNTED_S = 3.0
SETTLE_S = 0.2
# An IPv4 and a TCP header with timestamps. Counted twice, as each segment is acknowledged by one without payload.
SEGMENT_HEADER_BYTES = 52


async def _start_peers(count, *, relayed=False):
    """Start one router's peers and ``count`` others without links; ``relayed`` puts a relay before each other."""
    loop = asyncio.get_running_loop()
    hub = Peers(name="hub", incarnation=1, listen_address="127.0.0.1:0", loop=loop)
    await hub.start()
    others, relays = [], []
    for number in range(count):
        other = Peers(name=f"peer-{number}", incarnation=1, listen_address="127.0.0.1:0", loop=loop)
        await other.start()
        if relayed:
            relay = CountingRelay(target=other.address)
            await relay.start()
            relays.append(relay)
            other.address = relay.address
        others.append(other)
    return hub, others, relays


async def _link(hub, others):
    hub.set_addresses({other.name: other.address for other in others})
    hub.keep_open({other.name for other in others})
    while not all(other.connected("hub") for other in others):
        await asyncio.sleep(0.01)


async def _start_linked_peers(count, *, relayed=False):
    """Start one router's peers, linked to ``count`` others."""
    hub, others, relays = await _start_peers(count, relayed=relayed)
    await _link(hub, others)
    return hub, others, relays


async def _close(hub, others, relays=()):
    for each in (*relays, hub, *others):
        await each.close()


def _request(blocks):
    return GrantRequest(
        request_id="router-1/0123456789abcdef",
        attempt=1,
        entry="router-1",
        service="service-1",
        cell="service-1-cell-1",
        team="team-1",
        tier=1,
        repeatable=True,
        prompt_tokens=64 * blocks,
        output_tokens=300,
        remaining_s=30.0,
        prefix_blocks=tuple(range(2**63, 2**63 + blocks)),
    )


async def pair_us(*, in_flight, blocks=32):
    """Return the processor time in µs, of both ends, of one grant request and its grant."""
    hub, others, _ = await _start_linked_peers(1)
    done = asyncio.Event()
    request = _request(blocks)
    answer = Granted(
        request_id=request.request_id,
        attempt=1,
        engine="engine-1",
        progress_deadline_s=1.0,
        first_token_deadline_s=2.0,
    )
    left = PAIRS

    def next_pair(peer, message, cell):
        nonlocal left
        left -= 1
        if left >= in_flight:
            hub.send("peer-0", request, cell=request.cell)
        elif left == 0:
            done.set()

    others[0].on(GrantRequest, lambda peer, message, cell: others[0].send(peer, answer))
    hub.on(Granted, next_pair)
    began = time.process_time()
    for _ in range(in_flight):
        hub.send("peer-0", request, cell=request.cell)
    await done.wait()
    used_s = time.process_time() - began
    await _close(hub, others)
    return used_s / PAIRS * 1e6


def _heartbeat():
    return Heartbeat(incarnation=1_700_000_000_000, version=3, generation=2_500, draining=False, view_digest=2**63)


async def heartbeat_us(links):
    """Return the processor time in µs, of both ends, of one heartbeat in a batch of its own, with ``links`` links."""
    hub, others, _ = await _start_linked_peers(links)
    for each in (hub, *others):
        each.on(Heartbeat, lambda peer, message, cell: None)
    began = time.process_time()
    for _ in range(HEARTBEATS // links):
        for other in others:
            hub.send(other.name, _heartbeat())
        await asyncio.sleep(HEARTBEAT_PAUSE_S)
    used_s = time.process_time() - began
    await _close(hub, others)
    return used_s / (HEARTBEATS // links * links) * 1e6


async def heartbeat_bytes_per_s(links):
    """Return the heartbeat bytes a second of one router with ``links`` links, sent and received, headers included."""
    hub, others, relays = await _start_linked_peers(links, relayed=True)
    for each in (hub, *others):
        each.on(Heartbeat, lambda peer, message, cell: None)
    for relay in relays:
        relay.reset()
    loop = asyncio.get_running_loop()
    began = loop.time()
    while loop.time() - began < COUNTED_S:
        for other in others:
            hub.send(other.name, _heartbeat())
            other.send("hub", _heartbeat())
        await asyncio.sleep(HEARTBEAT_S)
    elapsed_s = loop.time() - began
    payload = sum(relay.bytes_passed for relay in relays)
    headers = sum(relay.segments for relay in relays) * 2 * SEGMENT_HEADER_BYTES
    await _close(hub, others, relays)
    return (payload + headers) / elapsed_s


async def link_bytes(links):
    """Return the bytes held by one end of ``links`` open links: half of what both ends hold."""
    hub, others, _ = await _start_peers(links)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    await _link(hub, others)
    await asyncio.sleep(SETTLE_S)
    gc.collect()
    held = (tracemalloc.get_traced_memory()[0] - before) / 2
    tracemalloc.stop()
    await _close(hub, others)
    return held


def _table(members):
    table = MemberTable(name="router-0", zone="zone-0", incarnation=1, now=0.0)
    for number in range(1, members):
        event = ViewEvent(
            name=f"router-{number}",
            zone=f"zone-{number % 6}",
            address=f"10.0.{number // 256}.{number % 256}:7000",
            incarnation=1,
            version=0,
            state=MemberState.ALIVE,
        )
        table.apply(event, 0.0)
    return table


def view_change_ms(members):
    """Return the processor time in ms to rebuild the view, its digests and the partners of one router."""
    table = _table(members)
    began = time.process_time()
    rounds = 20
    for _ in range(rounds):
        view = table.view(1.0)
        table.digest()
        ring = Ring(names=view.all_members)
        ring.partners("router-0")
        ring.fingers("router-0")
    return (time.process_time() - began) / rounds * 1e3


def table_kb(members):
    """Return the memory in KB of one router's member table and view with ``members`` members."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = _table(members)
    view = table.view(1.0)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del view
    return held / 1024


def _measure_fleets(sizes, kind):
    costs = [(size, *idle_cost(size)) for size in sizes]
    points = [(size, cpu_ms) for size, cpu_ms, _ in costs]
    _print(f"processor time of an idle daemon's peers and membership, {kind}, ms a second", "routers", points)
    points = [(size, resident_mb) for size, _, resident_mb in costs]
    _print(f"resident memory of an idle daemon's peers and membership, {kind}, MB", "routers", points)


def _print(quantity, against, points):
    Slope(role=ROLE, quantity=quantity, against=against, points=points).print()


async def _measure_streams():
    points = [(count, await pair_us(in_flight=count)) for count in IN_FLIGHT]
    _print("processor time of a grant's message pair, both ends, us", "pairs in flight", points)
    points = [(count, await pair_us(in_flight=8, blocks=count)) for count in BLOCK_COUNTS]
    _print("processor time of a grant's message pair, both ends, us", "prefix blocks", points)
    points = [(count, await heartbeat_us(count)) for count in LINK_COUNTS]
    _print("processor time of one heartbeat, both ends, us", "links", points)
    points = [(count, await heartbeat_bytes_per_s(count)) for count in LINK_COUNTS]
    _print("heartbeat bytes a second of one router, both ways, TCP/IP headers added", "links", points)
    points = [(count, await link_bytes(count)) for count in HELD_LINK_COUNTS]
    _print("memory of one end of open links, bytes", "links", points)


def main():
    """Print the slopes of peers and membership."""
    asyncio.run(_measure_streams())
    _measure_fleets(MESH_SIZES, "full mesh")
    _measure_fleets(SMALL_SIZES, "four partners each")
    _measure_fleets(RING_SIZES, "two partners each")
    points = [(count, view_change_ms(count)) for count in MEMBER_COUNTS]
    _print("processor time of a change of view, ms", "members", points)
    points = [(count, table_kb(count)) for count in MEMBER_COUNTS]
    _print("memory of what is held about members, KB", "members", points)


if __name__ == "__main__":
    main()
