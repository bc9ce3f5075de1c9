"""Bounded in-memory store of chunks, addressed by digest."""

import collections
import enum

from cicadaplank.weights import manifests


class PutOutcome(enum.Enum):
    """Outcome of :meth:`ChunkStore.put`."""

    STORED = "stored"
    DUPLICATE = "duplicate"
    CORRUPT = "corrupt"
    UNWANTED = "unwanted"


class ChunkStore:
    """Store of the chunks of the manifests that this instance holds or copies.

    A chunk is kept while a reserved manifest refers to it. The chunks of a released
    manifest stay until their memory is needed, so that a new version can reuse them.

    :param limit_bytes: limit on the memory for chunks.
    :raises ValueError: when the limit is not positive.
    """

    def __init__(self, limit_bytes):
        if limit_bytes <= 0:
            raise ValueError(f"limit_bytes must be positive: {limit_bytes}")
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.reserved_bytes = 0
        self.counts = collections.Counter()
        self._chunks = {}
        self._sizes = {}
        self._references = collections.Counter()
        self._manifests = {}
        # Digests of the chunks that no reserved manifest refers to, in the order in
        # which they lost their last reference; the first is evicted first.
        self._unreferenced = {}

    @property
    def manifests(self):
        """Return the reserved manifests as a dict from digest to manifest."""
        return dict(self._manifests)

    def shortfall_bytes(self, manifest):
        """Return by how much a manifest exceeds the memory that is not reserved.

        :param manifest: :class:`manifests.Manifest`.
        :returns: bytes, 0 when the manifest fits.
        """
        if manifest.digest in self._manifests:
            return 0
        sizes = _sizes(manifest)
        new = sum(size for d, size in sizes.items() if not self._references[d])
        return max(0, self.reserved_bytes + new - self.limit_bytes)

    def reserve(self, manifest):
        """Reserve memory for all chunks of a manifest.

        :param manifest: :class:`manifests.Manifest`.
        :returns: False when too little memory is left; nothing is reserved then.
        """
        if manifest.digest in self._manifests:
            return True
        if self.shortfall_bytes(manifest):
            self.counts["rejected_manifests"] += 1
            return False
        self._manifests[manifest.digest] = manifest
        for digest, size in _sizes(manifest).items():
            if not self._references[digest]:
                self.reserved_bytes += size
                self._sizes[digest] = size
            self._references[digest] += 1
            self._unreferenced.pop(digest, None)
        return True

    def release(self, manifest_digest):
        """Release a manifest; its chunks stay until their memory is needed.

        :param manifest_digest: digest of a manifest; unknown ones are ignored.
        """
        manifest = self._manifests.pop(manifest_digest, None)
        if manifest is None:
            return
        for digest, size in _sizes(manifest).items():
            self._references[digest] -= 1
            if self._references[digest]:
                continue
            del self._references[digest]
            self.reserved_bytes -= size
            if digest in self._chunks:
                self._unreferenced[digest] = None
            else:
                self._sizes.pop(digest)

    def put(self, digest, data):
        """Verify a chunk against its digest and store it.

        :param digest: digest under which the chunk was requested.
        :param data: bytes received.
        :returns: :class:`PutOutcome`; the data are stored only with ``STORED``.
        """
        outcome = self._classify(digest, data)
        self.counts[outcome.value] += 1
        if outcome is PutOutcome.STORED:
            self._evict(len(data))
            self._chunks[digest] = data
            self.held_bytes += len(data)
        return outcome

    def _classify(self, digest, data):
        if manifests.chunk_digest(data) != digest:
            return PutOutcome.CORRUPT
        if digest in self._chunks:
            return PutOutcome.DUPLICATE
        if not self._references[digest]:
            return PutOutcome.UNWANTED
        return PutOutcome.STORED

    def _evict(self, extra_bytes):
        while self.held_bytes + extra_bytes > self.limit_bytes and self._unreferenced:
            digest = next(iter(self._unreferenced))
            del self._unreferenced[digest]
            self.held_bytes -= self._sizes.pop(digest)
            del self._chunks[digest]
            self.counts["evicted"] += 1

    def get(self, digest):
        """Return a chunk.

        :param digest: digest of the chunk.
        :returns: bytes, or None when it is not held.
        """
        return self._chunks.get(digest)

    def has(self, digest):
        """Tell whether a chunk is held.

        :param digest: digest of the chunk.
        """
        return digest in self._chunks

    def is_complete(self, manifest):
        """Tell whether every chunk of a manifest is held; all were verified on arrival.

        :param manifest: :class:`manifests.Manifest`.
        """
        return all(digest in self._chunks for digest in manifest.chunk_digests)

    def read(self, manifest):
        """Iterate over the chunks of a complete manifest, in the order of the weights.

        :param manifest: :class:`manifests.Manifest`.
        :returns: iterator over the chunks as bytes.
        :raises ValueError: when a chunk is missing, before the iteration starts.
        """
        if not self.is_complete(manifest):
            raise ValueError(
                f"manifest {manifest.digest} is incomplete: chunks are missing"
            )
        return (self._chunks[digest] for digest in manifest.chunk_digests)


def _sizes(manifest):
    return {
        digest: manifest.chunk_size(index)
        for index, digest in enumerate(manifest.chunk_digests)
    }
