"""One router's peers and membership as a process; prints its view at each change.

Arguments: name, incarnation, own address, then ``name=address`` of seeds.
"""

import asyncio
import json
import sys
import time

from wagtailtrestle.membership import Membership
from wagtailtrestle.peers_grpc import Peers


async def main(name, incarnation, address, *seeds):
    loop = asyncio.get_running_loop()
    peers = Peers(name=name, incarnation=int(incarnation), listen_address=address, loop=loop)
    membership = Membership(
        name=name,
        zone="z",
        incarnation=int(incarnation),
        peers=peers,
        loop=loop,
        seeds=dict(seed.split("=") for seed in seeds),
    )
    membership.on_view_change(lambda view: tell(view))
    await peers.start()
    await membership.start()
    await asyncio.Event().wait()


def tell(view):
    print(json.dumps({"at": time.monotonic(), "members": view.everyone}), flush=True)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
