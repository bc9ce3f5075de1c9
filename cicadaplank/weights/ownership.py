"""Which instance of a region fetches a chunk for the others."""

import collections
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


class Placement:
    """Candidates of each chunk of one manifest, so that every owner has as many.

    Few chunks fall on owners very unevenly by their digests alone, and the owner with
    most of them would hold all others up.

    :param ownership: :class:`Ownership`.
    :param chunk_digests: digests in the order of the weights.
    :param origin_region: region that takes every chunk from the origin, or None to
        divide the chunks over all regions.
    """

    def __init__(self, ownership, chunk_digests, origin_region):
        self._ownership = ownership
        self._origin_region = origin_region
        self._homes = self._home_regions(chunk_digests)
        self._candidates = {
            region: self._balanced(region, chunk_digests)
            for region in ownership.regions
        }

    def _home_regions(self, chunk_digests):
        if self._origin_region is not None:
            return [self._origin_region] * len(chunk_digests)
        sizes = {region: self._ownership.size(region) for region in self.regions}
        counts = dict.fromkeys(sizes, 0)
        homes = []
        for _ in chunk_digests:
            home = min(sizes, key=lambda r: ((counts[r] + 1) / sizes[r], r))
            counts[home] += 1
            homes.append(home)
        return homes

    def _balanced(self, region, chunk_digests):
        """Move the candidate with room to the front of each chunk's candidates."""
        size = self._ownership.size(region)
        is_home = [home == region for home in self._homes]
        limits = {kind: -(-is_home.count(kind) // size) for kind in (True, False)}
        loads = collections.Counter()
        placed = []
        for kind, digest in zip(is_home, chunk_digests, strict=True):
            names = self._ownership.candidates(region, digest)
            owner = next((n for n in names if loads[n, kind] < limits[kind]), names[0])
            loads[owner, kind] += 1
            placed.append((owner, *(name for name in names if name != owner)))
        return placed

    @property
    def regions(self):
        """Return the regions that have holders, sorted."""
        return self._ownership.regions

    def home_region(self, index):
        """Return the region that takes a chunk from the origin.

        :param index: position of the chunk.
        """
        return self._homes[index]

    def candidates(self, region, index):
        """Return the candidates for a chunk in a region, the owner first.

        :param region: region name.
        :param index: position of the chunk.
        """
        return self._candidates[region][index] if region in self._candidates else ()

    def before(self, name, region, index):
        """Return the candidates that come before an instance, the owner first.

        :param name: instance name.
        :param region: its region.
        :param index: position of the chunk.
        """
        names = self.candidates(region, index)
        return names[: names.index(name)] if name in names else names
