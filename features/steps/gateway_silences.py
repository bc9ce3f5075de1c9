"""Steps for endpoints that fall silent while a call is in progress, and go on."""

import dataclasses

import behave
from twisted.internet import error

from cicadaplank.gateway import routes
from features.steps import gateway as gateway_steps
from features.steps import gateway_endings

# The answer of each kind of route, and its parts before and after a silence.
EVENTS = [gateway_steps.event(number) for number in range(1, 5)]
LAST_CHUNK = b"0\r\n\r\n"
CUT_BYTES = 9
CHANGE_S = 0.3


@behave.given("two endpoints and a route with {timeout_s:d} s that {kind}")
def step_world(context, timeout_s, kind):
    world = context.world = gateway_steps.World(2, kind)
    world.configuration = changed(world, timeout_s=float(timeout_s))
    world.gateway.set_configuration(world.configuration)


def changed(world, version=1, **fields):
    """Return the configuration with other fields of its route."""
    (route,) = world.configuration.routes
    route = dataclasses.replace(route, **fields)
    return dataclasses.replace(world.configuration, version=version, routes=(route,))


def parts(kind, moment):
    """Return the bytes of an answer before and after a silence."""
    if "streams" not in kind:
        whole = gateway_steps.answer()
        cut = 0 if moment == "before its head" else len(whole) - CUT_BYTES
        return whole[:cut], whole[cut:]
    head = gateway_steps.stream_head()
    whole = b"".join(EVENTS)
    if moment == "before its head":
        return b"", head + gateway_steps.chunk(whole) + LAST_CHUNK
    if moment == "before an id":
        whole = whole.replace(b"id: 2\n", b"")
    first = {
        "after its head": 0,
        "after event 2": whole.index(EVENTS[2]),
        "in event 3": whole.index(EVENTS[2]) + CUT_BYTES,
        "before an id": whole.index(EVENTS[2]),
    }[moment]
    before = gateway_steps.chunk(whole[:first]) if first else b""
    return head + before, gateway_steps.chunk(whole[first:]) + LAST_CHUNK


def apply_change(context, change):
    """Change what the gateway knows while the call's endpoint is silent."""
    world, gateway = context.world, context.world.gateway
    configuration = world.configuration
    other = "y" if context.first == world.listed["x"].host else "x"
    own = "x" if other == "y" else "y"
    if change == "the route is dropped":
        configuration = dataclasses.replace(configuration, version=2, routes=())
    elif change == "the key is dropped":
        configuration = dataclasses.replace(configuration, version=2, accounts={})
    elif change == "the route goes to another service":
        configuration = changed(world, 2, shares=(routes.Share("other", 1),))
    elif change == "the route no longer repeats":
        configuration = changed(world, 2, retry_policy=routes.RetryPolicy.NEVER)
    elif change == "the route's time-out is cut":
        configuration = changed(world, 2, timeout_s=0.5)
    elif change == "the configuration is said to be old":
        gateway.stop_reason = lambda: "newer records are known of"
        gateway.check_calls()
    elif change in ("the other endpoint leaves", "its own endpoint leaves"):
        name = other if "other" in change else own
        listed = {n: e for n, e in world.listed.items() if n != name}
        gateway.set_endpoints(listed, False)
    elif change == "the other endpoint is full":
        context.full = gateway.endpoints.get(other)
        context.full.call_started()
    elif change == "the budget is used up":
        while gateway.budget(gateway_steps.SERVICE).try_retry(gateway.now_s()):
            pass
    elif change == "the process is stopped":
        gateway.draining.stop_requested(world.reactor.seconds())
        world.listener.close_idle()
    if configuration is not world.configuration:
        gateway.set_configuration(configuration)


def play_other(context, change):
    """Let the other endpoint react to a call that it is sent, once."""
    world = context.world
    if not world.has_dial:
        return
    if change == "the other endpoint takes no dial":
        world.refuse_dial()
        return
    protocol, transport = world.accept()
    if not transport.value():
        return
    context.other = transport
    if change == "the other endpoint refuses":
        refusal = b"X-Not-Executed: 1\r\n"
        protocol.dataReceived(
            gateway_steps.answer(503, b"", signed=False, extra=refusal)
        )
    elif change == "the other endpoint fails":
        protocol.dataReceived(gateway_steps.answer(500))
    elif change == "the other endpoint breaks":
        gateway_steps.lose(protocol, error.ConnectionLost())
    elif change == "the other one answers":
        protocol.dataReceived(context.rest)


def send_call(context, moment):
    """Send a call, and play its endpoint's answer up to the silence."""
    world = context.world
    kind = next(
        name
        for name, (policy, streams) in gateway_steps.KINDS.items()
        if (policy, streams) == policy_of(world)
    )
    before, after = parts(kind, moment)
    world.client.dataReceived(world.request(body=b"call"))
    protocol, transport = world.accept_call()
    context.first, context.transport = world.sent[-1][0], transport
    context.other = None
    context.whole = before + after
    transport.take()
    if before:
        protocol.dataReceived(before)
    return protocol, after


def policy_of(world):
    (route,) = world.configuration.routes
    return route.retry_policy, route.is_stream


@behave.when("a call's endpoint is silent {moment} for {pause_s:f} s while {change}")
def step_silent(context, moment, pause_s, change):
    world = context.world
    protocol, after = send_call(context, moment)
    world.run(CHANGE_S)
    apply_change(context, change)
    for _ in range(round((pause_s - CHANGE_S) / gateway_steps.STEP_S)):
        world.run(gateway_steps.STEP_S)
        play_other(context, change)
    if change == "the other endpoint is full":
        context.full.call_ended()
    if not context.transport.disconnecting:
        protocol.dataReceived(after)
    world.run(0.2)


