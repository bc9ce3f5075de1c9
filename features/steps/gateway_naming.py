"""Steps for entry instances that learn of new weights over hops that are late."""

import dataclasses
import random
import re
import types as plain_types

import behave
from twisted.internet import defer, testing

from cicadaplank.external import errors
from cicadaplank.gateway import positions, records, sync
from cicadaplank.messages import codec, types
from features import entries

SEED = 1
STEP_S = 0.05
# A state that begins at a time is seen at the next step, whose time is not exact.
SAMPLING_S = 1.5 * STEP_S
# Time before the naming, in which paths are measured and copies are read.
WARM_UP_S = 15.0
END_S = 9.0
# Time after which an unanswered poll is given up, beyond its wait.
POLL_MARGIN_S = 0.8
KEY = "op/version/m"
# Clocks of two machines have nothing in common.
CLOCK_STEP_S = 137.0
TROUBLE = re.compile(
    r"(?:(?P<what>reports|answers of the store) to )?(?P<name>[\w-]+) "
    r"(?:is|are|restarts|connects)"
    r" ?(?P<how>frozen|cut off|lost|anew|(?P<delay>[\d.]+) s late)?"
    r" (?:from (?P<first>[\d.-]+) to (?P<last>[\d.-]+)|at (?P<at>[\d.-]+))"
)


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A trouble of one instance, or of all.

    :param kind: what happens.
    :param name: name of the instance, or ``all``.
    :param delay_s: delay of late messages in seconds.
    :param first_s: time in seconds at which it begins.
    :param last_s: time in seconds at which it ends.
    """

    kind: str
    name: str
    delay_s: float
    first_s: float
    last_s: float

    def holds(self, kind, name, now_s):
        """Tell whether it concerns an instance now."""
        is_meant = self.name in (name, "all") and self.kind == kind
        return is_meant and self.first_s <= now_s < self.last_s


def parse(described, named_s):
    """Read troubles, whose times count from the naming."""
    found = []
    for text in filter(None, described.split("; ")):
        match = TROUBLE.fullmatch(text)
        assert match, text
        kind = f"{match['what'] or ''} {match['how'] or 'restarts'}".strip()
        kind = re.sub(r"[\d.]+ s late", "late", kind)
        first_s = named_s + float(match["at"] or match["first"])
        last_s = named_s + float(match["last"] or 0.0)
        delay_s = float(match["delay"] or 0.0)
        found.append(Trouble(kind, match["name"], delay_s, first_s, last_s))
    return found


@dataclasses.dataclass
class Call:
    """A call of the store that has not been answered.

    :param after: version after which changes are asked for, None for a snapshot.
    :param until_s: time in seconds at which an empty answer is due.
    """

    instance: object
    table: str
    after: int | None
    until_s: float
    answer: defer.Deferred


class InstanceStore:
    """The store as one instance sees it."""

    def __init__(self, world, instance):
        self.world = world
        self.instance = instance

    async def snapshot(self, table):
        """Return every record."""
        return await self._call(table, None, 0.0)

    async def changes(self, table, after, wait_s):
        """Return the changed records, or none after the wait."""
        return await self._call(table, after.version, wait_s)

    async def _call(self, table, after, wait_s):
        world, answer = self.world, defer.Deferred()
        call = Call(self.instance, table, after, world.now_s + wait_s, answer)
        world.calls.append(call)
        clock = self.instance.clock
        timer = clock.callLater(wait_s + POLL_MARGIN_S, self._give_up, call)
        try:
            return await answer
        finally:
            if timer.active():
                timer.cancel()

    def _give_up(self, call):
        if not call.answer.called:
            call.answer.errback(errors.AnswerLost("no answer"))


class InstanceHub:
    """Sends messages to the other instances through the world."""

    def __init__(self, world, name):
        self.world = world
        self.name = name

    @property
    def peers(self):
        """Names of the others."""
        return [name for name in self.world.instances if name != self.name]

    def connection(self, name):
        """Return a connection of an entry instance."""
        transport = plain_types.SimpleNamespace(abortConnection=lambda: None)
        hello = types.Hello("entry", "r", "a", 0)
        return plain_types.SimpleNamespace(
            hello=hello, peer=name, transport=transport, send=lambda message: None
        )

    def has_refused(self, name):
        """Tell whether no process listens there."""
        return False

    def send(self, name, message):
        """Send a message to one peer."""
        self.world.send(self.name, name, message)

    def send_all(self, names, message):
        """Send a message to several peers."""
        for name in names:
            self.send(name, message)


class Instance:
    """An entry process with a clock of its own and what waits in its sockets."""

    def __init__(self, world, name, clock):
        self.name = name
        self.clock = clock
        self.inbox = []
        self.entry = entries.Entry(clock, name, InstanceStore(world, self))
        self.entry.decoder.named_weights = named_weights
        process = self.entry.process
        process.peers._hub = InstanceHub(world, name)
        for number, table in enumerate((process.operator, process.listed)):
            table.rng = random.Random(f"{SEED} {name} {number}")
            table.start()

    def connect(self, name):
        """Begin a connection with a peer."""
        hello = types.Hello("entry", "r", "a", 0)
        self.receive(name, codec.encode(codec.Envelope(name, 0, hello)))

    def receive(self, name, frame):
        """Process a message of a peer."""
        process = self.entry.process
        connection = process.peers._hub.connection(name)
        process.message_received(connection, codec.decode(frame))

    def read_sockets(self, now_s):
        """Process what has arrived, in the order of its arrival."""
        due = sorted((i for i in self.inbox if i[0] <= now_s), key=lambda i: i[0])
        self.inbox = [item for item in self.inbox if item[0] > now_s]
        for _, function, *arguments in due:
            function(*arguments)


def named_weights(copy):
    """Return the named version in a copy of the operator's table."""
    record = copy.get(KEY)
    return {} if record is None else {entries.MODEL: int(record.value)}


