"""Questions to peers that wait for their answers."""

from wagtailtrestle.contracts.peer_messages import NoAnswer, PeerUnreachable


class PendingQueries:
    """Pairs questions with answers by number.

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
        """Number a question to ``peer``; return the number and the future of its answer."""
        number = self._next_number
        self._next_number += 1
        answer = self._loop.create_future()
        self._waiting_by_number[number] = (peer, answer)
        return number, answer

    def end(self, number):
        """Forget a question; a late answer to it is dropped."""
        del self._waiting_by_number[number]

    def answered(self, peer, number, message):
        """Take an answer; ``None`` stands for one of a type unknown here."""
        expected_peer, answer = self._waiting_by_number.get(number, (None, None))
        if expected_peer != peer or answer.done():
            return
        if message is None or type(message) is NoAnswer:
            message = PeerUnreachable(peer=peer, detail="the peer has no answer to this question")
        answer.set_result(message)

    def fail(self, peer, detail):
        """End all questions to a peer whose connection was lost: their answers can't come any more."""
        for expected_peer, answer in self._waiting_by_number.values():
            if expected_peer == peer and not answer.done():
                answer.set_result(PeerUnreachable(peer=peer, detail=detail))
