"""Steps for leases."""

import random

import behave

from bench import fleet as fleets
from cicadaplank.table import leases, records

STEP_S = 0.5
SEED = 11


class Engine:
    """An engine that takes commands and reports what it does."""

    def __init__(self, checks):
        self.checks = checks
        self.highest = 0
        self.followed = []

    def command(self, token, command):
        """Take a command; tell whether it was followed."""
        if self.checks and token < self.highest:
            return False
        self.highest = max(self.highest, token)
        self.followed.append((token, command))
        return True

    @property
    def state(self):
        """The command that the engine follows."""
        return self.followed[-1][1] if self.followed else ""


class Agent:
    """The edge of one agent's lease."""

    def __init__(self, desk, name, incarnation, offset_s=0.0, rate=1.0):
        self.desk = desk
        self.name = f"{name}/{incarnation}"
        self.offset_s = offset_s
        self.rate = rate
        self.running = True
        self.taken = []
        self.taken_s = None
        self.sent = 0
        rng = random.Random(f"{SEED}/{self.name}")
        self.lease = leases.Lease("engine", name, incarnation, rng)
        self.answers = []
        self.carry_out(self.lease.start(self.clock()))

    def clock(self):
        """Return the agent's own monotonic time."""
        return self.offset_s + self.desk.now_s * self.rate

    def token(self):
        """Return the token that the agent would use now."""
        return self.lease.token(self.clock())

    def tick(self):
        """Handle what arrived, then let time pass."""
        if not self.running:
            return
        answers, self.answers = self.answers, []
        for answer in answers:
            self.carry_out(self.lease.answered(answer, self.clock()))
        self.carry_out(self.lease.tick(self.clock()))

    def send(self, token):
        """Send the agent's command to the engine."""
        self.sent += 1
        self.lease.command_sent(self.name)
        engine = self.desk.engine
        if not engine.command(token, self.name):
            self.carry_out(self.lease.token_refused(engine.highest, self.clock()))

    def carry_out(self, found):
        """Carry out the lease's actions."""
        for action in found:
            if isinstance(action, records.ReadKeys | records.Transact):
                self.answers.append(self.desk.answer(action))
            elif isinstance(action, leases.LeaseAcquired):
                self.taken.append(action.token)
                self.taken_s = self.desk.now_s
                self.send(action.token)
            elif isinstance(action, leases.ReadBackEngine):
                state = self.desk.engine.state
                self.carry_out(self.lease.engine_read(state, self.clock()))
            elif isinstance(action, leases.RepeatCommand):
                self.send(action.token)


