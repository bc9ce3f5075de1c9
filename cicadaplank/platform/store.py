"""Client of the platform's metadata store and of the registry of entry instances."""

import base64
import binascii
import collections
import json

from cicadaplank.external import errors
from cicadaplank.gateway import positions, records, sync
from cicadaplank.platform import client, documents
from cicadaplank.requests import block_records
from cicadaplank.world import machines

# Maximum number of rows in one answer of the store.
PAGE_ROWS = 500
# Time-out of a long poll beyond its wait, which allows for a slow store.
POLL_MARGIN_S = 0.8
# Header that names the era of the store.
ERA_HEADER = b"store-era"
# Table of this system's own in which entry instances register.
MEMBER_TABLE = "entries"
# Table and key of the row with the blocked parts of prompts.
BLOCK_TABLE, BLOCK_KEY = "blocked_parts", "all"
# A block that ends later than this is no block of this system.
MAX_BLOCK_MS = 600_000


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

    async def read_row(self, table, key):
        """Read one row of a table of this system's own.

        :param table: table name.
        :param key: key of the row.
        :returns: tuple of its bytes, None when there is none, its version, 0 when there
            is none, and the time of the store's steady clock in milliseconds.
        :raises PlatformError: when the call fails.
        """
        query = {"table": table, "part": "", "from": key, "limit": 1}
        answer, _ = await self._get("/v1/rows-get", query, client.TIMEOUT_S)
        now_ms = answer.get("now_ms")
        if not _is_version(now_ms):
            raise errors.AnswerLost("rows-get: answer without a valid now_ms")
        found = [r for r in map(_parse_record, answer["rows"]) if r is not None]
        for record in found:
            if record.key == key and record.value is not None:
                return record.value, record.version, now_ms
        return None, 0, now_ms

    async def replace_row(self, table, key, value, version):
        """Write one row if it still has the version that was read.

        :param table: table name.
        :param key: key of the row.
        :param value: bytes.
        :param version: version that the row must have, 0 when it must not exist.
        :raises PlatformError: when the call fails, or the row was written meanwhile.
        """
        row = {"table": table, "part": "", "key": key}
        expected = [{**row, "ver": version}]
        row["value"] = base64.b64encode(value).decode()
        body = {"expected": expected, "puts": [row], "remove": []}
        await self._write(body)

    async def put(self, table, key, value):
        """Write one row of a table of this system's own, whatever its present version.

        :param table: table name.
        :param key: key of the row.
        :param value: bytes.
        :raises PlatformError: when the call fails.
        """
        row = {"table": table, "part": "", "key": key}
        row["value"] = base64.b64encode(value).decode()
        await self._write({"expected": [], "puts": [row], "remove": []})

    async def _write(self, body):
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


class BlockRegistry:
    """Row of the store with the blocked parts of prompts.

    The row holds, for each part, the time of the store's steady clock in milliseconds
    at which its block ends.

    :param store: :class:`Store`.
    """

    def __init__(self, store):
        self._store = store

    async def read(self):
        """Return a dict from each blocked part to the seconds for which it is blocked.

        :raises PlatformError: when the call fails.
        """
        left_s, _, _ = await self._read()
        return left_s

    async def write(self, order):
        """Write blocks, beside those that the row has.

        :param order: :class:`cicadaplank.requests.block_records.Write`.
        :returns: the blocks that the row has now, as in :meth:`read`.
        :raises PlatformError: when a call fails, or another instance wrote meanwhile.
        """
        found, version, now_ms = await self._read()
        merged = block_records.merged(found, order)
        if merged != found:
            until_ms = {p: now_ms + int(1000 * s) for p, s in merged.items()}
            value = json.dumps(until_ms).encode()
            await self._store.replace_row(BLOCK_TABLE, BLOCK_KEY, value, version)
        return merged

    async def _read(self):
        row = await self._store.read_row(BLOCK_TABLE, BLOCK_KEY)
        value, version, now_ms = row
        return _parse_blocks(value, now_ms), version, now_ms


def _parse_blocks(value, now_ms):
    """Return the blocks of a row that still hold; an unreadable row has none."""
    try:
        until_ms = json.loads(value or b"{}")
    except ValueError:
        return {}
    if not isinstance(until_ms, dict):
        return {}
    return {
        part: (each - now_ms) / 1000
        for part, each in until_ms.items()
        if type(each) is int and now_ms < each <= now_ms + MAX_BLOCK_MS
    }


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
