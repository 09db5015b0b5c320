"""Fleets of idle member processes, which measure what membership alone costs one daemon."""

import json
import os
import subprocess
import sys
import time

SETTLE_S = 4.0
MEASURED_S = 6.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Fleet:
    """Member processes of one fleet on loopback.

    Parameters
    ----------
    size : int
    """

    __slots__ = ("_processes", "_size")

    def __init__(self, *, size):
        self._size = size
        self._processes = []

    def start(self):
        """Start the processes; the first is the seed of the others."""
        seed = self._launch("router-0")
        for number in range(1, self._size):
            self._launch(f"router-{number}", f"router-0={seed}")

    def close(self):
        """Kill the processes."""
        for process in self._processes:
            process.kill()
            process.wait()
            process.stdout.close()

    def idle_cost(self):
        """Return the mean processor time (ms a second) and resident memory (MB) of one daemon."""
        time.sleep(SETTLE_S)
        before = [_cpu_s(process) for process in self._processes]
        began = time.monotonic()
        time.sleep(MEASURED_S)
        elapsed_s = time.monotonic() - began
        used_s = sum(_cpu_s(process) for process in self._processes) - sum(before)
        resident = sum(_resident_bytes(process) for process in self._processes)
        return used_s / elapsed_s / self._size * 1e3, resident / self._size / 2**20

    def _launch(self, name, *seeds):
        command = [sys.executable, "-m", "wagtailtrestle.slopes.member", name, "1", "127.0.0.1:0", *seeds]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
        self._processes.append(process)
        for line in process.stdout:
            message = json.loads(line)
            if "address" in message:
                return message["address"]
        raise RuntimeError(f"{name} ended before it printed its address")


def _cpu_s(process):
    with open(f"/proc/{process.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _resident_bytes(process):
    with open(f"/proc/{process.pid}/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def idle_cost(size):
    """Measure the processor time and memory of one daemon in an idle fleet of ``size``."""
    fleet = Fleet(size=size)
    try:
        fleet.start()
        return fleet.idle_cost()
    finally:
        fleet.close()
