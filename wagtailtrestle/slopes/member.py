"""Peers and membership of one router as a process, which prints its view at each change.

Arguments: name, incarnation, own address, then ``name=address`` of each seed. Used by the
slopes and by tests that stop and kill real processes.
"""

import asyncio
import json
import sys

from wagtailtrestle.membership.membership import Membership
from wagtailtrestle.peers.peers_grpc import Peers


def _print_line(**values):
    print(json.dumps(values), flush=True)


async def run(name, incarnation, address, *seeds):
    """Run until the process is killed."""
    loop = asyncio.get_running_loop()
    peers = Peers(name=name, incarnation=int(incarnation), listen_address=address, loop=loop)
    membership = Membership(
        name=name,
        zone="zone-1",
        incarnation=int(incarnation),
        peers=peers,
        loop=loop,
        seeds=dict(seed.split("=") for seed in seeds),
    )
    membership.on_view_change(lambda view: _print_line(members=view.all_members))
    await peers.start()
    await membership.start()
    _print_line(address=peers.address)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(*sys.argv[1:]))
