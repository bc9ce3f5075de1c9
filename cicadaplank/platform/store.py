"""The platform's metadata store."""

import base64
import binascii
import json

from cicadaplank.external import errors
from cicadaplank.gateway import records, sync
from cicadaplank.platform import client
from cicadaplank.world import machines

# Rows of one answer of the store.
PAGE_ROWS = 500
# A long poll has this time beyond its wait: the store's answer when it is slow.
POLL_MARGIN_S = 0.8
# Table of this system in which entry instances register.
MEMBER_TABLE = "entries"


class Store:
    """Reads and writes rows.

    :param calls: :class:`cicadaplank.platform.client.Client`.
    """

    def __init__(self, calls):
        self._client = calls

    async def _get(self, path, query, timeout_s):
        status, answer = await self._client.json(
            "GET", path, query, timeout_s=timeout_s
        )
        if status == 410:
            raise sync.HistoryLostError(f"{path}: history is gone")
        if status in (429, 503):
            raise errors.Unavailable(f"{path}: status {status}")
        if status != 200:
            raise errors.Refused(status, path)
        rows, version = answer.get("rows"), answer.get("ver")
        if not isinstance(rows, list) or not isinstance(version, int):
            raise errors.AnswerLost(f"{path}: the answer lacks rows or ver")
        return answer

    async def snapshot(self, table):
        """Return every record of a table with an empty part."""
        found, start, version = [], None, None
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start is not None:
                query["from"] = start
            answer = await self._get("/v1/rows-get", query, client.TIMEOUT_S)
            page = [r for r in map(_record, answer["rows"]) if r is not None]
            found += page
            # Later pages may show later changes; those are read again.
            version = answer["ver"] if version is None else version
            if not answer.get("has_more") or not page:
                return sync.Changes(tuple(found), version)
            start = page[-1].key + "\x00"

    async def changes(self, table, after, wait_s):
        """Return the records that changed after a version."""
        query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        answer = await self._get("/v1/rows-feed", query, wait_s + POLL_MARGIN_S)
        rows = [r for r in map(_record, answer["rows"]) if r is not None]
        return sync.Changes(tuple(rows), answer["ver"])

    async def put(self, table, key, value):
        """Write one row of a table of the system's own.

        :param value: bytes.
        """
        row = {"table": table, "part": "", "key": key}
        row["value"] = base64.b64encode(value).decode()
        body = {"expected": [], "puts": [row], "remove": []}
        status, _ = await self._client.json("POST", "/v1/rows-tx", body=body)
        if status in (429, 503):
            raise errors.Unavailable(f"rows-tx: status {status}")
        if status != 200:
            raise errors.Refused(status, "rows-tx")


def _record(row):
    """Return a row as :class:`records.Record`, or None when it is malformed."""
    if not isinstance(row, dict) or row.get("part", "") != "":
        return None
    key, version = row.get("key"), row.get("ver")
    if not isinstance(key, str) or not isinstance(version, int):
        return None
    if row.get("deleted"):
        return records.Record(key, version, None)
    try:
        value = base64.b64decode(row.get("value") or "")
    except (binascii.Error, TypeError, ValueError):
        # The record cannot be used, but it is there.
        value = b""
    return records.Record(key, version, value)


class InstanceRegistry:
    """Entry instances in the store.

    :param store: :class:`Store`.
    """

    def __init__(self, store):
        self._store = store

    async def register(self, instance):
        """Write the entry of an instance."""
        fields = [instance.name, instance.role, instance.host, instance.port]
        fields += [instance.region, instance.data_centre]
        await self._store.put(MEMBER_TABLE, instance.name, json.dumps(fields).encode())

    async def instances(self):
        """Return the registered instances."""
        taken = await self._store.snapshot(MEMBER_TABLE)
        found = []
        for record in taken.records:
            try:
                found.append(machines.Instance(*json.loads(record.value)))
            except (ValueError, TypeError):
                # An entry that a newer version of this program wrote differently.
                continue
        return found
