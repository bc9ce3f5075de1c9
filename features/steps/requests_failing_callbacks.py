"""Steps for errors in callbacks of an entry process and of an agent."""

import behave
from twisted.internet import task

from cicadaplank.external import engines
from cicadaplank.messages import types
from features import entry_daemons
from features.steps import requests_silences as silences

TICK_S = 0.1
DEADLINE_S = 3.0
TOKENS = silences.TOKENS


class Fault(Exception):
    """The error of a callback."""


def fail_next(owner, name):
    """Let the next call of a method raise an error."""
    method = getattr(owner, name)

    def call(*arguments, **fields):
        setattr(owner, name, method)
        raise Fault(name)

    setattr(owner, name, call)


def part_of(entry, part, caller):
    """Return the object and method that a part names."""
    daemon = entry.daemon
    serving = daemon.serving
    return {
        "the request metrics": (daemon.metrics, "add_request"),
        "the log": (daemon.events, "log"),
        "the end of a route": (serving.router, "finished"),
        "the choice of a route": (serving.router, "choose"),
        "the list of work": (daemon.draining, "finished"),
        "the write of an answer": (caller, "write"),
        "the write of a part": (caller, "write"),
        "the token metrics": (daemon.metrics, "add_between_tokens"),
        "the token limits": (serving.limits, "tokens_generated"),
        "the limits": (serving.limits, "check_request"),
        "the limits' tick": (serving.limits, "tick"),
        "the choice of a queue": (serving.admission, "submit"),
        "the send of work": (entry.connections[entry_daemons.AGENTS[0]], "send"),
        "the start of a route": (serving.router, "dispatched"),
        "the members": (daemon.membership, "tick"),
        "the queue": (serving.admission, "tick"),
    }[part]


@behave.given("an entry instance with 2 requests that run at its only agent")
def step_two(context):
    step_none(context)
    context.callers = [
        context.entry.call(deadline_s=DEADLINE_S),
        context.entry.call(deadline_s=DEADLINE_S),
    ]
    context.entry.run(TICK_S)
    assert len(context.entry.works()) == 2


@behave.given("an entry instance without requests")
def step_none(context):
    context.entry = entry_daemons.Entry()
    context.entry.configure(entry_daemons.row(holders=entry_daemons.AGENTS[:1]))
    context.callers = []


@behave.given("an entry instance with a stream that has its first token")
def step_stream(context):
    step_none(context)
    context.callers = [context.entry.call(is_stream=True)]
    context.entry.run(TICK_S)
    ((context.agent, context.work),) = context.entry.works()
    attempt = context.work.attempt
    accepted = types.WorkAccepted(attempt, entry_daemons.DIGEST)
    context.entry.receive(context.agent, accepted)
    context.entry.receive(context.agent, types.WorkData(attempt, 0, TOKENS[0]))


@behave.when("the next use of {part} fails as the connection to the agent is lost")
def step_lost(context, part):
    context.entry.run(TICK_S)
    fail_next(*part_of(context.entry, part, context.callers[0]))
    context.entry.lose(entry_daemons.AGENTS[0])


@behave.when("the next use of {part} fails as their deadlines pass")
def step_deadlines(context, part):
    entry = context.entry
    entry.run(DEADLINE_S - 2 * TICK_S)
    if part == "the expiry":
        machine = next(iter(entry.daemon.serving.dispatcher._exchanges.values()))
        fail_next(machine, "wake")
    else:
        fail_next(*part_of(entry, part, context.callers[0]))
    entry.clock.rightNow += 2 * TICK_S
    entry.run(entry_daemons.STEP_S)


@behave.when(
    "the next use of {part} fails as the second token comes, and the rest follows"
)
def step_second_token(context, part):
    entry, attempt = context.entry, context.work.attempt
    entry.run(TICK_S)
    fail_next(*part_of(entry, part, context.callers[0]))
    entry.receive(context.agent, types.WorkData(attempt, 1, TOKENS[1]))
    entry.run(TICK_S)
    entry.receive(context.agent, types.WorkData(attempt, 2, TOKENS[1]))
    entry.receive(context.agent, types.WorkEnd(attempt, silences.STATUS_OK, 3, 0))


