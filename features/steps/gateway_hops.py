"""Steps for the way of a change from the store's acknowledgement to every instance.

Each instance has its own clock, which stands still while the instance is frozen. All
clocks advance in steps; messages take some time in between.
"""

import base64
import itertools
import random

import behave
from twisted.internet import defer, task, testing

from cicadaplank.external import errors
from cicadaplank.gateway import peers, staleness, sync
from cicadaplank.messages import types
from cicadaplank.platform import store as platform_store
from cicadaplank.world import machines

TABLE = "op"
KEY = "config"
STEP_S = 0.01
TICK_S = 0.05
# Time of a message within and between data centres, one way.
NEAR_S = 0.002
FAR_S = 0.02
DIAL_S = 0.2
GAP_S = 1.2
OUTAGE_S = 6.0
FROZEN_S = 5.0
SETTLED_S = 8.0
# Phases of the polls at the time of the fault differ by seed.
SEEDS = range(6)


class Call:
    """One call that has reached the store.

    :param query: dict of query fields.
    :param answer: callable ``answer(status, body)``.
    :param cut: callable that breaks the connection.
    """

    def __init__(self, query, answer, cut):
        self.query = query
        self.answer = answer
        self.cut = cut
        self.is_lost = False
        self.is_done = False


class Store:
    """Stand-in of the store with one row.

    :param clock: stepped clock.
    :param rng: source of the times of late answers.
    :ivar era: era that its answers name, 0 for none.
    """

    def __init__(self, clock, rng):
        self.clock = clock
        self.rng = rng
        self.version = 5
        self.written = 5
        self.value = b"5"
        self.era = 0
        # Headers of its answers in place of the one that names the era, or None.
        self.headers = None
        self.oldest = 0
        self.trouble = ""
        self.calls = 0
        self.arrivals_s = []
        self.held = []

    def arrive(self, path, call):
        """Process a call."""
        self.calls += 1
        self.arrivals_s.append(self.clock.seconds())
        if self.trouble == "silent":
            return
        if self.trouble == "refuses":
            self._reply(call, 503, {})
        elif path == "/v1/rows-get":
            self._reply(call, 200, self._rows())
        elif not self.oldest <= call.query["after"] <= self.version:
            self._reply(call, 410, {})
        elif self.written > call.query["after"]:
            self._reply(call, 200, self._rows())
        elif not call.query["wait_ms"]:
            self._reply(call, 200, {"rows": [], "ver": self.version})
        else:
            self.held.append(call)
            self.clock.callLater(call.query["wait_ms"] / 1000, self._wait_over, call)

    def _rows(self):
        value = base64.b64encode(self.value).decode()
        row = {"key": KEY, "part": "", "ver": self.written, "value": value}
        return {"rows": [row], "ver": self.version}

    def _wait_over(self, call):
        if not (call.is_lost or call.is_done):
            self._reply(call, 200, {"rows": [], "ver": self.version})

    def _reply(self, call, status, body):
        if call in self.held:
            self.held.remove(call)
        call.is_done = True
        delay_s = self.rng.uniform(0.4, 1.2) if self.trouble == "is slow" else 0.0
        headers = [(b"Store-Era", b"%d" % self.era)] if self.era else []
        headers = headers if self.headers is None else self.headers
        self.clock.callLater(delay_s, call.answer, status, headers, body)

    def restore(self, version, names_era=True):
        """Come back from an older copy; calls that wait are broken off."""
        self.version = self.written = version
        self.value = b"%d" % version
        self.era += names_era
        for call in self.lose_held():
            call.cut()

    def write(self, value=None):
        """Acknowledge a change and answer the calls that wait for one."""
        self.version += 1
        self.written = self.version
        self.value = value or b"%d" % self.version
        for call in list(self.held):
            self._reply(call, 200, self._rows())

    def lose_held(self):
        """Answer no call that waits now."""
        lost, self.held = self.held, []
        for call in lost:
            call.is_lost = True
        return lost

    def drop_history(self):
        """Lose the calls that wait and break their connections later."""
        for call in self.lose_held():
            self.clock.callLater(GAP_S, call.cut)

    def go(self, trouble):
        """Begin a trouble; calls that wait get no answer."""
        self.trouble = trouble
        if trouble == "silent":
            self.lose_held()


