"""Splitting a stream into complete events."""

import unittest

from wagtailtrestle.platform.events import EventFault, Events, EventSplitter


def event(number, text="x"):
    return f"id: {number}\ndata: {text}\n\n".encode()


class EventSplitterTest(unittest.TestCase):
    def setUp(self):
        self.splitter = EventSplitter(after_id=None)

    def test_incomplete_event_is_buffered(self):
        # The engine stops in the middle of an event. The fragment must not reach the caller: the engine
        # that resumes the stream sends the complete event, so the caller would read one and a half.
        data = event(1) + event(2)
        taken = self.splitter.feed(data[:-3])
        self.assertEqual(taken.data, event(1))
        self.assertTrue(self.splitter.has_partial_event)
        self.assertEqual(self.splitter.last_id, 1)

    def test_incomplete_event_is_completed_by_the_next_bytes(self):
        data = event(1)
        self.splitter.feed(data[:5])
        self.assertEqual(self.splitter.feed(data[5:]).data, data)
        self.assertFalse(self.splitter.has_partial_event)

    def test_duplicate_events_are_dropped(self):
        # The run is resumed on another engine, which repeats the last event. If it were forwarded,
        # the caller would read it twice.
        splitter = EventSplitter(after_id=2)
        taken = splitter.feed(event(2) + event(3))
        self.assertEqual((taken.data, taken.count), (event(3), 1))

    def test_a_missing_event_is_a_fault(self):
        # Data was lost between engine and router. If the rest were forwarded, the caller would take
        # a stream with a gap for complete.
        self.splitter.feed(event(1))
        self.assertIsInstance(self.splitter.feed(event(3)), EventFault)

    def test_an_event_without_an_id_passes(self):
        taken = self.splitter.feed(b"data: hello\n\n")
        self.assertEqual((taken.data, taken.count), (b"data: hello\n\n", 1))

    # Guards against a stream whose caller waits for good, as the id of an event can't be read.
    def test_an_id_of_thousands_of_digits_passes_as_none(self):
        data = event("9" * 5000)
        self.assertEqual(self.splitter.feed(data), Events(data=data, count=1))
        self.assertIsNone(self.splitter.last_id)

    def test_an_event_that_never_ends_is_a_fault(self):
        self.assertIsInstance(self.splitter.feed(b"data: " + b"x" * 2_000_000), EventFault)


if __name__ == "__main__":
    unittest.main()
