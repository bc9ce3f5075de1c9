"""Steps for clients that leave, and for endpoints that only take connections."""

import re

import behave
from twisted.internet import error

from cicadaplank.gateway import outcomes
from features.steps import gateway


class ClientSocket(gateway.Socket):
    """Stands for the socket of a client.

    :ivar pending: what waits in its buffer: None for nothing, bytes, or an exception.
    """

    pending = None

    def recv(self, size, flags):
        """Return what waits, or raise as a socket without waiting data does."""
        if self.pending is None:
            raise BlockingIOError
        if isinstance(self.pending, OSError):
            raise self.pending
        return self.pending[:size]


PENDING = {
    "closes its connection": b"",
    "resets its connection": ConnectionResetError(),
    "stays connected": None,
    "sends the next request": b"GET",
}


def sends(world):
    """Return how often an endpoint was sent the call."""
    return sum(b"call" in transport.value() for _, _, transport in world.sent)


@behave.when("a caller {left} and its call is to be {sent}")
def step_leaves(context, left, sent):
    world = context.world
    if sent == "sent after a wait":
        for _ in range(2):
            world.client.dataReceived(world.request(body=b"first"))
            world.accept()
            world.connect()
    sock = ClientSocket()
    world.client_transport.getHandle = lambda: sock
    if sent == "sent on arrival":
        sock.pending = PENDING[left]
    world.client.dataReceived(world.request(body=b"call"))
    if sent == "sent a second time":
        protocol, _ = world.accept()
        sock.pending = PENDING[left]
        context.sends_before = sends(world)
        gateway.lose(protocol, error.ConnectionLost())
    else:
        context.sends_before = 0
        sock.pending = PENDING[left]
    if sent == "sent after a wait":
        world.sent[0][1].dataReceived(gateway.answer())
    for _ in range(3):
        world.run(0.05)
        while world.has_dial:
            world.accept()


@behave.then("no endpoint is sent the call after that")
def step_not_sent(context):
    assert sends(context.world) == context.sends_before, sends(context.world)


@behave.then("the call has ended")
def step_ended(context):
    outcomes_seen = [f["outcome"] for _, f in gateway.ended(context.world)]
    assert "client_left" in outcomes_seen, outcomes_seen


@behave.then("the call is at an endpoint")
def step_at_endpoint(context):
    assert sends(context.world) == 1, sends(context.world)


@behave.when('3 calls to an endpoint end "{ending}" and a connection to it opens')
def step_calls_end(context, ending):
    world = context.world
    context.state = world.gateway.endpoints.get("x")
    world.client.dataReceived(world.request(body=b"call"))
    (call,) = world.gateway._calls
    for _ in range(3):
        world.gateway.record_failure(
            call, context.state, outcomes.Ending(ending), "", world.reactor.seconds()
        )
    while world.has_dial:
        world.accept()


@behave.then("the endpoint is ejected for {duration_s:d} s")
def step_stays_ejected(context, duration_s):
    now_s = context.world.reactor.seconds()
    left_s = max(0.0, context.state.ejected_until_s - now_s)
    assert abs(left_s - duration_s) < 0.1, left_s


@behave.when("the event loop runs {late_s:f} s late and a request has come meanwhile")
def step_late_loop(context, late_s):
    world = context.world
    world.run(0.1)
    world.reactor.advance(late_s)
    world.gateway.check_timeouts()
    world.client.dataReceived(world.request(body=b"call"))
    while world.has_dial:
        world.accept()


@behave.then("an endpoint is handed {left_s:f} s for it at most, in {count:d} sends")
def step_handed(context, left_s, count):
    sent = [t.value() for _, _, t in context.world.sent if b"call" in t.value()]
    assert len(sent) == count, len(sent)
    for data in sent:
        handed_ms = int(re.search(rb"X-Deadline-Ms: (\d+)", data).group(1))
        assert handed_ms <= 1000 * left_s, handed_ms
