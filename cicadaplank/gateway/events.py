"""Parsing of event streams (``text/event-stream``)."""

import dataclasses

# Limit of one event; engines do not send longer ones.
MAX_EVENT_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True)
class Event:
    """One complete event.

    :param identifier: value of its ``id`` line, or empty.
    :param data: raw bytes of the event, including the empty line that ends it.
    """

    identifier: bytes
    data: bytes


class EventSplitter:
    """Incremental parser that splits the bytes of a stream into complete events."""

    def __init__(self):
        self._rest = b""

    @property
    def rest(self):
        """Return the bytes after the last complete event."""
        return self._rest

    @property
    def is_inside_event(self):
        """Whether bytes of an unfinished event were received.

        Empty lines and complete comment lines are not part of an event.
        """
        return any(
            line.strip(b"\r\n")
            and not (line.startswith(b":") and line.endswith((b"\n", b"\r")))
            for line in self._rest.splitlines(keepends=True)
        )

    def feed(self, data):
        """Parse the next bytes of the stream.

        :param data: bytes.
        :returns: list of the :class:`Event` that they complete.
        :raises ValueError: when an incomplete event is longer than
            :data:`MAX_EVENT_BYTES`.
        """
        parts = (self._rest + data).split(b"\n\n")
        self._rest = parts.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return [Event(_identifier(part), part + b"\n\n") for part in parts]


def _identifier(event):
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""


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
