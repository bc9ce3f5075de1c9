"""Steps for requests that share a part of their prompts which crashes endpoints."""

import dataclasses
import itertools
import random

import behave
from twisted.internet import error
from twisted.python import failure

from bench import crashes
from cicadaplank.messages import types
from cicadaplank.requests import crash_causes
from features.steps import gateway

NUMBERS = itertools.count(1)
# Time after which an endpoint that has crashed is listed as started anew.
RESTART_S = 1.5


def send(world, parts):
    """Send a request with these parts and one of its own, on a new connection."""
    number = next(NUMBERS)
    listed = ",".join(f"{part}:100" for part in [*parts, f"own-{number}"])
    world.connect()
    extra = b"X-Prefix-Hash: %b\r\n" % listed.encode()
    body = b"call-%d" % number
    world.client.dataReceived(world.request(extra, body))
    return body


def refuse(world):
    """Refuse the dials that wait, as the host of a crashed endpoint does."""
    while world.has_dial:
        _, _, factory, _, _ = world.reactor.tcpClients[world.dialled]
        world.dialled += 1
        refused = failure.Failure(error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, refused)


def take_connections(world):
    """Let the endpoints take the connections that wait."""
    while world.has_dial:
        world.accept()


def take_call(world, body):
    """Let the endpoints take connections until one is sent a call.

    :returns: the protocol of the gateway's side of the connection.
    """
    take_connections(world)
    for _, protocol, transport in world.sent:
        if body in transport.value():
            return protocol
    raise AssertionError(f"{body} was not sent")


def crash(world, protocol, after_s=0.0):
    """Let the endpoint of a connection go on with an answer, crash and start anew."""
    host = next(host for host, made, _ in world.sent if made is protocol)
    for number in range(round(after_s / 0.1)):
        protocol.dataReceived(gateway.chunk(gateway.event(number + 1)))
        world.run(0.1)
    gateway.lose(protocol, error.ConnectionDone())
    refuse(world)
    list_anew(world, host)


def list_anew(world, host):
    """List the endpoint of a host as started anew."""
    for name, endpoint in list(world.listed.items()):
        if endpoint.host == host:
            started_ms = endpoint.started_ms + 1
            world.listed[name] = dataclasses.replace(endpoint, started_ms=started_ms)
    world.gateway.set_endpoints(world.listed, False)


def crash_once(world, parts, after_s=0.0):
    """Send a request under which its endpoint crashes, and wait for the restart."""
    protocol = take_call(world, send(world, parts))
    protocol.dataReceived(gateway.stream_head())
    crash(world, protocol, after_s)
    world.run(RESTART_S)
    take_connections(world)


def answer_once(world, parts):
    """Send a request that is answered."""
    body = send(world, parts)
    protocol = take_call(world, body)
    protocol.dataReceived(gateway.stream_head() + gateway.chunk(gateway.event(1)))
    protocol.dataReceived(b"0\r\n\r\n")
    world.run(0.1)


@behave.given('sound requests with parts "{parts}" are answered between crashes')
def step_sound(context, parts):
    context.sound = parts.split(",")


@behave.when('{count:d} different requests with parts "{parts}" crash their endpoints')
def step_crash(context, count, parts):
    for _ in range(count):
        crash_once(context.world, parts.split(","))
        answer_once(context.world, context.sound)


@behave.when(
    '{count:d} endpoints crash {after_s:f} s after they began to answer parts "{parts}"'
)
def step_crash_later(context, count, after_s, parts):
    for _ in range(count):
        crash_once(context.world, parts.split(","), after_s)
        answer_once(context.world, context.sound)


@behave.when("another one does while the instance stands still for {still_s:f} s")
def step_still(context, still_s):
    world = context.world
    protocol = take_call(world, send(world, ["system", "bad"]))
    protocol.dataReceived(gateway.stream_head())
    # Nothing is read and no timer runs meanwhile.
    world.reactor.advance(still_s)
    protocol.dataReceived(gateway.chunk(gateway.event(1)))
    crash(world, protocol)
    world.run(RESTART_S)
    take_connections(world)


