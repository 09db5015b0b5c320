"""Detects silent and idle links."""

import asyncio

from wagtailtrestle.contracts.peer_messages import Ping
from wagtailtrestle.peers.codec import encode

INTERVAL_S = 0.2
PING_AFTER_S = 0.35
SILENT_AFTER_S = 0.7
IDLE_CLOSE_S = 60.0
PAUSED_AFTER_S = 0.6


class LinkWatch:
    """Checks all links at a short interval.

    A link without traffic costs nothing. If nothing is received for a while after a message
    that expects a response, the peer is pinged on the same connection.

    Parameters
    ----------
    states : callable
        ``() -> list of PeerState``.
    on_silent, on_idle : callable
        ``(PeerState)``: its link is silent, or idle.
    name : str
        This router. Only the router that opened a link closes it when idle.
    loop : asyncio event loop
    """

    __slots__ = ("_loop", "_name", "_on_idle", "_on_silent", "_states")

    def __init__(self, *, states, on_silent, on_idle, name, loop):
        self._states = states
        self._on_silent = on_silent
        self._on_idle = on_idle
        self._name = name
        self._loop = loop

    async def run(self):
        """Watch until cancelled."""
        checked_at = self._loop.time()
        while True:
            await asyncio.sleep(INTERVAL_S)
            now = self._loop.time()
            # After a pause of this process the peers' messages are still unread: this end was silent, not the peers.
            was_paused = now - checked_at > PAUSED_AFTER_S
            checked_at = now
            for state in self._states():
                if state.link is not None and was_paused:
                    state.link.reset_silence(now)
                elif state.link is not None:
                    self._check(state, now)

    def _check(self, state, now):
        link = state.link
        if link.awaiting_since is not None:
            self._check_silence(state, now - link.awaiting_since)
        elif not state.kept and now - state.used_at > IDLE_CLOSE_S and link.dialed_by == self._name:
            self._on_idle(state)

    def _check_silence(self, state, waited_s):
        # A connection whose state a device between the ends has lost stays open but carries nothing. Without this
        # check the peer appears alive while every message to it is lost; a new connection works.
        if waited_s > SILENT_AFTER_S:
            self._on_silent(state)
        elif waited_s > PING_AFTER_S and not state.link.pinged:
            state.link.pinged = True
            state.outbox.put(encode(Ping()))
