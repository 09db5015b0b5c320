"""Ports for processes of a local deployment."""

import random
import socket

HOST = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 31_999
"""Below the ports that the kernel gives to outgoing connections. A port picked from those and released
may be taken by any connection before its process listens, which then ends as its address is in use."""
MOST_TRIES = 1000


def free_ports(count):
    """Ports that are free at this moment, all different.

    Raises
    ------
    OSError
        If so many can't be found.
    """
    ports = set()
    for _ in range(MOST_TRIES):
        if len(ports) == count:
            break
        port = random.randint(FIRST_PORT, LAST_PORT)
        if _is_free(port):
            ports.add(port)
    if len(ports) < count:
        raise OSError(f"no {count} free ports between {FIRST_PORT} and {LAST_PORT}")
    return sorted(ports)


def free_port():
    """One port that is free at this moment."""
    return free_ports(1)[0]


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
        return True
