"""Steps for the decisions of the gateway and its copies of the store's tables."""

import random
import re
import zlib

import behave
import msgpack
from twisted.internet import defer, task

from bench import burst
from cicadaplank.external import errors
from cicadaplank.gateway import (
    budget,
    endpoints,
    named_versions,
    peers,
    placement,
    positions,
    records,
    sync,
    waiting,
)
from cicadaplank.messages import types
from cicadaplank.world import machines

MODEL = "m"
DEADLINE_S = 2.0
OBJECTIVE_S = 0.4
TABLE = "op"


def endpoint(name, zone="a", slots=16, leaving=False, version=2):
    """Return an endpoint."""
    weights = {MODEL: version}
    return endpoints.Endpoint(name, "s", "10.0.0.1", 80, zone, slots, leaving, weights)


@behave.given('endpoints "{described}"')
def step_endpoints(context, described):
    context.states = []
    pattern = re.compile(r"(\w)@(\w):(\d+)(?:\+(\d+))?/(\d+)([LEFO]?)")
    for name, zone, own, others, slots, mark in pattern.findall(described):
        version = 1 if mark == "O" else 2
        state = endpoints.EndpointState(
            endpoint(name, zone, int(slots), mark == "L", version)
        )
        for _ in range(int(own)):
            state.call_started()
        state.set_peer_load("peer", int(others or 0), 10.0)
        if mark == "E":
            state.record_connect_failure(10.0)
        if mark == "F":
            state.record_refusal(10.0, 0.1)
        context.states.append(state)


@behave.when('a call of data centre "{zone}" is placed')
def step_place(context, zone):
    demand = placement.Demand("s", zone, MODEL, 2)
    context.chosen = placement.choose(context.states, demand, 10.0, random.Random(1))


@behave.then('it goes to "{name}"')
def step_goes_to(context, name):
    chosen = context.chosen.endpoint.name if context.chosen else "none"
    assert chosen == name, chosen


@behave.given("the arrivals of a burst of {count:d} calls at {rate:d} a second")
def step_arrivals(context, count, rate):
    context.arrivals = [number / rate for number in range(count)]


@behave.when("{rate:d} calls can start in each second")
def step_starts(context, rate):
    """Replay the burst on a queue of calls; one call starts every 1 / rate seconds."""
    queue = waiting.CallQueue()
    arrivals = list(enumerate(context.arrivals))
    context.started, context.refused = {}, {}
    next_start_s, now_s = 0.0, 0.0
    while arrivals or len(queue):
        while arrivals and arrivals[0][1] <= now_s:
            number, at_s = arrivals.pop(0)
            wait_until_s = waiting.wait_until_s(
                at_s, at_s + DEADLINE_S, at_s + OBJECTIVE_S
            )
            queued_call = waiting.QueuedCall(
                number, 1, at_s, at_s + OBJECTIVE_S, wait_until_s
            )
            if queue.admit(queued_call, now_s):
                context.refused[number] = (now_s, queued_call)
        for queued_call in queue.pop_expired(now_s):
            context.refused[queued_call.call] = (now_s, queued_call)
        if now_s >= next_start_s and len(queue):
            queued_call = queue.by_urgency(now_s)[0]
            queue.dequeue(queued_call, now_s)
            context.started[queued_call.call] = (now_s, queued_call)
            next_start_s = now_s + 1 / rate
        now_s += 0.01


@behave.then("every call that starts does so at its latest time or before")
def step_latest(context):
    assert all(at_s <= t.wait_until_s + 0.01 for at_s, t in context.started.values())


@behave.then("no refused call had waited longer than its latest time")
def step_refused(context):
    assert all(at_s <= t.wait_until_s + 0.02 for at_s, t in context.refused.values())
    assert len(context.started) + len(context.refused) == len(context.arrivals)


@behave.then("at least {count:d} calls start within their objective")
def step_on_time(context, count):
    on_time = [1 for at_s, t in context.started.values() if at_s <= t.start_by_s]
    assert len(on_time) >= count, len(on_time)


@behave.given("calls that wait: late 0, on time 1, urgent late 0, urgent on time 1")
def step_waiting(context):
    context.queue = waiting.CallQueue()
    for name, priority, objective_s in (
        ("late", 1, 0.5),
        ("on time", 1, 5.0),
        ("urgent late", 0, 0.5),
        ("urgent on time", 0, 5.0),
    ):
        queued_call = waiting.QueuedCall(name, priority, 0.0, objective_s, 9.0)
        assert not context.queue.admit(queued_call, 0.0)


