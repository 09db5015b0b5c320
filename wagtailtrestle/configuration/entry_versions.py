"""The store's versions of the engines' entries, by which an answer that is behind is told from a change."""

MAX_REMOVALS = 512
"""Removed entries whose versions are remembered; answers that are older than the last of them are rejected for age."""


class EntryVersions:
    """The newest known version of each entry, including entries that were removed.

    Answers of two readers may arrive in another order than their versions: an entry that is ``ready`` in the later
    answer may have been ``draining`` in the earlier one.
    """

    __slots__ = ("_version_by_name",)

    def __init__(self):
        self._version_by_name = {}

    def __getitem__(self, name):
        return self._version_by_name[name]

    def is_later(self, name, version):
        """Whether an entry is known at a version later than ``version``."""
        return self._version_by_name.get(name, 0) > version

    def record(self, update):
        """Record the versions in an update.

        Returns
        -------
        dict of str to object
            The values of the update that are not older than those known before.
        """
        newer = {}
        for name, value in update.value_by_name.items():
            version = update.version_by_name[name]
            if not self.is_later(name, version):
                self._version_by_name[name] = version
                newer[name] = value
        return newer

    def record_removals(self, names, *, version, listed):
        """Record entries that are gone at ``version``; ``listed`` are the names of those that are left."""
        for name in names:
            # An entry that is missing from a full list was removed at some version up to that of the list. A removal
            # that was held back is applied now, and later than all that other routers were told.
            self._version_by_name[name] = max(self._version_by_name.get(name, 0), version)
        surplus = len(self._version_by_name) - len(listed) - MAX_REMOVALS
        if surplus > 0:
            removed = self._version_by_name.keys() - listed
            for name in sorted(removed, key=self._version_by_name.__getitem__)[:surplus]:
                del self._version_by_name[name]
