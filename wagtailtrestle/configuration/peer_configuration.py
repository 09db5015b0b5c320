"""Asks other routers for the configuration they have in force, and answers when asked."""

import asyncio
import random

from wagtailtrestle.configuration.configuration import PeersAnswer
from wagtailtrestle.contracts.peer_messages import ConfigurationAsk, ConfigurationText

MAX_ASKED = 8
ASK_TIMEOUT_S = 1.0


class PeerConfiguration:
    """The configuration's side towards other routers.

    Parameters
    ----------
    peers : Peers
    members : Callable
        Names of the other routers that live.
    in_force : Callable
        The configuration in force here, or ``None``.
    jitter : random.Random
    """

    __slots__ = ("_peers", "_members", "_in_force", "_jitter")

    def __init__(self, *, peers, members, in_force, jitter=None):
        self._peers = peers
        self._members = members
        self._in_force = in_force
        self._jitter = jitter or random.Random()
        peers.on(ConfigurationAsk, self._answer)

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

    async def _ask_one(self, name):
        answer = await self._peers.ask(name, ConfigurationAsk(), ASK_TIMEOUT_S)
        return answer if isinstance(answer, ConfigurationText) else None

    def _answer(self, peer, message, cell):
        in_force = self._in_force()
        if in_force is None:
            return ConfigurationText(generation=0, text="")
        return ConfigurationText(generation=in_force.generation, text=in_force.text)
