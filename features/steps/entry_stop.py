"""Steps for the planned stop of an entry instance, without sockets and processes."""

import types as plain_types

import behave
from twisted.internet import defer, error, testing
from twisted.python import failure

from cicadaplank.entry import frontend, process, serving
from cicadaplank.messages import types
from cicadaplank.reports import objectives
from cicadaplank.requests import claims, dispatcher, exchange, rate_limits
from features.steps import gateway_left, requests_left

DRAIN_LIMIT_S = 10.0
STEP_S = 0.1
IDENTIFIER = "entry/1/1"


class Caller:
    """Request of a caller, with the response that it got."""

    uri = b"/services/row/x"

    def __init__(self, reactor):
        self._reactor = reactor
        self.status = None
        self.headers = {}
        self.body = b""
        self.ended_s = None
        self.channel = plain_types.SimpleNamespace(persistent=1)
        socket = gateway_left.ClientSocket()
        self.transport = plain_types.SimpleNamespace(getHandle=lambda: socket)

    def notifyFinish(self):
        """Return a Deferred that does not fire: the caller stays."""
        return defer.Deferred()

    def setResponseCode(self, status):
        """Keep the status."""
        self.status = status

    def setHeader(self, name, value):
        """Keep a header."""
        self.headers[name] = value

    def write(self, data):
        """Keep a part of the body that is written before the process ends."""
        assert not self._reactor.hasStopped
        self.body += data

    def finish(self):
        """Note when the response ended."""
        self.ended_s = self._reactor.seconds()


class Hub:
    """Connections to agents.

    :ivar is_dialling: whether connections are not established for now.
    """

    peers = ()
    counters = {}

    def __init__(self):
        self.is_dialling = True
        self.agent = requests_left.Connection()

    def connection(self, name):
        """Return no connection."""

    def dial(self, instance):
        """Return a Deferred that fires at once, or does not fire."""
        return defer.Deferred() if self.is_dialling else defer.succeed(self.agent)

    def send(self, peer, message):
        """Drop a message."""

    def close(self):
        """Do nothing."""


class Entry:
    """An entry process whose requests, planned stop and time a scenario plays."""

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        settings = plain_types.SimpleNamespace(
            name="entry",
            role="entry",
            region="r",
            data_centre="a",
            objectives=objectives.DEFAULTS,
            objective=lambda name: next(
                each for each in objectives.DEFAULTS if each.name == name
            ),
            drain_limit_s=DRAIN_LIMIT_S,
            request_limit_s=60.0,
            max_queue=10,
            once_calls=(),
            platform=plain_types.SimpleNamespace(
                table_url="http://127.0.0.1:1", instances_url="http://127.0.0.1:1"
            ),
        )
        self.daemon = daemon = process.EntryDaemon(self.reactor, settings)
        daemon.hub = Hub()
        daemon.membership = plain_types.SimpleNamespace(state="leaving")
        row = plain_types.SimpleNamespace(priority=5)
        table = plain_types.SimpleNamespace(row=lambda name: row, rows=(), halves=())
        daemon.distribution = plain_types.SimpleNamespace(
            ready=lambda now_s: True,
            configuration=plain_types.SimpleNamespace(table=table),
        )
        daemon.peers = {"agent-1": object(), "agent-2": object()}
        daemon.serving.dispatcher = dispatcher.Dispatcher(
            "entry",
            "entry/1",
            lambda route, now_s: f"agent-{1 + len(route.avoid)}",
            daemon.rng,
        )
        daemon.serving.router = plain_types.SimpleNamespace(
            dispatched=lambda *arguments: None,
            finished=lambda *arguments: (),
            counts={},
        )
        daemon.serving.limits = plain_types.SimpleNamespace(
            tick=lambda now_s: (),
            check_request=lambda *arguments: rate_limits.Admitted(),
        )
        daemon.handlers[claims.Transact] = self._transact
        self.transactions = 0
        self.stopped_s = None
        self.ended_s = None
        self.caller = None

    def _transact(self, action):
        """Commit the first transaction; the table service is silent after it."""
        self.transactions += 1
        if self.transactions == 1:
            committed = self.daemon.serving.dispatcher.committed
            actions = committed(action.change_id, self.daemon.now_s, 1)
            self.daemon.carry_out(actions)

    def call(self, once_key=""):
        """Return a caller's call of a plain service."""
        return frontend.Call("row", "client", "POST", "/x", b"{}", once_key=once_key)

    def dispatch(self, call):
        """Dispatch a request; its agent's connection is never established."""
        daemon = self.daemon
        self.caller = Caller(self.reactor)
        request = serving.OpenRequest(self.caller, call, daemon.now_s)
        daemon.serving._open_requests[IDENTIFIER] = request
        daemon.draining.offered(IDENTIFIER, daemon.now_s)
        wanted = exchange.Request(
            IDENTIFIER,
            call.row,
            call.client,
            call.method,
            call.path,
            call.body,
            daemon.now_s + 60.0,
            repeatable=not call.once_key,
            once_key=call.once_key,
        )
        daemon.serving._start(wanted, daemon.now_s)

    def message(self, message):
        """Let the first agent send a message."""
        connection = plain_types.SimpleNamespace(peer="agent-1")
        self.daemon.serving.message(connection, message)

    def answer_in(self, duration_s):
        """Serve a request whose answer takes a time."""
        self.daemon.hub.is_dialling = False
        self.dispatch(self.call())
        (work,) = self.daemon.hub.agent.sent
        self.message(types.WorkAccepted(work.attempt))
        self.reactor.advance(duration_s)
        self.message(types.WorkData(work.attempt, 0, b"whole"))
        self.message(types.WorkEnd(work.attempt, 200, 5, 0))
        assert self.caller.status == 200, self.caller.body
        self.daemon.hub.agent.sent.clear()
        self.daemon.hub.is_dialling = True

    def stop(self):
        """Send the stop signal."""
        self.stopped_s = self.daemon.now_s
        self.daemon.stop()

    def run_until(self, since_stop_s):
        """Let time pass until a time after the stop signal or the process has ended."""
        until_s = self.stopped_s + since_stop_s
        daemon = self.daemon
        while daemon.now_s < until_s - 1e-6 and not self.reactor.hasStopped:
            self.reactor.advance(STEP_S)
            daemon.carry_out(daemon.draining.tick(daemon.now_s, daemon.unfinished))
            daemon.serving.tick()
        if self.reactor.hasStopped:
            self.ended_s = daemon.now_s - self.stopped_s


