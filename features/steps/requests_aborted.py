"""Steps for attempts that an agent aborts, and whose entry instance has to know."""

import behave

from cicadaplank.external import engines
from cicadaplank.members import draining
from cicadaplank.messages import types
from cicadaplank.requests import verdicts
from features.steps import requests_silences as silences

STREAM = "r4.1"


def start_stream(agent):
    """Run a stream at the agent."""
    wanted = types.Work(
        STREAM, silences.ROW, "client", "POST", "/", b"{}", True, deadline_s=30.0
    )
    agent.receive(wanted)
    agent.advance(0.1)


@behave.when("attempt 1 is given up, as {cause}")
def step_abort(context, cause):
    agent = context.agent
    context.given_up = attempt = context.attempts[0]
    if cause.startswith(("the engine started", "a token")):
        start_stream(agent)
        context.given_up = attempt = STREAM
        first = 1 if cause.startswith("the engine started") else 0
        for offset in (first, 2):
            event = engines.StreamEvent(attempt, offset, b"{}")
            agent.server.tokens[attempt](event)
    elif cause == "its deadline passed":
        agent.advance(30.5)
    elif cause == "the drain limit passed":
        may_have_run = verdicts.Verdict.MAY_HAVE_RUN
        agent.work.abort(draining.Abort(attempt, may_have_run))
    elif cause == "the engine has other weights":
        agent.server.digest = "digest-0"
        start_stream(agent)
        context.given_up = STREAM
    else:
        agent.work.response_started(attempt, 200, attempt, silences.DIGEST, 0)
        agent.work.response_ended(attempt, 9)


@behave.then(
    "its entry instance is told so at once, and the call at the engine is cancelled"
)
def step_told(context):
    agent = context.agent
    ended = agent.end_of(context.given_up)
    assert ended is not None, "no message"
    _, message = ended
    assert isinstance(message, types.WorkFailed), message
    assert context.given_up not in agent.work._calls
    assert context.given_up not in agent.work._connections
