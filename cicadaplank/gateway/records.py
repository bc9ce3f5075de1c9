"""Versioned copies of the store's tables of the operator and of the endpoints."""

import dataclasses

# Limit of the tombstones of removed records, which are kept for peers that are behind.
MAX_TOMBSTONES = 500


@dataclasses.dataclass(frozen=True)
class Record:
    """One record of a table.

    :param key: key in its table.
    :param version: version of the store at which it was last written or removed.
    :param value: raw bytes, or None for a tombstone of a removed record.
    """

    key: str
    version: int
    value: bytes | None


class RecordTable:
    """Copy of one table, as of one version of the store.

    The store numbers all changes with one counter. Copies in different processes can
    therefore be merged in any order: the record with the higher version wins.

    :ivar version: version of the store up to which every change is included; -1 before
        the first snapshot.
    """

    def __init__(self):
        self.version = -1
        self._records = {}
        self._tombstones = {}
        self._complete_since = -1

    def __len__(self):
        return len(self._records)

    def values(self):
        """Return a dict from key to :class:`Record`, without tombstones."""
        return dict(self._records)

    def get(self, key):
        """Return the :class:`Record` of a key, or None when there is none."""
        return self._records.get(key)

    def replace(self, records, version):
        """Replace the whole copy by a snapshot.

        :param records: iterable of :class:`Record`, without tombstones.
        :param version: version of the store at the time of the snapshot.
        :returns: set of keys that changed; empty for a snapshot that is older than the
            copy, which is ignored.
        """
        if version < self.version:
            return set()
        new = {record.key: record for record in records}
        removed = set(self._records) - set(new)
        changed = {key for key in new if self._records.get(key) != new[key]}
        self._records = new
        self._tombstones.clear()
        # Records that were written and removed between two snapshots are unknown, so
        # the history starts anew.
        self._complete_since = version
        self.version = version
        return changed | removed

    def merge(self, records, version, base):
        """Apply changes.

        Nothing is applied when changes between this copy's version and ``base`` are
        missing, or when the copy already includes ``version``.

        :param records: iterable of :class:`Record`, tombstones included.
        :param version: version of the store up to which the changes are complete.
        :param base: version after which they are complete.
        :returns: set of keys that changed.
        """
        if base > self.version or version <= self.version:
            return set()
        changed = set()
        for record in sorted(records, key=lambda r: r.version):
            existing = self._records.get(record.key)
            if existing is not None and existing.version >= record.version:
                continue
            if record.value is None:
                if existing is None:
                    continue
                del self._records[record.key]
                self._add_tombstone(record.key, record.version)
            else:
                self._records[record.key] = record
            changed.add(record.key)
        self.version = version
        return changed

    def _add_tombstone(self, key, version):
        self._tombstones[key] = Record(key, version, None)
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(self._tombstones.values(), key=lambda r: r.version)
            del self._tombstones[oldest.key]
            self._complete_since = max(self._complete_since, oldest.version)

    @property
    def newest_change(self):
        """Return the version of the newest record or tombstone, -1 for none."""
        known = [*self._records.values(), *self._tombstones.values()]
        return max((record.version for record in known), default=-1)

    def changes_since(self, base):
        """Return the changes after a version.

        :param base: version of a peer's copy.
        :returns: tuple of :class:`Record` in order of version, tombstones included, or
            None when the history does not reach back to ``base`` and the peer needs a
            snapshot.
        """
        if base < self._complete_since or base < 0:
            return None
        records = [*self._records.values(), *self._tombstones.values()]
        newer = (record for record in records if record.version > base)
        return tuple(sorted(newer, key=lambda record: record.version))
