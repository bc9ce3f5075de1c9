"""Steps for the work of one turn of the event loop, without sockets."""

import random

import behave
from twisted.internet import task

from cicadaplank.gateway import clients, gateway, routes
from cicadaplank.platform import headers
from features import crowds
from features.steps import gateway as gateway_steps

ORDINARY = b"GET /x/1 HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: one\r\n\r\n"
ANSWER_START = b"HTTP/1.1 "
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4 * 1024 * 1024
PIECES = 3
# Most turns after which a crowd that sends nothing more has its answers.
END_TURNS = 4000


class TurnClock(task.Clock):
    """Clock that runs only timers of earlier turns, as the event loop does."""

    def turn(self):
        """Run the timers that are due and were started before."""
        for call in [each for each in self.calls if each.getTime() <= self.seconds()]:
            if call.active():
                self.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)


class Client:
    """Client without a socket: sends a request once the one before was answered."""

    def __init__(self, listener, parsed, pieces):
        self._pieces = pieces
        self._left = []
        self._connection = listener.buildProtocol(None)
        for name in ("on_header", "on_body"):
            setattr(self._connection, name, self._counting(name, parsed))
        self._transport = gateway_steps.Transport()
        self._connection.makeConnection(self._transport)
        self.sent = 0

    def _counting(self, name, parsed):
        callback = getattr(self._connection, name)

        def counted(*args):
            parsed[-1] += 1
            callback(*args)

        return counted

    @property
    def answer(self):
        """Bytes that were sent to the client."""
        return self._transport.value()

    @property
    def answered(self):
        """Number of requests that were answered."""
        return self.answer.count(ANSWER_START)

    def turn(self, may_begin=True):
        """Send the next piece; begin a request when the last one was answered."""
        if not self._left and may_begin and self.answered == self.sent:
            self._left = list(self._pieces)
            self.sent += 1
        if self._left and self._transport.producerState == "producing":
            self._connection.dataReceived(self._left.pop(0))


def _pieces(form):
    head, _, split = form.partition(", in ")
    data = {
        "heads of short lines": crowds.MANY_LINES,
        "heads of odd lines": crowds.MANY_LINES.replace(b"a:b\r\n", b"!:\r\n"),
        "bodies in chunks of one byte": crowds.head(extra=crowds.CHUNKED)
        + crowds.chunk(1) * 10_000
        + b"0\r\n\r\n",
    }[head]
    size = -(-len(data) // (PIECES if split else 1))
    return [data[start : start + size] for start in range(0, len(data), size)]


@behave.given("a listener with {count:d} connections of a crowd and an ordinary one")
def step_listener(context, count):
    context.clock = TurnClock()
    served = gateway.Gateway(
        context.clock,
        headers.PlatformDialect(),
        "a",
        gateway_steps.BOUNDS,
        random.Random(1),
        gateway_steps.Reporter(),
    )
    limits = routes.ClientLimits(MAX_BODY_BYTES, MAX_HEADER_BYTES, 3.0, 15.0)
    served.set_configuration(routes.Configuration(1, (), {}, limits, None))
    served.is_current = lambda: True
    context.listener = clients.Listener(context.clock, served, lambda *args: None)
    context.count = count
    # Header lines and parts of bodies that each turn parsed.
    context.parsed = [0]


def _turn(context, may_begin):
    context.parsed.append(0)
    context.clock.turn()
    for client in context.crowd:
        client.turn(may_begin)


@behave.when("the crowd sends {form} again and again for {turns:d} turns")
def step_turns(context, form, turns):
    pieces = _pieces(form)
    context.crowd = [
        Client(context.listener, context.parsed, pieces) for _ in range(context.count)
    ]
    ordinary = Client(context.listener, context.parsed, [ORDINARY])
    context.waits, sent_at = [], None
    for number in range(turns):
        _turn(context, True)
        if sent_at is None:
            sent_at = number
            ordinary.turn()
        if ordinary.answered == ordinary.sent:
            context.waits.append(number - sent_at)
            sent_at = None
    if sent_at is not None:
        context.waits.append(turns - sent_at)


@behave.then("no turn parses more than {limit:d} lines and parts of bodies")
def step_parsed(context, limit):
    assert max(context.parsed) <= limit, max(context.parsed)


@behave.then("each ordinary request is answered within {limit:d} turns")
def step_waits(context, limit):
    assert len(context.waits) > 1 and max(context.waits) < limit, context.waits


@behave.then("the crowd's last requests are answered when nothing more is sent")
def step_answered_in_the_end(context):
    for _ in range(END_TURNS):
        _turn(context, False)
        if all(client.answered == client.sent for client in context.crowd):
            return
    waiting = [c for c in context.crowd if c.answered < c.sent]
    raise AssertionError(f"{len(waiting)} of {context.count} requests not answered")


@behave.then("every request of the crowd is answered")
def step_all_answered(context):
    assert all(client.answered == client.sent == 1 for client in context.crowd)


@behave.when("a head in 2 pieces waits behind those of the crowd for {wait_s:d} s")
def step_head_waits(context, wait_s):
    data = crowds.MANY_LINES
    context.late = Client(context.listener, context.parsed, [data[:100], data[100:]])
    context.late.turn()
    context.crowd = [
        Client(context.listener, context.parsed, [data]) for _ in range(context.count)
    ]
    for client in context.crowd:
        client.turn()
    context.late.turn()
    context.clock.rightNow += wait_s
    context.clock.turn()


@behave.then('it is answered with 503 "not run"')
def step_not_run(context):
    answer = context.late.answer
    assert answer.startswith(b"HTTP/1.1 503 "), answer
    assert b"not run" in answer and context.late.answered == 1, answer


@behave.when(
    "a call's dial times out {delay_s:f} s after it began, in one turn of the loop"
)
def step_dial_times_out(context, delay_s):
    world = context.world
    world.client.dataReceived(world.request(body=b"call"))
    context.host = world.reactor.tcpClients[world.dialled][0]
    world.reactor.advance(delay_s)
    world.refuse_dial()


@behave.then("the endpoint of that dial {state}")
def step_ejected_or_not(context, state):
    world = context.world
    endpoint = next(e for e in world.listed.values() if e.host == context.host)
    found = world.gateway.endpoints.get(endpoint.name)
    is_ejected = found.is_ejected(world.reactor.seconds())
    assert is_ejected == (state == "is ejected"), is_ejected
    counted = [name for name, _ in world.reporter.events if name == "dials_held_up"]
    assert len(counted) == (state == "is not ejected"), counted
