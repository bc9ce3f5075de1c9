"""Client of the platform's metadata store and of the registry of entry instances."""

import base64
import binascii
import collections
import json

from cicadaplank.external import errors
from cicadaplank.gateway import positions, records, sync
from cicadaplank.platform import client, documents
from cicadaplank.world import machines

# Maximum number of rows in one answer of the store.
PAGE_ROWS = 500
# Time-out of a long poll beyond its wait, which allows for a slow store.
POLL_MARGIN_S = 0.8
# Header that names the era of the store.
ERA_HEADER = b"store-era"
# Table of this system's own in which entry instances register.
MEMBER_TABLE = "entries"


class Store:
    """Client that reads and writes rows; see :class:`cicadaplank.gateway.sync.Store`.

    :param http_client: :class:`cicadaplank.platform.client.Client`.
    """

    def __init__(self, http_client):
        self._client = http_client

    async def _get(self, path, query, timeout_s, after=None):
        """Read rows; return the answer's object and its era.

        :param after: position after which changes are asked for, None for a snapshot.
        """
        status, headers, answer = await self._client.json_with_headers(
            "GET",
            path,
            query,
            timeout_s=timeout_s,
            max_answer_bytes=client.MAX_ANSWER_BYTES,
        )
        era = _read_era(headers, path)
        if after is not None and era > after.era:
            raise sync.HistoryLostError(f"{path}: era {era}, expected {after.era}")
        if status == 410:
            raise sync.HistoryLostError(f"{path}: status 410, snapshot needed")
        if status in (429, 503):
            raise errors.Unavailable(f"{path}: status {status}")
        if status != 200:
            raise errors.Refused(status, path)
        rows, version = answer.get("rows"), answer.get("ver")
        if not isinstance(rows, list) or not _is_version(version):
            raise errors.AnswerLost(f"{path}: answer without valid rows and ver")
        return answer, era

    async def snapshot(self, table):
        """Return every record of a table with an empty part.

        :param table: table name.
        :returns: :class:`cicadaplank.gateway.sync.Changes` at the position of the first
            page.
        :raises PlatformError: when a call fails, or pages are of different eras.
        """
        found, start, position = [], None, None
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start is not None:
                query["from"] = start
            answer, era = await self._get("/v1/rows-get", query, client.TIMEOUT_S)
            page = [r for r in map(_parse_record, answer["rows"]) if r is not None]
            found += page
            # Later pages may include newer changes. With the position of the first page
            # the next call for changes returns them again.
            if position is None:
                position = positions.Position(era, answer["ver"])
            if era != position.era:
                raise errors.AnswerLost(
                    f"rows-get: page of era {era}, expected {position.era}"
                )
            if not answer.get("has_more"):
                return sync.Changes(tuple(found), position)
            start = _next_start(answer["rows"], start)

    async def changes(self, table, after, wait_s):
        """Return the records that changed after a position, by a long poll.

        :param table: table name.
        :param after: :class:`cicadaplank.gateway.positions.Position`.
        :param wait_s: seconds for which the store waits for a change.
        :returns: :class:`cicadaplank.gateway.sync.Changes`.
        :raises HistoryLostError: when the store no longer has the changes, or is in a
            later era.
        :raises PlatformError: when the call fails.
        """
        query = {"table": table, "after": after.version}
        query["wait_ms"] = int(wait_s * 1000)
        timeout_s = max(client.TIMEOUT_S, wait_s + POLL_MARGIN_S)
        answer, era = await self._get("/v1/rows-feed", query, timeout_s, after)
        rows = [r for r in map(_parse_record, answer["rows"]) if r is not None]
        return sync.Changes(tuple(rows), positions.Position(era, answer["ver"]))

    async def put(self, table, key, value):
        """Write one row of a table of this system's own, whatever its present version.

        :param table: table name.
        :param key: key of the row.
        :param value: bytes.
        :raises PlatformError: when the call fails.
        """
        row = {"table": table, "part": "", "key": key}
        row["value"] = base64.b64encode(value).decode()
        body = {"expected": [], "puts": [row], "remove": []}
        status, _ = await self._client.json("POST", "/v1/rows-tx", body=body)
        if status in (429, 503):
            raise errors.Unavailable(f"rows-tx: status {status}")
        if status != 200:
            raise errors.Refused(status, "rows-tx")


