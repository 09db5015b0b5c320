"""Ports for processes of a local deployment."""

import random
import socket

HOST = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 31_999
"""The range lies below the kernel's ephemeral ports. An ephemeral port that was picked and released may be
used by any outgoing connection before its process listens, which then fails with "address in use"."""
MAX_TRIES = 1000


class PortReservation:
    """Reserves ports for processes of a deployment until it is closed.

    A process may start to listen seconds after its port was picked. If the port were only probed and released,
    it could meanwhile be picked for another process of this deployment or of one started in parallel: the
    second process then failed with "address in use", and a request for its state reached the first. Each port
    therefore stays bound here. A bound port without a listener refuses connections like a free one, and a
    process that sets SO_REUSEADDR, as servers do, can listen on it.

    Parameters
    ----------
    sockets : sequence of socket.socket
        One bound socket for each port.

    Attributes
    ----------
    ports : list of int
        In ascending order.
    """

    __slots__ = ("ports", "_sockets")

    def __init__(self, *, sockets):
        self._sockets = sockets
        self.ports = sorted(bound.getsockname()[1] for bound in sockets)

    def close(self):
        """Release the ports."""
        for bound in self._sockets:
            bound.close()


def reserve_ports(count) -> PortReservation:
    """Reserve ``count`` different ports that are free now.

    Raises
    ------
    OSError
        If not enough free ports are found.
    """
    sockets = []
    for _ in range(MAX_TRIES):
        if len(sockets) == count:
            return PortReservation(sockets=sockets)
        bound = _bind(random.randint(FIRST_PORT, LAST_PORT))
        if bound is not None:
            sockets.append(bound)
    PortReservation(sockets=sockets).close()
    raise OSError(f"no {count} free ports between {FIRST_PORT} and {LAST_PORT}")


def _bind(port):
    bound = socket.socket()
    try:
        bound.bind((HOST, port))
    except OSError:
        bound.close()
        return None
    # Set after bind: set before it, SO_REUSEADDR would let two reservations bind the same port.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return bound