class StoreClient:
    """Stand-in of :class:`cicadaplank.platform.client.Client` of one instance.

    :param entry: the :class:`Entry`.
    :param store: :class:`Store`.
    """

    def __init__(self, entry, store):
        self.entry = entry
        self.store = store
        self.failed_dials = 0
        self.lost_answers = 0

    def json_with_headers(
        self, method, path, query=None, body=None, timeout_s=1.5, max_answer_bytes=0
    ):
        """Send a call; see :class:`cicadaplank.platform.client.Client`."""
        result = defer.Deferred()
        if self.failed_dials:
            self.failed_dials -= 1
            fault = errors.Unavailable("no connection")
            self.entry.clock.callLater(DIAL_S, result.errback, fault)
            return result

        def end(value):
            if not result.called:
                timer.cancel()
                result.callback(value)

        def cut():
            if not result.called:
                timer.cancel()
                result.errback(errors.AnswerLost("connection lost"))

        def time_out():
            result.errback(errors.AnswerLost("no complete answer"))

        def answer(*found):
            if self.lost_answers:
                self.lost_answers -= 1
                return
            network.callLater(NEAR_S, self.entry.deliver, end, found)

        network = self.store.clock
        timer = self.entry.clock.callLater(timeout_s, time_out)
        call = Call(query, answer, lambda: self.entry.deliver(cut))
        network.callLater(NEAR_S, self.store.arrive, path, call)
        return result


class Hub:
    """Connections of one instance to the others.

    :param world: :class:`World`.
    :param entry: its :class:`Entry`.
    """

    def __init__(self, world, entry):
        self._world = world
        self._entry = entry

    @property
    def peers(self):
        """Names of the connected instances."""
        return [
            each.name
            for each in self._world.entries
            if each is not self._entry and each.is_running and self._entry.is_running
        ]

    def connection(self, name):
        """Return the connection to an instance, or None."""
        return self._world.connections[name] if name in self.peers else None

    def has_refused(self, name):
        """Tell whether an instance refused the last dial."""
        return False

    def dial(self, instance):
        """Open no connection: those that can be are open."""

    def send(self, name, message):
        """Send a message."""
        self._world.send(self._entry, name, message)

    def send_all(self, names, message):
        """Send a message to several instances."""
        for name in names:
            self.send(name, message)


class Connection:
    """Connection to one instance, for the data centre that it tells."""

    def __init__(self, data_centre):
        self.hello = types.Hello("entry", "r", data_centre, 0)
        self.transport = testing.StringTransport()
        self.transport.abortConnection = lambda: None


class Entry:
    """An instance with a copy of the operator's table.

    :param world: :class:`World`.
    :param name: its name.
    :param data_centre: its data centre.
    :param seed: seed of its random times.
    """

    def __init__(self, world, name, data_centre, seed):
        self.name = name
        self.data_centre = data_centre
        self.clock = task.Clock()
        self.is_running = True
        self.is_frozen = False
        self.guard = staleness.StaleGuard(sync.DEFAULT_IN_FORCE_S, 0.0)
        self.has_stopped = False
        self._inbox = []
        self.client = StoreClient(self, world.store)
        store = platform_store.Store(self.client)
        self.followed = sync.TableSync(
            self.clock,
            store,
            TABLE,
            lambda keys: None,
            lambda *a, **f: None,
            lambda: self.peers.reads_store(),
        )
        self.followed.rng = random.Random(seed)
        me = machines.Instance(name, "entry", "h", 1, "r", data_centre)
        self.peers = peers.Peers(
            self.clock,
            me,
            Hub(world, self),
            {TABLE: self.followed},
            dict,
            lambda now_s: {},
        )

    def start(self):
        """Start to follow the store and to report."""
        self.followed.start()
        self._tick()

    def _tick(self):
        self.clock.callLater(TICK_S, self._tick)
        self.peers.tick()
        now_s = self.clock.seconds()
        age_s, is_behind = (
            self.peers.confirmed_age_s(now_s),
            self.peers.knows_newer(now_s),
        )
        self.guard.update(now_s, age_s, is_behind)
        self.has_stopped |= bool(self.guard.reason)

    def deliver(self, function, *args):
        """Process data that arrives, once the instance runs."""
        if self.is_frozen:
            self._inbox.append((function, args))
        elif self.is_running:
            function(*args)

    def thaw(self, now_s):
        """Go on after a freeze: first comes what waits in the sockets."""
        self.is_frozen = False
        self.clock.rightNow = now_s
        inbox, self._inbox = self._inbox, []
        for function, args in inbox:
            function(*args)

    def advance(self, now_s):
        """Let time pass up to ``now_s``."""
        if self.is_running and not self.is_frozen:
            self.clock.advance(max(0.0, now_s - self.clock.seconds()))


