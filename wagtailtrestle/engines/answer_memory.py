"""Memory of a process for large answers of engines, shared by all runs."""

import mmap
import threading
import time

SMALL_ANSWER_BYTES = 65_536
"""Size up to which an answer needs no reservation: the number of threads bounds the memory of small ones."""
MAX_ANSWER_BYTES = 32 * 1024 * 1024
DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024
MEMORY_SHARE = 0.2
"""Share of the process's memory that large answers may take."""
BYTES_PER_MB = 1_000_000


class AnswerTooLong(Exception):
    """The answer has, or declares, more bytes than allowed."""


class AnswerMemoryFull(Exception):
    """No memory for the rest of the answer became free in time."""


def answer_memory_bytes(memory_mb) -> int:
    """Return the bytes for large answers of a process with ``memory_mb``, 0 if that is unknown."""
    if not memory_mb:
        return DEFAULT_MEMORY_BYTES
    return max(MAX_ANSWER_BYTES, int(memory_mb * BYTES_PER_MB * MEMORY_SHARE))


class AnswerBuffer:
    """Collects an answer's pieces without holding them twice.

    A large answer gets a mapping of its own, which the system takes back at once. Blocks of the heap of such sizes
    mostly stay with the process once freed, in the arenas of its threads.

    Parameters
    ----------
    length : int or None
        The answer's declared length.

    Attributes
    ----------
    size : int
    """

    __slots__ = ("size", "_length", "_small", "_mapping")

    def __init__(self, *, length=None):
        self.size = 0
        self._length = length
        self._small = bytearray()
        self._mapping = None

    def append(self, data):
        """Add the next piece."""
        end = self.size + len(data)
        if end <= SMALL_ANSWER_BYTES:
            self._small += data
        else:
            self._require(end)
            self._mapping[self.size : end] = data
        self.size = end

    def value(self) -> bytes | memoryview:
        """Return the answer."""
        if self._mapping is None:
            return bytes(self._small)
        return memoryview(self._mapping)[: self.size]

    def _require(self, size):
        if self._mapping is None:
            # A shared mapping, the default, would fail on access to what is added to it.
            flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
            self._mapping = mmap.mmap(-1, self._length or 2 * size, flags=flags)
            self._mapping[: self.size] = bytes(self._small)
        elif size > len(self._mapping):
            self._mapping.resize(2 * size)


class AnswerMemory:
    """Grants memory to the answers that are being read, and lets their readers wait for it.

    Readers that each hold a part of the memory could wait for each other forever. Memory is therefore only granted
    if all answers could still be read to their end one after the other (the banker's algorithm). Thread-safe.

    Parameters
    ----------
    limit_bytes : int
        At least ``MAX_ANSWER_BYTES``; small answers don't count.
    """

    __slots__ = ("_limit_bytes", "_large", "_changed", "_waits", "_peak_bytes")

    def __init__(self, *, limit_bytes=DEFAULT_MEMORY_BYTES):
        self._limit_bytes = limit_bytes
        self._large = set()
        self._changed = threading.Condition()
        self._waits = 0
        self._peak_bytes = 0

    def open(self):
        """Return a new ``AnswerHold`` for one request."""
        return AnswerHold(memory=self)

    def wake(self):
        """Let waiting readers check whether they have been cancelled."""
        with self._changed:
            self._changed.notify_all()

    def dump(self) -> dict:
        """Return plain data for the state dump."""
        with self._changed:
            return {
                "limit_bytes": self._limit_bytes,
                "used_bytes": sum(hold.size for hold in self._large),
                "peak_bytes": self._peak_bytes,
                "large_answers": len(self._large),
                "waits": self._waits,
            }

    def resize(self, hold, *, partial, missing, timeout_s, is_cancelled):
        """Change the size of the answer that ``hold`` is reading, once there is memory for it.

        Parameters
        ----------
        hold : AnswerHold
        partial, missing : int
            Bytes of the answer with the next piece, and the most that may follow it.
        timeout_s : float
        is_cancelled : callable

        Raises
        ------
        AnswerMemoryFull
            If there was none in time, or the run was cancelled meanwhile.
        """
        ends_at = None
        with self._changed:
            while not self._is_safe(hold, partial, missing):
                if ends_at is None:
                    ends_at = time.monotonic() + timeout_s
                    self._waits += 1
                left_s = ends_at - time.monotonic()
                if left_s <= 0 or is_cancelled():
                    raise AnswerMemoryFull("no memory for the rest of the answer")
                self._changed.wait(left_s)
            hold.partial, hold.missing = partial, missing
            if hold.size:
                self._large.add(hold)
            else:
                self._large.discard(hold)
            self._peak_bytes = max(self._peak_bytes, sum(each.size for each in self._large))

    def release(self, hold, *, kept=0):
        """Free what ``hold`` has beyond ``kept`` bytes of a complete answer."""
        with self._changed:
            hold.partial, hold.missing, hold.kept = 0, 0, kept
            if not kept:
                self._large.discard(hold)
            self._changed.notify_all()

    def _is_safe(self, hold, partial, missing):
        # A complete answer misses nothing: its memory becomes free once its caller has received it.
        needs = [(each.missing, each.size) for each in self._large if each is not hold]
        needs.append((missing, hold.kept + partial))
        free = self._limit_bytes - sum(size for _, size in needs)
        if free < 0:
            return False
        for missing_bytes, size in sorted(needs):
            if missing_bytes > free:
                return False
            free += size
        return True


class AnswerHold:
    """The memory of one request's answer over all of its runs; used by one thread.

    Attributes
    ----------
    kept : int
        Bytes of the last complete answer, until the request ends or another one replaces it.
    partial, missing : int
        Bytes of the answer that is being read, and the most that may follow.
    """

    __slots__ = ("kept", "partial", "missing", "_memory")

    def __init__(self, *, memory):
        self.kept = 0
        self.partial = 0
        self.missing = 0
        self._memory = memory

    @property
    def size(self):
        """Bytes held."""
        return self.kept + self.partial

    def grow(self, size, *, max_bytes, timeout_s, is_cancelled):
        """Wait until the answer that is being read may have ``size`` bytes.

        Parameters
        ----------
        size : int
        max_bytes : int
            The most that the answer may have.
        timeout_s : float
        is_cancelled : callable
            Whether the run was cancelled; see :meth:`AnswerMemory.wake`.

        Raises
        ------
        AnswerTooLong
        AnswerMemoryFull
        """
        if size > max_bytes:
            raise AnswerTooLong(f"the answer is longer than {max_bytes} bytes")
        self._memory.resize(
            self, partial=size, missing=max_bytes - size, timeout_s=timeout_s, is_cancelled=is_cancelled
        )

    def keep(self):
        """Keep the answer that was read, which replaces the one before."""
        if self.size:
            self._memory.release(self, kept=self.partial)

    def drop(self):
        """Free the memory of an answer that was not read to its end."""
        if self.partial:
            self._memory.release(self, kept=self.kept)

    def close(self):
        """Free all memory."""
        if self.size:
            self._memory.release(self)
