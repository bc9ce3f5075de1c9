"""Framing of a response: how its end is marked, and how it ended."""

import dataclasses
import enum


class Framing(enum.Enum):
    """How the end of a response's body is marked.

    ``UNKNOWN``: the headers have not arrived. ``LENGTH``: by a declared length.
    ``CHUNKS``: by a last chunk. ``CLOSE``: by neither, so that the body ends with the
    connection.
    """

    UNKNOWN = "unknown"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Termination(enum.Enum):
    """What ended the reception of a response.

    ``NONE``: no response was awaited, because no request was sent.
    ``COMPLETE``: the declared length or the last chunk was reached. ``CLOSED``: the
    server closed the connection. ``RESET``: the connection was lost in another way,
    such as by a reset or a time limit of the kernel. ``INVALID``: the bytes are not a
    response. ``CANCELLED``: the receiver gave the response up, for example after a
    time limit.
    """

    NONE = "none"
    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"
    INVALID = "invalid"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class ResponseEnd:
    """How a response ended.

    :param framing: :class:`Framing`.
    :param termination: :class:`Termination`.
    :param body_bytes: number of bytes of the body that arrived.
    """

    framing: Framing = Framing.UNKNOWN
    termination: Termination = Termination.NONE
    body_bytes: int = 0


def framing_of(head):
    """Return the :class:`Framing` of a response.

    :param head: :class:`cicadaplank.gateway.dialects.ResponseHead`, or None while the
        headers have not arrived.
    """
    if head is None:
        return Framing.UNKNOWN
    if head.is_chunked:
        return Framing.CHUNKS
    return Framing.CLOSE if head.length is None else Framing.LENGTH
