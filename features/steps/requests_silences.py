"""Steps for engines and services that fall silent, at an agent without sockets."""

import contextlib
import types as plain_types

import behave
from twisted.internet import defer, error, task
from twisted.python import failure
from twisted.web import client as web_client

from cicadaplank.agent import process, work
from cicadaplank.external import engines, errors, http, services
from cicadaplank.members import draining
from cicadaplank.messages import actions, types
from features import entry_daemons

DIGEST = "digest-1"
ROW = "m"
BODY = b"an answer"
STATUS_OK = 200
LOADED = engines.LoadedModel(ROW, "model", "1", "", DIGEST, "content")
LOAD = services.LoadReport(1, 0, 4, 5.0)
# Errors of a connection that is not made, or is closed without a response.
CONNECTION_ERRORS = {
    "refuses connections": error.ConnectionRefusedError(),
    "closes connections": web_client.ResponseNeverReceived(
        [failure.Failure(error.ConnectionDone())]
    ),
    "takes no connection": error.TimeoutError(),
}


def failed(cause):
    """Return a Deferred that fails as a read by the HTTP client does."""
    result = defer.fail(cause).addErrback(http._translate_failure)
    return result.addErrback(http._convert_to_unavailable)


class Daemon(process.AgentDaemon):
    """Agent process of which only the parts that work needs are made.

    :param parts: attributes.
    """

    def __init__(self, **parts):
        vars(self).update(parts)


