"""Steps for the planned stop of an agent, without sockets and processes."""

import types as plain_types

import behave
from twisted.internet import defer, testing

from cicadaplank.agent import executions, process, work
from cicadaplank.messages import types
from cicadaplank.reports import objectives

DRAIN_LIMIT_S = 10.0
STEP_S = 0.1
ATTEMPT = "entry/1/1.1"


class Connection:
    """Connection of an entry instance that keeps what is sent until it is closed."""

    name = "entry-1"
    peer = "entry"

    def __init__(self):
        self.sent = []
        self.is_open = True

    def send(self, message):
        """Keep a message that is sent before the connection is closed."""
        if self.is_open:
            self.sent.append(message)


class Hub:
    """Connections of the agent, which are closed together."""

    peers = ()
    counters = {}

    def __init__(self, connection):
        self._connection = connection

    def close(self):
        """Close the connections."""
        self._connection.is_open = False


class Backend:
    """Engine whose calls end when a scenario says so."""

    def __init__(self):
        self.calls = []
        self.cancelled = 0

    def grant(self, message):
        """Grant everything."""
        return executions.GrantDecision(True)

    def work_started(self, key):
        """Do nothing."""

    def work_ended(self, key):
        """Do nothing."""

    def call(self, task, message, digest, timeout_s):
        """Begin a call and return its Deferred."""
        self.calls.append(message)
        return defer.Deferred(self._cancel)

    def _cancel(self, deferred):
        self.cancelled += 1


class Agent:
    """An agent process whose work, planned stop and time a scenario plays."""

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        settings = plain_types.SimpleNamespace(
            name="agent-1",
            role="agent",
            region="r",
            data_centre="a",
            objectives=objectives.DEFAULTS,
            drain_limit_s=DRAIN_LIMIT_S,
            endpoint=plain_types.SimpleNamespace(
                kind="service", capacity=50, row="row"
            ),
            platform=plain_types.SimpleNamespace(
                table_url="http://127.0.0.1:1", instances_url="http://127.0.0.1:1"
            ),
        )
        self.daemon = process.AgentDaemon(self.reactor, settings)
        self.connection = Connection()
        self.daemon.hub = Hub(self.connection)
        self.daemon.membership = plain_types.SimpleNamespace(
            state="leaving", leave=lambda now_s: ()
        )
        table = plain_types.SimpleNamespace(
            grants=lambda *arguments: True, row=lambda name: None
        )
        self.daemon.distribution = plain_types.SimpleNamespace(
            ready=lambda now_s: True,
            configuration=plain_types.SimpleNamespace(table=table),
        )
        self.backend = Backend()
        self.daemon.work = work.Work(self.daemon, self.backend)
        self.daemon.handlers.update(self.daemon.work.handlers())
        self.stopped_s = None
        self.exited_s = None

    def take(self, message):
        """Let work of the entry instance arrive."""
        self.daemon.work.message(self.connection, message)

    def answer(self, attempt):
        """Let the engine answer an attempt as a whole."""
        task = self.daemon.work
        task.response_started(attempt, 200, attempt, "", 0)
        task.data_received(attempt, b"whole")
        task.response_ended(attempt, 5)

    def stop(self):
        """Send the stop signal."""
        self.stopped_s = self.reactor.seconds()
        self.daemon.stop()

    def tick(self):
        """Let the process apply its time limits."""
        daemon = self.daemon
        daemon.carry_out(daemon.draining.tick(daemon.now_s, daemon.unfinished))
        if daemon.draining.state == "stopped" and self.exited_s is None:
            self.exited_s = daemon.now_s - self.stopped_s

    def run_until(self, since_stop_s):
        """Let time pass until a time after the stop signal."""
        until_s = self.stopped_s + since_stop_s
        while self.reactor.seconds() < until_s - 1e-6 and self.exited_s is None:
            self.reactor.advance(STEP_S)
            self.tick()


def work_message(attempt=ATTEMPT):
    """Return work for the agent's row."""
    return types.Work(attempt, "row", "client", "POST", "/x", b"call", deadline_s=60.0)


@behave.given("an agent with work in progress")
def step_agent(context):
    context.agent = Agent()
    context.agent.take(work_message())
    assert context.agent.backend.calls


@behave.when("the agent is stopped and its engine {behaviour}")
def step_stop(context, behaviour):
    agent = context.agent
    agent.stop()
    if behaviour == "does not answer":
        agent.run_until(DRAIN_LIMIT_S + 5.0)
        return
    assert behaviour == "answers during a freeze until 12 s", behaviour
    agent.run_until(3.0)
    agent.reactor.advance(9.0)
    agent.tick()
    agent.answer(ATTEMPT)
    agent.run_until(DRAIN_LIMIT_S + 5.0)


@behave.when("the agent is sent that work twice, answers it and is stopped")
def step_twice(context):
    agent = context.agent
    agent.answer(ATTEMPT)
    agent.take(work_message())
    agent.stop()
    agent.run_until(DRAIN_LIMIT_S + 5.0)


@behave.then("the entry is told before the connection closes that the work {outcome}")
def step_told(context, outcome):
    agent = context.agent
    final = agent.connection.sent[-1]
    if outcome == "has run":
        assert isinstance(final, types.WorkEnd), final
        return
    assert outcome == "may have run", outcome
    assert isinstance(final, types.WorkFailed), final
    assert final.verdict == "may_have_run", final
    assert agent.backend.cancelled == 1


@behave.when("the agent gives the work up because {cause}")
def step_gives_up(context, cause):
    agent = context.agent
    task = agent.daemon.work
    if cause == "the answer belongs to another one":
        task.response_started(ATTEMPT, 200, "other", "", 0)
    elif cause == "a token belongs to another one":
        token = task.executions.engine_token(ATTEMPT, "other", 0, b"token", 0.0)
        task._carry_out(token)
    else:
        assert cause == "the deadline of the work has passed", cause
        agent.reactor.advance(61.0)


@behave.then("the agent ends within {limit_s:g} s of the stop signal")
def step_ends(context, limit_s):
    exited_s = context.agent.exited_s
    assert exited_s is not None
    assert exited_s <= limit_s + 1e-6, exited_s
