"""Steps for records of endpoints that go missing after an outage of the store."""

import behave
from twisted.internet import testing

from cicadaplank.gateway import endpoints, routes
from cicadaplank.messages import codec, types
from features import entries

STEP_S = 0.05
END_S = 6.0
# Age of the last answer of the store to a peer as it reports.
PEER_AGE_S = 0.3


def run(context, duration_s):
    """Let time pass while the store answers."""
    for _ in range(round(duration_s / STEP_S)):
        context.entry.hear_store()
        context.reactor.advance(STEP_S)


@behave.given("an entry process that knows an endpoint and lost the store")
def step_lost(context):
    context.reactor = testing.MemoryReactorClock()
    entry = context.entry = entries.Entry(context.reactor, "10.0.0.1")
    endpoint = endpoints.Endpoint("x", "s", "10.0.1.1", 80, "a", 1, False, {})
    context.rows = {"x": endpoint}
    entry.process._decoder.endpoints = lambda copy, known: (dict(context.rows), 0)
    configuration = routes.Configuration(1, (), {}, routes.ClientLimits(), None)
    entry.process.gateway.set_configuration(configuration)
    run(context, 1.0)
    entry.process._endpoints_changed(set())
    entry.process.listed.availability.record_failure()


@behave.given("an entry process with an endpoint")
def step_with_endpoint(context):
    step_lost(context)
    context.entry.hear_store()
    play(context, 4.0, is_away=False, peers_age_s=PEER_AGE_S)


def play(context, duration_s, is_away, peers_age_s, served_s=0.0):
    """Let time pass.

    :param is_away: whether this instance gets no answer of the store.
    :param peers_age_s: age of the last answer to a peer as it reports, None when it
        does not report. It rises from there when it is longer than usual.
    :param served_s: time for which the store has answered peers, as they report.
    """
    entry = context.entry
    if is_away:
        entry.process.listed.availability.record_failure()
    for number in range(round(duration_s / STEP_S)):
        if not is_away:
            entry.hear_store()
        if peers_age_s is not None and number % 4 == 0:
            is_rising = peers_age_s > PEER_AGE_S
            age_s = peers_age_s + is_rising * number * STEP_S
            sent_s = context.reactor.seconds()
            report = types.GatewayReport({}, {}, age_s, {}, sent_s, served_s)
            frame = codec.encode(codec.Envelope("10.0.0.9", 0, report))
            entry.receive(frame)
        context.reactor.advance(STEP_S)


@behave.when("{outage} for {duration_s:d} s and it has gone on for {after_s:d} s")
def step_outage(context, outage, duration_s, after_s):
    is_away, peers_age_s = {
        "the store was away from all instances": (True, 2 * PEER_AGE_S),
        "the store was away from this instance only": (True, PEER_AGE_S),
        "this instance was cut off from all others": (True, None),
        "the store and all others were away": (True, None),
        "nothing was away": (False, PEER_AGE_S),
    }[outage]
    play(context, duration_s, is_away, peers_age_s)
    served_s = 60.0 if outage == "this instance was cut off from all others" else 0.0
    play(context, after_s, is_away=False, peers_age_s=PEER_AGE_S, served_s=served_s)


@behave.when("the record of the endpoint goes")
def step_record_goes(context):
    context.rows = {}
    context.entry.process._endpoints_changed({"x"})


@behave.then("the endpoint then is {outcome}")
def step_outcome(context, outcome):
    is_kept = "x" in context.entry.process.gateway.endpoints.names()
    assert is_kept == (outcome == "kept for a while"), outcome


@behave.when("the store returns and the endpoint's record goes {after_s:f} s later")
def step_returns(context, after_s):
    entry = context.entry
    entry.hear_store()
    run(context, after_s)
    context.rows = {}
    entry.process._endpoints_changed({"x"})
    context.after_s = after_s


@behave.then(
    "the endpoint is used until {until_s:f} s after the return, give or take {by_s:f} s"
)
def step_until(context, until_s, by_s):
    now_s = context.after_s
    while "x" in context.entry.process.gateway.endpoints.names():
        assert now_s < END_S, "the endpoint is still used"
        run(context, STEP_S)
        now_s += STEP_S
    assert abs(now_s - until_s) <= by_s, now_s