class World:
    """Instances in data centres, their messages and the store.

    :param layout: numbers of instances by data centre, such as ``3+1+2``.
    :param seed: seed of all random times.
    """

    def __init__(self, layout, seed):
        self.rng = random.Random(seed)
        self.clock = task.Clock()
        self.store = Store(self.clock, self.rng)
        self.connections = {}
        self.entries = []
        self.loses_records = False
        self.late_s = 0.0
        self.lost_replies = set()
        self.no_records_to = ""
        # Data centre that is cut off from the others.
        self.cut = ""
        for number, count in enumerate(layout.split("+")):
            for index in range(int(count)):
                data_centre = "abcdef"[number]
                name = f"{data_centre}-{index:02d}"
                self.connections[name] = Connection(data_centre)
                place = len(self.entries)
                entry = Entry(self, name, data_centre, 1000 * seed + place)
                self.entries.append(entry)
        for entry in self.entries:
            entry.start()

    def entry(self, name):
        """Return an instance by name."""
        return next(each for each in self.entries if each.name == name)

    def send(self, sender, name, message):
        """Deliver a message after the time of its path."""
        is_reply = isinstance(message, types.RecordReply)
        if is_reply and (self.loses_records or name == self.no_records_to):
            return
        if name in self.lost_replies and is_reply:
            self.lost_replies.remove(name)
            return
        receiver = self.entry(name)
        if (sender.data_centre == self.cut) != (receiver.data_centre == self.cut):
            return
        is_near = sender.data_centre == receiver.data_centre
        self.clock.callLater(
            (NEAR_S if is_near else FAR_S) + self.late_s,
            receiver.deliver,
            receiver.peers.message,
            sender.name,
            message,
        )

    def run(self, duration_s):
        """Let time pass."""
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            for entry in self.entries:
                entry.advance(self.clock.seconds())

    def run_until_held(self, limit_s):
        """Let time pass until every running instance has the newest version.

        :returns: seconds that passed, and the names of the instances that lack it.
        """
        started_s = self.clock.seconds()
        while True:
            behind = [
                entry.name
                for entry in self.entries
                if entry.is_running
                and not entry.is_frozen
                and entry.followed.copy.newest_change.version < self.store.version
            ]
            passed_s = self.clock.seconds() - started_s
            if not behind or passed_s >= limit_s:
                return passed_s, behind
            self.run(STEP_S)


def outage(world, how="silent"):
    """Let the store be away for some seconds; polls get into step."""
    world.store.go(how)
    world.run(OUTAGE_S)
    world.store.go("")


def trouble_none(world):
    """Write a change while all works."""
    world.store.write()


def trouble_outage(world):
    """Write a change just after an outage."""
    outage(world)
    world.run(world.rng.uniform(0.0, 0.3))
    world.store.write()


def trouble_refusals(world):
    """Write a change as soon as the store no longer refuses calls."""
    outage(world, "refuses")
    world.store.write()


def trouble_gap(world):
    """Write a change while calls that wait hear nothing, and drop the history."""
    world.store.drop_history()
    world.run(0.05)
    world.store.write()
    world.store.oldest = world.store.version


def trouble_outage_gap(world):
    """Drop the history some time after an outage."""
    outage(world)
    world.run(world.rng.uniform(0.0, 2.0))
    trouble_gap(world)


def trouble_outage_change_gap(world):
    """Drop the history just after an outage and a change."""
    trouble_outage(world)
    world.run(0.1)
    world.store.drop_history()
    world.store.oldest = world.store.version


def trouble_outage_lost_answer(world):
    """Lose one answer to each instance after an outage."""
    trouble_outage(world)
    for entry in world.entries:
        entry.client.lost_answers = 1


def trouble_outage_lost_dial(world):
    """Lose one dial of each instance after an outage."""
    trouble_outage(world)
    for entry in world.entries:
        entry.client.failed_dials = 1


def trouble_held_lost(world):
    """Answer no call that waits when the change is written."""
    world.store.lose_held()
    world.store.write()


def trouble_readers_die(world):
    """Kill the readers of a data centre at the moment of the change."""
    for name in ("a-00", "a-01"):
        world.entry(name).is_running = False
    world.store.write()


def trouble_records_lost(world):
    """Lose every record that instances send each other."""
    world.loses_records = True
    world.store.write()


