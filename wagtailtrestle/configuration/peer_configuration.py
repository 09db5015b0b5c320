"""Requests the configuration in force from other routers, and answers their requests."""

import asyncio
import random
import zlib

from loguru import logger

from wagtailtrestle.configuration.configuration import PeersAnswer
from wagtailtrestle.contracts.peer_messages import (
    ConfigurationAsk,
    ConfigurationText,
    Confirmation,
    ConfirmationAsk,
)

MAX_PEERS_QUERIED = 8
QUERY_TIMEOUT_S = 1.0
COMPRESSION_LEVEL = 6
"""zlib level: a declaration of 1,400 routes shrinks to a tenth, in a few milliseconds once for each generation.
Uncompressed, it occupies a link of 10 Mbit/s for seconds when all routers fetch it from the one that read it."""
CONFIRM_TIMEOUT_S = 0.3
"""A peer answers within a few milliseconds; after this time the platform itself is read."""


class PeerConfiguration:
    """Exchange of the configuration with other routers.

    Parameters
    ----------
    peers : Peers
    members : Callable
        Returns the names of the other live routers.
    in_force : Callable
        Returns the configuration in force here, or ``None``.
    confirmed_age_s : Callable
        Returns the seconds since the platform confirmed the configuration in force here, or ``None``.
    jitter : random.Random
    """

    __slots__ = ("_peers", "_members", "_in_force", "_confirmed_age_s", "_jitter", "_packed")

    def __init__(self, *, peers, members, in_force, confirmed_age_s=lambda: None, jitter=None):
        self._confirmed_age_s = confirmed_age_s
        self._peers = peers
        self._members = members
        self._in_force = in_force
        self._jitter = jitter or random.Random()
        self._packed = ConfigurationText(generation=0, packed=b"")
        peers.on(ConfigurationAsk, self._answer)
        peers.on(ConfirmationAsk, self._answer_confirmation)

    async def fetch(self, generation, preferred_peer=None):
        """Fetch the highest declaration of at least ``generation``, from ``preferred_peer`` or else a few routers."""
        if preferred_peer is not None:
            preferred = await self._fetch_from(preferred_peer)
            if preferred is not None and preferred.generation >= generation:
                return preferred
        names = list(self._members())
        # Complete declarations from all of 370 routers would flood the requester; a few are
        # sufficient, since a heartbeat already announced that the generation is available.
        queried = self._jitter.sample(names, min(MAX_PEERS_QUERIED, len(names)))
        answers = await asyncio.gather(*(self._fetch_from(name) for name in queried))
        held = [answer for answer in answers if answer is not None and answer.generation]
        best = max(held, key=lambda answer: answer.generation, default=None)
        if best is None or best.generation < generation:
            return PeersAnswer(answered=len(held))
        return PeersAnswer(answered=len(held), generation=best.generation, text=best.text)

    async def request_confirmation(self, reader):
        """Request from a router the age of its confirmation by the platform; a ``Confirmation`` or ``None``."""
        answer = await self._peers.query(reader, ConfirmationAsk(), CONFIRM_TIMEOUT_S)
        return answer if isinstance(answer, Confirmation) else None

    def _answer_confirmation(self, peer, message, cell):
        in_force = self._in_force()
        age_s = self._confirmed_age_s()
        if in_force is None or age_s is None:
            return Confirmation(generation=0, age_s=-1.0)
        return Confirmation(generation=in_force.generation, age_s=age_s)

    async def _fetch_from(self, name):
        answer = await self._peers.query(name, ConfigurationAsk(), QUERY_TIMEOUT_S)
        if not isinstance(answer, ConfigurationText):
            return None
        try:
            text = zlib.decompress(answer.packed).decode() if answer.generation else ""
        except (zlib.error, UnicodeDecodeError) as error:
            logger.bind(peer=name, problem=str(error)).error("a peer's declaration can't be decompressed")
            return None
        return PeersAnswer(answered=1, generation=answer.generation, text=text)

    def _answer(self, peer, message, cell):
        in_force = self._in_force()
        if in_force is None:
            return ConfigurationText(generation=0, packed=b"")
        if self._packed.generation != in_force.generation:
            packed = zlib.compress(in_force.text.encode(), COMPRESSION_LEVEL)
            self._packed = ConfigurationText(generation=in_force.generation, packed=packed)
        return self._packed
