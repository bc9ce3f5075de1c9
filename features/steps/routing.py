"""Steps for the choice of endpoints."""

import dataclasses
import random
import types as python_types

import behave

from cicadaplank.entry import serving
from cicadaplank.messages import types
from cicadaplank.requests import answers, exchange, routing
from cicadaplank.world import contracts, machines

SEED = 11
ROW, BASE = "drafts", "base"
DIGESTS = {ROW: "digest-2", BASE: "base-2"}
OUTCOMES = {
    "A": routing.Outcome.ANSWERED,
    "F": routing.Outcome.FAILED,
    "B": routing.Outcome.BUSY,
    "C": routing.Outcome.CANCELLED,
}


def names_in(text):
    """Return the names of a list written with commas."""
    return tuple(name.strip() for name in text.split(","))


class Entry:
    """A router with a clock and the work that it has in progress."""

    def __init__(self, names, capacity):
        self.capacity = capacity
        self.now_s = 100.0
        self.holders = names
        self.places = {name: ("north", "dc1") for name in names}
        self.in_progress = {}
        self.used = set()
        self.sent = 0
        self.probe = None
        self.version = 0
        self.start()

    def start(self):
        """Begin with an empty router, as after a restart."""
        self.router = routing.Router("north", "dc1", random.Random(SEED))
        self.in_progress = {}
        self.list_instances()
        self.accept()
        self.report(*self.places)

    def list_instances(self):
        """Pass the instance list to the router."""
        instances = [
            machines.Instance(name, "agent", "127.0.0.1", 1, region, data_centre)
            for name, (region, data_centre) in self.places.items()
        ]
        self.router.instances_listed(instances, self.now_s)

    def accept(self, leaving=(), halves=(), holders=None):
        """Accept the next version of the table."""
        self.version += 1
        limits = (contracts.ClientLimit("portal", 100.0),)
        holders = holders or self.holders
        shared = {"holders": holders, "limits": limits, "leaving": leaving}
        rows = (
            contracts.Row(BASE, "model", "2", DIGESTS[BASE], **shared),
            contracts.Row(ROW, "adapter", "2", DIGESTS[ROW], base=BASE, **shared),
        )
        table = contracts.Table(rows, halves)
        configuration = contracts.Configuration(self.version, "change", table)
        self.router.configuration_accepted(configuration, self.now_s)

    def report(self, *names, load=None, **changes):
        """Report endpoints; their load is the work in progress unless given."""
        for name in names:
            own = sum(held == name for held, _ in self.in_progress.values())
            report = types.EndpointReport(
                dict(DIGESTS), own if load is None else load, self.capacity, "ready"
            )
            report = dataclasses.replace(report, **changes)
            self.router.endpoint_reported(name, report, self.now_s)

    def choose(self, prefix="", **changes):
        """Ask for an endpoint."""
        query = routing.RoutingQuery(ROW, "portal", prefix)
        query = dataclasses.replace(query, **changes)
        return self.router.choose(query, self.now_s, self.now_s)

    def send(self, count, prefix="", **changes):
        """Send requests; return the set of endpoints that got them."""
        got = set()
        for _ in range(count):
            chosen = self.choose(prefix, **changes)
            assert isinstance(chosen, routing.EndpointChoice), chosen
            self.sent += 1
            self.router.dispatched(self.sent, chosen.endpoint, prefix, self.now_s)
            self.in_progress[self.sent] = (chosen.endpoint, chosen.tier)
            if chosen.probe:
                assert self.probe is None, "second probe at a time"
                self.probe = self.sent
            got.add(chosen.endpoint)
        self.used |= got
        return got

    def end(self, attempt, outcome):
        """End an attempt."""
        self.in_progress.pop(attempt, None)
        return self.router.finished(attempt, outcome, self.now_s)

    def fail_once(self, name, outcome=routing.Outcome.FAILED):
        """Let one attempt at an endpoint end."""
        self.sent += 1
        self.router.dispatched(self.sent, name, "", self.now_s)
        self.end(self.sent, outcome)

    def wait(self, seconds, reporting):
        """Advance the clock with a report each second."""
        for _ in range(int(seconds)):
            self.now_s += 1.0
            self.report(*reporting)

    def at(self, name):
        """Return the number of requests in progress at an endpoint."""
        return sum(held == name for held, _ in self.in_progress.values())


