"""Interface and HTTP client of the transactional table service."""

import dataclasses
import json
import typing

import msgspec
from twisted.internet import defer

from cicadaplank.external import errors, http

MAX_PREFIX_RECORDS = 1_000
# Largest integer that every JSON parser and message keeps exactly.
MAX_REVISION = 2**53 - 1


@dataclasses.dataclass(frozen=True)
class Record:
    """State of one key.

    :param key: key of the record.
    :param value: text, or None for an absent key.
    :param revision: revision of the last change, 0 for an absent key.
    """

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Condition:
    """Expected revision of one key, without which a transaction has no effect.

    :param key: key of the record.
    :param revision: expected revision, 0 for an absent key.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Put:
    """Write or deletion of one record.

    :param key: key of the record.
    :param value: text, or None to delete the record.
    """

    key: str
    value: str


@dataclasses.dataclass(frozen=True)
class Committed:
    """The transaction took effect.

    :param revision: revision of all records that it wrote.
    """

    revision: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The transaction had no effect because a condition did not hold.

    :param records: tuple of :class:`Record`, the present state of the key of each
        failed condition.
    """

    records: tuple


class TableService(typing.Protocol):
    """The table service. Every method returns a Deferred."""

    def read(self, keys):
        """Read records.

        :param keys: iterable of keys.
        :returns: Deferred with a tuple of :class:`Record`, one for each key, in the
            order of ``keys``; fails with :class:`errors.Unavailable`.
        """

    def read_prefix(self, prefix, limit=MAX_PREFIX_RECORDS):
        """Read the records whose keys have a prefix, in the order of the keys.

        :param prefix: prefix of the keys.
        :param limit: maximum number of records.
        :returns: Deferred with a tuple of :class:`Record`; fails with
            :class:`errors.Unavailable`.
        """

    def transact(self, change_id, conditions, puts):
        """Apply all writes atomically if all conditions hold, else none.

        :param change_id: identifier of the change, for the service's log.
        :param conditions: iterable of :class:`Condition`.
        :param puts: iterable of :class:`Put`.
        :returns: Deferred with :class:`Committed` or :class:`Conflict`; fails with
            :class:`errors.Unavailable` (no effect) or :class:`errors.AnswerLost`
            (effect unknown).
        """


class TableServiceClient:
    """:class:`TableService` over HTTP.

    :param client: :class:`cicadaplank.external.http.Client`.
    """

    def __init__(self, client):
        self._client = client

    def read(self, keys):
        """See :meth:`TableService.read`."""
        return http.run_read_only(self._read(tuple(keys)))

    async def _read(self, keys):
        body = json.dumps({"keys": keys}).encode()
        answer = await self._client.send("POST", "/read", body)
        found = {
            record.key: record for record in _parse_records(http.check_status(answer))
        }
        return tuple(found.get(key, Record(key, None, 0)) for key in keys)

    def read_prefix(self, prefix, limit=MAX_PREFIX_RECORDS):
        """See :meth:`TableService.read_prefix`."""
        return http.run_read_only(self._read_prefix(prefix, limit))

    async def _read_prefix(self, prefix, limit):
        body = json.dumps({"prefix": prefix, "limit": limit}).encode()
        answer = await self._client.send("POST", "/read_prefix", body)
        return _parse_records(http.check_status(answer))

    def transact(self, change_id, conditions, puts):
        """See :meth:`TableService.transact`."""
        document = {
            "change_id": change_id,
            "conditions": [[c.key, c.revision] for c in conditions],
            "puts": [[put.key, put.value] for put in puts],
        }
        return defer.Deferred.fromCoroutine(self._transact(document))

    async def _transact(self, document):
        answer = await self._client.send_json("POST", "/transact", document)
        http.check_status(answer, (200, 409))
        if answer.status == 409:
            return Conflict(_parse_records(answer))
        revision = answer.json().get("revision")
        if not isinstance(revision, int):
            raise errors.AnswerLost("the response to /transact has no integer revision")
        return Committed(revision)


# Text without lone surrogates, which messages and logs cannot carry.
_Text = typing.Annotated[str, msgspec.Meta(pattern=r"\A[^\ud800-\udfff]*\Z")]


class _Row(msgspec.Struct, frozen=True):
    """Record in an answer of the service."""

    key: _Text
    value: _Text | None
    revision: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class _Answer(msgspec.Struct, frozen=True):
    """Answer of the service with records."""

    records: list[_Row]


def _parse_records(answer):
    try:
        parsed = msgspec.convert(answer.json(), _Answer)
    except (ValueError, RecursionError) as error:
        raise errors.AnswerLost(f"malformed records: {error!s:.160}") from error
    return tuple(Record(row.key, row.value, row.revision) for row in parsed.records)
