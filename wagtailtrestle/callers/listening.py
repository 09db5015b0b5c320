"""The socket on which callers are listened to, opened before there is a server to serve it."""

import socket

BACKLOG = 512
"""Connections the kernel accepts ahead of the server: those of a second at 500 a second."""
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
WRITE_TIMEOUT_MS = 20_000


def listen(address):
    """Bind and listen at once, with options that accepted connections inherit.

    A router that starts reads its modules for a third of a second. Without a listener the kernel
    resets every connection of that time, and a caller that comes back once has spent its return
    on it; with one they wait in the backlog until the server takes them.

    Parameters
    ----------
    address : tuple of (str, int)

    Raises
    ------
    OSError
        If the address can't be listened on.
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
    """What to tell an operator whose router got no listener."""
    return f"The router could not listen: {error}. Check the addresses in its settings."


def set_options(sock, *, is_port_given):
    """Set what the listener and its connections need."""
    if is_port_given:
        # A port that a killed process held a moment ago is free for its successor.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # A caller's VM that vanishes sends no end of connection: without these its thread
    # and its run would be held until the deadline.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, WRITE_TIMEOUT_MS)
