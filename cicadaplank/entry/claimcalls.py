"""Carries out the table-service requests of claims."""

from twisted.internet import defer

from cicadaplank.external import errors, tables
from cicadaplank.requests import claims


def perform(client, action, decisions, clock):
    """Carry out one request and pass its result on.

    :param client: :class:`cicadaplank.external.tables.Tables`.
    :param action: :class:`claims.Transact` or :class:`claims.Read`.
    :param decisions: :class:`cicadaplank.requests.dispatcher.Dispatcher`.
    :param clock: callable that gives the current time in seconds.
    :returns: Deferred with the tuple of actions that follow.
    """
    if isinstance(action, claims.Read):
        performed = _read(client, action, decisions, clock)
    else:
        performed = _transact(client, action, decisions, clock)
    return defer.Deferred.fromCoroutine(performed)


async def _read(client, action, decisions, clock):
    try:
        found = await client.read(action.keys)
    except errors.PlatformError:
        return decisions.read_failed(action.change_id, clock())
    return decisions.read_back(action.change_id, _records(found), clock())


async def _transact(client, action, decisions, clock):
    conditions = [tables.Condition(*pair) for pair in action.conditions]
    puts = [tables.Put(*pair) for pair in action.puts]
    try:
        outcome = await client.transact(action.change_id, conditions, puts)
    except errors.AnswerLost:
        return decisions.answer_lost(action.change_id, clock())
    except errors.PlatformError:
        return decisions.unavailable(action.change_id, clock())
    if isinstance(outcome, tables.Conflict):
        found = _records(outcome.records)
        return decisions.conflicted(action.change_id, found, clock())
    return decisions.committed(action.change_id, clock(), outcome.revision)


def _records(found):
    return tuple(
        claims.Record(record.key, record.value or "", record.revision)
        for record in found
    )
