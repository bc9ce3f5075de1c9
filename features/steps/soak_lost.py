"""Steps that judge one request by the check for lost requests."""

import dataclasses

import behave

from soak import checks, lost, servers, timeliness

SENT_S = 100.0
ENTRY, LIFE, SERVER, REQUEST = 0, 1, "i-0", "r-1"
NAMES = {
    "store": timeliness.STORE,
    "entry": timeliness.entry_name(ENTRY),
    "other entry": timeliness.entry_name(ENTRY + 1),
    "server's link": SERVER,
}
SEEN = checks.Seen(
    request=REQUEST,
    kind="once",
    entry=ENTRY,
    life=LIFE,
    status=0,
    body=b"",
    events=0,
    is_whole=False,
    version=1,
    sent_s=SENT_S,
    ended_s=SENT_S,
    written_s=SENT_S,
    deadline_s=4.0,
)


def _end(seen, text, ended_s):
    """Return a request that ended as a text says."""
    fields = {"ended_s": ended_s}
    if text.startswith("status "):
        fields |= {"status": int(text.split()[1]), "is_whole": True}
    elif text != "no answer":
        fields |= {"status": 200, "is_whole": text == "an answer"}
    return dataclasses.replace(seen, **fields)


def _judge(context, seen, stops):
    seen = [*context.earlier, seen]
    context.lost = lost.violations(seen, context.ledger, stops, context.disturbances)


def _begin(context, has_arrived=True):
    context.ledger = servers.Ledger()
    context.disturbances = timeliness.Disturbances()
    context.seen = SEEN
    context.earlier = []
    if has_arrived:
        arrival = servers.Arrival(REQUEST, SERVER, SENT_S, True)
        context.ledger.arrivals.append(arrival)


@behave.given("a sound entry and a request that {reached}")
def step_request(context, reached):
    _begin(context, has_arrived=reached == "reached a server")


@behave.given("a server that {state}")
def step_server(context, state):
    if state != "goes on":
        context.ledger.failed.add(REQUEST if "the request" in state else "r-2")


@behave.given("{kind} of the {disturbed} until {calm_s:g} s before the request")
def step_disturbance(context, kind, disturbed, calm_s):
    until_s = SENT_S - calm_s
    context.disturbances.record(
        NAMES[disturbed], until_s - 1.0, until_s, is_planned=kind == "a planned stop"
    )


@behave.given("before it {answer} on its connection")
def step_behind(context, answer):
    first = dataclasses.replace(SEEN, request="r-0", kind="stream")
    end = "an answer" if answer == "a whole answer" else "an incomplete answer"
    context.earlier = [_end(first, end, SENT_S + 2.0)]
    context.seen = dataclasses.replace(SEEN, behind="r-0")
    if answer.endswith("that fails"):
        context.ledger.failed.add("r-0")


@behave.given("a client that closes the sending side behind it")
def step_end_sending(context):
    context.seen = dataclasses.replace(SEEN, manner=checks.HALF_CLOSED)


@behave.when("the request ends with {end} {waited_s:g} s after its last byte")
def step_ends(context, end, waited_s):
    seen = _end(context.seen, end, SENT_S + waited_s)
    _judge(context, seen, lost.Stops({}, 8.0))


@behave.given("a planned stop of the entry that may take {grace_s:g} s")
def step_stop(context, grace_s):
    _begin(context)
    context.stops = lost.Stops({(ENTRY, LIFE): SENT_S}, grace_s)
    context.disturbances.record(NAMES["entry"], SENT_S, is_planned=True)


@behave.when(
    "a request is written {sent_s:g} s after the signal and ends with {end} at"
    " {ended_s:g} s, its server at work until {work_s:g} s"
)
def step_ends_in_stop(context, sent_s, end, ended_s, work_s):
    written_s = SENT_S + sent_s
    seen = dataclasses.replace(
        SEEN, sent_s=written_s, written_s=written_s, deadline_s=6.0
    )
    context.ledger.ended_s[REQUEST] = SENT_S + work_s
    _judge(context, _end(seen, end, SENT_S + ended_s), context.stops)


@behave.when(
    "a request that runs once is answered {status:d} and was run {runs:d} times"
)
def step_refused(context, status, runs):
    seen = dataclasses.replace(SEEN, status=status, is_whole=True)
    ledger = servers.Ledger()
    for _ in range(runs):
        ledger.arrivals.append(servers.Arrival(REQUEST, SERVER, SENT_S, True))
    found = checks.violations([seen], [], ledger, {}, checks.Extras(set(), [], []))
    context.untruthful = [text for text in found if text.startswith("truthful")]


@behave.then("the checks of the soak find {count:d} untruthful refusals")
def step_untruthful(context, count):
    assert len(context.untruthful) == count, context.untruthful


@behave.then("the checks of the soak find {count:d} lost requests")
def step_lost(context, count):
    assert len(context.lost) == count, context.lost


@behave.then(
    "the checks of the soak count {counted:d} half-closed requests and find {count:d}"
    " lost requests"
)
def step_half_closed(context, counted, count):
    found = {
        text: number
        for text, number in context.ledger.situations.items()
        if "half-closed" in text
    }
    assert sum(found.values()) == counted, found
    assert len(context.lost) == count, context.lost
