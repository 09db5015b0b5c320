"""Ports for processes of a local deployment."""

import random
import socket

HOST = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 31_999
"""Below the ports that the kernel gives to outgoing connections. A port picked from those and released
may be taken by any connection before its process listens, which then ends as its address is in use."""
MAX_TRIES = 1000


class PortReservation:
    """Ports that nobody else draws until this is closed, while the processes they are for listen on them.

    A process listens up to seconds after its port was drawn. Only looked at and let go of, the port could be
    drawn meanwhile for another process of the deployment, or of one started beside it: the later one of the
    two then ended as its address was in use, and who asked it for its state read the other's. Each port is
    therefore kept bound here. A bound port that nobody listens on refuses connections like a free one, and a
    process that allows the reuse of its address, as servers do, listens on it as if it were free.

    Parameters
    ----------
    sockets : sequence of socket.socket
        Bound, one for each port.

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
        """Let others draw these ports."""
        for bound in self._sockets:
            bound.close()


def reserve_ports(count) -> PortReservation:
    """Reserve ports that are free at this moment, all different.

    Raises
    ------
    OSError
        If so many can't be found.
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
    # Only now: set before, it would let two reservations bind the same port.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return bound
