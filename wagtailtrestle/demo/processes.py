"""One process of a local deployment: started, watched, frozen, killed and stopped by its id."""

import os
import signal
import subprocess
import sys
import time

import urllib3

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.03
PROBE_TIMEOUT_S = 1.0


class NotReady(Exception):
    """A process ended or did not answer in time; the text has the end of its log."""


class LocalProcess:
    """A process of ours.

    Parameters
    ----------
    name : str
    module : str
        Run with ``python -m``.
    arguments : sequence of str
    ready_url : str
        Answers 200 once the process is ready.
    log_path : pathlib.Path
    """

    __slots__ = ("name", "module", "arguments", "ready_url", "log_path", "_process")

    def __init__(self, *, name, module, arguments, ready_url, log_path):
        self.name = name
        self.module = module
        self.arguments = tuple(arguments)
        self.ready_url = ready_url
        self.log_path = log_path
        self._process = None

    @property
    def pid(self):
        """Process id of the present or last run."""
        return self._process.pid

    def start(self):
        """Start it without waiting."""
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def wait_ready(self, timeout_s=READY_TIMEOUT_S):
        """Wait until it answers that it is ready."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self._process.poll() is not None:
                raise NotReady(f"{self.name} ended with {self._process.returncode}:\n{self.log_tail()}")
            if self.is_ready():
                return
            time.sleep(POLL_S)
        raise NotReady(f"{self.name} was not ready in {timeout_s} s:\n{self.log_tail()}")

    def is_ready(self):
        """Whether it answers its ready URL with 200 now."""
        try:
            return urllib3.request("GET", self.ready_url, timeout=PROBE_TIMEOUT_S, retries=False).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def is_running(self):
        """Whether the process still exists."""
        return self._process is not None and self._process.poll() is None

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Ask it to stop gracefully, then kill it; return its exit status."""
        if self._process is None:
            return None
        if self.is_running():
            self.resume()
            self.terminate()
        return self.wait_stopped(timeout_s)

    def terminate(self):
        """Ask it to stop gracefully without waiting."""
        self._process.terminate()

    def wait_stopped(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for it to end by itself, then kill it; return its exit status."""
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
        return self._process.returncode

    def kill(self):
        """End it at once."""
        self._process.kill()
        self._process.wait()

    def freeze(self):
        """Pause it as a stopped VM is paused."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self):
        """Let it go on after :meth:`freeze`."""
        os.kill(self.pid, signal.SIGCONT)

    def log_tail(self, lines=30):
        """End of what it wrote."""
        text = self.log_path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])