@behave.then('they start in the order "{names}"')
def step_order(context, names):
    order = [queued_call.call for queued_call in context.queue.by_urgency(1.0)]
    assert ", ".join(order) == names, order


@behave.given(
    "a waiting room with {count:d} calls, {started:d} of them started in the last"
    " second"
)
def step_busy_queue(context, count, started):
    context.queue = waiting.CallQueue()
    for number in range(count):
        context.queue.admit(waiting.QueuedCall(number, 1, 0.0, 0.4, 99.0), 0.0)
    for _ in range(started):
        context.queue.record_start(0.5)


@behave.when("a call arrives that may wait {wait_s:f} s")
def step_arrives(context, wait_s):
    context.expected_s = context.queue.expected_wait_s(1.0)
    queued_call = waiting.QueuedCall("it", 1, 1.0, 1.4, 1.0 + wait_s)
    context.reason = context.queue.admit(queued_call, 1.0)


@behave.then('it is refused as "{reason}"')
def step_reason(context, reason):
    assert context.reason == reason, context.reason


@behave.then("it may come back after {least:f} to {most:f} s")
def step_come_back(context, least, most):
    for seed in range(20):
        after_s = waiting.retry_after_s(context.expected_s, 5.0, random.Random(seed))
        assert least <= after_s <= most, after_s


@behave.then("a client with {left_s:f} s left is told to come back after at most 0.2 s")
def step_honoured(context, left_s):
    assert waiting.retry_after_s(9.0, left_s, random.Random(1)) <= 0.2


@behave.given("{count:d} entry instances that share a budget of 0.2 and 100 in 10 s")
def step_budgets(context, count):
    context.budgets = [budget.RetryBudget(0.2, 100, 10) for _ in range(count)]
    for each in context.budgets:
        each.members = count


@behave.when(
    "each of them gets {requests:d} requests in 10 s and repeats whatever it may"
)
def step_repeats(context, requests):
    context.repeats = 0
    for each in context.budgets:
        for number in range(requests):
            each.record_request(10.0 * number / max(1, requests))
        while each.try_retry(9.99):
            context.repeats += 1


@behave.then("at most {most:d} repeats were sent")
def step_most(context, most):
    assert 0 < context.repeats <= most, context.repeats


@behave.given('an endpoint whose calls end "{ends}"')
def step_ends(context, ends):
    state = context.state = endpoints.EndpointState(endpoint("x"))
    context.now_s = 0.0
    for mark in ends:
        context.now_s += 0.01
        if mark == "g":
            state.record_answer(context.now_s)
        elif mark == "f":
            state.record_failure(context.now_s, True)
        elif mark == "u":
            state.record_connect_failure(context.now_s)
        else:
            context.now_s = state.ejected_until_s + 0.01
            assert not state.is_ejected(context.now_s), "no trial call"


@behave.then("it is ejected: {ejected}")
def step_is_ejected(context, ejected):
    assert context.state.is_ejected(context.now_s) == (ejected == "yes")


@behave.given("a list with endpoints x and y and a store that comes back")
def step_list(context):
    context.known = endpoints.Endpoints(random.Random(1))
    context.now_s = 10.0
    context.known.update({n: endpoint(n) for n in ("x", "y")}, 1.0)
    context.availability = sync.Availability(0.0)
    context.availability.record_answer(1.0)
    context.availability.record_failure()
    context.availability.record_answer(context.now_s)


@behave.when("the list names only x")
def step_lapsed(context):
    lapsed = context.availability.records_may_have_expired(context.now_s)
    context.known.update({"x": endpoint("x")}, context.now_s, lapsed)


@behave.then("y is still used")
def step_still(context):
    assert "y" in context.known.names()


@behave.when("3 s pass and the list still names only x")
def step_pass(context):
    context.now_s += 3.0
    step_lapsed(context)


@behave.then("y is gone")
def step_gone(context):
    assert context.known.names() == ["x"]


@behave.given(
    "weights that are due 8 s after version 2 was named, and version 1 before"
)
def step_weights(context):
    context.requirement = named_versions.WeightsRequirement(8.0)
    context.requirement.record_named_version(MODEL, 1, 0.0, 0.0)
    context.requirement = named_versions.WeightsRequirement(8.0)
    context.requirement.record_named_version(MODEL, 2, 0.0, 0.0)


