"""Exchange of declarations among routers: fetched from the announcing peer, and compressed."""

import asyncio
import unittest
from types import SimpleNamespace

from wagtailtrestle.configuration.peer_configuration import MAX_PEERS_QUERIED, PeerConfiguration
from wagtailtrestle.contracts.peer_messages import ConfigurationAsk, ConfigurationText

NAMES = tuple(f"router-{number}" for number in range(24))
TEXT = "".join(
    f"{{name: route-{number}, host: h{number * 7919}.example, service: booking}}\n" for number in range(1400)
)


class Network:
    """Routers of which ``holders`` have a declaration; counts the requests and the bytes of the answers."""

    def __init__(self, *, holders, generation=5):
        self.queried = []
        self.sent_bytes = 0
        self.answer_by_name = {}
        self.by_name = {name: self._router(name, generation if name in holders else 0) for name in NAMES}

    def _router(self, name, generation):
        held = SimpleNamespace(generation=generation, text=TEXT) if generation else None

        def on(message_type, handler):
            if message_type is ConfigurationAsk:
                self.answer_by_name[name] = handler

        peers = SimpleNamespace(on=on, query=self._query)
        return PeerConfiguration(peers=peers, members=lambda: NAMES, in_force=lambda: held)

    async def _query(self, name, message, timeout_s):
        self.queried.append(name)
        answer = self.answer_by_name[name](None, message, "")
        self.sent_bytes += len(answer.packed)
        return answer


class PeerConfigurationTest(unittest.TestCase):
    def test_one_copy_is_fetched_from_the_announcing_peer(self):
        # One router gets a declaration of 1,400 routes and announces it to the others. If each of them fetched
        # it in full from eight routers, a hundred megabytes would cross the links of a fleet of 195.
        network = Network(holders=("router-3",))
        answer = asyncio.run(network.by_name["router-9"].fetch(5, "router-3"))
        self.assertEqual((answer.generation, answer.text), (5, TEXT))
        self.assertEqual(network.queried, ["router-3"])
        self.assertLess(network.sent_bytes, len(TEXT) / 5)

    def test_other_peers_are_queried_when_the_announcing_peer_has_no_declaration(self):
        # The announcing peer restarted meanwhile and has no declaration.
        network = Network(holders=NAMES[4:])
        answer = asyncio.run(network.by_name["router-9"].fetch(5, "router-3"))
        self.assertEqual(answer.generation, 5)
        self.assertEqual(len(network.queried), 1 + MAX_PEERS_QUERIED)

    def test_a_declaration_that_cannot_be_decompressed_is_no_answer(self):
        network = Network(holders=NAMES)
        network.answer_by_name = {
            name: lambda peer, message, cell: ConfigurationText(generation=5, packed=b"not packed") for name in NAMES
        }
        answer = asyncio.run(network.by_name["router-9"].fetch(5, "router-3"))
        self.assertEqual((answer.answered, answer.generation), (0, 0))


if __name__ == "__main__":
    unittest.main()
