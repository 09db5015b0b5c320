"""Time since the machine booted, pauses of the machine included."""

import time


def boot_time_s():
    """Seconds since boot.

    The loop's clock stands still while a VM is suspended. Measured by it, a key revoked during
    the pause would look freshly checked on waking; this clock has counted the pause.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