@behave.given('a router with endpoints "{names}" of capacity {capacity:d}')
def step_router(context, names, capacity):
    context.entry = Entry(names_in(names), capacity)


@behave.given(
    'a router with further endpoints "{near}" in the region '
    'and "{far}" in another region'
)
def step_further(context, near, far):
    entry = context.entry
    entry.places |= {near: ("north", "dc2"), far: ("south", "dc3")}
    entry.holders += (near, far)
    entry.start()


@behave.when('the router learns that endpoint "{name}" {change}')
def step_change(context, name, change):
    entry = context.entry
    others = tuple(each for each in entry.holders if each != name)
    # What the router derived from the table before the change must not be kept.
    entry.choose()
    if change == "holds an older version":
        entry.report(name, rows={**DIGESTS, ROW: "digest-1"})
    elif change == "holds an older base of an adapter":
        entry.report(name, rows={**DIGESTS, BASE: "base-1"})
    elif change == "is starting":
        entry.report(name, state="starting")
    elif change == "announces that it leaves":
        entry.report(name, state="leaving")
    elif change == "refuses work because it leaves":
        entry.fail_once(name, routing.Outcome.LEAVING)
    elif change == "refuses work because it is busy":
        entry.fail_once(name, routing.Outcome.BUSY)
    elif change == "lost its connection":
        entry.router.endpoint_lost(name, entry.now_s)
    elif change == "has sent no report for 10 s":
        entry.wait(10, others)
    elif change == "is past its leaving time":
        entry.accept(leaving=(contracts.Leaving(name, entry.now_s + 3.0),))
        entry.wait(4, entry.holders)
    elif change == "will leave in 5 s":
        entry.accept(leaving=(contracts.Leaving(name, entry.now_s + 5.0),))
    elif change == "is no longer named by the row":
        entry.accept(holders=others)
    elif change == "is no longer in the row's half":
        halves = (("keep", others), ("go", (name,)))
        entry.accept(holders=("half:keep",), halves=halves)
    else:
        raise AssertionError(change)


@behave.when("the router has heard of no endpoint for 60 s")
def step_silent(context):
    context.entry.now_s += 60.0


@behave.then('the router sends {count:d} requests that failed at "b" to "{names}" only')
def step_retried(context, count, names):
    got = context.entry.send(count, tried=frozenset("b"))
    assert got <= set(names_in(names)), got


@behave.when('the router meets the fault "{fault}"')
def step_fault(context, fault):
    entry = context.entry
    if fault in (
        "the table service is down",
        "a partition cuts off other data centres",
    ):
        # No configuration arrives; only the local endpoints go on reporting.
        entry.wait(30, entry.holders)
    elif fault == "the entry was paused":
        entry.now_s += 60.0
        entry.report(*entry.holders)
    elif fault == "the endpoint is killed and replaced":
        entry.router.endpoint_lost("a", entry.now_s)
        entry.report("a")
    elif fault in ("an older version arrives late", "two operators race"):
        # The losing or older acceptance names the endpoint.
        entry.version -= 2
        entry.accept()
        entry.version += 1
    else:
        assert fault == "nothing fails", fault


@behave.when('the endpoints of a changed row report "{case}"')
def step_changed_row(context, case):
    entry = context.entry
    for name in entry.holders:
        entry.report(name, rows={**DIGESTS, BASE: "base-1"})
    if case == "one holds the new version":
        entry.report("a")
    elif case == "the only new one is at capacity":
        entry.report("a", load=8)
    else:
        assert case == "all hold the old version", case


def serving_with(router):
    """Return the :class:`serving.Serving` of an entry instance with this router."""
    settings = python_types.SimpleNamespace(
        region=router.region,
        data_centre=router.data_centre,
        max_queue=10,
        objective=lambda name: python_types.SimpleNamespace(threshold_s=1.0),
    )
    daemon = python_types.SimpleNamespace(
        name="e0", incarnation=1, settings=settings, now_s=0.0, rng=random.Random(SEED)
    )
    found = serving.Serving(daemon, lambda *arguments: None)
    found.router = router
    return found


