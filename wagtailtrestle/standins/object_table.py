"""Core of the platform stand-in without I/O: versioned objects, conditional updates, a lagging VM list.

No sockets, no threads, no clock: callers pass the time in seconds. Outcomes are those
of :mod:`wagtailtrestle.contracts.outcomes`.
"""

from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreConflict, StoreDone

KEPT_VERSIONS = 4
KEPT_VM_LISTS = 64


class ObjectTable:
    """All objects by kind and name, with one version counter for the whole table.

    A deleted object stays as a version with value ``None``, so that watches report the deletion.

    Attributes
    ----------
    revision : int
        Version of the newest write.
    listeners : set of callable
        Called without arguments after each write.
    """

    __slots__ = ("revision", "listeners", "_versions_by_kind", "_hidden", "_vm_lists")

    def __init__(self):
        self.revision = 0
        self.listeners = set()
        # kind -> name -> [(version, value), ...], oldest first
        self._versions_by_kind = {}
        # versions whose watch event was dropped
        self._hidden = set()
        # [(time, version, list), ...], oldest first
        self._vm_lists = [(float("-inf"), 0, [])]

    def get(self, *, kind, name, stale_versions=0):
        """Read an object, as it was ``stale_versions`` writes ago."""
        version, value = self._at(kind, name, stale_versions)
        if value is None:
            return StoreAbsent()
        return StoreDone(version=version, value=value)

    def list(self, *, kind, stale_versions=0):
        """List the objects of a kind: ``value`` maps each name to ``(version, value)``."""
        by_name = {}
        for name in self._versions_by_kind.get(kind, {}):
            version, value = self._at(kind, name, stale_versions)
            if value is not None:
                by_name[name] = (version, value)
        return StoreDone(version=self.revision, value=by_name)

    def create(self, *, kind, name, value, hide=False):
        """Create an object unless it exists; ``hide`` drops the watch event."""
        version, present = self._at(kind, name)
        if present is not None:
            return StoreConflict(version=version)
        return self._write(kind, name, value, hide)

    def update(self, *, kind, name, value, if_version, hide=False):
        """Replace an object if its version is ``if_version``."""
        version, present = self._at(kind, name)
        if present is None:
            return StoreAbsent()
        if version != if_version:
            return StoreConflict(version=version)
        return self._write(kind, name, value, hide)

    def delete(self, *, kind, name, if_version, hide=False):
        """Delete an object if its version is ``if_version``."""
        return self.update(kind=kind, name=name, value=None, if_version=if_version, hide=hide)

    def changes(self, *, kind, from_version):
        """Return the newest state of every object of ``kind`` that changed after ``from_version``.

        ``value`` is a tuple of ``(name, version, value)``, oldest change first; a
        deleted object has value ``None``.
        """
        changed = []
        for name, versions in self._versions_by_kind.get(kind, {}).items():
            version, value = versions[-1]
            if version > from_version and version not in self._hidden:
                changed.append((name, version, value))
        changed.sort(key=lambda change: change[1])
        newest = changed[-1][1] if changed else from_version
        return StoreDone(version=newest, value=tuple(changed))

    def set_vms(self, *, vms, now):
        """Replace the current list of VMs."""
        version = self._vm_lists[-1][1] + 1
        self._vm_lists.append((now, version, vms))
        del self._vm_lists[:-KEPT_VM_LISTS]

    def vms(self, *, now, lag_s):
        """Read the list of VMs as it was ``lag_s`` ago."""
        known = [(version, vms) for since, version, vms in self._vm_lists if since <= now - lag_s]
        version, vms = known[-1] if known else self._vm_lists[0][1:]
        return StoreDone(version=version, value=vms)

    def objects_by_kind(self):
        """Count the existing objects by kind, for the state dump."""
        return {kind: len(self.list(kind=kind).value) for kind in sorted(self._versions_by_kind)}

    def _at(self, kind, name, stale_versions=0):
        versions = self._versions_by_kind.get(kind, {}).get(name)
        if not versions:
            return 0, None
        return versions[max(len(versions) - 1 - stale_versions, 0)]

    def _write(self, kind, name, value, hide):
        self.revision += 1
        if hide:
            self._hidden.add(self.revision)
        versions = self._versions_by_kind.setdefault(kind, {}).setdefault(name, [])
        versions.append((self.revision, value))
        for version, _ in versions[:-KEPT_VERSIONS]:
            self._hidden.discard(version)
        del versions[:-KEPT_VERSIONS]
        for listener in tuple(self.listeners):
            listener()
        return StoreDone(version=self.revision, value=value)
