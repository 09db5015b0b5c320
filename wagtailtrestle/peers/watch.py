"""Watches open links for silence and for want of use."""

import asyncio

from wagtailtrestle.contracts.peer_messages import Ping
from wagtailtrestle.peers.codec import encode

INTERVAL_S = 0.2
PING_AFTER_S = 0.35
SILENT_AFTER_S = 0.7
IDLE_CLOSE_S = 60.0
PAUSED_AFTER_S = 0.6


class LinkWatch:
    """Looks at all links at a short interval.

    A link nothing is sent on costs nothing; once something was sent and nothing came back
    for a while, the peer is asked for a sign of life on that very connection.

    Parameters
    ----------
    states : callable
        ``() -> list of PeerState``.
    on_silent, on_idle : callable
        ``(PeerState)``: its link is silent, or is not worth keeping.
    name : str
        This router; only who opened a link closes it for want of use.
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
            # After a pause of this process what peers sent still waits unread: it is this end that was silent.
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
        # A connection that something between the ends has lost track of stays open and carries nothing.
        # Without this the peer looks alive and every message to it vanishes; a new connection works.
        if waited_s > SILENT_AFTER_S:
            self._on_silent(state)
        elif waited_s > PING_AFTER_S and not state.link.pinged:
            state.link.pinged = True
            state.outbox.put(encode(Ping()))