@behave.when(
    '"{name}" breaks a stream of the old version while "{old}" holds it and "{new}" '
    "the new"
)
def step_broken_stream(context, name, old, new):
    entry = context.entry
    entry.report(*entry.holders, state="starting")
    entry.report(name, rows={BASE: "base-1"})
    dispatcher = serving_with(entry.router).dispatcher
    wanted = exchange.Request(
        "r1", BASE, "portal", "POST", "/", b"x", entry.now_s + 10.0, stream=True
    )
    sent = dispatcher.request(wanted, entry.now_s)[-1]
    assert sent.endpoint == name, sent
    attempt = sent.work.attempt
    assert dispatcher.begin_write(sent.work, entry.now_s)
    for message in (
        types.WorkAccepted(attempt, "base-1"),
        types.WorkData(attempt, 0, b"token\n"),
    ):
        dispatcher.message(name, message, entry.now_s)
    if old != "none":
        entry.report(old, rows={BASE: "base-1"})
    entry.report(*names_in(new))
    context.actions = dispatcher.connection_lost(name, "lost", entry.now_s)


@behave.then('the entry instance resumes the stream at "{name}"')
def step_resumed_at(context, name):
    (sent,) = (a for a in context.actions if isinstance(a, exchange.SendWork))
    assert (sent.endpoint, sent.work.offset) == (name, 1), sent


@behave.then("the entry instance cannot resume the stream")
def step_not_resumed(context):
    sent = [a for a in context.actions if isinstance(a, exchange.SendWork)]
    assert not sent, sent
    assert isinstance(context.actions[-1], answers.StreamError), context.actions


@behave.then('the router sends {count:d} requests for the model to "{names}" only')
def step_model_only(context, count, names):
    assert context.entry.send(count, row=BASE) == set(names_in(names))


@behave.then('the router sends {count:d} requests to "{names}" only')
def step_only(context, count, names):
    for _ in range(count):
        got = context.entry.send(1)
        assert got <= set(names_in(names)), got
        if len(context.entry.in_progress) > 8:
            context.entry.end(
                next(iter(context.entry.in_progress)), routing.Outcome.ANSWERED
            )
    missing = set(names_in(names)) - context.entry.used
    assert not missing or count < 20, f"no request reached {missing}"


@behave.when('the router is asked for an endpoint in the case "{case}"')
def step_case(context, case):
    entry = context.entry
    changes = {}
    if case == "row that no version has":
        changes = {"row": "unknown"}
    elif case == "client without a limit":
        changes = {"client": "stranger"}
    elif case == "no report has arrived":
        entry.router.endpoint_lost("a", 0.0)
        entry.router.endpoint_lost("b", 0.0)
    elif case == "every endpoint was tried":
        changes = {"tried": frozenset("ab")}
    elif case == "every endpoint is at its capacity":
        entry.send(2)
    context.answer = entry.choose(**changes)


@behave.then('the router answers that the request cannot run because of "{reason}"')
def step_reason(context, reason):
    assert context.answer.reason == reason, context.answer


@behave.when('the router sends {count:d} requests with the prefix "{prefix}"')
def step_send_prefix(context, count, prefix):
    context.entry.send(count, prefix)


@behave.when("the router sends {count:d} requests without a prefix")
def step_send(context, count):
    context.entry.send(count)


@behave.then(
    "the router gives a request of priority {priority:d} an endpoint: {result}"
)
def step_priority(context, priority, result):
    chosen = context.entry.choose(priority=priority)
    assert isinstance(chosen, routing.EndpointChoice) == (result == "yes"), chosen


@behave.when("the router is replaced by a new one")
def step_replace(context):
    context.entry.start()


@behave.then("the router has used at most {count:d} endpoints")
def step_used(context, count):
    assert len(context.entry.used) <= count, context.entry.used


