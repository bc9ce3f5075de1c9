"""Versioned copies of the store's tables of the operator and of the endpoints."""

import dataclasses

from cicadaplank.gateway import positions

# Limit of the tombstones of removed records, which are kept for peers that are behind.
MAX_TOMBSTONES = 500


@dataclasses.dataclass(frozen=True)
class Record:
    """One record of a table.

    :param key: key in its table.
    :param version: number of the change that last wrote or removed it, in the era of
        the copy or the answer that it is part of.
    :param value: raw bytes, or None for a tombstone of a removed record.
    """

    key: str
    version: int
    value: bytes | None


class RecordTable:
    """Copy of one table, as of one position in the history of the store.

    Within an era the store numbers all changes with one counter, so that copies in
    different processes can be merged in any order: the record with the higher version
    wins. A snapshot of a later era replaces the copy, whatever its version. All records
    of a copy are of its era.

    :ivar position: :class:`positions.Position` up to which every change is included;
        ``positions.NOWHERE`` before the first snapshot.
    """

    def __init__(self):
        self.position = positions.NOWHERE
        self._records = {}
        self._tombstones = {}
        self._complete_since = -1

    def __len__(self):
        return len(self._records)

    @property
    def is_known(self):
        """Whether a snapshot has been taken."""
        return self.position != positions.NOWHERE

    def values(self):
        """Return a dict from key to :class:`Record`, without tombstones."""
        return dict(self._records)

    def get(self, key):
        """Return the :class:`Record` of a key, or None when there is none."""
        return self._records.get(key)

    def replace(self, records, position):
        """Replace the whole copy by a snapshot.

        :param records: iterable of :class:`Record`, without tombstones.
        :param position: position of the store at the time of the snapshot.
        :returns: set of keys that changed; empty for a snapshot that is older than the
            copy, which is ignored.
        """
        if position < self.position:
            return set()
        new = {record.key: record for record in records}
        removed = set(self._records) - set(new)
        changed = {key for key in new if self._records.get(key) != new[key]}
        self._records = new
        self._tombstones.clear()
        # Records that were written and removed between two snapshots are unknown, so
        # the history starts anew.
        self._complete_since = position.version
        self.position = position
        return changed | removed

    def merge(self, records, position, base):
        """Apply changes.

        Nothing is applied when changes between the position of this copy and ``base``
        are missing, when the copy already includes ``position``, or when the changes
        are of another era.

        :param records: iterable of :class:`Record`, tombstones included.
        :param position: position up to which the changes are complete.
        :param base: position after which they are complete.
        :returns: set of keys that changed.
        """
        if not base.era == position.era == self.position.era:
            return set()
        if base > self.position or position <= self.position:
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
        self.position = position
        return changed

    def _add_tombstone(self, key, version):
        self._tombstones[key] = Record(key, version, None)
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(self._tombstones.values(), key=lambda r: r.version)
            del self._tombstones[oldest.key]
            self._complete_since = max(self._complete_since, oldest.version)

    @property
    def newest_change(self):
        """Return the position of the newest record or tombstone.

        :returns: :class:`positions.Position`; its version is -1 when there is none.
        """
        known = [*self._records.values(), *self._tombstones.values()]
        version = max((record.version for record in known), default=-1)
        if not self.is_known:
            return positions.NOWHERE
        return positions.Position(self.position.era, version)

    def changes_since(self, base):
        """Return the changes after a position.

        :param base: position of a peer's copy.
        :returns: tuple of :class:`Record` in order of version, tombstones included, or
            None when the history does not reach back to ``base`` and the peer needs a
            snapshot.
        """
        if base.era != self.position.era or base.version < self._complete_since:
            return None
        records = [*self._records.values(), *self._tombstones.values()]
        newer = (record for record in records if record.version > base.version)
        return tuple(sorted(newer, key=lambda record: record.version))
