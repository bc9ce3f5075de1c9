"""Steps for blocked parts of prompts that outlast entry instances."""

import http.client
import itertools
import json
import pathlib
import random
import signal
import tempfile
import time

import behave

from cicadaplank.gateway import calls
from cicadaplank.messages import types
from cicadaplank.requests import block_records, crash_causes
from soak import extras, fleet

WAIT_S = 60.0
JUDGED_CRASH = 5
SUSPICION_S = crash_causes.SUSPICION_S
TICK_S = 0.05
NUMBERS = itertools.count(1)
ENDS = {"killed": signal.SIGKILL, "stopped": signal.SIGTERM}


# Entry processes.


def ask(process, parts):
    """Send a stream's request; return status and body, 0 when there is no answer."""
    request = f"request-{next(NUMBERS)}"
    listed = ",".join(f"{part}:10" for part in (*parts, f"own-{request}"))
    headers = {
        "Host": "host.example",
        "Authorization": "Bearer key-1",
        "X-Attempt-Id": request,
        "X-Deadline-Ms": "4000",
        "X-Prefix-Hash": listed,
    }
    connection = http.client.HTTPConnection(process.front, timeout=WAIT_S)
    body = json.dumps({"id": request, "events": 3})
    try:
        connection.request("POST", "/v2/stream/x", body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def ask_bad(process):
    """Send a request with the part that crashes servers and two of its own."""
    document = f"document-{next(NUMBERS)}"
    return ask(process, ("system", document, extras.BAD_PART))


def wait_ready(processes):
    """Wait until processes serve."""
    deadline_s = time.monotonic() + WAIT_S
    while not all(process.is_ready() for process in processes):
        assert time.monotonic() < deadline_s, [p.log[-400:] for p in processes]
        time.sleep(0.05)


def bad_arrivals(context):
    """Return the arrivals with the part, in the order of their times."""
    found = [a for a in context.fleet.ledger.arrivals if a.is_bad]
    return sorted(found, key=lambda arrival: arrival.at_s)


@behave.given("3 entry processes and 5 servers that a part of prompts crashes")
def step_fleet(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.fleet = fleet.Fleet(
        1, pathlib.Path(folder.name), False, False, False, False
    )
    context.cleanups.append(context.fleet.stop)
    for process in context.fleet.entries:
        process.start()
    wait_ready(context.fleet.entries)


@behave.when("the part comes until every entry process has blocked it")
def step_until_blocked(context):
    deadline_s = time.monotonic() + WAIT_S
    blocked = set()
    while len(blocked) < len(context.fleet.entries):
        assert time.monotonic() < deadline_s, "the part was not blocked"
        for process in context.fleet.entries:
            if calls.BLOCKED.encode() in ask_bad(process)[1]:
                blocked.add(process.name)
            ask(process, ("system", f"document-{next(NUMBERS)}"))
    context.blocked_s = time.monotonic()
    while not any("blocked_parts_written" in p.log for p in context.fleet.entries):
        # Without records nothing is written; the restarts follow all the same.
        if time.monotonic() > deadline_s - WAIT_S + 5.0:
            break
        time.sleep(0.05)


@behave.when(
    "every entry process is {ended} and started again until the part came 3 times to"
    " each"
)
def step_all_restart(context, ended):
    for _ in range(3):
        for process in context.fleet.entries:
            process.send(ENDS[ended])
        for process in context.fleet.entries:
            process.restart(ENDS[ended])
        send_to_all(context)


@behave.when("entry processes are killed and started again in turn, 3 times each")
def step_turns(context):
    for _ in range(3):
        for process in context.fleet.entries:
            process.restart(signal.SIGKILL)
            wait_ready([process])
            ask_bad(process)


def send_to_all(context):
    """Send requests with the part to each entry process as soon as it serves."""
    processes = context.fleet.entries
    wait_ready(processes)
    for _ in range(3):
        for process in processes:
            ask_bad(process)


@behave.then(
    "at most {most:d} requests with the part reach servers after the fifth crash"
)
def step_late(context, most):
    # Each server crashes on the first request with the part that it runs.
    crashes = {}
    for arrival in bad_arrivals(context):
        if arrival.ran:
            crashes.setdefault(arrival.server, arrival.at_s)
    times_s = sorted(crashes.values())
    if len(times_s) < JUDGED_CRASH:
        return
    # Sends before all instances had time to learn of the fifth crash are allowed.
    judged_s = max(times_s[JUDGED_CRASH - 1], context.blocked_s)
    late = [a for a in bad_arrivals(context) if a.at_s > judged_s]
    assert len(late) <= most, f"{len(late)} sends, {len(times_s)} crashes"


@behave.then("a request that shares its other parts is answered")
def step_sound(context):
    deadline_s = time.monotonic() + WAIT_S
    while ask(context.fleet.entries[0], ("system", "document-x"))[0] != 200:
        assert time.monotonic() < deadline_s, "no answer"
        time.sleep(0.1)


# Decision objects.


class Store:
    """Blocks as the store has them, on a stepped clock.

    :ivar is_away: whether calls fail.
    """

    def __init__(self):
        self.until_s = {}
        self.calls = 0
        self.is_away = False

    def left_s(self, now_s):
        """Return the blocks that hold."""
        return {p: u - now_s for p, u in self.until_s.items() if u > now_s}

    def carry_out(self, order, now_s):
        """Return the blocks after an order, None when it fails."""
        self.calls += 1
        if self.is_away:
            return None
        left_s = self.left_s(now_s)
        if isinstance(order, block_records.Write):
            self.calls += 1
            left_s = block_records.merged(left_s, order)
            self.until_s = {part: now_s + each for part, each in left_s.items()}
        return left_s


class Member:
    """Decision objects of one instance."""

    def __init__(self, number, now_s=0.0):
        rng = random.Random(number)
        self.causes = crash_causes.CrashCauses(rng)
        self.records = block_records.BlockRecords(rng, now_s)
        self.is_up = True

    def tick(self, store, now_s):
        """Carry out what is due; return the blocks that it has written, or None."""
        self.causes.tick(now_s)
        left_s = self.causes.blocked_left_s(now_s)
        causes = self.causes
        order = self.records.tick(left_s, causes.observed, causes.released, now_s)
        if order is None:
            return None
        found = store.carry_out(order, now_s)
        if found is None:
            self.records.failed(order, now_s)
            return None
        taken_out = self.records.done(found, now_s)
        self.causes.retract(taken_out, block_records.MAX_HOLD_OFF_S, now_s)
        self.causes.adopt(found, now_s)
        return None if isinstance(order, block_records.Read) else found

    def receive(self, left_s, now_s):
        """Learn which blocks another instance has written."""
        self.causes.adopt(left_s, now_s)
        taken_out = self.records.learn(left_s, now_s)
        self.causes.retract(taken_out, block_records.MAX_HOLD_OFF_S, now_s)


@behave.given('a block of the part "{part}" that is recorded {recorded}')
def step_recorded(context, part, recorded):
    context.store = Store()
    if recorded == "yes":
        context.store.until_s[part] = SUSPICION_S


@behave.when("an instance starts {state}")
def step_starts(context, state):
    context.member = member = Member(1)
    context.known_s = None
    answers_s = {
        "beside a store that answers": 0.0,
        "beside a store that answers after 1 s": 1.0,
    }.get(state, float("inf"))
    for step in range(int(5.0 / TICK_S)):
        now_s = step * TICK_S
        context.store.is_away = now_s < answers_s
        if state.endswith("and an instance") and step == 1:
            # As block_keeping.BlockKeeper.receive does.
            member.causes.adopt({"bad": 100.0}, now_s)
            member.records.inform()
        member.tick(context.store, now_s)
        if context.known_s is None and not member.records.is_awaited(now_s):
            context.known_s = now_s
    member.causes.tick(5.0)


@behave.then("a request with a part waits for {waits_s:f} s at most")
def step_waits(context, waits_s):
    assert context.known_s is not None and context.known_s <= waits_s, context.known_s


@behave.then('the part "{part}" is blocked then: {blocked}')
def step_blocked(context, part, blocked):
    assert (part in context.member.causes.blocked) == (blocked == "yes")


@behave.given(
    "{count:d} instances that have found a block, of which {observers:d} saw a crash"
)
def step_found(context, count, observers):
    context.store = Store()
    context.members = [Member(number) for number in range(count)]
    for member in context.members:
        member.records.done({}, 0.0)
    prompt = ("system", "bad")
    for crash in range(3):
        for number, member in enumerate(context.members):
            at_s = 0.1 + crash / 10
            if number < observers:
                member.causes.record_crash(f"run-{crash}", [prompt], [], at_s)
            else:
                report = types.CrashReport(f"run-{crash}", 0.0, [prompt], [])
                member.causes.merge_crash(report, at_s)
    context.observers = observers
    context.start_s = 1.0


@behave.given("an instance that has blocked a part of {length:d} characters")
def step_long(context, length):
    context.store = Store()
    context.members = [member] = [Member(1)]
    member.records.done({}, 0.0)
    for crash in range(3):
        prompts = [("system", "x" * length)]
        member.causes.record_crash(f"run-{crash}", prompts, [], crash / 10)
    context.start_s = 1.0


@behave.then("{count:d} block is counted as not written")
def step_refused(context, count):
    refused = context.members[0].records.refused
    assert refused == count, refused


@behave.given("{count:d} more instances to which the reports of the crashes were lost")
def step_unaware(context, count):
    members = [Member(len(context.members) + number) for number in range(count)]
    for member in members:
        member.records.done({}, 0.0)
    context.members += members


@behave.when("20 s pass in which {trouble}")
def step_pass(context, trouble):
    if trouble == "the observers end before they write":
        for member in context.members[: context.observers]:
            member.is_up = False
    play(context, trouble)


def play(context, trouble):
    """Let 20 s pass at all instances."""
    start_s = context.start_s
    context.start_s += 20.0
    for step in range(int(20.0 / TICK_S)):
        now_s = start_s + step * TICK_S
        if trouble == "the store is away for 5 s":
            context.store.is_away = now_s < start_s + 5.0
        for member in context.members:
            if not member.is_up:
                continue
            written = member.tick(context.store, now_s)
            if written is None or trouble == "every message is lost":
                continue
            for other in context.members:
                if other.is_up:
                    other.receive(written, now_s)


@behave.when("the part is answered and 20 s pass")
def step_answered(context):
    for member in context.members:
        report = types.SoundPartsReport({"bad": 0.0})
        member.causes.merge_sound(report, context.start_s)
    play(context, "nothing fails")


@behave.then("the block is recorded")
def step_is_recorded(context):
    assert "bad" in context.store.left_s(context.start_s), context.store.until_s


@behave.when("the part is answered at one instance, which the others do not hear")
def step_answered_once(context):
    context.members[0].causes.record_sound(("system", "bad"), context.start_s)


@behave.when("another one sees it crash an endpoint, which the first does not hear")
def step_crash_unheard(context):
    causes = context.members[1].causes
    for crash in range(3):
        at_s = context.start_s + 0.1 * crash
        causes.record_crash(f"later-{crash}", [("system", "bad")], [], at_s)


@behave.then("no instance blocks a part")
def step_none_block(context):
    for member in context.members:
        assert not member.causes.blocked, member.causes.blocked


@behave.then("every instance blocks the part")
def step_all_block(context):
    for member in context.members:
        assert member.causes.blocked == ["bad"], member.causes.blocked


@behave.then("no block is recorded")
def step_not_recorded(context):
    left_s = context.store.left_s(context.start_s)
    assert not left_s, left_s


@behave.then("the store got at most {calls:d} calls")
def step_calls(context, calls):
    assert context.store.calls <= calls, context.store.calls