@behave.when('the router learns that "a far one" cached the prefix "{prefix}"')
def step_cached(context, prefix):
    entry = context.entry
    nearest = list(routing.HashRing(entry.holders).iter_from(prefix))
    context.holder = nearest[-1]
    event = routing.CacheEvent(5, stored=(prefix,))
    entry.router.cache_changed(context.holder, event, entry.now_s)


@behave.when('the router learns of the cache event "{event}" at "a far one"')
def step_cache_event(context, event):
    router, holder = context.entry.router, context.holder
    now_s = context.entry.now_s
    events = {
        "nothing more": (),
        "the prefix is evicted": (routing.CacheEvent(6, evicted=("p",)),),
        "an event is missing": (routing.CacheEvent(7),),
        "the cache is cleared": (routing.CacheEvent(6, cleared=True),),
        "the engine restarts its count": (routing.CacheEvent(0, cleared=True),),
        "an eviction arrives twice late": (routing.CacheEvent(4, evicted=("p",)),) * 2,
    }
    for each in events.get(event, ()):
        router.cache_changed(holder, each, now_s)
    if event == "the endpoint is lost":
        router.endpoint_lost(holder, now_s)
        context.entry.report(holder)


@behave.when('the router learns that "a" holds the prefix "p" and the loads "{loads}"')
def step_holds(context, loads):
    event = routing.CacheEvent(0, stored=("p",))
    context.entry.router.cache_changed("a", event, context.entry.now_s)
    step_loads(context, loads)


@behave.then('the router starts {winner} of the waiting prefixes "{waiting}"')
def step_starts(context, winner, waiting):
    entry = context.entry
    prefixes = names_in(waiting)
    queries = [routing.RoutingQuery(ROW, "portal", prefix) for prefix in prefixes]
    position, chosen = entry.router.choose_request(queries, entry.now_s, entry.now_s)
    started = (
        prefixes[position] if isinstance(chosen, routing.EndpointChoice) else "none"
    )
    assert started == winner, (position, chosen)


@behave.when("the router learns the load 9 of that endpoint and 2 of the others")
def step_much_load(context):
    context.entry.report(*context.entry.holders, load=2)
    context.entry.report(context.holder, load=9)


@behave.then('the router prefers "a far one" for the prefix "p": {preferred}')
def step_prefers(context, preferred):
    chosen = context.entry.choose("p")
    assert (chosen.endpoint == context.holder) == (preferred == "yes"), chosen
    assert chosen.hinted == (preferred == "yes"), chosen


@behave.then("the router has no endpoint with more than {count:d} requests in progress")
def step_bound(context, count):
    entry = context.entry
    counts = {name: entry.at(name) for name in entry.holders}
    assert max(counts.values()) <= count, counts


@behave.when(
    "the router places {count:d} prefixes before and after the row no longer names "
    'endpoint "{name}"'
)
def step_place(context, count, name):
    entry = context.entry
    prefixes = [f"prefix {number}" for number in range(count)]
    before = [entry.choose(prefix).endpoint for prefix in prefixes]
    entry.accept(holders=tuple(each for each in entry.holders if each != name))
    after = [entry.choose(prefix).endpoint for prefix in prefixes]
    context.moves = list(zip(before, after, strict=True))


@behave.then('the router moved no prefix that endpoint "{name}" did not have')
def step_moved(context, name):
    assert any(before == name for before, _ in context.moves)
    moved = [pair for pair in context.moves if pair[0] not in (name, pair[1])]
    assert not moved, f"{len(moved)} prefixes moved"


@behave.when('the router learns of {count:d} cached prefixes at "{name}"')
def step_many_hints(context, count, name):
    for number in range(count):
        event = routing.CacheEvent(number, stored=(f"prefix {number}",))
        context.entry.router.cache_changed(name, event, context.entry.now_s)


@behave.then("the router has at most {most:d} hints and counted the {rest:d} others")
def step_hints(context, most, rest):
    counts = context.entry.router.counts
    assert counts["hints_evicted"] == rest, counts
    assert most == routing.MAX_HINTS_PER_ENDPOINT


