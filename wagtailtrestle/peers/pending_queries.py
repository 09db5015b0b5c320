"""Queries to peers that wait for their answers."""

from wagtailtrestle.contracts.peer_messages import NoAnswer, PeerUnreachable


class PendingQueries:
    """Matches answers to queries by number.

    Parameters
    ----------
    loop : asyncio event loop
    """

    __slots__ = ("_loop", "_next_number", "_waiting_by_number")

    def __init__(self, *, loop):
        self._loop = loop
        self._next_number = 1
        self._waiting_by_number = {}

    def begin(self, peer):
        """Register a query to ``peer``; return its number and the future of its answer."""
        number = self._next_number
        self._next_number += 1
        answer = self._loop.create_future()
        self._waiting_by_number[number] = (peer, answer)
        return number, answer

    def end(self, number):
        """Remove a query; a late answer to it is dropped."""
        del self._waiting_by_number[number]

    def answered(self, peer, number, message):
        """Complete a query with its answer; ``None`` stands for one of a type unknown here."""
        expected_peer, answer = self._waiting_by_number.get(number, (None, None))
        if expected_peer != peer or answer.done():
            return
        if message is None or type(message) is NoAnswer:
            message = PeerUnreachable(peer=peer, detail="the peer has no answer to this question")
        answer.set_result(message)

    def fail(self, peer, detail):
        """Complete all queries to a peer with ``PeerUnreachable``, as their answers can no longer arrive."""
        for expected_peer, answer in self._waiting_by_number.values():
            if expected_peer == peer and not answer.done():
                answer.set_result(PeerUnreachable(peer=peer, detail=detail))