class Server:
    """Engine or service whose calls end when the scenario says so.

    :param clock: :class:`twisted.internet.task.Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self.calls = {}
        self.tokens = {}
        self.digest = DIGEST
        self.course = ""
        self.until_s = 0.0

    def complete(self, completion, on_event=None, on_open=None):
        """Start a completion."""
        self._clock.callLater(0, on_open, self.digest)
        self.tokens[completion.attempt] = on_event
        return self._start(completion.attempt)

    def call(self, call):
        """Start a call of a service."""
        return self._start(call.attempt)

    def _start(self, attempt):
        self.calls[attempt] = defer.Deferred()
        return self.calls[attempt]

    def state(self):
        """Read the state of an engine."""
        models = () if self.course == "has lost its weights" else (LOADED,)
        return self._read(engines.EngineState("both", 1, models, {}, ()))

    def load_report(self):
        """Read the load of a service."""
        return self._read(LOAD)

    def _read(self, value):
        left_s = self.until_s - self._clock.seconds()
        if left_s <= 0 or self.course == "has lost its weights":
            return defer.succeed(value)
        if self.course != "is silent":
            delay_s = 0.0
            if self.course == "takes no connection":
                delay_s = http.CONNECT_TIMEOUT_S - 0.01
            cause = CONNECTION_ERRORS[self.course]
            return task.deferLater(self._clock, delay_s, failed, cause)
        return task.deferLater(self._clock, left_s, lambda: value)


class Agent:
    """Work of an agent, with one connection to an entry instance.

    :param kind: ``engine`` or ``service``.
    :param clock: clock, or None for a stepped one.
    :param server: client of the engine or service, or None for :class:`Server`.
    """

    def __init__(self, kind, clock=None, server=None):
        self.clock = clock or task.Clock()
        self.server = server or Server(self.clock)
        self.sent = []
        self.failures = []
        self.name = "connection-1"
        self.daemon = daemon = Daemon(
            reactor=self.clock,
            name="agent",
            report_failure=self.failures.append,
            draining=draining.Draining(),
            distribution=plain_types.SimpleNamespace(
                ready=lambda now_s: True,
                configuration=plain_types.SimpleNamespace(
                    table=plain_types.SimpleNamespace(grants=lambda *arguments: True)
                ),
            ),
            settings=plain_types.SimpleNamespace(
                endpoint=plain_types.SimpleNamespace(row=ROW, resumes_streams=True)
            ),
        )
        type_name = "EngineBackend" if kind == "engine" else "ServiceBackend"
        weights = plain_types.SimpleNamespace(
            serving=lambda row: DIGEST,
            serving_rows=lambda: {ROW: DIGEST},
            work_started=lambda *arguments: None,
            work_ended=lambda *arguments: None,
            record_latency=lambda elapsed_s: None,
            check_engine=lambda: None,
        )
        caches = plain_types.SimpleNamespace(request_completed=lambda *arguments: None)
        parts = (weights, caches) if kind == "engine" else ()
        backend = getattr(work, type_name)(daemon, self.server, *parts)
        self.work = daemon.work = work.Work(daemon, backend)
        daemon.handlers = self.work.handlers()
        daemon.handlers[actions.ReportError] = self.failures.append

    def receive(self, message):
        """Deliver a message of the entry instance, as the hub does."""
        with contextlib.suppress(Exception):
            self.work.message(self, message)

    def send(self, message):
        """Keep a message to the entry instance."""
        self.sent.append((self.clock.seconds(), message))

    def advance(self, duration_s, may_fail=False):
        """Let time pass in steps of 10 ms."""
        for _ in range(round(duration_s / 0.01)):
            with contextlib.suppress(Exception):
                self.clock.advance(0.01)
        assert may_fail or not self.failures, self.failures

    def end_of(self, attempt):
        """Return the time and the final message of an attempt, or None."""
        finals = (types.WorkEnd, types.WorkFailed, types.WorkRefused)
        found = [
            (time_s, message)
            for time_s, message in self.sent
            if isinstance(message, finals) and message.attempt == attempt
        ]
        assert len(found) <= 1, found
        return found[0] if found else None


@behave.given("an agent beside one {kind} that runs {count:d} attempts")
def step_agent(context, kind, count):
    context.kind = kind
    context.agent = Agent(kind)
    context.attempts = [f"r{number}.1" for number in range(1, count + 1)]
    for attempt in context.attempts:
        wanted = types.Work(attempt, ROW, "client", "POST", "/", b"{}", deadline_s=30.0)
        context.agent.receive(wanted)
    context.agent.advance(0.1)


@behave.when(
    "the connection of attempt 1 breaks and the {kind} {course} for {silence:g} s"
)
def step_break(context, kind, course, silence):
    agent = context.agent
    context.broken_s = agent.clock.seconds()
    agent.server.course = course
    agent.server.until_s = context.broken_s + silence
    agent.server.calls[context.attempts[0]].errback(errors.AnswerLost("reset"))


@behave.when("the other attempts end {later:g} s after the break")
def step_end_others(context, later):
    agent = context.agent
    agent.advance(later)
    for attempt in context.attempts[1:]:
        if context.kind == "engine":
            end = engines.CompletionEnd(attempt, len(BODY), DIGEST, BODY)
        else:
            end = services.ServiceEnd(attempt, STATUS_OK, BODY)
        ending = agent.server.calls[attempt]
        if not ending.called:
            ending.callback(end)
    agent.advance(3.0)


@behave.then("the agent ends attempt 1 as failed without a crash")
def step_failed(context):
    _, message = context.agent.end_of(context.attempts[0])
    assert isinstance(message, types.WorkFailed) and not message.crashed, message


@behave.then("the agent ends attempts 2 and 3 with the whole answer")
def step_whole(context):
    for attempt in context.attempts[1:]:
        _, message = context.agent.end_of(attempt)
        assert isinstance(message, types.WorkEnd), message
        assert message.total == len(BODY), message


@behave.then("the agent ends all attempts as crashed within {limit:g} s")
def step_crashed(context, limit):
    context.agent.advance(limit)
    for attempt in context.attempts:
        _, message = context.agent.end_of(attempt)
        assert isinstance(message, types.WorkFailed) and message.crashed, message


TOKENS = (b'{"t":0}\n', b'{"t":1}\n')
PHASES_S = (0.0, 0.3, 0.6, 0.9, 1.15)
CYCLE_S = 6.0
DEADLINE_S = 60.0


class Run:
    """A request that runs at the first agent of an entry instance.

    :param kind: ``stream`` or ``whole``.
    :param phase_s: time after a heartbeat and a report of the agent.
    """

    def __init__(self, kind, phase_s):
        self.is_stream = kind == "stream"
        self.entry = entry_daemons.Entry()
        # Heartbeats and reports of all agents come at the same time once in a cycle.
        for times_s in (self.entry._heartbeat_s, self.entry._report_s):
            times_s.update(dict.fromkeys(times_s, self.entry.now_s))
        self.entry.run(CYCLE_S + 2 * entry_daemons.STEP_S)
        self.caller = self.entry.call(self.is_stream, DEADLINE_S)
        ((self.agent, self.work),) = self.entry.works()
        self.accept(self.agent, self.work)
        if self.is_stream:
            data = types.WorkData(self.work.attempt, 0, TOKENS[0])
            self.entry.receive(self.agent, data)
        self.entry.run(phase_s)

    def accept(self, agent, attempt):
        """Report that an agent passes the work to its engine."""
        digest = entry_daemons.DIGEST if self.is_stream else ""
        self.entry.receive(agent, types.WorkAccepted(attempt.attempt, digest))

    def finish(self, agent, attempt):
        """Send the rest of the answer."""
        if not self.is_stream:
            self.entry.answer(agent, attempt, BODY)
            return
        data = types.WorkData(attempt.attempt, 1, TOKENS[1])
        self.entry.receive(agent, data)
        self.entry.receive(agent, types.WorkEnd(attempt.attempt, STATUS_OK, 2, 0))

    def check_whole(self):
        """Check the answer that the caller got."""
        caller = self.caller
        assert caller.is_finished and caller.status in (0, STATUS_OK), caller.body
        if self.is_stream:
            expected = b"".join(b"data: " + line + b"\n" for line in TOKENS)
            assert caller.body.startswith(expected), caller.body
            assert b"event: end" in caller.body, caller.body
        else:
            assert caller.body == BODY, caller.body


@behave.given("an entry instance with a {kind} request that runs at an agent")
def step_run(context, kind):
    context.runs = [Run(kind, phase_s) for phase_s in PHASES_S]


@behave.when(
    "the {process} stands still for {pause:g} s at any time between its reports"
)
def step_still(context, process, pause):
    for run in context.runs:
        entry = run.entry
        if process == "entry":
            entry.is_frozen = True
        elif process == "agent":
            entry.paused.add(run.agent)
        else:
            entry.paused.update(entry.connections)
        entry.run(pause)
        if process == "entry":
            # The answer waits in the socket when the process goes on.
            run.finish(run.agent, run.work)
            entry.resume()
        else:
            entry.paused.clear()
            run.finish(run.agent, run.work)


@behave.then("the caller gets the whole answer of the first attempt")
def step_first_attempt(context):
    for run in context.runs:
        run.check_whole()
        assert len(run.entry.works()) == 1, run.entry.works()


@behave.when("the agent falls silent for good, {known}")
def step_mute(context, known):
    for run in context.runs:
        run.entry.paused.add(run.agent)
        run.entry.is_confirmed = known == "to all its peers"


@behave.then("the caller gets the whole answer of another agent within {limit:g} s")
def step_other_agent(context, limit):
    for run in context.runs:
        end_s = run.entry.now_s + limit
        while len(run.entry.works()) == 1 and run.entry.now_s < end_s:
            run.entry.run(entry_daemons.STEP_S)
        _, (agent, attempt) = run.entry.works()
        assert agent != run.agent
        run.accept(agent, attempt)
        run.finish(agent, attempt)
        run.check_whole()
