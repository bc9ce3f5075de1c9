"""Which instance of a region fetches a chunk for the others."""

import functools

from cicadaplank.world import rendezvous

# Chunks are placed by the first byte of their digest. Ranking 2,400 holders for each
# of 15,000 chunks would take 40 s of a core on every instance; 256 rankings take 1 s.
BUCKET_DIGITS = 2
# Candidates beyond this rank all behave as the last one.
MAX_RANK = 8


@functools.lru_cache(maxsize=8192)
def _ranked(names, bucket):
    return tuple(rendezvous.ranked(bucket, names)[:MAX_RANK])


def bucket_of(chunk_digest):
    """Return the placement key of a chunk.

    :param chunk_digest: SHA-256 in hex.
    """
    return chunk_digest[:BUCKET_DIGITS]


class Ownership:
    """Candidates of each chunk among the holders of a row.

    :param holders: iterable of ``(instance name, region)``.
    """

    def __init__(self, holders):
        regions = {}
        for name, region in holders:
            regions.setdefault(region, []).append(name)
        self._names = {r: tuple(sorted(names)) for r, names in regions.items()}
        self._memo = {}

    @property
    def regions(self):
        """Return the regions that have holders, sorted."""
        return sorted(self._names)

    def size(self, region):
        """Return the number of holders in a region.

        :param region: region name.
        """
        return len(self._names.get(region, ()))

    def candidates(self, region, chunk_digest):
        """Return the first candidates for a chunk, the owner first.

        :param region: region name.
        :param chunk_digest: SHA-256 in hex.
        :returns: tuple of at most ``MAX_RANK`` instance names.
        """
        key = (region, bucket_of(chunk_digest))
        if key not in self._memo:
            self._memo[key] = _ranked(self._names.get(region, ()), key[1])
        return self._memo[key]

    def home_region(self, chunk_digest):
        """Return the region whose owner of a chunk ranks first among all owners.

        The chunks of a manifest divide over the regions by their numbers of holders,
        and over the links of all holders.

        :param chunk_digest: SHA-256 in hex.
        """
        owners = {r: self.candidates(r, chunk_digest)[0] for r in self.regions}
        first = rendezvous.owner(bucket_of(chunk_digest), owners.values())
        return next(region for region, name in owners.items() if name == first)

    def before(self, name, region, chunk_digest):
        """Return the candidates that come before an instance, the owner first.

        :param name: instance name.
        :param region: its region.
        :param chunk_digest: SHA-256 in hex.
        :returns: tuple of names; empty for the owner, all ``MAX_RANK`` candidates for
            an instance beyond them.
        """
        names = self.candidates(region, chunk_digest)
        return names[: names.index(name)] if name in names else names
