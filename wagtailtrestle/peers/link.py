"""One stream to one peer: reader, writer and the state of the connection."""

import asyncio

from wagtailtrestle.generated import peers_pb2 as pb

FLUSH_INTERVAL_S = 0.002
RETIRE_AFTER_S = 1.0


class Link:
    """One established connection, open while :meth:`run` runs.

    Parameters
    ----------
    stream : grpclib stream of either end
    hello : Hello
        The peer's first message.
    dialed_by : str
        Name of the router that opened the connection.
    outbox : Outbox
        Outbox of the peer, shared by successive links.
    deliver : callable
        Called with ``(link, item)`` for each ``pb.Item`` received.
    loop : asyncio event loop
    """

    __slots__ = (
        "_deliver",
        "_loop",
        "_outbox",
        "_reader",
        "_stream",
        "_writer",
        "awaiting_since",
        "batches_received",
        "batches_sent",
        "closed",
        "dialed_by",
        "hello",
        "items_received",
        "items_sent",
        "last_received",
        "pinged",
        "retired",
        "up_since",
    )

    def __init__(self, *, stream, hello, dialed_by, outbox, deliver, loop):
        self._stream = stream
        self._outbox = outbox
        self._deliver = deliver
        self._loop = loop
        self._reader = None
        self._writer = None
        self.hello = hello
        self.dialed_by = dialed_by
        self.up_since = loop.time()
        self.last_received = self.up_since
        self.awaiting_since = None
        self.pinged = False
        self.closed = False
        self.retired = False
        self.batches_sent = self.batches_received = 0
        self.items_sent = self.items_received = 0

    async def run(self):
        """Carry items both ways until the connection ends or :meth:`reset`."""
        if self.closed:
            return
        self._reader = self._loop.create_task(self._read())
        if not self.retired:
            self._writer = self._loop.create_task(self._write())
        try:
            # The reader also ends when the writer fails, as the connection is then lost.
            await asyncio.wait({self._reader})
        finally:
            self.reset()
            tasks = [task for task in (self._reader, self._writer) if task is not None]
            await asyncio.gather(*tasks, return_exceptions=True)

    def reset(self):
        """End the connection immediately; what the peer has not read is lost."""
        self.closed = True
        for task in (self._reader, self._writer):
            if task is not None:
                task.cancel()

    def retire(self):
        """Stop sending but keep reading for a while, as the peer may already have written to this connection."""
        self.retired = True
        self._loop.call_later(RETIRE_AFTER_S, self.reset)
        if self._writer is not None:
            self._writer.cancel()

    def reset_silence(self, now):
        """Measure the peer's silence from now on, after a pause of this process."""
        self.last_received = now
        if self.awaiting_since is not None:
            self.awaiting_since = now

    async def _read(self):
        while (batch := await self._stream.recv_message()) is not None:
            self.last_received = self._loop.time()
            self.awaiting_since = None
            self.pinged = False
            self.batches_received += 1
            self.items_received += len(batch.items)
            for item in batch.items:
                self._deliver(self, item)

    async def _write(self):
        flushed_at = self._loop.time() - FLUSH_INTERVAL_S
        while True:
            await self._outbox.wait()
            # The first item of a burst is sent immediately; the others share the next batch.
            early_s = flushed_at + FLUSH_INTERVAL_S - self._loop.time()
            if early_s > 0:
                await asyncio.sleep(early_s)
            items = self._outbox.take_batch()
            flushed_at = self._loop.time()
            self._expect_response(flushed_at)
            await self._stream.send_message(pb.Batch(items=items))
            self.batches_sent += 1
            self.items_sent += len(items)

    def _expect_response(self, now):
        """Set the time from which silence counts against the peer, if the batch just taken expects a response."""
        patience_s = self._outbox.patience_s
        if patience_s is not None and (self.awaiting_since is None or now + patience_s < self.awaiting_since):
            self.awaiting_since = now + patience_s

    def dump(self):
        """State for the state dump; ages in seconds."""
        now = self._loop.time()
        return {
            "dialed_by": self.dialed_by,
            "incarnation": self.hello.incarnation,
            "age_s": round(now - self.up_since, 3),
            "silent_s": round(now - self.last_received, 3),
            "batches_sent": self.batches_sent,
            "batches_received": self.batches_received,
            "items_sent": self.items_sent,
            "items_received": self.items_received,
        }
