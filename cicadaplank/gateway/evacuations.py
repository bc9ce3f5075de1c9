"""Data centres that get no further requests because the operator asked for it.

Load pattern: the operator empties a data centre while the load stays. Its calls go to
the other data centres as those have free slots, and a call that may go nowhere else is
refused at once.
"""

import dataclasses

# Limit on the data centres that are kept; there are far fewer.
MAX_EVACUATED = 256


@dataclasses.dataclass(frozen=True)
class Changes:
    """What a new list of evacuated data centres has changed.

    :param begun: sorted tuple of the data centres that get nothing more from now on.
    :param ended: sorted tuple of those that get calls again.
    """

    begun: tuple
    ended: tuple


class Evacuations:
    """Evacuated data centres, as one instance knows them.

    :ivar names: frozenset of the names of the data centres.
    :ivar ignored: number of names beyond :data:`MAX_EVACUATED` in the last list.
    """

    def __init__(self):
        self.names = frozenset()
        self.ignored = 0

    def update(self, listed, keeps_missing):
        """Apply the list of evacuated data centres.

        :param listed: iterable of names.
        :param keeps_missing: whether missing names are kept, since the store has come
            back from an older copy and records may be written again.
        :returns: :class:`Changes`.
        """
        wanted = set(listed)
        if keeps_missing:
            wanted |= self.names
        kept = frozenset(sorted(wanted)[:MAX_EVACUATED])
        self.ignored = len(wanted) - len(kept)
        begun, ended = kept - self.names, self.names - kept
        self.names = kept
        return Changes(tuple(sorted(begun)), tuple(sorted(ended)))
