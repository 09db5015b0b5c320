"""Time since the VM booted, including pauses of the VM."""

import time


def boot_time_s():
    """Return seconds since boot.

    The event loop's clock stops while a VM is suspended: by it, a key revoked during the pause
    would look recently checked after the resume. This clock includes the pause.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
