"""Ports for the processes of a local deployment, reserved before any of them listens."""

import random
import socket
import subprocess
import sys
import unittest
from unittest import mock

from wagtailtrestle.demo.deployment import Deployment
from wagtailtrestle.standins.local_ports import HOST, reserve_ports

COUNT = 12
SEED = 5
DRAW = f"import random; random.seed({SEED})\nfrom wagtailtrestle.standins.local_ports import reserve_ports\n"


class LocalPortsTest(unittest.TestCase):
    # Guards against two processes getting the same port: a router ends with "The router could not listen:
    # Address already in use", or a request for a router's state reaches an engine. Ports are picked for all
    # processes, and each listens up to seconds later. A port that was only probed and released is still free
    # in between, so that it can be picked again for this deployment or for one started in parallel.

    def reserve(self, count=COUNT):
        reservation = reserve_ports(count)
        self.addCleanup(reservation.close)
        return reservation.ports

    def test_ports_are_not_reserved_twice_before_a_process_listens(self):
        random.seed(SEED)
        first = self.reserve()
        random.seed(SEED)
        self.assertEqual(set(first) & set(self.reserve()), set())

    def test_ports_are_not_reserved_by_another_process_meanwhile(self):
        random.seed(SEED)
        first = self.reserve()
        drawn = subprocess.run(
            [sys.executable, "-c", f"{DRAW}print(*reserve_ports({COUNT}).ports)"],
            capture_output=True,
            text=True,
            check=True,
        )
        second = {int(port) for port in drawn.stdout.split()}
        self.assertEqual(len(second), COUNT)
        self.assertEqual(set(first) & second, set())

    def test_process_listens_on_its_port_and_does_so_again(self):
        (port,) = self.reserve(1)
        for _ in range(2):
            with socket.create_server((HOST, port)) as server, socket.create_connection((HOST, port), timeout=1):
                server.accept()[0].close()

    def test_reserved_port_without_listener_refuses_connections(self):
        (port,) = self.reserve(1)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((HOST, port), timeout=1)

    def test_closed_reservation_releases_its_ports(self):
        random.seed(SEED)
        first = reserve_ports(COUNT)
        first.close()
        random.seed(SEED)
        self.assertEqual(self.reserve(), first.ports)


class StateOfAnotherProcessTest(unittest.TestCase):
    def test_failed_state_request_raises_its_error(self):
        # A router whose event loop is busy answers a state request with 503. If that body were read as the
        # state, the error would be a missing key, which points to a fault in the state instead.
        deployment = Deployment(directory="unused", document={})
        answer = mock.Mock(status=503, data=b'{"error": "the event loop gave no state"}')
        with mock.patch("urllib3.request", return_value=answer), self.assertRaisesRegex(RuntimeError, "503.*no state"):
            deployment.get("http://127.0.0.1:1/state")


if __name__ == "__main__":
    unittest.main()
