"""Writes log lines without ever blocking who logs, and keeps their volume bounded."""

import queue
import threading
import time

QUEUED_LINES = 4096
"""Lines held for a reader that is slow: some seconds of a busy router, about 2 MB."""
LINES_PER_S = 50.0
"""Lines of one kind written per second in the long run. A router at full size takes some 16 requests a
second, so that each of them has its line on any ordinary day; a flood is thinned."""
BURST_LINES = 200.0
BATCH_LINES = 256
"""Lines written by one call: saves calls, and bounds what is held beside the queue."""
CLOSE_S = 0.5
"""Longest wait at the end for what is queued: a reader that reads nothing must not hold the process."""
END = None


class LineBudget:
    """A token bucket for each kind of line, a kind being the place in the code that logs it.

    Parameters
    ----------
    now : callable
        Seconds.
    per_s, at_once : float
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
        """Lines of this kind left out since the last one written, or ``None`` to leave out this one too."""
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

    A standard output that nobody reads blocks whoever writes to it. Were that a request's thread
    or the event loop, the router would stop serving because of its logs; here it is a thread that
    does nothing else, and lines beyond a bounded queue are dropped and counted.

    Parameters
    ----------
    stream : file object
    """

    __slots__ = ("dropped", "_stream", "_lines", "_thread")

    def __init__(self, *, stream):
        self.dropped = 0
        self._stream = stream
        self._lines = queue.Queue(maxsize=QUEUED_LINES)
        self._thread = threading.Thread(target=self._write, name="logs", daemon=True)

    def start(self):
        """Begin to write."""
        self._thread.start()

    def close(self):
        """Write what is queued, for a bounded time."""
        try:
            self._lines.put(END, timeout=CLOSE_S)
        except queue.Full:
            return
        self._thread.join(CLOSE_S)

    def put(self, line):
        """Queue one line; never waits."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
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
                # The reader is gone: there is nobody left to tell.
                self.dropped += len(batch)
            if is_end:
                return
