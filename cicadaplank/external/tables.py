"""Transactional table service."""

import dataclasses
import json
import typing

from twisted.internet import defer

from cicadaplank.external import errors, http

MAX_PREFIX_RECORDS = 1_000


@dataclasses.dataclass(frozen=True)
class Record:
    """A record.

    :param key: key.
    :param value: text, or None for an absent key.
    :param revision: revision of the last change, 0 for an absent key.
    """

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Condition:
    """What must hold for a transaction to take effect.

    :param key: key.
    :param revision: expected revision, 0 for an absent key.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Put:
    """A change of one record.

    :param key: key.
    :param value: text, or None to delete the record.
    """

    key: str
    value: str


@dataclasses.dataclass(frozen=True)
class Committed:
    """The transaction took effect.

    :param revision: revision of the records that it put.
    """

    revision: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The transaction had no effect because a condition did not hold.

    :param records: tuple of :class:`Record`, the state of each failed condition.
    """

    records: tuple


class Tables(typing.Protocol):
    """The table service. Every method returns a Deferred."""

    def read(self, keys):
        """Read records.

        :param keys: iterable of keys.
        :returns: Deferred with a tuple of :class:`Record`, one for each key in order;
            fails with :class:`errors.Unavailable`.
        """

    def read_prefix(self, prefix, limit=MAX_PREFIX_RECORDS):
        """Read the records whose key starts with a text, in the order of the keys.

        :param prefix: start of the keys.
        :param limit: number of records at most.
        :returns: Deferred with a tuple of :class:`Record`; fails with
            :class:`errors.Unavailable`.
        """

    def transact(self, change_id, conditions, puts):
        """Make all changes if all conditions hold, else none.

        :param change_id: identifier of the change, for the service's log.
        :param conditions: iterable of :class:`Condition`.
        :param puts: iterable of :class:`Put`.
        :returns: Deferred with :class:`Committed` or :class:`Conflict`; fails with
            :class:`errors.Unavailable` (no effect) or :class:`errors.AnswerLost`
            (effect unknown).
        """


class TablesClient:
    """:class:`Tables` over HTTP.

    :param client: :class:`cicadaplank.external.http.Client`.
    """

    def __init__(self, client):
        self._client = client

    def read(self, keys):
        """See :meth:`Tables.read`."""
        return http.run_read_only(self._read(tuple(keys)))

    async def _read(self, keys):
        body = json.dumps({"keys": keys}).encode()
        answer = await self._client.send("POST", "/read", body)
        found = {record.key: record for record in _records(http.checked(answer))}
        return tuple(found.get(key, Record(key, None, 0)) for key in keys)

    def read_prefix(self, prefix, limit=MAX_PREFIX_RECORDS):
        """See :meth:`Tables.read_prefix`."""
        return http.run_read_only(self._read_prefix(prefix, limit))

    async def _read_prefix(self, prefix, limit):
        body = json.dumps({"prefix": prefix, "limit": limit}).encode()
        answer = await self._client.send("POST", "/read_prefix", body)
        return _records(http.checked(answer))

    def transact(self, change_id, conditions, puts):
        """See :meth:`Tables.transact`."""
        document = {
            "change_id": change_id,
            "conditions": [[c.key, c.revision] for c in conditions],
            "puts": [[put.key, put.value] for put in puts],
        }
        return defer.Deferred.fromCoroutine(self._transact(document))

    async def _transact(self, document):
        answer = await self._client.send_json("POST", "/transact", document)
        http.checked(answer, (200, 409))
        if answer.status == 409:
            return Conflict(_records(answer))
        revision = answer.json().get("revision")
        if not isinstance(revision, int):
            raise errors.AnswerLost("the answer has no revision")
        return Committed(revision)


def _records(answer):
    try:
        return tuple(
            Record(entry["key"], entry["value"], entry["revision"])
            for entry in answer.json()["records"]
        )
    except (KeyError, TypeError) as error:
        raise errors.AnswerLost(f"malformed records: {error!r}") from error