@behave.then("after {after:f} s calls need version {least:d} at least")
def step_least(context, after, least):
    assert context.requirement.min_version(MODEL, after) == least


# Copies of tables.


def records_of(described, version=0):
    """Read ``a=9 b removed 12`` as records."""
    found = []
    for key, number, removed in re.findall(r"(\w)(?:=(\d+)| removed (\d+))", described):
        value = None if removed else b"v" + number.encode()
        found.append(records.Record(key, int(number or removed), value))
    return found


@behave.given("a copy at version 10 with records a of version 9 and b of version 4")
def step_copy(context):
    context.copy = records.RecordTable()
    context.copy.replace(records_of("a=9 b=4"), positions.Position(0, 10))


@behave.when("it takes {change}")
def step_takes(context, change):
    taken = records_of(change.partition(":")[2])
    numbers = [int(n) for n in re.findall(r"\d+", change.partition(":")[0])]
    if change.startswith("a snapshot"):
        context.copy.replace(taken, positions.Position(0, numbers[0]))
    else:
        context.copy.merge(
            taken,
            positions.Position(0, numbers[1]),
            positions.Position(0, numbers[0]),
        )


@behave.then('it is at version {version:d} with "{described}"')
def step_at(context, version, described):
    held = {r.key: r for r in records_of(described)}
    assert context.copy.position.version == version, context.copy.position.version
    assert context.copy.values() == held, context.copy.values()


@behave.then('a peer with version {base:d} is given "{given}"')
def step_given(context, base, given):
    changes = context.copy.changes_since(positions.Position(0, base))
    if changes is None:
        got = "a snapshot"
    else:
        got = " ".join(f"{r.key} removed" for r in changes if r.value is None)
    assert (got or "nothing") == given, got


