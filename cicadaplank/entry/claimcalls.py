"""Performs reads and transactions of claims on the table service."""

from twisted.internet import defer

from cicadaplank.external import errors, tables
from cicadaplank.requests import claims


def perform(client, action, dispatcher, clock):
    """Perform one read or transaction and report its result to the dispatcher.

    :param client: :class:`cicadaplank.external.tables.TableService`.
    :param action: :class:`claims.Transact` or :class:`claims.Read`.
    :param decisions: :class:`cicadaplank.requests.dispatcher.Dispatcher`.
    :param clock: callable that gives the current time in seconds.
    :returns: Deferred with the tuple of actions that the dispatcher returns.
    """
    if isinstance(action, claims.Read):
        performed = _read(client, action, dispatcher, clock)
    else:
        performed = _transact(client, action, dispatcher, clock)
    return defer.Deferred.fromCoroutine(performed)


async def _read(client, action, dispatcher, clock):
    try:
        found = await client.read(action.keys)
    except errors.PlatformError:
        return dispatcher.read_failed(action.change_id, clock())
    return dispatcher.read_back(action.change_id, _to_claim_records(found), clock())


async def _transact(client, action, dispatcher, clock):
    conditions = [tables.Condition(*pair) for pair in action.conditions]
    puts = [tables.Put(*pair) for pair in action.puts]
    try:
        outcome = await client.transact(action.change_id, conditions, puts)
    except errors.AnswerLost:
        return dispatcher.answer_lost(action.change_id, clock())
    except errors.PlatformError:
        return dispatcher.unavailable(action.change_id, clock())
    if isinstance(outcome, tables.Conflict):
        found = _to_claim_records(outcome.records)
        return dispatcher.conflicted(action.change_id, found, clock())
    return dispatcher.committed(action.change_id, clock(), outcome.revision)


def _to_claim_records(found):
    return tuple(
        claims.Record(record.key, record.value or "", record.revision)
        for record in found
    )
