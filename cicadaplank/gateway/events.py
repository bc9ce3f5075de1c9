"""Events of a stream (``text/event-stream``)."""

import dataclasses

# An event that is longer than this is not one of an engine.
MAX_EVENT_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True)
class Event:
    """One complete event.

    :param identifier: value of its ``id`` line, or empty.
    :param data: its bytes, the empty line at the end included.
    """

    identifier: bytes
    data: bytes


class EventSplitter:
    """Divides the bytes of a stream into complete events."""

    def __init__(self):
        self._rest = b""

    @property
    def rest(self):
        """Return the bytes that are not part of a complete event yet."""
        return self._rest

    def feed(self, data):
        """Take bytes.

        :returns: list of :class:`Event` that are complete now.
        :raises ValueError: when an event is longer than :data:`MAX_EVENT_BYTES`.
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


def follows(identifier, previous):
    """Tell whether an event comes after the last one that was passed on.

    :param identifier: identifier of the event, or empty.
    :param previous: identifier of the last event, or empty.
    """
    if not identifier or not previous:
        return True
    try:
        return int(identifier) > int(previous)
    except ValueError:
        return identifier != previous