@behave.given("an entry instance with a call that may run once, held by its claim")
def step_entry(context):
    context.entry = Entry()
    context.entry.dispatch(context.entry.call("key-1"))
    assert context.entry.transactions == 1


@behave.when("the entry instance is stopped and the table service is silent")
def step_stop(context):
    context.entry.stop()
    context.entry.run_until(DRAIN_LIMIT_S + 5.0)
    assert context.entry.transactions == 2, "the claim was not released"


@behave.then("its caller gets the verdict {verdict} before the process ends")
def step_told(context, verdict):
    caller = context.entry.caller
    assert caller.ended_s is not None, "the caller got no answer"
    assert caller.status == 503, caller.status
    assert caller.headers[frontend.VERDICT_HEADER] == verdict, caller.headers
    assert context.entry.reactor.hasStopped


class CallerTransport(testing.StringTransport):
    """Connection of a caller that closes once all that was written has been read."""

    is_closing = False
    is_closed = False

    def loseConnection(self):
        """Note that the connection is to be closed."""
        self.is_closing = True

    def read_all(self, connection):
        """Let the caller read all, which ends the connection if it is to be closed."""
        if self.is_closing and self.producer is None:
            self.is_closed = True
            connection.connectionLost(failure.Failure(error.ConnectionDone()))


@behave.given("an entry instance whose caller has 1 MB of an answer to read")
def step_unread(context):
    context.entry = Entry()
    context.transport = CallerTransport()
    context.connection = context.entry.daemon._site.buildProtocol(None)
    context.connection.makeConnection(context.transport)
    context.connection.write(b"x" * 1_000_000)


@behave.when("the entry instance is stopped and the caller reads {when}")
def step_reads(context, when):
    entry = context.entry
    entry.stop()
    entry.run_until(4.0)
    context.had_ended = entry.reactor.hasStopped
    if when == "after 3 s more":
        context.transport.read_all(context.connection)
    entry.run_until(DRAIN_LIMIT_S)


@behave.then("the entry instance ends once the caller has read all of it")
def step_ends_read(context):
    assert not context.had_ended, "the process ended before its caller had read all"
    assert context.transport.is_closed
    assert context.entry.ended_s <= 4.2, context.entry.ended_s


@behave.then("the entry instance ends by itself")
def step_ends_itself(context):
    assert context.entry.ended_s is not None
    context.connection.connectionLost(failure.Failure(error.ConnectionDone()))


@behave.given("an entry instance whose answers take {known}")
def step_known(context, known):
    context.entry = Entry()
    if known != "an unknown time":
        context.entry.answer_in(float(known.removesuffix(" s")))


@behave.when("the entry instance is stopped while a request {situation}")
def step_unsent(context, situation):
    entry = context.entry
    if situation == "is being dialled":
        entry.dispatch(entry.call())
        entry.stop()
    elif situation == "is refused by its agent at 9.5 s":
        entry.daemon.hub.is_dialling = False
        entry.dispatch(entry.call())
        (work,) = entry.daemon.hub.agent.sent
        entry.daemon.hub.agent.sent.clear()
        entry.stop()
        entry.run_until(9.5)
        entry.message(types.WorkRefused(work.attempt, serving.BUSY_REASON))
    else:
        assert situation == "comes on an open connection", situation
        entry.stop()
        entry.caller = Caller(entry.reactor)
        entry.daemon.serving.accept_request(entry.caller, entry.call())
    entry.run_until(DRAIN_LIMIT_S + 5.0)


@behave.then("its caller is sent elsewhere within {limit_s:g} s of the stop signal")
def step_elsewhere(context, limit_s):
    entry, caller = context.entry, context.entry.caller
    assert caller.status == 503, (caller.status, caller.body)
    assert caller.headers[frontend.VERDICT_HEADER] == "not_run", caller.headers
    ended_s = caller.ended_s - entry.stopped_s
    assert ended_s <= limit_s + 1e-6, ended_s
    assert not entry.daemon.hub.agent.sent, "the request was sent"
    assert caller.headers.get("Connection") == "close", caller.headers
    assert not caller.channel.persistent
