"""Steps for limits over all entry instances."""

import collections
import random

import behave

from cicadaplank.messages import types
from cicadaplank.requests import rate_limits
from cicadaplank.world import contracts

SEED = 5
STEP_S = 0.01
ROW = "drafts"


class Entries:
    """Entry instances that exchange their demand, and clients that send to them."""

    def __init__(self, count):
        self.rng = random.Random(SEED)
        self.now_s = 0.0
        self.names = [f"entry-{number}" for number in range(count)]
        self.clients = {"large": contracts.ClientLimit("large", 60.0)}
        self.halves = ()
        self.version = 0
        self.blocked = lambda sender, peer: False
        self.paused = set()
        self.asked = collections.Counter()
        self.admitted = collections.Counter()
        self.configuration = None
        self.entries = {}
        self.accept()
        for name in self.names:
            self.start(name, self.names)

    def start(self, name, listed):
        """Start or restart an entry instance."""
        entry = rate_limits.RateLimiter(name, self.now_s)
        entry.configuration_accepted(self.configuration, self.now_s)
        entry.entries_listed(listed, self.now_s)
        self.entries[name] = entry
        for peer, other in self.entries.items():
            if peer != name and not self.blocked(name, peer):
                other.peer_connected(name, self.now_s)

    def accept(self, *changed):
        """Accept a table with changed limits everywhere."""
        self.clients |= {limit.client: limit for limit in changed}
        self.version += 1
        row = contracts.Row(ROW, "service", "1", limits=tuple(self.clients.values()))
        table = contracts.Table((row,), self.halves)
        self.configuration = contracts.Configuration(self.version, "change", table)
        for entry in self.entries.values():
            entry.configuration_accepted(self.configuration, self.now_s)

    def ask(self, client, name):
        """Send one request to an entry instance."""
        self.asked[client] += 1
        answer = self.entries[name].check_request(ROW, client, self.now_s)
        self.admitted[client] += isinstance(answer, rate_limits.Admitted)
        return answer

    def advance(self):
        """Let one step pass and exchange the reports that are due."""
        self.now_s = round(self.now_s + STEP_S, 6)
        for name, entry in list(self.entries.items()):
            if name in self.paused:
                continue
            for action in entry.tick(self.now_s):
                for peer in action.peers:
                    gone = peer not in self.entries or peer in self.paused
                    if not gone and not self.blocked(name, peer):
                        self.entries[peer].demand_reported(
                            name, action.report, self.now_s
                        )

    def run(self, seconds, rates, targets):
        """Send Poisson traffic; ``targets`` gives the entries that may get it now."""
        end_s = self.now_s + seconds
        while self.now_s < end_s - STEP_S / 2:
            for client, rate_per_s in rates.items():
                at_s = self.rng.expovariate(rate_per_s)
                while at_s < STEP_S:
                    at_s += self.rng.expovariate(rate_per_s)
                    self.ask(client, self.rng.choice(targets(self.now_s)))
            self.advance()


@behave.given(
    "{count:d} entry instances that share a limit of 60/s of the client {client}"
)
def step_entries(context, count, client):
    context.entries = Entries(count)
    # The first reports have arrived before a fault begins.
    for _ in range(120):
        context.entries.advance()


@behave.given("a limit of 10/s for every other client")
def step_others(context):
    context.entries.accept(contracts.ClientLimit("*", 10.0))


@behave.given('a limit of 20/s for the half "west" of the first 3 entry instances')
def step_half(context):
    entries = context.entries
    entries.halves = (("west", tuple(entries.names[:3])),)
    entries.accept(contracts.ClientLimit("half:west", 20.0))


@behave.when('the client "large" sends {rate:d}/s for {seconds:d} s while {fault}')
def step_send(context, rate, seconds, fault):
    entries = context.entries
    names, lead = list(entries.names), entries.names[0]
    begin_s = entries.now_s
    events = []

    def targets(now_s):
        while events and now_s - begin_s >= events[0][0]:
            events.pop(0)[1]()
        if fault in (
            "it uses one entry instance",
            "its entry instance restarts every 2 s",
        ):
            return [lead]
        if fault.startswith("its traffic moves"):
            return [names[int((now_s - begin_s) / 3) % len(names)]]
        return [name for name in names if name not in entries.paused]

    if fault == "its entry instance restarts every 2 s":
        restart = lambda: entries.start(lead, entries.names)  # noqa: E731
        events = [(at_s, restart) for at_s in range(2, seconds, 2)]
    elif fault == "an entry instance is killed and leaves the list":
        rest = names[1:]

        def kill():
            del entries.entries[lead]
            names.remove(lead)

        def relist():
            for entry in entries.entries.values():
                entry.entries_listed(rest, entries.now_s)

        events = [(5, kill), (9, relist)]
    elif fault == "an entry instance joins that no list names":

        def join():
            entries.start("entry-new", [*entries.names, "entry-new"])
            names.append("entry-new")

        events = [(5, join)]
    elif fault == "a third of the reports is lost":
        entries.blocked = lambda sender, peer: entries.rng.random() < 1 / 3
    elif fault == "no report arrives":
        entries.blocked = lambda sender, peer: True
    elif "partition" in fault:
        west = set(names[:3])
        entries.blocked = lambda sender, peer: (sender in west) != (peer in west)
    elif fault == "an entry instance is paused for 8 s":
        events = [
            (5, lambda: entries.paused.add(lead)),
            (13, lambda: entries.paused.discard(lead)),
        ]
    entries.run(seconds, {"large": rate}, targets)
    context.seconds = seconds


