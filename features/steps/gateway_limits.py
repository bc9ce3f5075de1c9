"""Steps for the limits that endpoints name."""

import dataclasses
import itertools

import behave
from twisted.internet import testing

from bench import limited
from cicadaplank.gateway import endpoints, routes
from cicadaplank.messages import codec, types
from cicadaplank.requests import announcements, limit_shares
from cicadaplank.world import machines
from features import entries
from features.steps import gateway, gateway_announcements

# Time from the first naming of a limit until it has to hold.
SETTLE_S = 3.0
MAX_EXCESS = 2
CUT_S, FREEZE_S, LATE_S = 8.0, 3.2, 3.0
RUN = ("e", "10.0.0.1", 80, 0)


@behave.given(
    "a replay of {entries:d} entry instances and endpoints that name {limit:f} a second"
)
def step_replay(context, entries, limit):
    context.played = limited.Scenario(
        entries, limit_per_s=limit, calls_per_s=max(60.0, 10 * limit)
    )


@behave.given(
    "a replay of {entries:d} entry instances whose streams break off at others"
)
def step_streams(context, entries):
    context.played = limited.Scenario(
        entries,
        endpoints=4,
        limited=2,
        limit_per_s=4.0,
        calls_per_s=150.0,
        is_stream=True,
        broken_share=0.3,
    )


def start(context, seed):
    """Start a replay, and let its endpoints name their limit."""
    scenario = context.played
    context.replay = limited.Replay(scenario, seed)
    context.replay.run(1.0)
    context.replay.name_limit(str(scenario.limit_per_s))
    context.replay.run(SETTLE_S)
    return context.replay


@behave.when("it is played for {duration_s:d} s with seed {seed:d}, the calls waiting")
def step_play(context, duration_s, seed):
    start(context, seed).run(duration_s)
    context.result = context.replay.result(duration_s, context.played.limit_per_s)


