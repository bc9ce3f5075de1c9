"""Structured log: each event is one line of ``key=value`` pairs."""

import json
import re

import logbook

# Longer values are truncated: a request body or a table in an error message would
# flood the log.
MAX_VALUE_CHARS = 500
LEVELS = ("debug", "info", "warning", "error")
_UNQUOTED_VALUE = re.compile(r"[^\s=\"\\]+")
_KEY = re.compile(r"[a-z][a-z0-9_]*")
RESERVED_KEYS = ("time", "level", "process", "event")


class Events:
    """Writes the log lines of one process.

    :param process: instance name, written with every event.
    :param logger: logbook logger, by default one with the name of the process.
    """

    def __init__(self, process, logger=None):
        self._process = process
        self._logger = logger or logbook.Logger(process)

    def log(self, event, level="info", **fields):
        """Write one event as a log line.

        :param event: name of the event.
        :param level: ``debug``, ``info``, ``warning`` or ``error``.
        :param fields: further keys; quantities carry their unit as a suffix.
        :raises ValueError: for an unknown level, or a key that is reserved or not a
            lower-case name.
        """
        if level not in LEVELS:
            raise ValueError(f"unknown log level, expected one of {', '.join(LEVELS)}")
        reserved = sorted(set(fields) & set(RESERVED_KEYS))
        if reserved:
            raise ValueError(f"reserved log keys used as fields: {', '.join(reserved)}")
        line = format_fields({"process": self._process, "event": event, **fields})
        getattr(self._logger, level)("{}", line)


def handler(stream):
    """Return a handler that writes log lines to a stream, time and level first.

    :param stream: text stream.
    :returns: logbook handler; the caller pushes it.
    """
    stream_handler = logbook.StreamHandler(stream, level=logbook.DEBUG)
    stream_handler.formatter = _format_record
    return stream_handler


def _format_record(record, _):
    time = record.time.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    return f"time={time} level={record.level_name.lower()} {record.message}"


def format_fields(fields):
    """Format fields as ``key=value`` pairs on one line.

    :param fields: dict; an empty value, or one with white space, a quote, a backslash
        or ``=``, is written as a JSON string.
    :returns: text.
    :raises ValueError: when a key is not a lower-case name.
    """
    return " ".join(
        f"{_checked_key(key)}={_format_value(value)}" for key, value in fields.items()
    )


def parse_fields(line):
    """Parse a line that :func:`format_fields` wrote.

    :param line: text.
    :returns: dict from key to value, both texts.
    :raises ValueError: when the line is malformed.
    """
    fields = {}
    position = 0
    decoder = json.JSONDecoder()
    while position < len(line):
        key, equals, _ = line[position:].partition("=")
        if not equals or not _KEY.fullmatch(key):
            raise ValueError(f"expected key=value at column {position + 1}")
        position += len(key) + 1
        if line[position : position + 1] == '"':
            value, position = decoder.raw_decode(line, position)
        else:
            found = _UNQUOTED_VALUE.match(line, position)
            if found is None:
                raise ValueError(f"expected a value at column {position + 1}")
            value, position = found.group(), found.end()
        fields[key] = value
        if position < len(line) and line[position] != " ":
            raise ValueError(f"expected a space at column {position + 1}")
        position += 1
    return fields


def _checked_key(key):
    if not _KEY.fullmatch(key):
        raise ValueError(f"log key {key!r} is not a lower-case name")
    return key


def _format_value(value):
    if isinstance(value, float):
        text = f"{value:.6g}"
    elif isinstance(value, bool) or value is None:
        text = json.dumps(value)
    else:
        text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    return text if _UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)