@behave.when("the next use of {part} fails as a request arrives")
def step_arrival(context, part):
    entry = context.entry
    fail_next(*part_of(entry, part, None))
    context.callers = [entry.call(deadline_s=DEADLINE_S)]


@behave.when("the next use of {part} fails at a tick of its timer")
def step_tick(context, part):
    entry = context.entry
    context.loop = task.LoopingCall(entry.daemon._tick)
    context.loop.clock = entry.clock
    context.loop.start(TICK_S, now=False).addErrback(entry.daemon.report_failure)
    fail_next(*part_of(entry, part, None))
    entry.clock.advance(TICK_S)
    entry.clock.advance(TICK_S)


@behave.then("the timer goes on")
def step_timer(context):
    assert context.loop.running


@behave.then("both callers get an answer within {limit:g} s")
@behave.then("its caller gets an answer within {limit:g} s")
def step_answered(context, limit):
    entry = context.entry
    entry.run(limit)
    for name, work in entry.works():
        entry.answer(name, work)
    for caller in context.callers:
        assert caller.is_finished and caller.status, (caller.status, caller.body)
    assert not entry.daemon.serving.open_count


@behave.then("the stream {end}")
def step_stream_end(context, end):
    (caller,) = context.callers
    assert caller.is_finished, caller.body
    assert (b"event: end" in caller.body) == (end == "is whole"), caller.body
    assert (b"event: error" in caller.body) == (end != "is whole"), caller.body
    assert not context.entry.daemon.serving.open_count


@behave.then("the error was logged and counted once")
def step_reported(context):
    entry = context.entry
    found = [fields for event, fields in entry.lines if event == "internal_error"]
    assert len(found) == 1, (found, entry.uncaught)
    assert not entry.uncaught, entry.uncaught


@behave.then("a further request is answered")
def step_further(context):
    entry = context.entry
    name = entry_daemons.AGENTS[0]
    entry.reconnect(name)
    entry.run(entry_daemons.REPORT_INTERVAL_S)
    before = len(entry.works())
    caller = entry.call()
    entry.run(TICK_S)
    for each, work in entry.works()[before:]:
        entry.answer(each, work)
    assert caller.body == b"whole", caller.body


@behave.when("the next use of {part} fails at the agent")
def step_agent(context, part):
    agent = context.agent
    execution = agent.work.executions._executions[context.attempts[0]]
    if part == "the expiry of an attempt":
        fail_next(execution, "fail")
        agent.advance(31.0, may_fail=True)
        return
    if part == "the end of an answer":
        fail_next(execution, "end")
    for number, attempt in enumerate(context.attempts):
        ending = agent.server.calls[attempt]
        if part == "the reading of an answer" and not number:
            ending.errback(Fault(part))
            continue
        body = silences.BODY
        end = engines.CompletionEnd(attempt, len(body), silences.DIGEST, body)
        ending.callback(end)
    agent.advance(TICK_S, may_fail=True)


@behave.when("the next use of {part} fails as work arrives")
def step_work_arrives(context, part):
    agent = context.agent
    if part == "the check of grants":
        fail_next(agent.daemon.distribution, "ready")
    else:
        fail_next(agent.work._backend, "call")
    context.attempts = ["r9.1"]
    agent.receive(types.Work("r9.1", silences.ROW, "client", "POST", "/", b"{}"))
    agent.advance(TICK_S, may_fail=True)


@behave.then("every attempt has ended for its entry instance")
def step_all_ended(context):
    for number, attempt in enumerate(context.attempts):
        ended = context.agent.end_of(attempt)
        assert ended is not None, number
        assert number or isinstance(ended[1], types.WorkFailed), ended


@behave.then("that work is refused as not run")
def step_refused(context):
    _, message = context.agent.end_of("r9.1")
    assert isinstance(message, types.WorkRefused), message


@behave.then("the agent has reported the error once")
def step_agent_reported(context):
    assert len(context.agent.failures) == 1, context.agent.failures
