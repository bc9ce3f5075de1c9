"""Sets of chunks as bit masks, and the state of one manifest's copy.

A set of chunks is an integer: bit ``i`` stands for the chunk at position ``i`` of the
manifest.
"""

import collections


def decode_bits(data):
    """Decode the ``have`` field of a chunk map.

    :param data: bytes in which bit ``i % 8`` of byte ``i // 8`` stands for chunk ``i``.
    :returns: set of chunks.
    """
    return int.from_bytes(data, "little")


def encode_bits(bits, count):
    """Encode a set of chunks as the ``have`` field of a chunk map.

    :param bits: set of chunks.
    :param count: number of chunks of the manifest.
    :returns: bytes that :func:`decode_bits` reads.
    """
    return bits.to_bytes((count + 7) // 8, "little")


def indexes(bits):
    """Iterate over the positions of the chunks in a set, in ascending order.

    :param bits: set of chunks.
    """
    while bits:
        low = bits & -bits
        yield low.bit_length() - 1
        bits ^= low


class Copy:
    """Chunks of one manifest that this instance and its peers hold.

    :param manifest: :class:`cicadaplank.weights.manifests.Manifest`.
    :param store: :class:`cicadaplank.weights.chunks.ChunkStore`.
    """

    def __init__(self, manifest, store):
        self.manifest = manifest
        self.count = len(manifest.chunk_digests)
        self.full = (1 << self.count) - 1
        self.have = 0
        self.in_flight = 0
        self._maps = {}
        self._in_region = {}
        # Bit i of element c is set when c peers of this region hold chunk i.
        self._by_peer_count = [self.full]
        self._masks = collections.defaultdict(int)
        for index, digest in enumerate(manifest.chunk_digests):
            self._masks[digest] |= 1 << index
        for digest, mask in self._masks.items():
            if store.has(digest):
                self.have |= mask

    @property
    def missing(self):
        """Return the set of chunks that are not held."""
        return self.full & ~self.have

    @property
    def held_in_region(self):
        """Return the set of chunks that some peer of this region says it holds."""
        return self.full & ~self._by_peer_count[0]

    def mask(self, digest):
        """Return the set of positions of a chunk, empty when the manifest lacks it.

        :param digest: chunk digest.
        """
        return self._masks.get(digest, 0)

    def held_by(self, peer):
        """Return the set of chunks that a peer says it holds.

        :param peer: instance name.
        """
        return self._maps.get(peer, 0)

    def set_map(self, peer, bits, in_region=None):
        """Replace the set of chunks that a peer holds.

        :param peer: instance name.
        :param bits: set of chunks; bits beyond the manifest are ignored.
        :param in_region: False for a peer of another region, whose chunks do not count
            as held in this region; None keeps the previous value, True at first.
        :returns: set of the chunks that the peer did not hold before.
        """
        bits &= self.full
        old = self._maps.get(peer, 0)
        was_in_region = self._in_region.get(peer, True)
        in_region = was_in_region if in_region is None else in_region
        if bits == old and in_region == was_in_region:
            return 0
        self._maps[peer] = bits
        self._in_region[peer] = in_region
        before, after = old if was_in_region else 0, bits if in_region else 0
        self._update_peer_counts(after & ~before, 1)
        self._update_peer_counts(before & ~after, -1)
        return bits & ~old

    def drop_map(self, peer):
        """Remove the set of chunks that a peer holds.

        :param peer: instance name.
        """
        self.set_map(peer, 0)
        self._maps.pop(peer, None)
        self._in_region.pop(peer, None)

    def _update_peer_counts(self, bits, step):
        if not bits:
            return
        levels = range(len(self._by_peer_count))
        for level in levels if step < 0 else reversed(levels):
            moved = self._by_peer_count[level] & bits
            if not moved:
                continue
            if level + step == len(self._by_peer_count):
                self._by_peer_count.append(0)
            self._by_peer_count[level] &= ~moved
            self._by_peer_count[level + step] |= moved

    def peer_count(self, index):
        """Return how many peers of this region say they hold a chunk.

        :param index: position of the chunk.
        """
        bit = 1 << index
        return next(c for c, bits in enumerate(self._by_peer_count) if bits & bit)

    def rarest(self, candidates, rng):
        """Choose a chunk that the fewest peers of this region hold, at random.

        :param candidates: set of chunks to choose from.
        :param rng: :class:`random.Random`.
        :returns: position of the chunk, or None for an empty set.
        """
        for bits in self._by_peer_count:
            if bits & candidates:
                return choose_random(bits & candidates, rng)
        return None


def choose_random(bits, rng):
    """Choose a chunk of a set at random.

    :param bits: set of chunks, not empty.
    :param rng: :class:`random.Random`.
    :returns: position of the chunk.
    """
    upper = bits >> rng.randrange(bits.bit_length())
    shift = bits.bit_length() - upper.bit_length()
    return shift + (upper & -upper).bit_length() - 1