@behave.when("a call's endpoint is silent {moment} for ever and the other one answers")
def step_mute(context, moment):
    world = context.world
    send_call(context, moment)
    if policy_of(world)[1]:
        first = 1 if "head" in moment else 3
        events = b"".join(EVENTS[first - 1 :])
        context.rest = (
            gateway_steps.stream_head() + gateway_steps.chunk(events) + LAST_CHUNK
        )
    else:
        context.rest = gateway_steps.answer()
    context.silent_s = None
    for step in range(round(6.0 / gateway_steps.STEP_S)):
        if context.transport.aborted and context.silent_s is None:
            context.silent_s = step * gateway_steps.STEP_S
        world.run(gateway_steps.STEP_S)
        play_other(context, "the other one answers")


@behave.then("its caller gets the whole answer, once")
def step_whole(context):
    got = context.world.client_transport.value()
    assert got.count(b"HTTP/1.1") == 1, got
    status, body, is_whole = gateway_endings.parse_answer(got)
    expected = gateway_endings.parse_answer(context.whole)[1]
    assert (status, body, is_whole) == (200, expected, True), got
    assert not context.world.client_transport.aborted


@behave.then("no call is left")
def step_none_left(context):
    gateway = context.world.gateway
    assert gateway.open_calls == 0
    assert not gateway.loads(), gateway.loads()


@behave.then("the silent endpoint's connection is broken off within {limit_s:f} s")
def step_cancelled(context, limit_s):
    assert context.silent_s is not None, "the silent endpoint still works"
    assert context.silent_s <= limit_s + 1e-9, context.silent_s


@behave.then("the other endpoint's connection is broken off")
def step_other_cancelled(context):
    assert context.other.aborted


def failures(context):
    events = context.world.reporter.events
    return [args[1].endpoint.host for name, args in events if name == "attempt_failed"]


@behave.then("one failure of the silent endpoint and none of the other was reported")
def step_blamed(context):
    assert failures(context) == [context.first], failures(context)


@behave.then("no failure of an endpoint was reported")
def step_not_blamed(context):
    assert not failures(context), failures(context)


@behave.then("no retry was taken from the budget")
def step_no_retry(context):
    budget = context.world.gateway.budget(gateway_steps.SERVICE)
    assert not budget._retries, budget._retries


@behave.when("a call waits to be sent again and its route {change}")
def step_waits_again(context, change):
    world = context.world
    world.client.dataReceived(world.request(body=b"call"))
    protocol, transport = world.accept_call()
    transport.take()
    first = world.sent[-1][0]
    other = next(n for n, e in world.listed.items() if e.host != first)
    context.full = world.gateway.endpoints.get(other)
    context.full.call_started()
    if policy_of(world)[1]:
        data = gateway_steps.stream_head() + gateway_steps.chunk(EVENTS[0])
        protocol.dataReceived(data)
    gateway_steps.reset(protocol)
    world.run(0.1)
    assert world.gateway.open_calls == 1
    fields = {
        "no longer repeats": {"retry_policy": routes.RetryPolicy.NEVER},
        "has another time-out": {"timeout_s": 5.0},
    }[change]
    world.gateway.set_configuration(changed(world, 2, **fields))
    context.full.call_ended()
    world.run(0.2)


@behave.then("it is sent again")
def step_sent_again(context):
    _, transport = context.world.accept_call()
    assert transport.value().endswith(b"call")


@behave.then("it is not sent again, and its client gets {end}")
def step_not_sent_again(context, end):
    world, transport = context.world, context.world.client_transport
    while world.has_dial:
        assert not world.accept()[1].value(), "sent again"
    if end == "a reset":
        assert transport.aborted
    else:
        got = transport.value()
        assert gateway_steps.status_of(got) == int(end), got
    assert world.gateway.open_calls == 0


@behave.when(
    "a silent endpoint sends head and comment {moment} and the other one answers"
)
def step_comment(context, moment):
    world = context.world
    protocol, _ = send_call(context, "before its head")
    comment = gateway_steps.stream_head() + gateway_steps.chunk(b": wait\n\n")
    world.run(0.5)
    if moment == "during the dial of the second":
        protocol.dataReceived(comment)
    others = []
    while world.has_dial:
        others.append(world.accept())
    if moment == "once the second has the call":
        protocol.dataReceived(comment)
    events = gateway_steps.chunk(b"".join(EVENTS)) + LAST_CHUNK
    other_answer = gateway_steps.stream_head() + events
    other_answer = other_answer.replace(b"s.1", b"s.2").replace(b"token", b"other")
    for other, transport in others:
        if transport.value() and not transport.disconnecting:
            other.dataReceived(other_answer)
    if not context.transport.disconnecting:
        protocol.dataReceived(events)
    world.run(0.2)


@behave.then("the head and the events of its caller's answer come from one endpoint")
def step_one_endpoint(context):
    got = context.world.client_transport.value()
    expected = {(b"s.1", b"token"), (b"s.2", b"other")}
    seen = {
        (signature, word)
        for signature in (b"s.1", b"s.2")
        for word in (b"token", b"other")
        if signature in got and word in got
    }
    assert len(seen) == 1 and seen <= expected, got
    assert got.endswith(LAST_CHUNK), got