def answer(call, result):
    """Hand an answer of the store to its instance, unless it gave the call up."""
    if not call.answer.called:
        call.answer.callback(result)


class World:
    """The store, the instances and the paths between them, in steps of time."""

    def __init__(self, count):
        self.now_s = 0.0
        self.calls = []
        self.troubles = []
        self.named = records.Record(KEY, 1, b"1")
        self.instances = {}
        for number in range(1, count + 1):
            clock = testing.MemoryReactorClock()
            clock.advance(CLOCK_STEP_S * number)
            self.add(f"e-{number}", clock)

    def add(self, name, clock):
        """Start an instance, or start it again."""
        self.instances[name] = Instance(self, name, clock)
        for other in self.instances.values():
            if other.name != name:
                other.connect(name)
                self.instances[name].connect(other.name)

    def first(self, kind, name):
        """Return the trouble of a kind that an instance has now, or None."""
        return next((t for t in self.troubles if t.holds(kind, name, self.now_s)), None)

    def send(self, sender, receiver, message):
        """Send a message on its way, unless it is lost."""
        if self.first("cut off", sender) or self.first("cut off", receiver):
            return
        if self.first("reports lost", receiver):
            return
        late = self.first("reports late", receiver)
        arrives_s = self.now_s + (late.delay_s if late else 0.0)
        instance = self.instances[receiver]
        frame = codec.encode(codec.Envelope(sender, 0, message))
        instance.inbox.append((arrives_s, instance.receive, sender, frame))

    def step(self):
        """Let time pass for the store and for each instance that runs."""
        self.now_s += STEP_S
        self._answer_calls()
        for trouble in self.troubles:
            if abs(trouble.first_s - self.now_s) < STEP_S / 2:
                self._begin(trouble)
        for instance in self.instances.values():
            if self.first("frozen", instance.name) is None:
                elapsed_s = self.now_s + self._origin_s(instance.name)
                # Timers run before sockets are read, also after standing still.
                instance.clock.advance(elapsed_s - instance.clock.seconds())
                instance.read_sockets(self.now_s)

    def _origin_s(self, name):
        return CLOCK_STEP_S * int(name.removeprefix("e-"))

    def _begin(self, trouble):
        if trouble.kind == "restarts":
            self.add(trouble.name, self.instances[trouble.name].clock)
        elif trouble.kind == "anew":
            for other in self.instances.values():
                if other.name != trouble.name:
                    other.connect(trouble.name)
                    self.instances[trouble.name].connect(other.name)

    def _answer_calls(self):
        waiting, self.calls = self.calls, []
        for call in waiting:
            name = call.instance.name
            is_operator = call.table == "op"
            is_new = call.after is None or self.named.version > call.after
            found = (self.named,) if is_operator and is_new else ()
            if call.after is not None and not found and self.now_s < call.until_s:
                self.calls.append(call)
                continue
            is_lost = self.first("answers of the store lost", name)
            if is_lost or self.first("cut off", name):
                continue
            late = self.first("answers of the store late", name)
            arrives_s = self.now_s + (late.delay_s if late else 0.0)
            result = sync.Changes(found, positions.Position(0, self.named.version))
            call.instance.inbox.append((arrives_s, answer, call, result))

    def run_to(self, time_s):
        """Let time pass."""
        while self.now_s < time_s - STEP_S / 2:
            self.step()


