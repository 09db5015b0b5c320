"""Notices that a process's settings file changed, told by SIGHUP or not, and puts in force what can be."""

import asyncio
import os

from loguru import logger

from wagtailtrestle.declarations.settings import RouterSettings, SettingsFaults, load_router_settings

POLL_INTERVAL_S = 1.0
"""Between two looks at the file: a change without a signal is in force about as soon as one with."""

RELOADABLE = (
    "drain_timeout_s",
    "balancer_grace_s",
    "plain_grace_s",
    "retry_share",
    "retry_extra",
    "key_revocation_ms",
    "stop_grace_s",
    "quota_window_s",
    "quota_overage",
    "quota_slack",
)
"""Fields that are read anew at each use; addresses and sizes of pools hold until the next start."""


class SettingsWatch:
    """Keeps a router's settings as its file says.

    Parameters
    ----------
    path : str
    settings : RouterSettings
        Changed in place.
    """

    __slots__ = ("_path", "_settings", "_file_signature", "_task")

    def __init__(self, *, path, settings):
        self._path = path
        self._settings = settings
        self._file_signature = _file_signature(path)
        self._task = None

    def start(self):
        """Begin to look; must be called on the running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._poll())

    async def close(self):
        """Stop looking."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def reload(self):
        """Read the file and put in force what can be; a faulty file changes nothing."""
        self._file_signature = _file_signature(self._path)
        read = load_router_settings(self._path)
        if isinstance(read, SettingsFaults):
            logger.error("the changed settings are not put in force: {}", "; ".join(map(str, read.faults)))
            return
        changed = [name for name in RouterSettings.__slots__ if getattr(read, name) != getattr(self._settings, name)]
        for name in changed:
            if name in RELOADABLE:
                setattr(self._settings, name, getattr(read, name))
        waiting = [name for name in changed if name not in RELOADABLE]
        logger.bind(changed=",".join(changed), from_next_start=",".join(waiting)).info("settings read again")

    async def _poll(self):
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if _file_signature(self._path) != self._file_signature:
                self.reload()


def _file_signature(path):
    """What tells two states of a file apart; ``None`` while it can't be read."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
