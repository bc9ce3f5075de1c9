"""Steps for reports of crashes between entry instances."""

import behave
from twisted.internet import testing

from cicadaplank.messages import codec, types
from features import entries

PEER = "10.0.0.9"


def report(context, digest, endpoint):
    """Let the peer report a crash."""
    message = types.SuspectReport(digest, endpoint, context.entry.unix_s())
    context.entry.receive(codec.encode(codec.Envelope(PEER, 0, message)))


@behave.given("an entry process with a peer")
def step_entry_with_peer(context):
    context.entry = entries.Entry(testing.MemoryReactorClock(), "10.0.0.1")
    context.forwarded = []

    def broadcast(message, exclude=""):
        assert exclude == PEER, exclude
        context.forwarded.append(message)

    context.entry.process.peers.broadcast = broadcast


@behave.when("the peer reports {count:d} crashes of different requests")
def step_crashes(context, count):
    for number in range(count):
        report(context, f"request-{number}", "x")


@behave.when('the peer reports crashes of one request at endpoints "{endpoints}"')
def step_crashes_of_one(context, endpoints):
    for endpoint in endpoints.split(", "):
        report(context, "request", endpoint)


@behave.then("the entry process forwards {count:d} reports")
def step_forwarded(context, count):
    assert len(context.forwarded) == count, len(context.forwarded)


@behave.then("the entry process blocks the request")
def step_blocked(context):
    suspects = context.entry.process.gateway.suspects
    assert suspects.blocked_for_s("request", context.entry.unix_s()) > 0
