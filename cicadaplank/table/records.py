"""Requests to the table service and their results, for state machines without I/O.

The caller of a state machine carries out :class:`ReadKeys` and :class:`Transact` with
an HTTP client and passes the result back to it. Every request gets exactly one result;
a request that times out in the client gets :class:`Unavailable` when it certainly had
no effect and :class:`AnswerLost` otherwise. The result of a failed read is always
:class:`Unavailable`.
"""

import dataclasses
import hashlib
import json

CURRENT_KEY = "table/current"
VERSION_PREFIX = "table/version/"
CHANGE_PREFIX = "table/change/"
LEASE_PREFIX = "lease/"


@dataclasses.dataclass(frozen=True)
class Record:
    """One record of the table service.

    :param key: key.
    :param value: JSON text.
    :param revision: number that grows with each write to the key; 0 for an absent key.
    """

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True)
class ReadKeys:
    """Action: read these keys from one snapshot.

    :param keys: tuple of keys.
    """

    keys: tuple


@dataclasses.dataclass(frozen=True)
class Transact:
    """Action: write all ``puts`` atomically if every condition holds, else none.

    :param change_id: identifier of the change; the same when the change is sent again.
    :param conditions: tuple of ``(key, expected revision)``, 0 for an absent key.
    :param puts: tuple of ``(key, value)``.
    """

    change_id: str
    conditions: tuple
    puts: tuple


@dataclasses.dataclass(frozen=True)
class RecordsRead:
    """Result of :class:`ReadKeys`.

    An absent key has no record, or one with revision 0.

    :param records: tuple of :class:`Record`.
    """

    records: tuple = ()

    def get(self, key):
        """Return the record of a key.

        :param key: key.
        :returns: :class:`Record`, with revision 0 and empty value for an absent key.
        """
        found = (r for r in self.records if r.key == key and r.revision > 0)
        return next(found, Record(key, "", 0))


@dataclasses.dataclass(frozen=True)
class Committed:
    """Result of :class:`Transact`: the puts took effect."""


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Result of :class:`Transact`: a condition failed and nothing took effect.

    :param records: tuple of :class:`Record`, one for each key whose condition failed.
    """

    records: tuple = ()


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """Result of either request: it certainly had no effect.

    :param reason: short text.
    """

    reason: str = "table service unavailable"


@dataclasses.dataclass(frozen=True)
class AnswerLost:
    """Result of :class:`Transact`: it may or may not have taken effect.

    :param reason: short text.
    """

    reason: str = "no answer from the table service"


@dataclasses.dataclass(frozen=True)
class CurrentVersion:
    """Value of the record ``table/current``.

    :param version: current version number, 0 when no table was accepted yet.
    :param change_id: identifier of the change.
    :param digest: :func:`digest` of the configuration's JSON text.
    """

    version: int = 0
    change_id: str = ""
    digest: str = ""

    def to_json(self):
        """Return the value as JSON text."""
        return json.dumps(dataclasses.asdict(self), sort_keys=True)


def parse_current(record):
    """Parse the record ``table/current``.

    :param record: :class:`Record`; revision 0 means that no table was accepted yet.
    :returns: :class:`CurrentVersion`.
    :raises ValueError: when the value is malformed or has no positive version.
    """
    if record.revision == 0:
        return CurrentVersion()
    try:
        current = CurrentVersion(**json.loads(record.value))
    except TypeError as error:
        raise ValueError(f"{CURRENT_KEY} is malformed: {record.value!r:.80}") from error
    if not isinstance(current.version, int) or current.version < 1:
        raise ValueError(f"{CURRENT_KEY} has no positive version: {record.value!r:.80}")
    return current


def version_key(version):
    """Return the key under which a configuration is stored.

    :param version: version number.
    :returns: key; the number is zero-padded so that keys sort by version.
    """
    return f"{VERSION_PREFIX}{version:09d}"


def digest(text):
    """Return the SHA-256 digest of a text in hexadecimal.

    :param text: JSON text.
    :returns: 64 hexadecimal digits.
    """
    return hashlib.sha256(text.encode()).hexdigest()
