"""What :class:`cicadaplank.weights.transfers.Transfers` asks its edge to do."""

import dataclasses
import functools

from cicadaplank.messages import types


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to a peer; open a stream when there is none.

    When the stream cannot be opened or breaks, the edge calls ``peer_lost``. A message
    that cannot be queued may be dropped.

    :param peer: instance name.
    :param message: one of :mod:`cicadaplank.messages.types`.
    """

    peer: str
    message: object


@dataclasses.dataclass(frozen=True)
class FetchManifest:
    """Read a manifest from the object store.

    Answer with ``manifest_fetched`` or ``manifest_failed``.

    :param manifest_digest: digest in the accepted row.
    """

    manifest_digest: str


@dataclasses.dataclass(frozen=True)
class FetchChunk:
    """Fetch a chunk from the origin.

    Answer with ``origin_replied`` or ``origin_failed``.

    :param chunk_digest: SHA-256 in hex.
    :param size_bytes: expected size.
    """

    chunk_digest: str
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class CopyComplete:
    """Every chunk of a version is held and checked.

    :param manifest_digest: digest in the accepted row.
    :param row: row name.
    """

    manifest_digest: str
    row: str


@dataclasses.dataclass(frozen=True)
class MemoryTooSmall:
    """A version is not copied because the chunk store has too little memory.

    :param manifest_digest: digest in the accepted row.
    :param row: row name.
    :param missing_bytes: memory that is missing.
    """

    manifest_digest: str
    row: str
    missing_bytes: int


@dataclasses.dataclass(frozen=True)
class PeerExcluded:
    """A peer sent too many corrupt chunks and is asked for nothing more.

    :param peer: instance name.
    :param corrupt: corrupt chunks.
    """

    peer: str
    corrupt: int


def after_sending(action, left):
    """Return what the edge calls when a message has left this machine.

    :param action: :class:`Send`.
    :param left: called with peer and transfer when a chunk has left.
    :returns: callable, or None for messages that are no chunks.
    """
    if not isinstance(action.message, types.ChunkReply):
        return None
    return functools.partial(left, action.peer, action.message.transfer)
