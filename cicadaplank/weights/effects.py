"""Actions that :class:`cicadaplank.weights.transfers.Transfers` returns.

The I/O layer of the process carries them out and reports the outcome by calling event
methods of ``Transfers``.
"""

import dataclasses
import functools

from cicadaplank.messages import types


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to a peer over its stream, which is opened when there is none.

    When the stream cannot be opened or breaks, the I/O layer calls ``peer_lost``. It
    may drop a message that cannot be queued.

    :param peer: instance name.
    :param message: a message of :mod:`cicadaplank.messages.types`.
    """

    peer: str
    message: object


@dataclasses.dataclass(frozen=True)
class FetchManifest:
    """Read a manifest from the object store.

    The I/O layer reports the outcome with ``manifest_fetched`` or ``manifest_failed``.

    :param manifest_digest: digest in the accepted row.
    """

    manifest_digest: str


@dataclasses.dataclass(frozen=True)
class FetchChunk:
    """Fetch a chunk from the origin.

    The I/O layer reports the outcome with ``origin_replied`` or ``origin_failed``.

    :param chunk_digest: SHA-256 in hex.
    :param size_bytes: expected size of the chunk.
    """

    chunk_digest: str
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class CopyComplete:
    """Report that every chunk of a version is held and verified.

    :param manifest_digest: digest in the accepted row.
    :param row: row name.
    """

    manifest_digest: str
    row: str


@dataclasses.dataclass(frozen=True)
class MemoryTooSmall:
    """Report that a version is not copied for lack of memory in the chunk store.

    :param manifest_digest: digest in the accepted row.
    :param row: row name.
    :param missing_bytes: additional memory that the version needs.
    """

    manifest_digest: str
    row: str
    missing_bytes: int


@dataclasses.dataclass(frozen=True)
class PeerExcluded:
    """Report that nothing more is requested from a peer that sent corrupt chunks.

    :param peer: instance name.
    :param corrupt: number of corrupt chunks that the peer sent.
    """

    peer: str
    corrupt: int


def after_sending(action, on_left):
    """Return the callback for the time when a message has left this machine.

    :param action: :class:`Send`.
    :param on_left: function of the peer and the transfer of a chunk that has left.
    :returns: callable without arguments, or None for a message without a chunk.
    """
    if not isinstance(action.message, types.ChunkReply):
        return None
    return functools.partial(on_left, action.peer, action.message.transfer)
