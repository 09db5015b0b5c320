"""Decoding of chunked bodies, whatever pieces they arrive in."""

import unittest

from urllib3.exceptions import ProtocolError

from wagtailtrestle.engines.chunked_body import MAX_LINE_BYTES, ChunkedDecoder

BODY = b"5\r\nfirst\r\n6;name=value\r\nsecond\r\n0\r\nTrailer: 1\r\n\r\n"


class ChunkedDecoderTest(unittest.TestCase):
    def test_pieces_of_every_size_give_the_same_data(self):
        # A size line, a line end or a chunk that is divided between two reads must not add or lose a byte.
        for size in range(1, len(BODY) + 1):
            decoder = ChunkedDecoder()
            data = b"".join(decoder.feed(BODY[at : at + size]) for at in range(0, len(BODY), size))
            self.assertEqual((data, decoder.is_complete), (b"firstsecond", True), size)

    def test_a_body_that_is_cut_off_is_not_complete(self):
        # An answer without its last chunk must not be taken for a complete one.
        for end in range(BODY.index(b"0\r\n") + 2):
            decoder = ChunkedDecoder()
            decoder.feed(BODY[:end])
            self.assertFalse(decoder.has_last_chunk, end)

    def test_invalid_sizes_are_rejected(self):
        # Bytes that are not chunked coding must end the run, not be forwarded, and not fill the memory.
        for data in (b"five\r\n", b"\r\n", b"-5\r\nfirst\r\n", b"1" * (MAX_LINE_BYTES + 1)):
            with self.assertRaises(ProtocolError):
                ChunkedDecoder().feed(data)