class Desk:
    """Agents, their engine and the table service, in steps of time."""

    def __init__(self, checks):
        self.now_s = 0.0
        self.service = fleets.TableService()
        self.engine = Engine(checks)
        self.agents = []
        self.late = []

    def add(self, *identity, **clock):
        """Start an agent."""
        self.agents.append(Agent(self, *identity, **clock))
        return self.agents[-1]

    def answer(self, request):
        """Return the result of a request, with the service's faults."""
        if self.service.down:
            return records.Unavailable()
        if isinstance(request, records.ReadKeys):
            return self.service.read(request.keys)
        fault = self.service.faults.pop(0) if self.service.faults else ""
        if fault == "late":
            self.late.append((self.now_s + 2.0, request))
        elif fault != "lost_request":
            result = self.service.transact(request)
        return records.AnswerLost() if fault else result

    def run(self, duration_s, check=None):
        """Let time pass."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            due = [entry for entry in self.late if entry[0] <= self.now_s]
            self.late = [entry for entry in self.late if entry[0] > self.now_s]
            for _, request in due:
                self.service.transact(request)
            for agent in list(self.agents):
                agent.tick()
            if check is not None:
                check()


@behave.given("an engine that {behaviour} the token with an agent that holds its lease")
def step_engine(context, behaviour):
    desk = context.desk = Desk(behaviour == "checks")
    context.holder = desk.add("agent", 1000)
    desk.run(100.0)
    assert context.holder.token() == 1, context.holder.lease.state


def set_fault(desk, fault):
    """Inject a fault of the table service; return when it ends."""
    lost = {
        "a lost answer": "lost_answer",
        "a lost request": "lost_request",
        "a transaction that takes effect late": "late",
    }
    if fault in lost:
        desk.service.faults = [lost[fault]]
    elif fault != "no fault":
        desk.service.down = True
        return desk.now_s + float(fault.split()[3])
    return desk.now_s


@behave.when("the agent is paused and replaced during {fault}")
def step_paused_replaced(context, fault):
    desk = context.desk
    context.prepared = context.holder.token()
    context.holder.running = False
    end_s = set_fault(desk, fault)
    context.replacement = desk.add("agent", 2000)
    desk.run(max(end_s - desk.now_s, 0.0))
    desk.service.down = False
    # Shorter than the interval at which a waiting process reads the record, except
    # after an outage, where the back-off is longer.
    desk.run(20.0 if fault.startswith("an outage") else 5.0)
    assert context.replacement.token() == context.prepared + 1
    assert desk.engine.state == context.replacement.name
    context.replaced_s = context.replacement.taken_s


@behave.when(
    "the paused agent wakes up {delay:g} s later and sends its prepared command"
)
def step_wakes(context, delay):
    desk = context.desk
    desk.run(max(0.0, context.replaced_s + delay - desk.now_s))
    # The command was handed to the socket before the pause.
    desk.engine.command(context.prepared, context.holder.name)
    context.holder.running = True
    context.sent_before = context.holder.sent
    desk.run(70.0)


@behave.then("the engine follows the replacement in the end")
def step_follows(context):
    desk = context.desk
    assert desk.engine.state == context.replacement.name, desk.engine.followed
    if desk.engine.checks:
        assert (context.prepared, context.holder.name) != desk.engine.followed[-1]
        tokens = [token for token, _ in desk.engine.followed]
        assert tokens == sorted(tokens), tokens
    else:
        assert context.replacement.lease.repeated_commands >= 1


@behave.then("the woken agent sends no further command")
def step_silent(context):
    assert context.holder.sent == context.sent_before
    assert context.holder.token() is None, context.holder.lease.state
    assert context.holder.lease.state in ("waiting", "reading")


@behave.when("another agent with an earlier start tries to take it, with {clocks}")
def step_other(context, clocks):
    holder = {"slow": 0.995, "fast": 1.004}
    rate = next((r for word, r in holder.items() if clocks.endswith(word)), 1.0)
    if rate != 1.0:
        context.holder.rate = rate
        context.holder.offset_s = context.desk.now_s * (1.0 - rate)
    offset_s = 3600.0 if "hour" in clocks else 0.0
    context.other = context.desk.add("other", 500, offset_s=offset_s)
    context.desk.run(1.0)


@behave.then("it does not get the lease while the holder renews it for {duration:g} s")
def step_respected(context, duration):
    context.desk.run(duration)
    assert not context.other.taken, context.other.taken
    assert context.holder.token() == 1, context.holder.lease.state


@behave.when("the holder is paused")
def step_holder_paused(context):
    context.holder.running = False
    context.stopped_s = context.desk.now_s


@behave.when("the holder releases the lease")
def step_release(context):
    context.holder.carry_out(context.holder.lease.release(context.holder.clock()))
    context.stopped_s = context.desk.now_s


@behave.then("the other agent gets the lease between {least:g} s and {most:g} s later")
def step_gets(context, least, most):
    valid_until = []

    def check():
        if context.holder.token() is not None:
            valid_until.append(context.desk.now_s)

    context.desk.run(most, check)
    assert context.other.taken == [2], context.other.lease.state
    waited_s = context.other.taken_s - context.stopped_s
    assert least <= waited_s <= most, waited_s
    context.valid_until_s = max(valid_until, default=0.0)


@behave.then("the holder's token was no longer valid at that time")
def step_not_valid(context):
    assert context.valid_until_s <= context.other.taken_s, context.valid_until_s


@behave.when("the table service is down for {duration:g} s")
def step_down(context, duration):
    context.desk.service.down = True
    context.tokens = []
    context.desk.run(duration, lambda: context.tokens.append(context.holder.token()))


@behave.then("the holder may send commands all the time")
def step_goes_on(context):
    assert set(context.tokens) == {1}, set(context.tokens)


@behave.when("the table service is up again and there is {rival}")
def step_up(context, rival):
    desk = context.desk
    if rival == "a replacement":
        desk.add("agent", 2000)
        desk.run(30.0)
        assert desk.agents[1].token() is None
    desk.service.down = False


@behave.then("the engine refuses every other agent after {delay:g} s")
def step_refused(context, delay):
    desk = context.desk
    desk.run(delay)
    assert desk.agents[-1].token() == len(desk.agents)
    for agent in desk.agents[:-1]:
        assert not desk.engine.command(1, agent.name)


@behave.then("exactly one agent may send commands after {delay:g} s")
def step_one(context, delay):
    desk = context.desk
    # A former holder that is not paused finds out at its next renewal.
    desk.run(delay)
    tokens = [a.token() for a in desk.agents if a.token() is not None]
    assert tokens == [len(desk.agents)], [a.lease.state for a in desk.agents]


@behave.when("the table service loses the leases")
def step_lost_leases(context):
    desk = context.desk
    context.holder.running = False
    second = desk.add("agent", 2000)
    desk.run(5.0)
    second.running = False
    assert desk.engine.highest == 2
    desk.service.restore({})


@behave.when("the agent is replaced")
def step_replaced(context):
    context.replacement = context.desk.add("agent", 3000)


@behave.then("the replacement's command is followed after {delay:g} s")
def step_followed(context, delay):
    desk = context.desk
    desk.run(delay)
    assert desk.engine.state == context.replacement.name, desk.engine.followed
    assert context.replacement.token() == desk.engine.highest > 2


@behave.when("agents are killed, paused and replaced at random during {count:d} faults")
def step_random(context, count):
    desk = context.desk
    rng = random.Random(SEED)
    incarnation = 2000
    prepared = []
    for _ in range(count):
        event = rng.choice(
            ("kill", "pause", "wake", "replace", "fault", "outage", "late command")
        )
        running = [agent for agent in desk.agents if agent.running]
        paused = [agent for agent in desk.agents if not agent.running]
        if event == "kill" and running:
            desk.agents.remove(rng.choice(running))
        elif event == "pause" and running:
            agent = rng.choice(running)
            agent.running = False
            if agent.token() is not None:
                prepared.append((agent.token(), agent.name))
        elif event == "wake" and paused:
            rng.choice(paused).running = True
        elif event == "replace" and len(desk.agents) < 6:
            incarnation += rng.choice((-5, 1, 10))
            context.started = getattr(context, "started", [])
            name = rng.choice(("agent", "other"))
            if incarnation not in [a.lease.incarnation for a in context.started]:
                context.started.append(desk.add(name, incarnation))
        elif event == "fault":
            desk.service.faults = [rng.choice(("lost_answer", "lost_request", "late"))]
        elif event == "outage":
            desk.service.down = not desk.service.down
        elif event == "late command" and prepared:
            desk.engine.command(*prepared.pop(0))
        desk.run(rng.choice((0.5, 2.0, 20.0, 200.0)))


@behave.when("every transaction meets {fault} for {duration:g} s and {agent} needs one")
def step_every_transaction(context, fault, duration, agent):
    desk = context.desk
    context.transacting = context.holder
    if agent == "a replacement":
        context.holder.running = False
        context.transacting = desk.add("agent", 2000)
    lease = context.transacting.lease
    writes = lease.writes
    set_fault(desk, fault)
    desk.service.faults *= 10_000
    desk.run(duration)
    desk.service.faults = []
    context.transactions = lease.writes - writes


@behave.then("it sent more than {least:d} and at most {most:d} transactions")
def step_transactions(context, least, most):
    assert least < context.transactions <= most, context.transactions


@behave.then("it may send commands {delay:g} s after the fault")
def step_usable(context, delay):
    context.desk.run(delay)
    agent = context.transacting
    assert agent.token() is not None, agent.lease.state
    assert agent.lease.state == "held", agent.lease.state


@behave.when("the agent is paused and two replacements start together during {fault}")
def step_two(context, fault):
    context.holder.running = False
    set_fault(context.desk, fault)
    context.started = [context.desk.add("agent", 2000 + i) for i in range(2)]
    context.desk.run(10.0)


@behave.then("the later replacement holds the lease after {delay:g} s")
def step_later(context, delay):
    context.desk.run(delay)
    first, second = context.started
    assert first.token() is None, first.lease.state
    assert second.token() == max(second.taken) > 1, second.lease.state


@behave.then("the lease was taken more than {count:d} times")
def step_taken(context, count):
    assert sum(len(a.taken) for a in context.started) > count


@behave.then("no token was given to two agents")
def step_unique(context):
    given = [token for a in [context.holder, *context.started] for token in a.taken]
    assert len(given) == len(set(given)), sorted(given)


@behave.then("the engine never followed an older token after a newer one")
def step_ordered(context):
    tokens = [token for token, _ in context.desk.engine.followed]
    assert tokens == sorted(tokens), tokens


@behave.then(
    "its renewals take less than {writes:g} writes and {reads:g} reads a second for "
    "{agents:d} agents"
)
def step_load(context, writes, reads, agents):
    service, before = context.desk.service, context.desk.now_s
    service.reads = service.writes = 0
    context.counted = context.holder.lease.reads, context.holder.lease.writes
    context.desk.run(3600.0)
    duration_s = context.desk.now_s - before
    assert 0 < service.writes * agents / duration_s < writes, service.writes
    assert service.reads * agents / duration_s < reads, service.reads
    before = context.counted
    assert context.holder.lease.reads - before[0] == service.reads
    assert context.holder.lease.writes - before[1] == service.writes
