"""The listening socket for callers, opened before the server is created."""

import socket

BACKLOG = 512
"""Connections that the kernel queues for the server: those of one second at 500 per second."""
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
WRITE_TIMEOUT_MS = 20_000


def listen(address):
    """Bind and listen, with socket options that accepted connections inherit.

    A starting router imports its modules for a third of a second. Without a listener the kernel
    resets every connection during that time, which uses up the only retry of a caller that retries
    once; with one, connections wait in the backlog until the server accepts them.

    Parameters
    ----------
    address : tuple of (str, int)

    Raises
    ------
    OSError
        If listening on the address fails.
    """
    family, kind, protocol, _, full_address = socket.getaddrinfo(
        *address, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )[0]
    sock = socket.socket(family, kind, protocol)
    try:
        set_options(sock, is_port_given=address[1] != 0)
        sock.bind(full_address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def listen_error_message(error):
    """Return the message for an operator whose router can't listen."""
    return f"The router could not listen: {error}. Check the addresses in its settings."


def set_options(sock, *, is_port_given):
    """Set the socket options of the listener and its connections."""
    if is_port_given:
        # Allows binding a port whose previous process was killed just before.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # A caller's VM that fails doesn't close its connections: without keepalive and a write timeout,
    # the thread and the run would be occupied until the deadline.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, WRITE_TIMEOUT_MS)
