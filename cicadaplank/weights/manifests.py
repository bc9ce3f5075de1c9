"""Manifests, which list the chunks of one version of a model or adapter."""

import dataclasses
import hashlib
import json

from returns import result

# A ManifestReply carries the manifest in one frame of at most 2 MiB. A chunk digest
# takes 67 bytes of JSON, so this limit leaves a quarter of the frame as a margin.
MAX_CHUNKS = 24_000
# A ChunkReply carries a chunk and its envelope in one frame of at most 2 MiB.
MAX_CHUNK_BYTES = 2 * 1024 * 1024 - 1024
# Smaller chunks shorten the distribution, but each chunk costs messages and a digest.
# bench/weights.py measures at 64 replicas how much longer larger chunks take.
DEFAULT_CHUNK_BYTES = 512 * 1024
DIGEST_LENGTH = 64


def chunk_digest(data):
    """Return the digest by which a chunk is addressed.

    :param data: bytes of the chunk.
    :returns: SHA-256 in hex.
    """
    return hashlib.sha256(data).hexdigest()


@dataclasses.dataclass(frozen=True)
class Manifest:
    """Manifest of one version of a model or adapter.

    :param name: row name.
    :param version: version name.
    :param chunk_bytes: size of every chunk but the last, in bytes.
    :param size_bytes: total size of all chunks.
    :param chunk_digests: tuple of SHA-256 in hex, in the order of the weights.
    :param digest: SHA-256 in hex over the JSON text of all other fields.
    """

    name: str
    version: str
    chunk_bytes: int
    size_bytes: int
    chunk_digests: tuple
    digest: str

    def chunk_size(self, index):
        """Return the size of a chunk.

        :param index: position of the chunk, from 0.
        :returns: bytes.
        """
        return min(self.chunk_bytes, self.size_bytes - index * self.chunk_bytes)

    def to_json(self):
        """Return the manifest as JSON text that :func:`parse` reads."""
        return _canonical_json(self)


def _canonical_json(manifest):
    return json.dumps(
        {
            "name": manifest.name,
            "version": manifest.version,
            "chunk_bytes": manifest.chunk_bytes,
            "size_bytes": manifest.size_bytes,
            "chunk_digests": list(manifest.chunk_digests),
        },
        sort_keys=True,
        separators=(",", ":"),
    )


def _with_digest(name, version, chunk_bytes, size_bytes, chunk_digests):
    manifest = Manifest(name, version, chunk_bytes, size_bytes, chunk_digests, "")
    digest = hashlib.sha256(_canonical_json(manifest).encode()).hexdigest()
    return dataclasses.replace(manifest, digest=digest)


def from_digests(name, version, chunk_bytes, chunk_digests):
    """Build the manifest of weights whose chunks all have the same size.

    :param name: row name.
    :param version: version name.
    :param chunk_bytes: size of every chunk, in bytes.
    :param chunk_digests: SHA-256 of the chunks in hex, in the order of the weights.
    :returns: ``Success(Manifest)``, or ``Failure(str)`` with the reason.
    """
    size_bytes = chunk_bytes * len(chunk_digests)
    described = _with_digest(
        name, version, chunk_bytes, size_bytes, tuple(chunk_digests)
    )
    return _validated(described)


def build(name, version, data, chunk_bytes=DEFAULT_CHUNK_BYTES):
    """Divide weights into chunks and build their manifest.

    :param name: row name.
    :param version: version name.
    :param data: weights as bytes or memoryview.
    :param chunk_bytes: size of every chunk but the last, in bytes.
    :returns: ``(manifest, chunks)``, the chunks as a dict from digest to bytes.
    :raises ValueError: when ``chunk_bytes`` is out of range, or the weights are empty
        or need more than ``MAX_CHUNKS`` chunks.
    """
    if not 0 < chunk_bytes <= MAX_CHUNK_BYTES:
        raise ValueError(f"chunk_bytes must be 1 to {MAX_CHUNK_BYTES}: {chunk_bytes}")
    if not 0 < len(data) <= MAX_CHUNKS * chunk_bytes:
        raise ValueError(
            f"weights of {len(data)} bytes need 1 to {MAX_CHUNKS} chunks of "
            f"{chunk_bytes} bytes"
        )
    digests, chunks = [], {}
    for start in range(0, len(data), chunk_bytes):
        chunk = bytes(data[start : start + chunk_bytes])
        digests.append(chunk_digest(chunk))
        chunks[digests[-1]] = chunk
    manifest = _with_digest(name, version, chunk_bytes, len(data), tuple(digests))
    return manifest, chunks


def parse(text, expected_digest=None):
    """Parse a manifest and check it against the digest in the accepted row.

    :param text: JSON text as :meth:`Manifest.to_json` returns it.
    :param expected_digest: ``manifest_digest`` of the row, or None when no row states
        one.
    :returns: ``Success(Manifest)``, or ``Failure(str)`` with the reason.
    """
    try:
        document = json.loads(text)
        fields = _parse_fields(document)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        return result.Failure(f"manifest cannot be parsed: {error!r:.80}")
    manifest = _with_digest(*fields)
    if expected_digest is not None and manifest.digest != expected_digest:
        return result.Failure(
            f"manifest has digest {manifest.digest}, expected {expected_digest}"
        )
    return _validated(manifest)


def _parse_fields(document):
    digests = document["chunk_digests"]
    if not isinstance(digests, list) or not all(isinstance(d, str) for d in digests):
        raise ValueError("chunk_digests must be a list of strings")
    for name in ("chunk_bytes", "size_bytes"):
        if type(document[name]) is not int:
            raise ValueError(f"{name} must be an integer")
    return (
        str(document["name"]),
        str(document["version"]),
        document["chunk_bytes"],
        document["size_bytes"],
        tuple(digests),
    )


def _validated(manifest):
    if not 0 < manifest.chunk_bytes <= MAX_CHUNK_BYTES:
        return result.Failure(f"chunk_bytes is out of range: {manifest.chunk_bytes}")
    count = -(-manifest.size_bytes // manifest.chunk_bytes)
    if not 0 < count <= MAX_CHUNKS or count != len(manifest.chunk_digests):
        return result.Failure(
            f"{len(manifest.chunk_digests)} chunk digests do not fit weights of "
            f"{manifest.size_bytes} bytes"
        )
    if any(len(digest) != DIGEST_LENGTH for digest in manifest.chunk_digests):
        return result.Failure("a chunk digest is not 64 characters long")
    return result.Success(manifest)
