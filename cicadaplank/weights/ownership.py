"""Assignment of chunks to the instances that fetch them for their region.

In each region the holders of a version are ranked for each chunk by rendezvous hashing.
The first ones are its candidates: the first is its owner, which fetches it for the
region, and each next one takes over when its predecessors fail. The home region of a
chunk fetches it from the origin; the other regions copy it from there.
"""

import collections
import functools

from cicadaplank.world import rendezvous

# Holders are ranked for the first byte of a chunk's digest, not for the whole digest.
# Ranking 2,400 holders for each of 15,000 chunks would take 40 s of CPU time on every
# instance; 256 rankings take 1 s.
BUCKET_DIGITS = 2
# Number of candidates for a chunk. All holders that rank after them are treated alike,
# with all candidates as predecessors.
MAX_RANK = 8


@functools.lru_cache(maxsize=8192)
def _ranked_holders(names, bucket):
    return tuple(rendezvous.ranked(bucket, names)[:MAX_RANK])


def bucket_key(chunk_digest):
    """Return the key by which holders are ranked for a chunk.

    :param chunk_digest: SHA-256 in hex.
    """
    return chunk_digest[:BUCKET_DIGITS]


class Ownership:
    """Candidates for each chunk in each region, by the chunk's digest alone.

    :param holders: iterable of pairs ``(instance name, region)``.
    """

    def __init__(self, holders):
        regions = {}
        for name, region in holders:
            regions.setdefault(region, []).append(name)
        self._names = {r: tuple(sorted(names)) for r, names in regions.items()}
        self._cache = {}

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
        """Return the candidates for a chunk in a region, the owner first.

        :param region: region name.
        :param chunk_digest: SHA-256 in hex.
        :returns: tuple of at most ``MAX_RANK`` instance names.
        """
        key = (region, bucket_key(chunk_digest))
        if key not in self._cache:
            self._cache[key] = _ranked_holders(self._names.get(region, ()), key[1])
        return self._cache[key]

    def predecessors(self, name, region, chunk_digest):
        """Return the candidates that rank before an instance, the owner first.

        :param name: instance name.
        :param region: region of the instance.
        :param chunk_digest: SHA-256 in hex.
        :returns: tuple of instance names; empty for the owner, all candidates for an
            instance that is not one of them.
        """
        names = self.candidates(region, chunk_digest)
        return names[: names.index(name)] if name in names else names


class Placement:
    """Candidates for each chunk of one manifest, with the chunks balanced over owners.

    Digests alone distribute a small number of chunks very unevenly, and the owner with
    the most chunks would delay all other instances.

    :param ownership: :class:`Ownership`.
    :param chunk_digests: digests of the chunks, in the order of the weights.
    :param origin_region: region that fetches every chunk from the origin, or None to
        divide the chunks over all regions in proportion to their holders.
    """

    def __init__(self, ownership, chunk_digests, origin_region):
        self._ownership = ownership
        self._origin_region = origin_region
        self._homes = self._home_regions(chunk_digests)
        self._candidates = {
            region: self._balance(region, chunk_digests) for region in ownership.regions
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

    def _balance(self, region, chunk_digests):
        """Return the candidates for each chunk in a region, with balanced owners.

        The owner is the first candidate below its limit. Chunks from the origin and
        chunks from other regions are balanced separately.
        """
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
        """Return the region that fetches a chunk from the origin.

        :param index: position of the chunk.
        """
        return self._homes[index]

    def candidates(self, region, index):
        """Return the candidates for a chunk in a region, the owner first.

        :param region: region name.
        :param index: position of the chunk.
        """
        return self._candidates[region][index] if region in self._candidates else ()

    def predecessors(self, name, region, index):
        """Return the candidates that rank before an instance, the owner first.

        :param name: instance name.
        :param region: region of the instance.
        :param index: position of the chunk.
        :returns: tuple of instance names; empty for the owner, all candidates for an
            instance that is not one of them.
        """
        names = self.candidates(region, index)
        return names[: names.index(name)] if name in names else names
