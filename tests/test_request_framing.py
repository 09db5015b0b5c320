"""Where requests and answers end on a kept connection."""

import socket
import unittest

from tests.test_platform_router import WorldCase
from tests.utils.platform_world import KEY

HEAD = f"Host: service.example\r\nAuthorization: Token {KEY}\r\nDeadline-Milliseconds: 4000\r\n"
FOLLOWING = f"GET /status/1 HTTP/1.1\r\n{HEAD}Request-Id: smuggled\r\n\r\n"
LENGTHS = (
    "Content-Length: -1",
    "Content-Length: +0",
    "Content-Length: 0_0",
    "Content-Length: 0, 0",
    "Content-Length: 0\r\n 4",
    "Content-Length: 4\r\nContent-Length: 0",
    "Content-Length: 0\r\nContent-Length: 4",
    "Content-Length: 0\r\ncontent-length: 0",
    "Content-Length: 0\r\nTransfer-Encoding: chunked",
)
CHUNKS = ("-1\r\n", "+0\r\n", "0x0\r\n", "0_0\r\n", "\r\n", " 0\r\n", "0 1\r\n", "4\r\nbodyX\r\n", "1" * 5000 + "\r\n")


class FramingTest(WorldCase):
    # Guards against a request that is hidden behind another one whose end is not certain, and run.
    def test_nothing_behind_a_request_without_a_certain_end_is_read(self):
        requests = [f"{length}\r\n\r\n" for length in LENGTHS]
        requests += [f"Transfer-Encoding: chunked\r\n\r\n{chunk}\r\n" for chunk in CHUNKS]
        for number, rest in enumerate(requests):
            with self.subTest(rest=rest[:60]):
                first = f"POST /book/1 HTTP/1.1\r\n{HEAD}Request-Id: r{number}\r\n{rest}"
                answers = self.answers_until_closed(first + FOLLOWING)
                self.assertEqual(answers.count(b"HTTP/1.1 "), 1)
                self.assertTrue(answers.startswith((b"HTTP/1.1 400 ", b"HTTP/1.1 413 ")), answers[:60])
        self.assertEqual(self.world.runs(service="booking"), [])

    def test_sound_requests_share_a_connection(self):
        sound = (
            "Content-Length: 4\r\n\r\nbody",
            "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n2 \r\nbo\r\n002\r\ndy\r\n000\r\nX-Trailer: 1\r\n\r\n",
        )
        last = FOLLOWING.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
        for number, rest in enumerate(sound):
            with self.subTest(rest=rest):
                first = f"POST /book/1 HTTP/1.1\r\n{HEAD}Request-Id: r{number}\r\n{rest}"
                self.assertEqual(self.answers_until_closed(first + last).count(b"HTTP/1.1 200 "), 2)
        bodies = [seen["body"] for seen in self.world.runs(service="booking") if seen["request-id"] != "smuggled"]
        self.assertEqual(bodies, [b"body"] * len(sound))

    # Guards against the body of an answer to HEAD, which the caller takes for the beginning of the next answer.
    def test_answers_to_head_have_no_body(self):
        last = FOLLOWING.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
        for path, key, status in (("/nowhere/", KEY, 404), ("/status/1", "wrong", 401)):
            with self.subTest(status=status):
                first = f"HEAD {path} HTTP/1.1\r\n{HEAD.replace(KEY, key)}Request-Id: r1\r\n\r\n"
                answers = self.answers_until_closed(first + last)
                head, _, following = answers.partition(b"\r\n\r\n")
                self.assertTrue(head.startswith(b"HTTP/1.1 %d " % status), head)
                self.assertTrue(following.startswith(b"HTTP/1.1 200 "), following[:60])
        self.assertTrue(self.answers_until_closed(f"HEAD / HTTP/1.1\r\n{LENGTHS[0]}\r\n\r\n").endswith(b"\r\n\r\n"))

    def answers_until_closed(self, text):
        host, _, port = self.world.routers[0].values["callers_address"].partition(":")
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.sendall(text.encode())
            data = b""
            while piece := sock.recv(65536):
                data += piece
        return data


del WorldCase

if __name__ == "__main__":
    unittest.main()
