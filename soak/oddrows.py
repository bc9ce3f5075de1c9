"""Rows of another writer that name no server, model or version to use."""

import json

HUGE = 10**400
INFINITE = float("inf")
NESTED = b"[" * 100_000 + b"]" * 100_000
NO_OBJECTS = (b"", b"\xff\xfe{", b"null", b"7", b'"text"', b"[]", NESTED)
_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:0",
    "127.0.0.1:" + "9" * 30,
    "127.0.0.1:\u0661\u0662",
    ":80",
    "h" * 400 + ":80",
    "a\0b:80",
    "\ud800:80",
    "127.0.0.1",
    7,
)
_FIELDS = (
    {"slots": INFINITE},
    {"slots": HUGE},
    {"slots": -4},
    {"slots": float("nan")},
    {"models": [{"name": "m", "version": INFINITE}]},
    {"models": [{"name": "m", "version": HUGE}]},
    {"models": [{"name": "\ud800", "version": 1}]},
    {"models": 7},
    {"models": [None]},
    {"warmup_left_ms": INFINITE},
    {"warmup_left_ms": HUGE},
    {"warmup_left_ms": float("nan")},
    {"born": HUGE},
    {"born": "now"},
    {"state": "odd"},
    {"state": ["ready"]},
    {"service": "another"},
    {"service": {}},
    {"zone": 7},
)
_VERSIONS = (INFINITE, HUGE, -3, True, "7", [2], None, float("nan"))


def _encode(value):
    return json.dumps(value).replace("Infinity", "1e999").encode()


def endpoint_rows(service):
    """Return rows among those of servers, as bytes.

    :param service: name of a service that has servers.
    """
    row = {"service": service, "address": "127.0.0.1:9", "zone": "a", "slots": 6}
    row |= {"state": "ready", "seq": 1}
    found = [row | {"address": address} for address in _ADDRESSES]
    found += [row | fields for fields in _FIELDS]
    found += [{k: v for k, v in row.items() if k != name} for name in row]
    return (*NO_OBJECTS, *map(_encode, found))


def operator_rows():
    """Return rows among those of the operator, as bytes."""
    found = [{"model": "odd", "version": version} for version in _VERSIONS]
    found += [{"model": "\ud800", "version": 2}, {"model": HUGE}, {}]
    return (*NO_OBJECTS, *map(_encode, found))