def _read_era(headers, path):
    """Return the era that an answer names.

    :param headers: list of name and value of each header.
    :param path: path of the call, for errors.
    :raises AnswerLost: when it is not a number.
    """
    found = [value for name, value in headers if name.lower() == ERA_HEADER]
    if not found:
        return positions.UNNAMED_ERA
    try:
        era = int(found[0])
    except ValueError:
        era = -1
    if not 0 <= era <= positions.MAX_ERA:
        raise errors.AnswerLost(f"{path}: era {found[0]!a}, expected a number")
    return era


def _is_version(value):
    return type(value) is int and 0 <= value <= documents.MAX_INTEGER


def _next_start(page, start):
    """Return the first key of the page after another one.

    :param page: list of rows in the order of their keys.
    :param start: first key of the page, None for the first page.
    :raises AnswerLost: when the page does not tell.
    """
    last = page[-1].get("key") if page and isinstance(page[-1], dict) else None
    if not isinstance(last, str) or last != _carried(last) or last < (start or ""):
        raise errors.AnswerLost("rows-get: page without a key to continue from")
    return last + "\x00"


def _carried(key):
    """Return a key as a text that messages can carry: without lone surrogates."""
    return key.encode("utf-8", "backslashreplace").decode()


def _parse_record(row):
    """Return a row as :class:`records.Record`, or None when it is malformed."""
    if not isinstance(row, dict) or row.get("part", "") != "":
        return None
    key, version = row.get("key"), row.get("ver")
    if not isinstance(key, str) or not _is_version(version):
        return None
    carried = _carried(key)
    if row.get("deleted"):
        return records.Record(carried, version, None)
    # A record with an unusable value or key cannot be decoded, but it exists and must
    # not count as deleted.
    value = b""
    if carried == key:
        try:
            value = base64.b64decode(row.get("value") or "", validate=True)
        except (binascii.Error, TypeError, ValueError):
            pass
    return records.Record(carried, version, value)


class InstanceRegistry:
    """Registry of the entry instances in the store.

    :param store: :class:`Store`.
    :ivar counts: number of ``unreadable`` records that were read.
    """

    def __init__(self, store):
        self.counts = collections.Counter()
        self._store = store

    async def register(self, instance):
        """Write the record of an instance.

        :param instance: :class:`cicadaplank.world.machines.Instance`.
        :raises PlatformError: when the call fails.
        """
        fields = [instance.name, instance.role, instance.host, instance.port]
        fields += [instance.region, instance.data_centre]
        await self._store.put(MEMBER_TABLE, instance.name, json.dumps(fields).encode())

    async def instances(self):
        """Return a list of the registered instances.

        :raises PlatformError: when a call fails.
        """
        snapshot = await self._store.snapshot(MEMBER_TABLE)
        found = []
        for record in snapshot.records:
            try:
                found.append(_parse_instance(record))
            except ValueError:
                # A newer version of this program may write records of another format.
                self.counts["unreadable"] += 1
        return found


_INSTANCE = documents.Decoder(documents.Instance)


def _parse_instance(record):
    """Return the instance that a record describes, whose key is its name.

    :raises ValueError: when the record cannot be decoded.
    """
    parsed = _INSTANCE.decode(record.value or b"")
    if parsed.name != record.key:
        raise documents.DocumentError(f"the row names another one, {parsed.name!a}")
    return machines.Instance(
        parsed.name,
        parsed.role,
        documents.check_host(parsed.host),
        parsed.port,
        parsed.region,
        parsed.data_centre,
    )