def trouble_first_reply_lost(world):
    """Lose the first record that is sent to each instance."""
    world.lost_replies = {entry.name for entry in world.entries}
    world.store.write()


def trouble_slow(world):
    """Write a change while answers are late."""
    world.store.go("is slow")
    world.run(3.0)
    world.store.write()


def trouble_woke(world):
    """Let an instance run again after a change was written while it was frozen."""
    woken = world.entries[0]
    woken.is_frozen = True
    world.run(FROZEN_S - 0.1)
    world.store.write()
    world.run(0.1)
    woken.thaw(world.clock.seconds())


TROUBLES = {
    "all works": trouble_none,
    "an outage has just ended": trouble_outage,
    "refusals have just ended": trouble_refusals,
    "held polls hear nothing and the history is dropped": trouble_gap,
    "the history is dropped after an outage": trouble_outage_gap,
    "the history is dropped after an outage and it": trouble_outage_change_gap,
    "an answer to each is lost after an outage": trouble_outage_lost_answer,
    "a dial of each is lost after an outage": trouble_outage_lost_dial,
    "the held polls are lost": trouble_held_lost,
    "the readers of a data centre die": trouble_readers_die,
    "no records of peers arrive": trouble_records_lost,
    "the first reply of peers to each is lost": trouble_first_reply_lost,
    "the store is slow": trouble_slow,
    "an instance wakes from a freeze": trouble_woke,
}


@behave.given("data centres with {layout} instances that follow the store")
def step_world(context, layout):
    context.layout = layout


@behave.when("the store acknowledges a change and {trouble}")
def step_change(context, trouble):
    context.trouble = TROUBLES[trouble]


@behave.then("every instance holds the change within {limit_s:f} s")
def step_held(context, limit_s):
    late = []
    for seed in SEEDS:
        world = World(context.layout, seed)
        world.run(SETTLED_S + world.rng.random())
        context.trouble(world)
        passed_s, behind = world.run_until_held(4.0)
        if passed_s > limit_s:
            late.append(f"seed {seed}: {passed_s:.2f} s, last {behind or 'all'}")
    assert not late, "; ".join(late)


@behave.when("the store is {trouble} for {duration_s:d} s")
def step_away(context, trouble, duration_s):
    world = context.world = World(context.layout, 1)
    world.run(SETTLED_S)
    world.store.go(trouble)
    world.store.calls = 0
    context.most_in_progress = 0
    for _ in range(round(duration_s / TICK_S)):
        world.run(TICK_S)
        in_progress = max(each.followed.polls.in_progress for each in world.entries)
        context.most_in_progress = max(context.most_in_progress, in_progress)


@behave.then("it gets at most {calls:d} calls and {reads:d} at a time of each instance")
def step_away_calls(context, calls, reads):
    assert context.world.store.calls <= calls, context.world.store.calls
    assert context.most_in_progress <= reads, context.most_in_progress


@behave.when("news are late: {news}")
def step_news(context, news):
    world = context.world = World(context.layout, 1)
    world.run(SETTLED_S)
    first = world.entries[0]
    if news == "reports of peers are late by 1.5 s":
        first.client.failed_dials = 1000
        world.late_s = 1.5
        world.run(FROZEN_S)
        return
    assert news.startswith("an answer of the store waits in the socket"), news
    for entry in world.entries:
        entry.is_frozen = True
    world.run(FROZEN_S)
    for entry in world.entries:
        entry.thaw(world.clock.seconds())


@behave.then("an instance knows the store as it was {age_s:f} s ago at best")
def step_known_age(context, age_s):
    first = context.world.entries[0]
    now_s = first.clock.seconds()
    found_s = first.peers.confirmed_age_s(now_s)
    assert found_s >= age_s, f"{found_s:.2f} s"
    own_s = first.followed.availability.age_s(now_s)
    assert own_s >= age_s, f"{own_s:.2f} s by its own answers"


@behave.when("the store comes back after an outage")
def step_comes_back(context):
    context.gaps_s = []
    for seed in SEEDS:
        world = World(context.layout, seed)
        world.run(SETTLED_S)
        outage(world)
        world.run(1.5)
        world.store.arrivals_s.clear()
        world.run(4.0)
        times_s = world.store.arrivals_s
        gaps_s = [after - before for before, after in itertools.pairwise(times_s)]
        context.gaps_s.append(max(gaps_s))


@behave.then("the reads of all instances are at most {most_s:f} s apart")
def step_gaps(context, most_s):
    assert max(context.gaps_s) <= most_s, context.gaps_s
