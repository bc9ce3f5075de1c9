"""Sends the table-service requests of state machines with the HTTP client."""

from twisted.internet import defer

from cicadaplank.external import errors, tables
from cicadaplank.table import records


def send_request(client, action):
    """Send one request and convert its result.

    :param client: :class:`cicadaplank.external.tables.TableService`.
    :param action: :class:`cicadaplank.table.records.ReadKeys` or
        :class:`cicadaplank.table.records.Transact`.
    :returns: Deferred with a result class of :mod:`cicadaplank.table.records`; it never
        fails with :class:`cicadaplank.external.errors.PlatformError`.
    """
    return defer.Deferred.fromCoroutine(_perform(client, action))


async def _perform(client, action):
    try:
        if isinstance(action, records.ReadKeys):
            found = await client.read(action.keys)
            return records.RecordsRead(tuple(map(_record, found)))
        conditions = [tables.Condition(*pair) for pair in action.conditions]
        puts = [tables.Put(*pair) for pair in action.puts]
        outcome = await client.transact(action.change_id, conditions, puts)
    except errors.AnswerLost as error:
        if isinstance(action, records.ReadKeys):
            return records.Unavailable(error.reason)
        return records.AnswerLost(error.reason)
    except errors.PlatformError as error:
        return records.Unavailable(error.reason)
    if isinstance(outcome, tables.Conflict):
        return records.Conflict(tuple(map(_record, outcome.records)))
    return records.Committed()


def _record(found):
    return records.Record(found.key, found.value or "", found.revision)