def crash_behind_proxy(world, parts, behaviour):
    """Let a call break as its answer begins, and its address accept connections."""
    body = send(world, parts)
    protocol = take_call(world, body)
    host = next(host for host, made, _ in world.sent if made is protocol)
    protocol.dataReceived(gateway.stream_head())
    gateway.reset(protocol)
    while world.has_dial:
        accepted, _ = world.accept()
        if behaviour == "closes it":
            gateway.end(accepted)
    name = next(n for n, e in world.listed.items() if e.host == host)
    listed, endpoint = dict(world.listed), world.listed[name]
    if behaviour == "is no longer listed":
        del listed[name]
    elif behaviour == "leaves":
        listed[name] = dataclasses.replace(endpoint, is_draining=True)
        world.gateway.set_endpoints(listed, False)
        del listed[name]
    elif behaviour == "is listed anew":
        started_ms = endpoint.started_ms + 1
        listed[name] = dataclasses.replace(endpoint, started_ms=started_ms)
    world.gateway.set_endpoints(listed, False)
    world.run(RESTART_S)
    # It is listed again with a start of its own, so that there is an endpoint to use.
    started_ms = world.listed[name].started_ms + 2
    world.listed[name] = dataclasses.replace(endpoint, started_ms=started_ms)
    if behaviour not in ("closes it", "stays"):
        world.gateway.set_endpoints(world.listed, False)
    world.run(RESTART_S)
    take_connections(world)


@behave.when(
    '{count:d} endpoints crash under parts "{parts}" and their address accepts a'
    " connection and {behaviour}"
)
def step_crash_behind_proxy(context, count, parts, behaviour):
    for _ in range(count):
        crash_behind_proxy(context.world, parts.split(","), behaviour)
        answer_once(context.world, context.sound)


@behave.when(
    '{count:d} endpoints break a connection under parts "{parts}" and refuse others'
    " {after_s:f} s later"
)
def step_break(context, count, parts, after_s):
    world = context.world
    for _ in range(count):
        protocol = take_call(world, send(world, parts.split(",")))
        host = next(host for host, made, _ in world.sent if made is protocol)
        protocol.dataReceived(gateway.stream_head())
        gateway.reset(protocol)
        take_connections(world)
        world.run(after_s)
        # A silent call has the endpoint probed.
        state = next(
            s for s in world.gateway.endpoints.all() if s.endpoint.host == host
        )
        world.gateway._probe(state)
        refuse(world)
        list_anew(world, host)
        world.run(RESTART_S)
        answer_once(world, context.sound)


@behave.when(
    '{count:d} endpoints break connections at once under parts "{parts}" and are'
    " unlisted {gap_s:f} s apart"
)
def step_cut_off(context, count, parts, gap_s):
    world = context.world
    protocols = [take_call(world, send(world, parts.split(","))) for _ in range(count)]
    hosts = [h for p in protocols for h, made, _ in world.sent if made is p]
    assert len(set(hosts)) == count, hosts
    for protocol in protocols:
        protocol.dataReceived(gateway.stream_head())
    for protocol in protocols:
        gateway.reset(protocol)
    take_connections(world)
    for host in hosts:
        world.run(gap_s)
        world.listed = {n: e for n, e in world.listed.items() if e.host != host}
        world.gateway.set_endpoints(world.listed, False)
    world.run(0.1)


@behave.when('a request with parts "{parts}" waits during another crash')
def step_waits(context, parts):
    world = context.world
    for _ in range(2):
        body = send(world, parts.split(","))
        first = take_call(world, body)
    context.body = send(world, parts.split(","))
    context.transport = world.client_transport
    first.dataReceived(gateway.stream_head())
    crash(world, first)
    world.run(0.1)


@behave.then('a request with parts "{parts}" is {outcome}')
def step_outcome(context, parts, outcome):
    world = context.world
    context.body = send(world, parts.split(","))
    context.transport = world.client_transport
    take_connections(world)
    if outcome == "sent":
        take_call(world, context.body)
    else:
        step_unsent(context)


@behave.then("it is answered 503 unsent")
def step_unsent(context):
    sent = [t.value() for _, _, t in context.world.sent]
    assert not any(context.body in data for data in sent), "the call was sent"
    got = context.transport.value()
    assert gateway.status_of(got) == 503, got
    assert b"Retry-After" in got, got


@behave.given("a replay of requests that share one part at {entries:d} entry instances")
def step_replay(context, entries):
    context.fleet = crashes.FLEETS[entries]


@behave.when("it is played with seed {seed:d}")
def step_play(context, seed):
    context.result = crashes.Replay(context.fleet, seed).run()
    # Without blocking the part goes on crashing engines.
    unblocked = crashes.Replay(context.fleet, seed, is_blocking=False)
    assert unblocked.run(6.0).bad_arrivals > context.result.bad_arrivals


TROUBLES = {
    "a third of the messages are lost": crashes.Trouble(lost_share=0.33),
    "messages are up to 1 s late and out of order": crashes.Trouble(max_delay_s=1.0),
    "half of the messages are repeated": crashes.Trouble(repeated_share=0.5),
    "an instance restarts each 0.5 s": crashes.Trouble(restart_interval_s=0.5),
    "all instances restart at once": crashes.Trouble(restarts_all_s=10.0),
    "all of this": crashes.Trouble(0.33, 0.5, 1.0, 0.5, 10.0),
}