class Store:
    """A store that a scenario breaks."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 5
        self.value = b""
        self.trouble = "works"
        self.failures = 3
        self.calls = 0
        self.bases = []
        self.waiting = []

    def taken(self):
        """Return every record at the present version."""
        value = self.value or b"v%d" % self.version
        record = records.Record("a", self.version, value)
        return sync.Changes((record,), positions.Position(0, self.version))

    def write(self, value=b""):
        """Write the next version."""
        self.version += 1
        self.value = value
        if self.trouble == "works":
            waiting_calls, self.waiting = self.waiting, []
            for call in waiting_calls:
                call.callback(self.taken())

    async def snapshot(self, table):
        """Return every record."""
        if self.trouble == "silent":
            await defer.Deferred()
        return self.taken()

    async def changes(self, table, after, wait_s):
        """Return changes, or wait for them as long as the call asks for."""
        self.calls += 1
        self.bases.append(after.version)
        if self.trouble == "history":
            self.trouble = "works"
            raise sync.HistoryLostError("gone")
        if self.trouble == "refuses" and self.failures:
            self.failures -= 1
            raise errors.Unavailable("status 503")
        if self.version > after.version and self.trouble != "silent":
            return self.taken()
        call = defer.Deferred()
        self.waiting.append(call)
        self.clock.callLater(wait_s, self._wait_over, call)
        return await call

    def _wait_over(self, call):
        if call in self.waiting and self.trouble == "works":
            self.waiting.remove(call)
            call.callback(sync.Changes((), positions.Position(0, self.version)))


def no_ages(now_s):
    """Return no ages of named weights."""
    return {}


class Hub:
    """Records what is sent to one peer."""

    peers = ("peer",)

    def __init__(self):
        self.sent = []

    def connection(self, name):
        """Return a connection of an entry instance."""
        self.hello = types.Hello("entry", "r", "a", 0)
        return self

    def send(self, name, message):
        """Keep a message."""
        self.sent.append(message)

    def send_all(self, names, message):
        """Send a message to several peers."""
        for name in names:
            self.send(name, message)


@behave.given("a store with version 5 of a table")
def step_store(context):
    context.clock = task.Clock()
    context.store = Store(context.clock)
    context.followed = sync.TableSync(
        context.clock, context.store, TABLE, lambda keys: None, lambda *a, **f: None
    )
    context.followed.start()
    context.followed.rng = random.Random(1)
    me = machines.Instance("me", "entry", "h", 1, "r", "a")
    context.hub = Hub()
    context.peers = peers.Peers(
        context.clock, me, context.hub, {TABLE: context.followed}, dict, no_ages
    )
    assert context.followed.copy.position.version == 5


@behave.when("the store {trouble} and version 6 is written")
def step_trouble(context, trouble):
    store = context.store
    for word, name in (
        ("history", "history"),
        ("refuses", "refuses"),
        ("does not answer", "silent"),
    ):
        if word in trouble:
            store.trouble = name
    if store.trouble in ("history", "refuses"):
        # The call in progress ends first.
        for call in store.waiting:
            call.errback(errors.AnswerLost("connection lost"))
        store.waiting = []
    store.write()
    if store.trouble == "silent":
        context.peers.message(
            "peer", types.GatewayReport({}, {TABLE: [0, 6]}, 0.1, {}, 0.0)
        )
        request = context.hub.sent[-1]
        assert request == types.RecordRequest(TABLE, [0, 5]), request
        rows = [["a", 6, b"v6"]]
        context.peers.message("peer", types.RecordReply(TABLE, [0, 5], [0, 6], rows))


@behave.then("the copy has version 6 within {within:f} s")
def step_within(context, within):
    for _ in range(round(within / 0.05)):
        context.clock.advance(0.05)
    assert context.followed.copy.get("a").version == 6, (
        context.followed.copy.position.version
    )


@behave.when("a peer reports version 4")
def step_behind(context):
    context.peers.message(
        "peer", types.GatewayReport({}, {TABLE: [0, 4]}, 0.1, {}, 0.0)
    )


@behave.then("the peer is not asked for records")
def step_not_asked(context):
    assert not any(isinstance(m, types.RecordRequest) for m in context.hub.sent)


@behave.given("{count:d} peers of its data centre that heard the store {age_s:f} s ago")
def step_near_peers(context, count, age_s):
    for number in range(count):
        report = types.GatewayReport({}, {TABLE: [0, 5]}, age_s, {}, 0.0)
        context.peers.message(f"a-{number}", report)


@behave.given("its own last answer is 9 s old")
def step_own_old(context):
    context.clock.rightNow += 9.0


@behave.when("it reports to its peers")
def step_tell_peers(context):
    context.peers.tick()


@behave.then("records that are missing may be written again soon")
def step_may_have_lapsed(context):
    assert context.peers.records_may_have_expired()


@behave.when("9 peers heard the store again and 3 s pass")
def step_heard_again(context):
    step_near_peers(context, 9, 0.1)
    context.peers.tick()
    context.clock.rightNow += 3.0


@behave.then("records that are missing are gone")
def step_has_not_lapsed(context):
    assert not context.peers.records_may_have_expired()


@behave.when("{duration_s:f} s pass without a report")
def step_pass_quietly(context, duration_s):
    context.clock.advance(duration_s)


@behave.then("the instance follows the store itself: {reads}")
def step_reads_store(context, reads):
    assert context.peers.reads_store() == (reads == "yes")


@behave.when("a record of {size:d} bytes is passed on by a peer")
def step_passed_on(context, size):
    context.value = (b'{"name": "route", "prefix": "/p/"},' * size)[:size]
    context.store.write(context.value)
    # Another instance answers with what this one holds.
    context.clock.advance(0.5)
    context.peers.message("peer", types.RecordRequest(TABLE, [0, 5]))
    context.reply = context.hub.sent[-1]
    context.followed.copy = records.RecordTable()
    context.followed.copy.replace((), positions.Position(0, 5))
    context.peers.message("peer", context.reply)


@behave.then("the copy holds it, and {size:d} bytes were sent at most")
def step_holds(context, size):
    assert context.followed.copy.get("a").value == context.value
    assert len(msgpack.packb(context.reply.rows)) <= size


@behave.when("a compressed record of a peer is damaged")
def step_damaged(context):
    rows = [["a", 6, zlib.compress(b"value" * 1000)[:-8], True]]
    context.peers.message("peer", types.RecordReply(TABLE, [0, 5], [0, 6], rows))


@behave.then("the copy still has version 5")
def step_still_5(context):
    assert context.followed.copy.position.version == 5


class Mesh:
    """Counts what is sent to peers near and far."""

    def __init__(self, near, far):
        names = [f"near-{n}" for n in range(near)] + [f"far-{n}" for n in range(far)]
        self.peers = names
        self.sent = {name: 0 for name in names}

    def connection(self, name):
        """Return a connection of an entry instance."""
        zone = "a" if name.startswith("near") else "b"
        made = Hub()
        made.hello = types.Hello("entry", "r", zone, 0)
        return made

    def send(self, name, message):
        """Count a message to a peer."""
        self.sent[name] += 1

    def send_all(self, names, message):
        """Count a message to several peers."""
        for name in names:
            self.send(name, message)


@behave.given(
    "entry instances with {near:d} peers in their data centre and {far:d} elsewhere"
)
def step_mesh(context, near, far):
    context.clock = task.Clock()
    context.mesh = Mesh(near, far)
    me = machines.Instance("me", "entry", "h", 1, "r", "a")
    context.peers = peers.Peers(context.clock, me, context.mesh, {}, dict, no_ages)


@behave.when("2 s pass")
def step_two_seconds(context):
    for _ in range(40):
        for name in context.mesh.peers:
            context.peers.message(name, types.GatewayReport({}, {}, 0.0, {}, 0.0))
        context.peers.tick()
        context.clock.advance(0.05)


@behave.then(
    "each near peer got {near:d} reports at least and each other one {far:d} at least"
)
def step_reports(context, near, far):
    for name, count in context.mesh.sent.items():
        assert count >= (near if name.startswith("near") else far), (name, count)


@behave.then("at most {most:d} reports were sent")
def step_most_reports(context, most):
    assert sum(context.mesh.sent.values()) <= most, sum(context.mesh.sent.values())


@behave.when("the store writes 5 versions within 0.05 s")
def step_burst_of_writes(context):
    context.store.calls = 0
    for _ in range(5):
        context.store.write()
        context.clock.advance(0.01)


@behave.then("the copy has version 10 within 0.3 s after at most 3 calls")
def step_gathered(context):
    for _ in range(6):
        context.clock.advance(0.05)
    assert context.followed.copy.get("a").version == 10
    assert context.store.calls <= 3, context.store.calls


# Reports of calls in progress.


@behave.given("an endpoint with 2 calls of its own")
def step_loaded_endpoint(context):
    context.state = endpoints.EndpointState(endpoint("e", 8))
    context.state.call_started()
    context.state.call_started()


@behave.when("peers report {reports}")
def step_peer_reports(context, reports):
    for number, calls in enumerate(reports.split(", ")):
        context.state.set_peer_load(f"peer-{number}", int(calls), 10.0)


@behave.when("{peer} reports {calls:d} at {now_s:f} s")
def step_peer_report(context, peer, calls, now_s):
    context.state.set_peer_load(peer, calls, now_s)


@behave.then("it has {calls:d} calls at {now_s:f} s")
def step_calls_at(context, calls, now_s):
    assert context.state.calls(now_s) == calls, context.state.calls(now_s)


# Time to start.


@behave.given("answers that take {described} s")
def step_answers(context, described):
    context.answers = waiting.AnswerTimeAverage()
    if described != "no":
        for duration_s in described.split(", "):
            context.answers.record_answer(float(duration_s))


@behave.then("a call with an objective of 0.4 s has to start {before:f} s before it")
def step_start_by(context, before):
    start_by_s = context.answers.start_by_s(10.0, 10.4)
    assert abs(10.4 - before - start_by_s) < 1e-6, start_by_s


class NoAnswerTimeAverage(waiting.AnswerTimeAverage):
    """Lets calls start until their objective."""

    def start_by_s(self, arrived_s, objective_s):
        """Return the objective itself."""
        return objective_s


@behave.given("the replay of a day of the first site on which most engines are down")
def step_day(context):
    context.seed = 1
    context.served = {}


def few_engines(context, choose, answer_time=waiting.AnswerTimeAverage):
    """Return the share of the worth that is served."""
    engines = burst.FEW_ENGINES
    return burst.Day(context.seed, choose, answer_time, engines).run()


@behave.when("it is played with calls that start just before their objective")
def step_play_late(context):
    context.served["late"] = few_engines(context, placement.choose, NoAnswerTimeAverage)


@behave.when("it is played with calls that start earlier by the time of an answer")
def step_play_early(context):
    context.served["early"] = few_engines(context, placement.choose)


@behave.then("at least {ratio:f} times as much worth is served")
def step_more_worth(context, ratio):
    served = context.served
    assert served["early"] >= ratio * served["late"], served


@behave.then("more than with a random choice, round robin and least connections")
def step_baselines(context):
    for name in ("random", "round_robin", "least_connections"):
        worth = few_engines(context, burst.CHOICES[name]())
        assert context.served["early"] > worth, (name, worth, context.served)


@behave.then("no more than the bound that the steps of the engines allow")
def step_bound(context):
    assert context.served["early"] <= burst.upper_bound(context.seed, burst.FEW_ENGINES)
