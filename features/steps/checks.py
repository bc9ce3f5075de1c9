"""Steps for checks that no other mechanism stands in for."""

import inspect

import behave

from cicadaplank.agent import executions
from cicadaplank.messages import types
from cicadaplank.requests import claims

WORK = types.Work("attempt-1", "row", "client", "POST", "/x", b"body", stream=True)
CALLS = (executions.CallEngine,)


def grant(check):
    """Return what the agent's check says."""
    fields = {
        "allowed": check != "denies the grant",
        "reason": "not granted",
        "retry_after_s": 0.0,
        "manifest_digest": "new" if "digest new" in check else "",
        "can_resume": check != "cannot resume",
    }
    known = inspect.signature(executions.GrantDecision).parameters
    return executions.GrantDecision(**{k: v for k, v in fields.items() if k in known})


@behave.given("an agent whose check {check}")
def step_agent(context, check):
    context.agent = executions.Executions(lambda work, now_s: grant(check))


@behave.when(
    "it is sent work that streams and the head of the engine's answer {answer}"
)
def step_answer(context, answer):
    agent = context.agent
    taken = agent.work("link", WORK, 0.0)
    assert any(isinstance(action, CALLS) for action in taken), taken
    echoed = "other" if "another attempt" in answer else WORK.attempt
    digest = "other" if "other weights" in answer else "new"
    offset = 5 if "another offset" in answer else 0
    context.actions = agent.engine_headers(
        WORK.attempt, 200, echoed, digest, offset, 0.1
    )
    context.actions += agent.engine_token(
        WORK.attempt, WORK.attempt, offset, b"token", 0.2, "new"
    )


@behave.when("it is sent work {work}")
def step_work(context, work):
    changes = {}
    if "weights old" in work:
        changes["manifest_digest"] = "old"
    if "offset 3" in work:
        changes["offset"] = 3
    if "deadline" in work:
        changes["deadline_s"] = 0.0
    sent = types.Work(**{**vars(WORK), **changes})
    context.actions = context.agent.work("link", sent, 0.0)


def messages(actions):
    """Return the messages that go to entry instances."""
    return [a.message for a in actions if isinstance(a, executions.Reply)]


@behave.then('the work is refused as "{reason}" and its engine is called by nobody')
def step_refused(context, reason):
    (message,) = messages(context.actions)
    assert isinstance(message, types.WorkRefused), message
    assert message.reason == reason, message
    assert not any(isinstance(action, CALLS) for action in context.actions)


@behave.then("the entry instance gets {gets}")
def step_gets(context, gets):
    data = [m for m in messages(context.actions) if isinstance(m, types.WorkData)]
    assert bool(data) == (gets == "the answer"), messages(context.actions)


@behave.given("a claim whose lease ends at {lease_s:f} s")
def step_claim(context, lease_s):
    context.claims = claims.Claims("entry")
    sent = context.claims.claim("c1", "row", "client", "key", "digest", lease_s, 0.0)
    sent += context.claims.tick(0.1)
    context.sent = next(a for a in sent if isinstance(a, claims.Transact))


@behave.when("its write takes effect at {at_s:f} s")
def step_effect(context, at_s):
    change = context.sent.change_id
    context.actions = context.claims.committed(change, at_s, 1)


@behave.then("its call is {outcome}")
def step_outcome(context, outcome):
    held = any(isinstance(a, claims.Held) for a in context.actions)
    denied = any(isinstance(a, claims.Denied) for a in context.actions)
    assert held == (outcome == "dispatched"), context.actions
    assert denied == (outcome == "denied"), context.actions
