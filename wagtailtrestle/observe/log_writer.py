"""Writes log lines without blocking the logging thread, and limits their volume."""

import queue
import threading
import time

QUEUED_LINES = 4096
"""Lines buffered for a slow reader: some seconds of a busy router's logs, about 2 MB."""
LINES_PER_S = 50.0
"""Sustained rate of lines of one kind. A router at full size handles about 16 requests a second, so in
normal operation each of them is logged; only floods are limited."""
BURST_LINES = 200.0
BATCH_LINES = 256
"""Lines written by one call: reduces calls, and bounds the lines held outside the queue."""
CLOSE_S = 0.5
"""Longest wait on close for queued lines: a reader that reads nothing must not block the exit."""
END = None


class LineBudget:
    """Token buckets by kind of line, a kind being the source location that logs it.

    Parameters
    ----------
    now : callable
        Seconds.
    per_s, burst : float
    """

    __slots__ = ("_now", "_per_s", "_burst", "_lock", "_bucket_by_kind", "_left_out_by_kind")

    def __init__(self, *, now=time.monotonic, per_s=LINES_PER_S, burst=BURST_LINES):
        self._now = now
        self._per_s = per_s
        self._burst = burst
        self._lock = threading.Lock()
        self._bucket_by_kind = {}
        self._left_out_by_kind = {}

    def acquire(self, kind):
        """Return the lines of this kind left out since the last one written, or ``None`` to leave out this one."""
        now = self._now()
        with self._lock:
            level, at = self._bucket_by_kind.get(kind, (self._burst, now))
            level = min(self._burst, level + (now - at) * self._per_s)
            if level < 1.0:
                self._bucket_by_kind[kind] = (level, now)
                self._left_out_by_kind[kind] = self._left_out_by_kind.get(kind, 0) + 1
                return None
            self._bucket_by_kind[kind] = (level - 1.0, now)
            return self._left_out_by_kind.pop(kind, 0)


class LogWriter:
    """A thread that writes lines to a stream.

    Writing to a standard output that is not read blocks. In a request's thread or the event loop this
    would stop the router from serving, so a dedicated thread writes, and lines beyond a bounded queue
    are dropped and counted.

    Parameters
    ----------
    stream : file object
    """

    __slots__ = ("dropped", "_stream", "_lines", "_thread")

    def __init__(self, *, stream):
        self.dropped = 0
        self._stream = stream
        # A SimpleQueue, as a Queue locks and notifies in Python for each line.
        self._lines = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._write, name="logs", daemon=True)

    def start(self):
        """Start the writer thread."""
        self._thread.start()

    def close(self):
        """Write the queued lines, for a limited time."""
        self._lines.put(END)
        self._thread.join(CLOSE_S)

    def put(self, line):
        """Queue one line without blocking; the limit may be exceeded by one line per logging thread."""
        if self._lines.qsize() < QUEUED_LINES:
            self._lines.put(line)
        else:
            self.dropped += 1

    def _write(self):
        while True:
            batch = [self._lines.get()]
            while len(batch) < BATCH_LINES and not self._lines.empty():
                batch.append(self._lines.get_nowait())
            is_end = END in batch
            text = "".join(line + "\n" for line in batch if line is not END)
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader has closed the stream, so the error can't be reported.
                self.dropped += len(batch)
            if is_end:
                return
