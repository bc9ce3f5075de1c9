"""Parsing of event streams (``text/event-stream``)."""

import dataclasses
import re

# Default limit of one event.
MAX_EVENT_BYTES = 256 * 1024
# An empty line, which ends an event, with each kind of line end.
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r|\n\r\n|\r\n\n")
# Bytes before the end of the buffer in which an event's end may have begun.
_END_OVERLAP_BYTES = 3
# Empty lines and complete comments, which are no part of an event's fields.
_FILLER = re.compile(rb"(?:[\r\n]|:[^\r\n]*[\r\n])+")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")


@dataclasses.dataclass(frozen=True)
class Event:
    """One complete event.

    :param identifier: value of its ``id`` line, or empty.
    :param data: raw bytes of the event, including the empty line that ends it.
    :param is_comment: whether it has comments and empty lines only. Any number of them
        in a row may be one event.
    """

    identifier: bytes
    data: bytes
    is_comment: bool = False


class EventSplitter:
    """Incremental parser that splits the bytes of a stream into complete events.

    :param limit_bytes: maximum size of an event.
    """

    def __init__(self, limit_bytes=MAX_EVENT_BYTES):
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()

    @property
    def rest(self):
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def rest_bytes(self):
        """Return the number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def is_inside_event(self):
        """Whether bytes of an unfinished event were received.

        Empty lines and complete comment lines are not part of an event.
        """
        return any(
            line.strip(b"\r\n")
            and not (line.startswith(b":") and line.endswith((b"\n", b"\r")))
            for line in self._buffer.splitlines(keepends=True)
        )

    def feed(self, data):
        """Parse the next bytes of the stream.

        :param data: bytes.
        :returns: list of the :class:`Event` that they complete.
        :raises ValueError: when an incomplete event is longer than the limit.
        """
        searched = max(0, len(self._buffer) - _END_OVERLAP_BYTES)
        self._buffer += data
        found, start = [], 0
        while match := _EVENT_END.search(self._buffer, max(start, searched)):
            filler = _FILLER.match(self._buffer, start)
            if filler is not None and filler.end() >= match.end():
                end = filler.end()
                event = Event(b"", bytes(self._buffer[start:end]), is_comment=True)
            else:
                end = match.end()
                event = _parse_event(bytes(self._buffer[start:end]))
            found.append(event)
            start = end
        del self._buffer[:start]
        if len(self._buffer) > self._limit_bytes:
            raise ValueError(f"an event is longer than {self._limit_bytes} bytes")
        return found


def _parse_event(data):
    line = _ID_LINE.search(data)
    return Event(line.group(1).strip() if line else b"", data)


class Numbering:
    """Tells whether the identifiers of a stream number its events one by one.

    Others, such as the number of tokens so far, may grow by more.
    """

    def __init__(self):
        self._last = None
        self._steps = 0
        self._is_steady = True

    def add(self, identifier):
        """Record the identifier of the next event, as bytes."""
        try:
            number = int(identifier)
        except ValueError:
            self._is_steady = False
            return
        if self._last is not None:
            self._steps += 1
            self._is_steady &= number == self._last + 1
        self._last = number

    def may_follow(self, identifier):
        """Tell whether no event is missing before the one with an identifier.

        This is not known before two identifiers have followed each other.
        """
        if not self._steps or not self._is_steady:
            return True
        try:
            return int(identifier) == self._last + 1
        except ValueError:
            return False


def is_newer(identifier, previous):
    """Tell whether an event comes after the last one that was forwarded.

    Numeric identifiers are compared as numbers. Others only have to differ, and an
    event is always newer when either identifier is empty.

    :param identifier: identifier of the event, or empty.
    :param previous: identifier of the last forwarded event, or empty.
    """
    if not identifier or not previous:
        return True
    try:
        return int(identifier) > int(previous)
    except ValueError:
        return identifier != previous