@behave.when("the router learns of {count:d} further endpoints")
def step_many_endpoints(context, count):
    context.entry.report(*[f"extra {number}" for number in range(count)])


@behave.then(
    "the router has at most {most:d} endpoints and counted the {rest:d} others"
)
def step_endpoints(context, most, rest):
    router = context.entry.router
    assert len(router.states()) == most, len(router.states())
    assert router.counts["endpoints_rejected"] == rest, router.counts


@behave.when('the router learns the loads "{loads}"')
def step_loads(context, loads):
    for entry in names_in(loads):
        name, load = entry.split("=")
        context.entry.report(name, load=int(load))


@behave.when('the router waits {seconds:d} s with reports of "{names}" only')
def step_wait(context, seconds, names):
    context.entry.wait(seconds, names_in(names))


@behave.then(
    'the router has between {least:d} and {most:d} requests in progress at "{name}"'
)
def step_between(context, least, most, name):
    assert least <= context.entry.at(name) <= most, context.entry.at(name)


@behave.then(
    'the router has {local:d} requests at "{names}", then {near:d} at "{near_name}", '
    'then {far:d} at "{far_name}"'
)
def step_tiers(context, local, names, near, near_name, far, far_name):
    entry = context.entry
    got = (sum(map(entry.at, names_in(names))), entry.at(near_name), entry.at(far_name))
    assert got == (local, near, far), got


@behave.when("the router sees every request answered")
def step_answered(context):
    for attempt in list(context.entry.in_progress):
        context.entry.end(attempt, routing.Outcome.ANSWERED)


@behave.given('{count:d} routers with endpoints "{names}" where "a" reported no load')
def step_routers(context, count, names):
    context.entries = [Entry(names_in(names), 40) for _ in range(count)]
    for number, entry in enumerate(context.entries):
        entry.router = routing.Router("north", "dc1", random.Random(number))
        entry.version = 0
        entry.list_instances()
        entry.accept()
        entry.report(*entry.holders, load=6)
        entry.report("a", load=0)


@behave.when("the routers send {count:d} requests from reports of 1 s before")
def step_late_reports(context, count):
    for entry in context.entries:
        entry.now_s += 1.0
        entry.send(count // len(context.entries))


@behave.when('the routers learn that all are full, and then of 4 places at "a"')
def step_little_room(context):
    for entry in context.entries:
        entry.report(*entry.holders, load=40)
        entry.report("a", load=36)
        while isinstance(entry.choose(), routing.EndpointChoice):
            entry.send(1)


@behave.then('the routers have 1 to {most:d} requests in progress at "{name}"')
def step_each(context, name, most):
    count = sum(entry.at(name) for entry in context.entries)
    assert 0 < count <= most, count


@behave.when('the router sees attempts at "{name}" end as "{outcomes}"')
def step_outcomes(context, name, outcomes):
    for letter in outcomes:
        context.entry.fail_once(name, OUTCOMES[letter])


@behave.when("the router sees every endpoint fail {count:d} attempts")
def step_all_fail(context, count):
    for _ in range(count):
        for name in context.entry.holders:
            context.entry.fail_once(name)


@behave.then('the router has endpoint "{name}" in the state "{state}"')
def step_state(context, name, state):
    states = context.entry.router.states()
    assert states[name] == state, states


@behave.then("the router has {count:d} endpoints admitted")
def step_admitted(context, count):
    states = list(context.entry.router.states().values())
    assert states.count("admitted") == count, states


@behave.then('the router sends 1 request of {count:d} as a probe to "{name}"')
def step_probe(context, count, name):
    context.entry.probe = None
    context.entry.send(count)
    assert context.entry.probe, "no probe was sent"
    assert context.entry.in_progress[context.entry.probe][0] == name


@behave.when('the router sees the probe end as "{outcome}"')
def step_probe_ends(context, outcome):
    context.entry.end(context.entry.probe, OUTCOMES[outcome])


@behave.then(
    'the router sends {count:d} calls that may not be repeated to "{names}" only'
)
def step_calls(context, count, names):
    got = context.entry.send(count, repeatable=False)
    assert got <= set(names_in(names)), got
