"""Versioned copy of the records that the operator and the endpoints publish."""

import dataclasses

# Removed records that are remembered for peers that are behind.
MAX_TOMBSTONES = 500


@dataclasses.dataclass(frozen=True)
class Record:
    """One record of a table.

    :param key: key in its table.
    :param version: version of the store at which it was last written.
    :param value: raw bytes, or None for a record that was removed.
    """

    key: str
    version: int
    value: bytes | None


class RecordTable:
    """Copy of one table, as of one version of the store.

    All changes of the store are numbered from one counter. Copies in different
    processes can therefore be merged in any order: the higher version wins.

    :ivar version: every change up to this version is included; -1 before the first
        snapshot.
    """

    def __init__(self):
        self.version = -1
        self._records = {}
        self._tombstones = {}
        self._complete_since = -1

    def __len__(self):
        return len(self._records)

    def values(self):
        """Return a dict from key to :class:`Record` without removed records."""
        return dict(self._records)

    def get(self, key):
        """Return the :class:`Record` of a key, or None."""
        return self._records.get(key)

    def replace(self, records, version):
        """Take a complete snapshot.

        :param records: iterable of :class:`Record`.
        :param version: version of the store at the time of the snapshot.
        :returns: set of keys that changed; empty for a snapshot that is older.
        """
        if version < self.version:
            return set()
        new = {record.key: record for record in records}
        gone = set(self._records) - set(new)
        changed = {key for key in new if self._records.get(key) != new[key]}
        self._records = new
        self._tombstones.clear()
        # Records that came and went between two snapshots are unknown here.
        self._complete_since = version
        self.version = version
        return changed | gone

    def merge(self, records, version, base):
        """Take changes.

        :param records: iterable of :class:`Record`, removed ones included.
        :param version: version of the store up to which the changes are complete.
        :param base: version after which they are complete.
        :returns: set of keys that changed. Nothing is taken when changes between this
            copy's version and ``base`` are missing.
        """
        if base > self.version or version <= self.version:
            return set()
        changed = set()
        for record in sorted(records, key=lambda r: r.version):
            held = self._records.get(record.key)
            if held is not None and held.version >= record.version:
                continue
            if record.value is None:
                if held is None:
                    continue
                del self._records[record.key]
                self._bury(record.key, record.version)
            else:
                self._records[record.key] = record
            changed.add(record.key)
        self.version = version
        return changed

    def _bury(self, key, version):
        self._tombstones[key] = Record(key, version, None)
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(self._tombstones.values(), key=lambda r: r.version)
            del self._tombstones[oldest.key]
            self._complete_since = max(self._complete_since, oldest.version)

    @property
    def newest_change(self):
        """Return the version of the newest change that is known, -1 for none."""
        known = [*self._records.values(), *self._tombstones.values()]
        return max((record.version for record in known), default=-1)

    def changes_since(self, base):
        """Return the changes after a version.

        :param base: version that a peer has.
        :returns: tuple of :class:`Record`, or None when only a snapshot can help.
        """
        if base < self._complete_since or base < 0:
            return None
        records = [*self._records.values(), *self._tombstones.values()]
        newer = (record for record in records if record.version > base)
        return tuple(sorted(newer, key=lambda record: record.version))