@behave.when('the clients "large, small" send 600/s and 8/s for 10 s')
def step_two(context):
    names = context.entries.names
    context.entries.run(10, {"large": 600, "small": 8}, lambda now_s: names)


@behave.then(
    'the client "large" was granted between {least:d}% and {most:d}% of its limit'
)
def step_granted(context, least, most):
    granted = context.entries.admitted["large"] / (60.0 * context.seconds) * 100
    assert least <= granted <= most, f"{granted:.1f}%"


@behave.then('the client "{client}" had at most {most:d} requests rejected')
def step_rejected(context, client, most):
    entries = context.entries
    assert entries.admitted[client]
    rejected = entries.asked[client] - entries.admitted[client]
    assert rejected <= most, f"{rejected} of {entries.asked[client]}"


@behave.when('one request arrives in the case "{case}"')
def step_case(context, case):
    entries = context.entries
    entry, row, client = entries.entries["entry-0"], ROW, "large"
    if case == "client without a limit":
        client = "stranger"
    elif case == "row that the table does not name":
        row = "unknown"
    elif case == "client that poses as a half":
        entries.accept(contracts.ClientLimit("half:west", 20.0))
        client = "half:west"
    elif case == "limit of 0":
        entries.accept(contracts.ClientLimit("large", 0.0))
    elif case == "entry instance without a list":
        entry = rate_limits.RateLimiter("entry-0", entries.now_s)
        entry.configuration_accepted(entries.configuration, entries.now_s)
    context.answer = entry.check_request(row, client, entries.now_s)


@behave.then('the limits reject it because of "{reason}"')
def step_reason(context, reason):
    assert isinstance(context.answer, rate_limits.Rejected), context.answer
    assert context.answer.reason == reason, context.answer


@behave.when("the limit changes to 30/s and an older version arrives")
def step_changes(context):
    entries = context.entries
    older = entries.configuration
    entries.accept(contracts.ClientLimit("large", 30.0))
    for entry in entries.entries.values():
        entry.configuration_accepted(older, entries.now_s)


@behave.given('an entry instance with a limit of 100 tokens/s of the client "large"')
def step_tokens(context):
    context.entries = Entries(1)
    context.entries.accept(contracts.ClientLimit("large", 60.0, 100.0))


@behave.when('a request of the client "large" generates 500 tokens')
def step_generates(context):
    entries = context.entries
    assert isinstance(entries.ask("large", "entry-0"), rate_limits.Admitted)
    entries.entries["entry-0"].tokens_generated(ROW, "large", 500, entries.now_s)


@behave.then("the limits reject its requests for 5 s")
def step_debt(context):
    entries = context.entries
    answers = []
    for _ in range(6):
        answers.append(entries.ask("large", "entry-0"))
        for _ in range(100):
            entries.advance()
    reasons = [getattr(answer, "reason", "admitted") for answer in answers]
    assert reasons == ["tokens"] * 5 + ["admitted"], reasons
    assert 4.5 < answers[0].retry_after_s < 5.5, answers[0]


@behave.when(
    'the client "large" repeats each rejected request after the time it is told'
)
def step_repeats(context):
    entries = context.entries
    context.repetitions = []
    due = [(entries.now_s + number / 120, 0) for number in range(600)]
    while due:
        due.sort()
        while due and due[0][0] <= entries.now_s:
            _, tries = due.pop(0)
            answer = entries.ask("large", entries.rng.choice(entries.names))
            if isinstance(answer, rate_limits.Admitted):
                context.repetitions.append(tries)
            else:
                due.append((entries.now_s + answer.retry_after_s, tries + 1))
        entries.advance()


@behave.then('the client "large" needs at most 2 repetitions of a request on average')
def step_repetitions(context):
    average = sum(context.repetitions) / len(context.repetitions)
    assert average <= 2, average


@behave.when("one entry instance meets {count:d} {table}")
def step_meets(context, count, table):
    entries = context.entries
    context.entry = entry = entries.entries["entry-0"]
    context.kind = table
    context.over = count
    names = [f"name {number}" for number in range(count)]
    if table == "active clients":
        for name in names:
            context.answer = entry.check_request(ROW, name, entries.now_s)
    elif table == "entry instances":
        entry.entries_listed(names, entries.now_s)
    else:
        for name in names:
            entry.check_request(ROW, name, entries.now_s)


@behave.then("it keeps at most {most:d} of them and counts the others")
def step_keeps(context, most):
    counts, others = context.entry.counts, context.over - most
    now_s = context.entries.now_s + 10.0
    (action,) = context.entry.tick(now_s)
    if context.kind == "active clients":
        assert context.answer.reason == "busy", context.answer
        assert counts["keys_rejected"] == others, counts
    elif context.kind == "entry instances":
        assert 0 < len(action.peers) <= 2 * rate_limits.MAX_PEERS_PER_GROUP, len(
            action.peers
        )
        assert counts["peers_rejected"] == others, counts
    else:
        assert len(action.report.demands) == most, len(action.report.demands)
        assert counts["demands_unreported"] == others, counts
        large = types.DemandReport({f"drafts/{n}": 1.0 for n in range(most + others)})
        context.entry.demand_reported("entry-1", large, now_s)
        assert counts["demands_ignored"] == others, counts