@behave.when("it is played for {duration_s:d} s with seed {seed:d}, and {fault}")
def step_play_fault(context, duration_s, seed, fault):
    replay = start(context, seed)
    replay.run(2.0)
    end_s = replay.reactor.seconds() + duration_s - 2.0
    issuers = replay.issuers()
    if fault == "the issuers of permits end":
        for name in issuers:
            replay.end_entry(name)
    elif fault == "two issuers start again":
        for name in issuers[:2]:
            replay.end_entry(name)
        replay.run(1.0)
        for name in issuers[:2]:
            replay.add_entry(name)
    elif fault == "others join":
        first = context.played.entries
        for number in range(first, first + first // 3):
            replay.add_entry(f"entry-{number}")
            replay.run(0.3)
    elif fault == "an issuer stands still for 3.2 s":
        replay.freeze(issuers[0])
        replay.run(FREEZE_S)
        replay.thaw(issuers[0])
    elif fault == "answers are late for 3 s":
        replay.delay_messages(LATE_S)
    else:
        cut = issuers[:1]
        if fault == "half of them are cut off":
            cut = list(replay.gateways)[: context.played.entries // 2]
        for name in cut:
            replay.cut(name)
        replay.run(CUT_S)
        for name in cut:
            replay.heal(name)
    replay.run(end_s - replay.reactor.seconds())
    context.result = replay.result(duration_s, context.played.limit_per_s)


@behave.then("in any 4 s no more requests arrive than the limit allows, plus 2")
def step_excess(context):
    assert context.result.excess <= MAX_EXCESS, context.result


@behave.then("at least {share:f} of it is used")
def step_used(context, share):
    assert context.result.used_share >= share, context.result


@behave.then("streams were resumed at endpoints with a limit")
def step_resumed(context):
    assert context.replay.resumed > 0


@behave.when("the endpoints name {text} instead")
def step_change(context, text):
    context.replay.name_limit(None if text == "no limit" else text)


def after(context, settle_s, limit_per_s):
    """Play the replay on, and return its result after some time."""
    context.replay.run(settle_s)
    context.replay.run(10.0)
    return context.replay.result(10.0, limit_per_s)


@behave.then("after {settle_s:f} s in any 4 s no more than it allows, plus 2")
def step_lower(context, settle_s):
    result = after(context, settle_s, 3.0)
    assert result.excess <= MAX_EXCESS, result


@behave.then("after {settle_s:f} s in any 4 s no more than {limit:f} allows, plus 2")
def step_kept(context, settle_s, limit):
    result = after(context, settle_s, limit)
    assert result.excess <= MAX_EXCESS, result


@behave.then("after {settle_s:f} s at least {share:f} of it is used")
def step_higher(context, settle_s, share):
    result = after(context, settle_s, 30.0)
    assert result.used_share >= share, result


@behave.then("after {settle_s:f} s more than {rate:d} requests a second arrive")
def step_ended(context, settle_s, rate):
    result = after(context, settle_s, 1.0)
    assert result.used_share > rate / context.played.limited, result


@behave.then(
    "the limit in force is {limit} and {rejected:d} malformed headers are counted"
)
def step_limit(context, limit, rejected):
    world = context.world
    words = [state.word.limit_per_s for state in world.gateway.endpoints.all()]
    found = max((word for word in words if word is not None), default=None)
    assert found == (None if limit == "none" else float(limit)), words
    limits = world.gateway.endpoints.limits
    assert len(limits) == sum(word is not None for word in words)
    names = [name for name, _ in world.reporter.events]
    assert names.count("malformed_headers") == rejected, names


@behave.when('two calls are answered, the first with "{headers}"')
def step_first_names(context, headers):
    first, second = gateway_announcements.send_two(context)
    extra = gateway_announcements.lines(headers)
    first.dataReceived(gateway.answer(extra=extra))
    second.dataReceived(gateway.answer())


def answer_later(context, data):
    """Send a call once the limit has room, and let its endpoint answer."""
    world = context.world
    world.run(1.5)
    body = gateway_announcements.send(world)
    world.run(0.8)
    place = gateway_announcements.place_of(world, body)
    place[1].dataReceived(data)
    world.run(0.1)


@behave.when('a later call is answered with "{headers}"')
def step_later(context, headers):
    answer_later(context, gateway.answer(extra=gateway_announcements.lines(headers)))


@behave.when('a later call is refused with "{headers}"')
def step_later_refused(context, headers):
    answer_later(context, gateway_announcements.refusal(headers))


@behave.when("a later call is answered by another endpoint")
def step_later_misdirected(context):
    answer_later(context, gateway.answer(421, b"", signed=False))


@behave.when("a peer says {age} s later that it names {limit}")
def step_peer_names(context, age, limit):
    context.world.run(0.5)
    is_limited = limit != "none"
    limit_per_s = float(limit) if is_limited else 0.0
    report = types.LimitReport("x", 3, is_limited, limit_per_s, float(age))
    context.world.gateway.merge_limit("peer", report)


@behave.when("it is probed")
def step_probed(context):
    world = context.world
    world.gateway._probe(world.gateway.endpoints.get("x"))
    context.protocol, context.transport = world.accept()


@behave.then("it has got no further request")
def step_nothing(context):
    assert not context.transport.value()


@behave.given('an instance that follows the issuer "b" of an endpoint with a limit')
def step_follower(context):
    context.shares = limit_shares.LimitShares()
    context.shares.name = "a"
    context.shares.set_members({"a": "one", "b": "two", "c": "one"}, 0)
    word = announcements.Word(limit_per_s=1.5, limit_said_s=10.0)
    context.shares.set_limit(RUN, "two", word, 10.0)
    context.shares.tick(10.0)
    share = context.shares.of(RUN)
    share.want(10, True)
    first = types.PermitGrant("e", 0, 0, 1.0, 100.0)
    context.shares.grant("b", RUN, first, 10.0)


@behave.when(
    'it is granted {count:d} permits by "{peer}", {delay_s:f} s late,'
    " one in {interval} s"
)
def step_granted(context, count, peer, delay_s, interval):
    grant = types.PermitGrant("e", 0, count, float(interval), 101.0)
    context.now_s = 11.0 + delay_s
    context.shares.grant(peer, RUN, grant, context.now_s)


@behave.then("it may send {count:d} calls")
def step_may_send(context, count):
    share = context.shares.of(RUN)
    taken = 0
    while share.has_room(context.now_s):
        assert share.honours(share.take(context.now_s))
        taken += 1
    assert taken == count
    assert not share.honours(share.take(context.now_s))


@behave.given(
    "an issuer of a limit of {limit:f} a second with {connected:d} connected followers"
    " and {silent:d} silent ones"
)
def step_issuer(context, limit, connected, silent):
    context.shares = limit_shares.LimitShares()
    names = [f"peer-{number}" for number in range(connected - 1)]
    context.peers = names
    context.shares.name = "me"
    context.shares.set_members({"me": "one"} | dict.fromkeys(names, "two"), silent)
    word = announcements.Word(limit_per_s=limit, limit_said_s=0.0)
    context.shares.set_limit(RUN, "one", word, 0.0)


@behave.when("all of them want permits for {duration_s:d} s")
def step_want(context, duration_s):
    context.duration_s, issued = duration_s, 0
    share = context.shares.of(RUN)
    for now_s in itertools.takewhile(
        lambda now_s: now_s < duration_s, itertools.count(0.0, 0.05)
    ):
        share.want(32, True)
        sent = list(context.shares.tick(now_s))
        for peer in context.peers:
            request = types.PermitRequest("e", 0, 10.0, 0.0, 32, True, 0, True)
            sent += context.shares.receive(peer, RUN, request, now_s)
        issued += sum(each.message.count for each in sent)
        while share.has_room(now_s):
            share.take(now_s)
            issued += 1
    context.issued = issued


@behave.then("it issues {part:f} of {rate:f} a second")
def step_issued(context, part, rate):
    expected = part * rate * context.duration_s
    assert 0.95 * expected - 1 <= context.issued <= expected + 2, context.issued


@behave.given('an entry process that is connected to "{peer}" and knows "{other}"')
def step_process(context, peer, other):
    context.entry = entries.Entry(testing.MemoryReactorClock(), "10.0.0.1")
    context.peers = context.entry.process.peers
    context.entry.hub.refused = set()
    for name in (peer, other):
        context.peers.add_instances(
            [machines.Instance(name, "entry", name, 1, "r", "a")]
        )
    context.peers.permit_members(0.0)


@behave.when('"{name}" is silent for {duration_s:f} s')
def step_silent(context, name, duration_s):
    context.now_s = duration_s


@behave.when('"{name}" has ended')
def step_process_ended(context, name):
    context.now_s = 1.0
    context.entry.hub.refused.add(name)


@behave.then(
    "{connected:d} instances are connected and {silent:d} may send calls unseen"
)
def step_members(context, connected, silent):
    members, unseen = context.peers.permit_members(context.now_s)
    assert (len(members), unseen) == (connected, silent), (members, unseen)


@behave.given("an entry process that knows an endpoint with a limit of {limit:f}")
def step_process_limit(context, limit):
    context.entry = entries.Entry(testing.MemoryReactorClock(), "10.0.0.1")
    its = context.entry.process.gateway
    endpoint = endpoints.Endpoint("e", "s", "10.0.0.7", 80, "a", 8, False, {}, 5)
    its.set_configuration(routes.Configuration(1, (), {}, routes.ClientLimits(), None))
    its.set_endpoints({"e": endpoint}, False)
    its.merge_limit("peer", types.LimitReport("e", 5, True, limit, 0.0))


@behave.when("an entry instance says hello")
def step_hello(context):
    context.sent = []
    connection = context.entry.hub.connection("10.0.0.9")
    connection.send = context.sent.append
    hello = types.Hello("entry", "r", "a", 0)
    envelope = codec.Envelope("10.0.0.9", 0, hello)
    context.entry.process.message_received(connection, envelope)


@behave.then("it is told that the limit is {limit:f}")
def step_hello_told(context, limit):
    (report,) = [each for each in context.sent if isinstance(each, types.LimitReport)]
    told = dataclasses.astuple(report)[:4]
    assert told == ("e", 5, True, limit), report
