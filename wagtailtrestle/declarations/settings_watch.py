"""Reloads a process's settings when their file changes, with or without SIGHUP, and applies what can be applied."""

import asyncio
import os

from loguru import logger

from wagtailtrestle.declarations.settings import RouterSettings, SettingsFaults, load_router_settings

POLL_INTERVAL_S = 1.0
"""Interval between checks of the file, so that a change without a signal applies about as soon as one with it."""

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
"""Fields whose change takes effect immediately, as they are read at each use; others, such as addresses and pool sizes,
only take effect at the next start."""


class SettingsWatch:
    """Keeps a router's settings up to date with its file.

    Parameters
    ----------
    path : str
    settings : RouterSettings
        Updated in place.
    """

    __slots__ = ("_path", "_settings", "_file_signature", "_task")

    def __init__(self, *, path, settings):
        self._path = path
        self._settings = settings
        self._file_signature = _file_signature(path)
        self._task = None

    def start(self):
        """Start to poll the file; must be called on the running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._poll())

    async def close(self):
        """Stop polling."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def reload(self):
        """Read the file and apply the changed fields that are reloadable; a faulty file changes nothing."""
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
    """Return the modification time, size and inode of a file, to detect a change; ``None`` if it can't be read."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