@behave.when("it is played with seed {seed:d} and {trouble}")
def step_play_trouble(context, seed, trouble):
    replay = crashes.Replay(context.fleet, seed, trouble=TROUBLES[trouble])
    context.result = replay.run()


@behave.then("at most 1 in 1000 of the sound requests is rejected")
def step_sound_rejected(context):
    result = context.result
    assert result.sound_rejected <= result.sound / 1000, result


@behave.then(
    "at most {most:d} requests with the part are sent later than the bound after the"
    " fifth crash"
)
def step_late(context, most):
    assert context.result.crashes >= 3, context.result
    assert context.result.late_arrivals <= most, context.result


@behave.then("at least half of the sound requests are sent")
def step_sound_sent(context):
    assert context.result.sound_rejected <= context.result.sound / 2, context.result


@behave.when("5 engines crash at once under requests with the same parts")
def step_at_once(context):
    context.causes = crash_causes.CrashCauses(random.Random(1))
    for number in range(5):
        prompts = [("system", "document")]
        context.causes.record_crash(f"engine-{number}", prompts, [], 1.0)
    context.causes.tick(1.05)


@behave.then("no part is blocked")
def step_none_blocked(context):
    assert not context.causes.blocked, context.causes.blocked


def causes(seed):
    """Return the decision object of an entry instance."""
    return crash_causes.CrashCauses(random.Random(seed))


@behave.given(
    'an entry instance that has blocked the part "{part}" after crashes of "{parts}"'
)
def step_blocking(context, part, parts):
    context.causes = causes(1)
    prompt = tuple(parts.split(","))
    for number in range(3):
        context.causes.record_crash(f"engine-{number}", [prompt], [], 10.0 + number)
        context.causes.record_sound(prompt[:1], 10.5 + number)
    context.causes.tick(13.0)
    assert context.causes.blocked == [part], context.causes.blocked


@behave.when("another one starts and connects to it 5 s later")
def step_connects(context):
    context.other = causes(2)
    for message in context.causes.messages_for_new_peer(17.0):
        if isinstance(message, types.CrashReport):
            context.other.merge_crash(message, 1000.0)
        else:
            context.other.merge_sound(message, 1000.0)
    context.other.tick(1000.0)


@behave.then('that one blocks the part "{part}" for {duration_s:d} s and no other')
def step_blocks(context, part, duration_s):
    assert context.other.blocked == [part], context.other.blocked
    left_s = context.other.blocked_for_s((part,), 1000.0)
    assert abs(left_s - duration_s) < 0.01, left_s


@behave.given("an entry instance that knows of no crash")
def step_no_crash(context):
    context.causes = causes(1)


@behave.when('{count:d} engines crash in turn under requests with parts "{parts}"')
def step_in_turn(context, count, parts):
    crash_in_turn(context, count, parts, 10.0)


@behave.when('{count:d} more crash {after_s:f} s later under parts "{parts}"')
def step_more_in_turn(context, count, after_s, parts):
    crash_in_turn(context, count, parts, context.crashed_s + after_s)


@behave.when("{count:d} different parts are answered, and one of {length:d} characters")
def step_answered_parts(context, count, length):
    for number in range(count):
        context.causes.record_sound((f"part-{number}",), float(number))
    context.causes.record_sound(("x" * length,), float(count))


@behave.then("{kept:d} answered parts are kept and {dropped:d} were dropped")
def step_kept(context, kept, dropped):
    assert context.causes.answered_parts == kept, context.causes.answered_parts
    assert context.causes.answers_dropped == dropped, context.causes.answers_dropped


@behave.when("engines crash as in seed 8203 of the soak")
def step_soak(context):
    # Two pairs of engines crash within SAME_CAUSE_S of each other.
    bad, common = ("system", "bad", "document-0"), ("system", "other", "document-2")
    crashes_s = {3: 10.0, 4: 10.01, 2: 10.2, 1: 10.21, 5: 10.7}
    for number, at_s in crashes_s.items():
        prompts = [bad, common] if number in (3, 2, 5) else [bad]
        context.causes.record_crash(f"i-{number}", prompts, [], at_s)
    # Sound requests share the other parts of the deadly ones, and not the document.
    context.causes.record_sound(("system", "document-0"), 10.75)
    context.causes.tick(10.8)


def crash_in_turn(context, count, parts, start_s):
    """Record crashes of different engines, one a second, and work out the blame."""
    for number in range(count):
        context.crashed_s = start_s + number
        run = f"engine-{context.crashed_s}"
        prompts = [tuple(parts.split(","))]
        context.causes.record_crash(run, prompts, [], context.crashed_s)
        context.causes.tick(context.crashed_s)


@behave.then('the blocked parts are "{parts}"')
def step_blocked_parts(context, parts):
    expected = [part for part in parts.split(",") if part != "none"]
    assert context.causes.blocked == expected, context.causes.blocked
