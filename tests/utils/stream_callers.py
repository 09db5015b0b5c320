"""Engines of several software versions, and callers that resume interrupted streams through another router."""

import http.client
import itertools
import threading
import time

from tests.utils.world_engine import Engine

SERVICE = "assistant"
EVENTS = 30
PAUSE_S = 0.02
PATH = "/stream/1"
MAX_ATTEMPTS = 6
DEADLINE_S = 4.0
MAX_RETRY_WAIT_S = 1.0


class VersionedStreamEngine(Engine):
    """An engine whose events carry its version.

    Parameters
    ----------
    break_after : int or None
        Events after which it breaks every ``break_every``-th stream off.
    """

    def __init__(self, *, name, version, break_after=None, break_every=2, **options):
        self.version = version
        self.break_after = break_after
        self._break_every = break_every
        self._numbers = itertools.count()
        super().__init__(name=name, service=SERVICE, **{"events": EVENTS, "pause_s": PAUSE_S} | options)

    def entry(self, state="ready"):
        return super().entry(state) | {"version": self.version, "slots": 16}

    def _send_stream(self, handler, how):
        handler.send_response(200)
        for name, value in [*self._answer_headers(handler, how), ("Content-Type", "text/event-stream")]:
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        version = self.version
        breaks = self.break_after is not None and next(self._numbers) % self._break_every == 0
        try:
            for number in range(first, self.events + 1):
                if breaks and number > first + self.break_after:
                    handler.close_connection = True
                    return
                self._send_chunk(handler, f"id: {number}\ndata: {version}\n\n".encode())
                time.sleep(self.pause_s)
            handler.wfile.write(b"0\r\n\r\n")
        except OSError:
            handler.close_connection = True


class Stream:
    """What one caller received of one stream, over all of its attempts.

    Attributes
    ----------
    versions : list of str
        Version of each event.
    statuses : list of int
        Status of each attempt; 0 if it got none.
    latencies_s : list of float
        Duration of each attempt.
    began, resumed : int
        Attempts that were to begin or to resume the stream and brought an event.
    resume_attempts : int
    """

    def __init__(self):
        self.versions = []
        self.last_id = 0
        self.first_request_id = ""
        self.statuses = []
        self.began = 0
        self.resumed = 0
        self.resume_attempts = 0
        self.latencies_s = []

    @property
    def is_complete(self):
        return self.last_id == EVENTS

    @property
    def is_mixed(self):
        return len(set(self.versions)) > 1


class StreamCallers:
    """Callers in threads, each with one stream at a time.

    Parameters
    ----------
    world : World
    callers : int
    leave_after : tuple of int
        Events after which the attempts leave, in turn; attempts beyond them read on to the end.
    routers : list of int, optional
        Routers to use; the list may be changed meanwhile.
    pause_s : float
        Time between two attempts at a stream.
    """

    def __init__(self, *, world, callers=12, leave_after=(), routers=None, pause_s=0.0):
        self.streams = []
        self._world = world
        self._leave_after = leave_after
        self._routers = routers if routers is not None else list(range(len(world.routers)))
        self._pause_s = pause_s
        self._stop = threading.Event()
        self._numbers = itertools.count()
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(callers)]

    def start(self):
        for thread in self._threads:
            thread.start()
        return self

    def run_for(self, seconds):
        """Run for some time, then wait for the last streams; return all of them."""
        self.start()
        time.sleep(seconds)
        return self.stop()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.streams

    def _run(self):
        while not self._stop.is_set():
            stream = Stream()
            self.serve(stream)
            self.streams.append(stream)

    def serve(self, stream):
        """Attempt a stream until it is complete, its deadline has passed or the attempts are used up."""
        deadline = time.monotonic() + DEADLINE_S
        number = next(self._numbers)
        for attempt in range(MAX_ATTEMPTS):
            router = self._routers[(number + attempt) % len(self._routers)]
            leave_after = self._leave_after[attempt] if attempt < len(self._leave_after) else None
            retry_after_s = self.attempt(stream, router, f"c{number}-{attempt}", deadline, leave_after)
            left_s = deadline - time.monotonic()
            if stream.is_complete or left_s <= 0.05:
                return
            time.sleep(max(self._pause_s, min(retry_after_s, left_s / 3, MAX_RETRY_WAIT_S)))

    def attempt(self, stream, router, request_id, deadline, leave_after=None):
        """Make one attempt; return the seconds after which the router asks for the next one."""
        resumes = stream.last_id > 0
        stream.resume_attempts += resumes
        before = len(stream.versions)
        status = 0
        sent_at = time.monotonic()
        address = self._world.routers[router].values["callers_address"]
        connection = http.client.HTTPConnection(address, timeout=DEADLINE_S)
        try:
            headers = {
                "Host": "service.example",
                "Request-Id": request_id,
                "Authorization": "Token example-key",
                "Deadline-Milliseconds": str(max(1, int((deadline - sent_at) * 1000))),
            }
            if resumes:
                headers |= {"Last-Event-Id": str(stream.last_id), "Resumes": stream.first_request_id}
            connection.request("POST", PATH, body=b"body", headers=headers)
            response = connection.getresponse()
            status = response.status
            if status != 200:
                response.read()
                return float(response.headers.get("Retry-After") or 0.0)
            self._read_events(stream, response, request_id, leave_after)
        except (OSError, http.client.HTTPException):
            # The router or its connection was lost; the next attempt resumes elsewhere.
            return 0.0
        finally:
            connection.close()
            stream.statuses.append(status)
            stream.latencies_s.append(time.monotonic() - sent_at)
            brought_event = len(stream.versions) > before
            stream.resumed += resumes and brought_event
            stream.began += not resumes and brought_event
        return 0.0

    @staticmethod
    def _read_events(stream, response, request_id, leave_after):
        received = 0
        data = b""
        while piece := response.read1(65536):
            data += piece
            *events, data = data.split(b"\n\n")
            for event in events:
                fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
                stream.first_request_id = stream.first_request_id or request_id
                if int(fields["id"]) != stream.last_id + 1:
                    raise AssertionError(f"event {fields['id']} after {stream.last_id}")
                stream.last_id = int(fields["id"])
                stream.versions.append(fields["data"])
                received += 1
                if leave_after is not None and received >= leave_after:
                    return
