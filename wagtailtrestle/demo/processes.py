"""Starts, probes, pauses, kills and stops one process of a local deployment."""

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
    """A process exited or was not ready in time; the message includes the end of its log."""


class LocalProcess:
    """A Python module run as a child process, with its output appended to a log file.

    Parameters
    ----------
    name : str
    module : str
        Run with ``python -m``.
    arguments : sequence of str
    ready_url : str
        URL that answers 200 once the process is ready.
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
        """Process id of the current or most recent run."""
        return self._process.pid

    def start(self):
        """Start the process without waiting until it is ready."""
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def wait_ready(self, timeout_s=READY_TIMEOUT_S):
        """Wait until the process is ready.

        Raises
        ------
        NotReady
            If the process exits or is not ready within ``timeout_s``.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self._process.poll() is not None:
                raise NotReady(f"{self.name} ended with status {self._process.returncode}:\n{self.log_tail()}")
            if self.is_ready():
                return
            time.sleep(POLL_S)
        raise NotReady(f"{self.name} was not ready after {timeout_s} s:\n{self.log_tail()}")

    def is_ready(self):
        """Whether the ready URL answers 200 now."""
        try:
            return urllib3.request("GET", self.ready_url, timeout=PROBE_TIMEOUT_S, retries=False).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def is_running(self):
        """Whether the process still exists."""
        return self._process is not None and self._process.poll() is None

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Send SIGTERM, kill the process if it is still running after ``timeout_s``, and return its exit status."""
        if self._process is None:
            return None
        if self.is_running():
            self.resume()
            self.terminate()
        return self.wait_stopped(timeout_s)

    def terminate(self):
        """Send SIGTERM without waiting."""
        self._process.terminate()

    def wait_stopped(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for the process to exit, kill it if it has not after ``timeout_s``, and return its exit status."""
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
        return self._process.returncode

    def kill(self):
        """Send SIGKILL and wait until the process has exited."""
        self._process.kill()
        self._process.wait()

    def freeze(self):
        """Pause the process with SIGSTOP, as a paused VM would be."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self):
        """Continue the process after :meth:`freeze`."""
        os.kill(self.pid, signal.SIGCONT)

    def log_tail(self, lines=30):
        """Last lines of the process's log."""
        text = self.log_path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])
