"""Steps for agents that have two connections to an entry instance."""

import behave
from twisted.internet import error
from twisted.python import failure

from cicadaplank.messages import types
from features import entry_daemons
from features.steps import requests_silences as silences

AGENT = entry_daemons.AGENTS[0]


@behave.given("an entry instance with two connections to its only agent")
def step_two(context):
    context.entry = entry_daemons.Entry()
    context.entry.configure(entry_daemons.row(holders=(AGENT,)))


@behave.given("a {kind} request whose work was sent on the {own} connection")
def step_sent(context, kind, own):
    entry = context.entry
    context.is_stream = kind == "stream"
    if own == "older":
        context.caller = entry.call(context.is_stream)
    connections = {"older": entry.connect_again(AGENT)}
    connections["newer"] = entry.connections[AGENT]
    entry.run(entry_daemons.REPORT_INTERVAL_S)
    if own == "newer":
        context.caller = entry.call(context.is_stream)
    context.connections = connections
    (context.work,) = connections[own].of(types.Work)
    digest = entry_daemons.DIGEST if context.is_stream else ""
    entry.receive(AGENT, types.WorkAccepted(context.work.attempt, digest))


@behave.when("the {lost} connection ends")
def step_ends(context, lost):
    context.entry.lose_one(context.connections[lost])


@behave.when("the caller of the request leaves")
def step_leaves(context):
    context.caller.ended.errback(failure.Failure(error.ConnectionDone()))


@behave.then("the agent gets a cancellation on the {own} connection")
def step_cancelled(context, own):
    (cancel,) = context.connections[own].of(types.WorkCancel)
    assert cancel.attempt == context.work.attempt
    assert not context.entry.daemon.serving._connections


@behave.then("the request is answered by its attempt")
def step_by_attempt(context):
    entry, attempt = context.entry, context.work.attempt
    if context.is_stream:
        entry.receive(AGENT, types.WorkData(attempt, 0, silences.TOKENS[0]))
        entry.receive(AGENT, types.WorkEnd(attempt, silences.STATUS_OK, 1, 0))
        assert b"event: end" in context.caller.body, context.caller.body
    else:
        entry.answer(AGENT, context.work)
        assert context.caller.body == b"whole", context.caller.body
    assert not entry.daemon.serving._connections


@behave.then("the request gets an answer without it")
def step_without(context):
    context.entry.run(0.5)
    assert context.caller.is_finished and context.caller.status >= 500