@behave.given("{count:d} entry instances, of which e-1 and e-2 read the store")
def step_world(context, count):
    context.world = World(count)


def next_poll_s(world):
    """Return the time at which the first instance polls the operator's table again."""
    while True:
        before = {id(call) for call in world.calls}
        world.step()
        for call in world.calls:
            is_operator = call.instance.name == "e-1" and call.table == "op"
            if is_operator and id(call) not in before:
                return world.now_s


@behave.when('version 2 is named {named_s:f} s into a poll while "{troubles}"')
def step_named_while(context, named_s, troubles):
    world = context.world
    world.run_to(WARM_UP_S)
    polled_s = next_poll_s(world)
    # The troubles begin up to 3 s before the naming.
    named_s += polled_s + 4 * sync.poll_times().poll_s
    world.troubles = parse(troubles, named_s)
    world.run_to(named_s)
    world.named = records.Record(KEY, 2, b"2")
    context.required_s, context.withdrawn_s = {}, {}
    context.first_required_s = {}
    while world.now_s < named_s + END_S:
        world.step()
        for name, instance in world.instances.items():
            if world.first("frozen", name) is not None:
                continue
            after_s = world.now_s - named_s
            gateway = instance.entry.process.gateway
            now_s = instance.clock.seconds()
            is_required = instance.entry.min_version >= 2
            if is_required:
                context.first_required_s.setdefault(name, after_s)
            is_withdrawn = gateway.near_bound(entries.MODEL, 1, now_s) is not None
            for found, holds in (
                (context.required_s, is_required),
                (context.withdrawn_s, is_withdrawn),
            ):
                # Only the last time at which it begins counts.
                if not holds:
                    found[name] = None
                elif found.get(name) is None:
                    found[name] = after_s


@behave.when('version 2 is named {named_s:f} s into a poll while ""')
def step_named_calmly(context, named_s):
    step_named_while(context, named_s, "")


@behave.then(
    "no instance sends a call to version 1 later than {limit_s:f} s after the naming"
)
def step_required(context, limit_s):
    late = {
        name: time_s
        for name, time_s in context.required_s.items()
        if time_s is None or time_s > limit_s + SAMPLING_S
    }
    assert not late, f"version 2 is required at {late}"


@behave.then(
    "no instance leaves a call waiting at version 1 later than {limit_s:f} s after "
    "the naming"
)
def step_withdrawn(context, limit_s):
    late = {
        name: time_s
        for name, time_s in context.withdrawn_s.items()
        if time_s is None or time_s > limit_s + SAMPLING_S
    }
    assert not late, f"calls are withdrawn at {late}"


@behave.then(
    "instance {name} still sends calls to version 1 {before_s:f} s after the naming"
)
def step_not_early(context, name, before_s):
    required_s = context.required_s[name]
    assert required_s is None or required_s >= before_s, f"required at {required_s}"


@behave.then(
    "instance {name} requires version 2 at no time before {before_s:f} s after the "
    "naming"
)
def step_never_early(context, name, before_s):
    first_s = context.first_required_s[name]
    assert first_s >= before_s, f"required at {first_s}"


@behave.then(
    "instance {name} has logged the naming of version {version:d} at most {most:d} "
    "times"
)
def step_logged(context, name, version, most):
    lines = context.world.instances[name].entry.log.of("weights_named")
    count = sum(line["version"] == version for line in lines)
    assert 1 <= count <= most, count
