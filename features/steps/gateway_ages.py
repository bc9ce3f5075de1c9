"""Steps for the ages of messages from processes with other clocks."""

import re

import behave
from twisted.internet import testing

from cicadaplank.gateway import report_ages
from cicadaplank.messages import codec, types
from features import entries

PEER = "peer"
PEER_BEHIND_S = 500.0
ECHO = re.compile(r"([\d.]+) s under way at ([\d.]+)")


@behave.given("a peer whose clock is {behind_s:d} s behind")
def step_peer(context, behind_s):
    context.ages = report_ages.ReportAges()
    context.behind_s = behind_s


@behave.when("it echoes reports that were {echoes}")
def step_echoes(context, echoes):
    for delay_s, time_s in ECHO.findall(echoes):
        sent_s = float(time_s)
        received_s = sent_s + float(delay_s) - context.behind_s
        now_s = sent_s + float(delay_s)
        context.ages.record_echo(PEER, sent_s, received_s, now_s)


@behave.when("it connects anew")
def step_anew(context):
    context.ages.forget(PEER)


@behave.when("it connects anew and its first echo is {what}")
def step_odd_echo(context, what):
    context.ages.forget(PEER)
    sent_s, received_s = {
        "not a number": (11.0, float("nan")),
        "infinite": (11.0, float("-inf")),
        "of a report not sent yet": (30.0, 11.0 - context.behind_s),
    }[what]
    context.ages.record_echo(PEER, sent_s, received_s, 11.0)
    assert context.ages.rejected == 1


@behave.when("its clock jumps ahead by {jump_s:d} s")
def step_jump(context, jump_s):
    context.behind_s -= jump_s


@behave.when("a report of it at {time_s:d} s is read {waited_s:f} s later")
def step_report(context, time_s, waited_s):
    sent_s = time_s - context.behind_s
    context.age_s = context.ages.max_age_s(PEER, sent_s, time_s + waited_s)


@behave.then("the report counts as between {least_s:f} and {most_s:f} s old")
def step_age(context, least_s, most_s):
    assert least_s <= context.age_s <= most_s, context.age_s


@behave.then("the age of the report is not known")
def step_unknown(context):
    assert context.age_s is None, context.age_s


@behave.when("{count:d} others echo reports and send some")
def step_many(context, count):
    for number in range(count):
        context.ages.record_echo(f"p{number}", 1.0, 1.0, 2.0)
        context.ages.is_echo_due(f"p{number}", 2.0)


@behave.then(
    "the clocks of {kept:d} senders are kept, and {rejected:d} rejections are counted"
)
def step_kept(context, kept, rejected):
    ages = context.ages
    known = [n for n in range(3 * kept) if ages.max_age_s(f"p{n}", 2.0, 3.0)]
    assert len(known) == kept, len(known)
    assert ages.rejected == rejected, ages.rejected


@behave.given("the measured path from a peer of an entry process")
def step_path(context):
    reactor = testing.MemoryReactorClock()
    context.entry = entries.Entry(reactor, "10.0.0.1")
    context.delays = context.entry.process.peers.path_delays
    for second in range(10):
        context.delays.record(entries.PEER, float(second), second + 100.0)


@behave.when("it connects anew with a clock {jump_s:d} s {way}")
def step_clock(context, jump_s, way):
    hello = types.Hello("entry", "r", "a", 0)
    frame = codec.encode(codec.Envelope(entries.PEER, 0, hello))
    context.entry.receive(frame)
    context.clock_s = jump_s if way == "ahead" else -jump_s


@behave.when("it sends a report at a time that is not a number")
def step_nan(context):
    context.delays.record(entries.PEER, float("nan"), 110.0)
    context.clock_s = 0.0


@behave.then("the next report on the path counts as {late_s:f} s late")
def step_late(context, late_s):
    assert context.delays.delay_s(entries.PEER, 110.0) == 0.0
    for second in (11, 12):
        sent_s, now_s = second + context.clock_s, second + 100.0
        context.delays.record(entries.PEER, sent_s, now_s)
        found_s = context.delays.delay_s(entries.PEER, now_s)
        assert abs(found_s - late_s) < 1e-6, found_s


@behave.given("an entry process whose peer connects anew")
def step_connects(context):
    context.reactor = testing.MemoryReactorClock()
    context.entry = entries.Entry(context.reactor, "10.0.0.1")
    # Its own start is not what the state of the store counts from.
    context.reactor.advance(100.0)
    hello = types.Hello("entry", "r", "a", 0)
    context.entry.receive(codec.encode(codec.Envelope(entries.PEER, 0, hello)))


@behave.when("its peer has echoed a report over {path}")
def step_echoed(context, path):
    delay_s = 0.5 if "queue" in path else 0.02
    sent_s = context.reactor.seconds() - delay_s
    echo = types.ReportEcho(sent_s, sent_s + delay_s - PEER_BEHIND_S)
    context.entry.receive(codec.encode(codec.Envelope(entries.PEER, 0, echo)))


@behave.when(
    "a report of it, that the store answered {age_s:f} s before, is {delay_s:f} s "
    "under way"
)
def step_under_way(context, age_s, delay_s):
    sent_s = context.reactor.seconds() - PEER_BEHIND_S
    report = types.GatewayReport({}, {}, age_s, {}, sent_s)
    context.reactor.advance(delay_s)
    context.entry.receive(codec.encode(codec.Envelope(entries.PEER, 0, report)))


@behave.then(
    "the state of the store counts as known as of {least_s:f} to {most_s:f} s ago"
)
def step_known(context, least_s, most_s):
    age_s = context.entry.process.peers.store_age_s(context.reactor.seconds())
    assert least_s - 1e-6 <= age_s <= most_s, age_s
