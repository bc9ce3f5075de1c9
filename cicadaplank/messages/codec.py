"""Encoding of the messages between the system's processes as msgpack frames."""

import dataclasses
import enum
import math

import msgpack

from cicadaplank.messages import types

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 2 * 1024 * 1024
# Limit on the elements of all arrays and maps of a frame: one byte of a frame may be an
# empty map, which takes 72 bytes in the interpreter.
MAX_PARTS = 65_536
ENVELOPE_FIELDS = 5


class FrameFault(enum.Enum):
    """Reason for which a frame is rejected."""

    TOO_LONG = "too_long"
    TRUNCATED = "truncated"
    UNKNOWN_TYPE = "unknown_type"
    WRONG_VERSION = "wrong_version"
    MALFORMED = "malformed"
    INVALID_VALUE = "invalid_value"


class FrameError(ValueError):
    """A frame that is invalid or too long.

    :param fault: :class:`FrameFault`.
    :param detail: text that names the value at fault.
    """

    def __init__(self, fault, detail):
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A message with its sender and the sender's table version.

    :param sender: instance name of the sender.
    :param table_version: version of the newest accepted configuration that the sender
        holds; of entry instances that call endpoints directly, the one in force there.
    :param message: one of :mod:`cicadaplank.messages.types`.
    """

    sender: str
    table_version: int
    message: object


_TYPES = {
    name: value
    for name, value in vars(types).items()
    if isinstance(value, type) and dataclasses.is_dataclass(value)
}
_FIELDS = {name: dataclasses.fields(value) for name, value in _TYPES.items()}


def encode(envelope):
    """Encode an envelope.

    :param envelope: :class:`Envelope`.
    :returns: bytes of one frame, without length prefix.
    :raises FrameError: when the frame is longer than ``MAX_FRAME_BYTES``.
    """
    message = envelope.message
    name = type(message).__name__
    body = [getattr(message, field.name) for field in _FIELDS[name]]
    frame = msgpack.packb(
        [PROTOCOL_VERSION, envelope.sender, envelope.table_version, name, body]
    )
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError(FrameFault.TOO_LONG, f"{name} of {len(frame)} bytes")
    return frame


def decode(frame):
    """Decode one frame and check the type of every field.

    :param frame: bytes of one frame, without length prefix.
    :returns: :class:`Envelope`.
    :raises FrameError: when the frame is invalid.
    """
    values = _unpack(frame)
    if not isinstance(values, list) or not values:
        raise FrameError(FrameFault.MALFORMED, "envelope is not a non-empty list")
    if values[0] != PROTOCOL_VERSION:
        raise FrameError(FrameFault.WRONG_VERSION, f"protocol version {values[0]!r}")
    if len(values) != ENVELOPE_FIELDS:
        raise FrameError(FrameFault.MALFORMED, f"envelope has {len(values)} fields")
    _, sender, table_version, name, body = values
    if not isinstance(sender, str) or not _is_non_negative_integer(table_version):
        raise FrameError(FrameFault.MALFORMED, "invalid sender or table version")
    if not isinstance(name, str) or name not in _TYPES:
        raise FrameError(FrameFault.UNKNOWN_TYPE, f"message type {name!r}")
    return Envelope(sender, table_version, _build_message(name, body))


def _unpack(frame):
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError(FrameFault.TOO_LONG, f"{len(frame)} bytes")
    parts = 0

    def count(container):
        nonlocal parts
        parts += 1 + len(container)
        if parts > MAX_PARTS:
            raise FrameError(FrameFault.MALFORMED, f"more than {MAX_PARTS} parts")
        return container

    try:
        return msgpack.unpackb(
            frame,
            list_hook=count,
            object_hook=count,
            max_array_len=MAX_PARTS,
            max_map_len=MAX_PARTS,
        )
    except FrameError:
        raise
    except msgpack.exceptions.ExtraData as error:
        raise FrameError(FrameFault.MALFORMED, "extra bytes after envelope") from error
    except ValueError as error:
        # msgpack reports truncated input as a plain ValueError.
        fault = FrameFault.MALFORMED
        if "incomplete" in str(error):
            fault = FrameFault.TRUNCATED
        raise FrameError(fault, str(error) or "not msgpack") from error


def _is_non_negative_integer(value):
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _build_message(name, body):
    fields = _FIELDS[name]
    if not isinstance(body, list) or len(body) != len(fields):
        raise FrameError(FrameFault.MALFORMED, f"{name} has the wrong number of fields")
    for field, value in zip(fields, body, strict=True):
        if not _has_type(field.type, value):
            raise FrameError(
                FrameFault.MALFORMED, f"{name}.{field.name}: wrong type: {value!r:.40}"
            )
        if not _is_valid(field, value):
            raise FrameError(
                FrameFault.INVALID_VALUE, f"{name}.{field.name}: {value!r:.40}"
            )
    return _TYPES[name](*body)


def _is_valid(field, value):
    """Tell whether a number is finite, and keys and values are of their types."""
    if field.type is float:
        return math.isfinite(value)
    types_of = field.metadata.get("items")
    return types_of is None or all(
        _has_type(types_of[0], key) and _has_type(types_of[1], item)
        for key, item in value.items()
    )


def _has_type(expected, value):
    if expected is float:
        return isinstance(value, (int, float)) and not isinstance(value, bool)
    if expected is int:
        return isinstance(value, int) and not isinstance(value, bool)
    return isinstance(value, expected)
