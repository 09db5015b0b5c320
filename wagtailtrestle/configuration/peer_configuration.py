"""Asks other routers for the configuration they have in force, and answers when asked."""

import asyncio
import random

from wagtailtrestle.configuration.configuration import PeersAnswer
from wagtailtrestle.contracts.peer_messages import (
    ConfigurationAsk,
    ConfigurationText,
    Confirmation,
    ConfirmationAsk,
)

MAX_ASKED = 8
ASK_TIMEOUT_S = 1.0
CONFIRM_TIMEOUT_S = 0.3
"""A peer answers within a few milliseconds; past this the platform itself is asked."""


class PeerConfiguration:
    """The configuration's side towards other routers.

    Parameters
    ----------
    peers : Peers
    members : Callable
        Names of the other routers that live.
    in_force : Callable
        The configuration in force here, or ``None``.
    confirmed_age_s : Callable
        Seconds since the platform confirmed what is in force here, or ``None``.
    jitter : random.Random
    """

    __slots__ = ("_peers", "_members", "_in_force", "_confirmed_age_s", "_jitter")

    def __init__(self, *, peers, members, in_force, confirmed_age_s=lambda: None, jitter=None):
        self._confirmed_age_s = confirmed_age_s
        self._peers = peers
        self._members = members
        self._in_force = in_force
        self._jitter = jitter or random.Random()
        peers.on(ConfigurationAsk, self._answer)
        peers.on(ConfirmationAsk, self._confirm)

    async def ask(self, generation):
        """Ask a few routers; return the highest generation told, if at least ``generation``."""
        names = list(self._members())
        # Asking all of 370 routers for a whole declaration would flood the asker; a few
        # are enough since a heartbeat already told that the generation is about.
        asked = self._jitter.sample(names, min(MAX_ASKED, len(names)))
        answers = await asyncio.gather(*(self._ask_one(name) for name in asked))
        held = [answer for answer in answers if answer is not None and answer.generation]
        best = max(held, key=lambda answer: answer.generation, default=None)
        if best is None or best.generation < generation:
            return PeersAnswer(answered=len(held))
        return PeersAnswer(answered=len(held), generation=best.generation, text=best.text)

    async def ask_confirmation(self):
        """Ask one peer how lately the platform confirmed its configuration; a ``Confirmation`` or ``None``."""
        names = list(self._members())
        if not names:
            return None
        answer = await self._peers.ask(self._jitter.choice(names), ConfirmationAsk(), CONFIRM_TIMEOUT_S)
        return answer if isinstance(answer, Confirmation) else None

    def _confirm(self, peer, message, cell):
        in_force = self._in_force()
        age_s = self._confirmed_age_s()
        if in_force is None or age_s is None:
            return Confirmation(generation=0, age_s=-1.0)
        return Confirmation(generation=in_force.generation, age_s=age_s)

    async def _ask_one(self, name):
        answer = await self._peers.ask(name, ConfigurationAsk(), ASK_TIMEOUT_S)
        return answer if isinstance(answer, ConfigurationText) else None

    def _answer(self, peer, message, cell):
        in_force = self._in_force()
        if in_force is None:
            return ConfigurationText(generation=0, text="")
        return ConfigurationText(generation=in_force.generation, text=in_force.text)
