"""Entries, agents, engines and a table service that exchange messages in memory.

The decision objects are the real ones; the edges are replaced by a queue of timed
events. Faults are drawn from the seed at the points where they can occur, or forced by
name for one scenario.
"""

import collections
import dataclasses
import heapq
import random

from cicadaplank.agent import executions
from cicadaplank.members import draining
from cicadaplank.messages import types
from cicadaplank.requests import (
    answers,
    claims,
    crash_tracking,
    dispatcher,
    exchange,
    verdicts,
)

LATENCY_S = 0.001
TOKEN_S = 0.02
TOKENS = 6
DEADLINE_S = 4.0
STALL_S = 6.0
STATUS_OK = 200
RESTART_S = 0.4
MAX_SENDS = 4
ROW, WEIGHTS = "model", "digest-1"
# Digest that an engine names, and mark of its tokens, when it has other weights.
OTHER_WEIGHTS, OTHER_MARK = "digest-0", b"~"


def token(call, position):
    """Return the token at a position of the only right answer of a call."""
    return f"{call}:{position}".encode()


def answer_of(call, mark=b""):
    """Return the only right whole answer of a call, with a mark in each token."""
    return b"".join(token(call, i) + mark + b"\n" for i in range(TOKENS))


class Faults:
    """Faults by name.

    :param rng: ``random.Random``.
    :param rates: dict from fault name to probability at each point where it can occur.
    :ivar seen: ``Counter`` of injected faults.
    """

    def __init__(self, rng, rates):
        self._rng = rng
        self.rates = dict(rates)
        self.once = collections.deque()
        self.seen = collections.Counter()

    def hit(self, name):
        """Tell whether the fault occurs now."""
        if name in self.once:
            self.once.remove(name)
        elif not self.rates.get(name) or self._rng.random() >= self.rates[name]:
            return False
        self.seen[name] += 1
        return True


@dataclasses.dataclass
class Sent:
    """One HTTP request of a caller.

    :ivar outcome: verdict text, ``gone`` or ``broken`` (connection); None while open.
    """

    identifier: str
    call: "Call"
    entry: "Entry"
    parts: list = dataclasses.field(default_factory=list)
    outcome: str | None = None
    code: str = ""
    status: int = 0
    finals: int = 0
    complete: bool = False
    document: bytes = b""
    total: int = 0
    sent_s: float = 0.0
    final_s: float = 0.0


@dataclasses.dataclass
class Call:
    """What a caller wants answered, with every request sent for it."""

    name: str
    kind: str
    poison: bool = False
    sent: list = dataclasses.field(default_factory=list)


class Table:
    """Table service with revisions."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.records = {}
        self.revision = 0
        self.down = False
        self.silent = False
        self.transactions = 0

    def transact(self, entry, action):
        """Answer a :class:`claims.Transact`."""
        fleet, change = self._fleet, action.change_id
        self.transactions += 1
        if self.silent or fleet.faults.hit("table_silent"):
            return None
        if self.down or fleet.faults.hit("table_unavailable"):
            return entry.later(LATENCY_S, "unavailable", change)
        if fleet.faults.hit("table_request_lost"):
            return entry.later(LATENCY_S, "answer_lost", change)
        if fleet.faults.hit("table_effect_delayed"):
            # Takes effect after the read that follows the lost response.
            fleet.at(0.05, lambda: self._commit(action))
            return entry.later(LATENCY_S, "answer_lost", change)
        failed = self._commit(action)
        if fleet.faults.hit("table_response_lost"):
            return entry.later(LATENCY_S, "answer_lost", change)
        if fleet.faults.hit("claimer_paused"):
            entry.pause(DEADLINE_S + 1)
        if failed:
            return entry.later(LATENCY_S, "conflicted", change, failed)
        return entry.later(LATENCY_S, "committed", change, revision=self.revision)

    def read(self, entry, action):
        """Answer a :class:`claims.Read`."""
        if self.silent:
            return None
        if self.down or self._fleet.faults.hit("table_read_failed"):
            return entry.later(LATENCY_S, "read_failed", action.change_id)
        found = tuple(self._record(key) for key in action.keys)
        return entry.later(LATENCY_S, "read_back", action.change_id, found)

    def _record(self, key):
        value, revision = self.records.get(key, (None, 0))
        return claims.Record(key, value, revision)

    def _commit(self, action):
        failed = tuple(
            self._record(key)
            for key, revision in action.conditions
            if self._record(key).revision != revision
        )
        if not failed:
            self.revision += 1
            for key, value in action.puts:
                self.records[key] = (value, self.revision)
        return failed


class Entry:
    """Entry instance: the edge around a :class:`dispatcher.Dispatcher`."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self.name = name
        self.incarnation = 0
        self.start()

    def start(self):
        """Start, or replace the process after a kill."""
        self.incarnation += 1
        self._paused_until_s = 0.0
        self._tick_s = None
        self.open = {}
        process = f"{self.name}.{self.incarnation}"
        self.dispatcher = dispatcher.Dispatcher(
            self.name, process, self._choose, self._fleet.rng, self._fleet.budget
        )

    def _choose(self, route, now_s):
        return self._fleet.choose(route, now_s, self)

    def kill(self):
        """Lose all state and every connection."""
        broken, self.open = self.open, {}
        for agent in self._fleet.agents.values():
            self._fleet.disconnect(self, agent)
        self.start()
        for sent in broken.values():
            self._fleet.finish(sent, "broken", False)

    def pause(self, duration_s):
        """Handle no event for a time."""
        self._paused_until_s = self._fleet.now_s + duration_s

    def later(self, after_s, event, *arguments, **options):
        """Pass an event to the dispatcher of this process after a time."""
        incarnation = self.incarnation

        def handle():
            if incarnation != self.incarnation:
                return
            if self._fleet.now_s < self._paused_until_s:
                self._fleet.at_time(self._paused_until_s, handle)
                return
            now_s = self._fleet.now_s
            method = getattr(self.dispatcher, event)
            self.apply(method(*arguments, now_s=now_s, **options))
            due_s = self.dispatcher.next_tick_s()
            if event == "tick" and due_s is not None and due_s <= now_s:
                raise AssertionError("a tick did not do what it was due for")

        self._fleet.at(after_s, handle)

    def apply(self, actions):
        """Carry out actions of the dispatcher."""
        for action in actions:
            if isinstance(action, exchange.SendWork):
                self._send_work(action)
            elif isinstance(action, exchange.SendCancel):
                agent = self._fleet.agents[action.endpoint]
                self._fleet.to_agent(self, agent, action.cancel)
            elif isinstance(action, claims.Transact):
                self._fleet.table.transact(self, action)
            elif isinstance(action, claims.Read):
                self._fleet.table.read(self, action)
            elif isinstance(action, crash_tracking.Broadcast):
                for other in self._fleet.entries:
                    if other is not self and other.name != action.exclude:
                        other.later(
                            LATENCY_S, "suspect_report", self.name, action.message
                        )
            elif isinstance(action, exchange.AttemptEnded):
                self._fleet.on_attempt_ended(self, action)
            else:
                self._fleet.deliver(self, action)
        due_s = self.dispatcher.next_tick_s()
        if due_s is not None and (self._tick_s is None or due_s < self._tick_s):
            self._tick_s = due_s
            self._fleet.at(max(0.0, due_s - self._fleet.now_s), self._tick)

    def _tick(self):
        self._tick_s = None
        self.later(0.0, "tick")

    def _send_work(self, action):
        faults, attempt = self._fleet.faults, action.work.attempt
        self._fleet.attempts += 1
        self._fleet.on_attempt(self, action)
        if faults.hit("connection_refused"):
            return self.later(LATENCY_S, "undelivered", attempt, "connection refused")
        if faults.hit("lost_before_write"):
            agent = self._fleet.agents[action.endpoint]
            return self._fleet.disconnect(self, agent)
        incarnation = self.incarnation

        def write():
            if incarnation != self.incarnation:
                return
            work = self.dispatcher.begin_write(action.work, self._fleet.now_s)
            if work is None:
                return
            agent = self._fleet.agents[action.endpoint]
            if faults.hit("entry_killed_after_write"):
                self._fleet.to_agent(self, agent, work)
                return self.kill()
            if faults.hit("lost_during_write"):
                return self._fleet.disconnect(self, agent)
            self._fleet.to_agent(self, agent, work)
            if faults.hit("work_duplicated"):
                self._fleet.to_agent(self, agent, work)
            if faults.hit("lost_after_write"):
                delay_s = self._fleet.loss_delay_s
                if delay_s is None:
                    delay_s = self._fleet.rng.uniform(0.0, TOKENS * TOKEN_S)
                self._fleet.at(delay_s, lambda: self._fleet.disconnect(self, agent))

        self._fleet.at(self._fleet.dial_s, write)


class Agent:
    """Agent with its engine: the edge around :class:`executions.Executions`."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self.name = name
        self.broken = False
        self.can_resume = True
        self.weights = WEIGHTS
        self.names_weights = True
        self.start()

    def start(self):
        """Start, or replace the process after a kill; its engine requests end."""
        self.runs = {}
        self._marks = {}
        self.started = 0
        self.draining = draining.Draining()
        self.executions = executions.Executions(self._grant, self.draining)
        self._engine_up = True

    def _grant(self, work, now_s):
        return executions.GrantDecision(
            True, manifest_digest=self.weights, can_resume=self.can_resume
        )

    def kill(self):
        """Replace the agent process."""
        for entry in self._fleet.entries:
            self._fleet.disconnect(entry, self)
        self.start()

    def take(self, link, message):
        """Take a message from an entry."""
        now_s = self._fleet.now_s
        if isinstance(message, types.WorkCancel):
            self.apply(self.executions.cancel(link, message.attempt, now_s))
            return
        self.apply(self.executions.work(link, message, now_s))

    def apply(self, actions):
        """Carry out actions of the executions."""
        for action in actions:
            if isinstance(action, executions.Reply):
                self._fleet.to_entry(self, action.entry, action.message)
            elif isinstance(action, executions.CallEngine):
                self._call(action.work)
            elif isinstance(action, executions.CancelEngine):
                self.runs.pop(action.attempt, None)
            elif isinstance(action, executions.ProbeEngine):
                result = executions.ProbeResult.CRASHED
                if self._engine_up:
                    result = executions.ProbeResult.ALIVE
                self._after(LATENCY_S, lambda: self.executions.engine_probed, result)
        due_s = self.executions.next_tick_s()
        if due_s is not None:
            delay_s = max(0.0, due_s - self._fleet.now_s)
            self._after(delay_s, lambda: self._tick)

    def _after(self, delay_s, method_of, *arguments):
        """Pass an event to the executions unless the agent was replaced meanwhile."""
        current = self.executions

        def handle():
            if current is self.executions:
                self.apply(method_of()(*arguments, now_s=self._fleet.now_s))

        self._fleet.at(delay_s, handle)

    def _tick(self, now_s):
        actions = self.executions.tick(now_s)
        due_s = self.executions.next_tick_s()
        if due_s is not None and due_s <= now_s:
            raise AssertionError("a tick did not do what it was due for")
        return actions

    def _event(self, name, *arguments, **options):
        method = getattr(self.executions, name)
        self.apply(method(*arguments, now_s=self._fleet.now_s, **options))

    def _call(self, work):
        faults, attempt = self._fleet.faults, work.attempt
        self._fleet.on_dispatch(work)
        if not self._engine_up or faults.hit("engine_refused"):
            return self._event("engine_failed", attempt, False, "connection refused")
        self.runs[attempt] = work
        self.started += 1
        self._fleet.ran(work)
        if faults.hit("other_weights"):
            self._marks[attempt] = OTHER_MARK
        call = self._fleet.call_of(work)
        if call.poison or faults.hit("engine_crash"):
            return self._fleet.at(TOKEN_S / 2, lambda: self._crash_of(attempt))
        if faults.hit("agent_killed"):
            return self._fleet.at(TOKEN_S * 1.5, self.kill)
        if self.broken or faults.hit("engine_lost"):
            return self._fleet.at(TOKEN_S / 2, lambda: self._lose(attempt))
        delay_s = TOKEN_S
        if faults.hit("late_response"):
            delay_s = STALL_S
        if work.stream:
            self._fleet.at(delay_s, lambda: self._token(work, call, work.offset))
        else:
            self._fleet.at(delay_s * 2, lambda: self._answer(work, call))
        return None

    def _lose(self, attempt):
        if self.runs.pop(attempt, None) is not None:
            self._event("engine_lost", attempt, "connection reset")

    def _crash_of(self, attempt):
        if attempt in self.runs:
            self.crash()

    def crash(self):
        """Crash the engine with everything that it runs."""
        if not self._engine_up:
            return
        self._engine_up = False
        self._fleet.crashes += 1
        runs, self.runs = self.runs, {}
        current = self.executions

        def restart():
            if current is self.executions:
                self._engine_up = True

        self._fleet.at(RESTART_S, restart)
        for attempt in runs:
            self._event("engine_lost", attempt, "connection reset")

    def _token(self, work, call, position):
        attempt, faults = work.attempt, self._fleet.faults
        if attempt not in self.runs:
            return
        if position >= TOKENS:
            self._end(work, position)
            return
        if faults.hit("engine_truncated"):
            self._end(work, position)
            return
        if faults.hit("engine_lost"):
            self._lose(attempt)
            return
        echoed = "other" if faults.hit("engine_crossed") else attempt
        skipped = 1 if faults.hit("engine_token_lost") else 0
        if position == 2 and faults.hit("engine_token_lost_midway"):
            skipped = 1
        self._fleet.generated += 1
        data = token(call.name, position + skipped) + self._marks.get(attempt, b"")
        named = None
        if self.names_weights:
            named = OTHER_WEIGHTS if attempt in self._marks else self.weights
        self._event(
            "engine_token",
            attempt,
            echoed,
            position + skipped,
            data,
            manifest_digest=named,
        )
        if position + 1 == TOKENS:
            self._end(work, TOKENS)
        else:
            self._fleet.at(TOKEN_S, lambda: self._token(work, call, position + 1))

    def _end(self, work, position):
        if self.runs.pop(work.attempt, None) is None:
            return
        digest = OTHER_WEIGHTS if work.attempt in self._marks else self.weights
        if position < TOKENS:
            # The connection closes properly, but no end event was sent.
            self._event("engine_lost", work.attempt, "no end event")
        else:
            self._event(
                "engine_end", work.attempt, total=TOKENS, manifest_digest=digest
            )

    def _answer(self, work, call):
        attempt, faults = work.attempt, self._fleet.faults
        if self.runs.pop(attempt, None) is None:
            return
        if faults.hit("engine_lost"):
            return self._event("engine_lost", attempt, "connection reset")
        status = 503 if faults.hit("engine_status_503") else 200
        echoed = "other" if faults.hit("engine_crossed") else attempt
        mark = self._marks.get(attempt, b"")
        digest = OTHER_WEIGHTS if mark else self.weights
        body = answer_of(call.name, mark) if status == 200 else b"the queue is full"
        self._event("engine_headers", attempt, status, echoed, digest, 0)
        self._event("engine_data", attempt, body[:7])
        self._event("engine_data", attempt, body[7:])
        total = None
        if faults.hit("engine_truncated"):
            total = len(body) + 1
        self._event("engine_end", attempt, total=total)


class Fleet:
    """All processes, the queue of events and the record of what really ran.

    :param seed: seed of all random choices.
    :param rates: dict from fault name to probability.
    :param entry_count: entry instances.
    :param agent_count: agents.
    :param budget: ``retries.RetryBudget`` of every entry, or None for the usual one.
    """

    def __init__(self, seed, rates=(), entry_count=3, agent_count=9, budget=None):
        self.rng = random.Random(seed)
        self.faults = Faults(self.rng, dict(rates))
        self.budget = budget
        self.now_s = 1000.0
        self.attempts = 0
        self.crashes = 0
        self.generated = 0
        self.loss_delay_s = None
        self.dial_s = LATENCY_S
        self.calls = {}
        self.sent = {}
        self.runs = collections.Counter()
        self.call_runs = collections.Counter()
        self._events = []
        self._sequence = 0
        self._links = collections.Counter()
        self._silent_links = set()
        self.table = Table(self)
        self.agents = {f"a{i}": Agent(self, f"a{i}") for i in range(agent_count)}
        self.entries = [Entry(self, f"e{i}") for i in range(entry_count)]
        self.on_dispatch = lambda work: None
        self.on_final = lambda sent: None
        self.on_attempt = lambda entry, action: None
        self.on_attempt_ended = lambda entry, action: None

    def at(self, after_s, function):
        """Call a function after a time."""
        self.at_time(self.now_s + after_s, function)

    def at_time(self, due_s, function):
        """Call a function at a time; equal times keep their order."""
        self._sequence += 1
        heapq.heappush(self._events, (due_s, self._sequence, function))

    def run(self, duration_s=None):
        """Handle events until none is left, or for a time."""
        until_s = None if duration_s is None else self.now_s + duration_s
        while self._events and (until_s is None or self._events[0][0] <= until_s):
            self.now_s, _, function = heapq.heappop(self._events)
            function()
        self.now_s = until_s or self.now_s

    def choose(self, route, now_s, entry):
        """Choose an endpoint at random, rather one that has not failed the request."""
        names = [name for name in self.agents if name not in route.avoid]
        return self.rng.choice(names) if names else None

    def send(self, call, entry, content=""):
        """Send a request for a call to an entry, or other content with its key."""
        self.calls[call.name] = call
        identifier = f"{call.name}-{len(call.sent)}"
        sent = Sent(identifier, call, entry, sent_s=self.now_s)
        call.sent.append(sent)
        self.sent[identifier] = sent
        entry.open[identifier] = sent
        once = call.kind == "once"
        request = exchange.Request(
            identifier,
            ROW,
            "client",
            "POST",
            "/run",
            (content or call.name).encode(),
            self.now_s + DEADLINE_S,
            stream=call.kind == "stream",
            repeatable=not once,
            once_key=call.name if once else "",
        )
        entry.later(LATENCY_S, "request", request)
        if self.faults.hit("entry_killed"):
            self.at(self.rng.uniform(0, 0.1), entry.kill)
        if self.faults.hit("caller_gone"):
            self.at(self.rng.uniform(0, 0.1), lambda: self.leave(sent))
        return sent

    def leave(self, sent):
        """The caller closes its connection."""
        if sent.outcome is None:
            sent.entry.later(LATENCY_S, "caller_gone", sent.identifier)
            self.finish(sent, "gone", False)

    def deliver(self, entry, action):
        """Give a part or a final answer to the caller."""
        sent = self.sent[action.request]
        if sent.entry is not entry or sent.outcome in ("gone", "broken"):
            return
        if isinstance(action, answers.StreamPart):
            sent.parts.append(action.data)
            return
        sent.finals += 1
        if isinstance(action, answers.StreamEnd):
            self.finish(sent, verdicts.Verdict.RAN.value, True)
        elif isinstance(action, answers.StreamError):
            sent.document, sent.total = action.body, action.total
            self.finish(sent, "stream_error", False)
        else:
            sent.code, sent.status = action.code, action.status
            complete = not action.code and action.status == STATUS_OK
            if complete:
                sent.parts.append(action.body)
            else:
                sent.document = action.body
            self.finish(sent, action.verdict.value, complete)

    def finish(self, sent, outcome, complete):
        """Record what the caller learned first."""
        sent.entry.open.pop(sent.identifier, None)
        if sent.outcome is None:
            sent.outcome, sent.complete = outcome, complete
            sent.final_s = self.now_s
            self.on_final(sent)

    def call_of(self, work):
        """Return the call that a piece of work belongs to."""
        return self.calls[work.body.decode()]

    def ran(self, work):
        """Record that the engine or service runs a piece of work."""
        self.runs[work.attempt.rpartition(".")[0]] += 1
        self.call_runs[work.body.decode()] += 1

    def disconnect(self, entry, agent):
        """Break the connection between an entry and an agent."""
        link = (entry.name, agent.name)
        old = self._link_name(link)
        self._links[link] += 1
        entry.later(0.0, "connection_lost", agent.name, "connection lost")
        agent._after(LATENCY_S, lambda: agent.executions.entry_connection_lost, old)

    def _link_name(self, link):
        return f"{link[0]}/{link[1]}/{self._links[link]}"

    def to_agent(self, entry, agent, message):
        """Send a message on the current connection."""
        link = (entry.name, agent.name)
        name, current = self._link_name(link), agent.executions

        def arrive():
            if name == self._link_name(link) and current is agent.executions:
                agent.take(name, message)

        self.at(LATENCY_S, arrive)

    def to_entry(self, agent, name, message):
        """Send a message back on the connection on which the work came."""
        entry_name = name.split("/")[0]
        entry = next(e for e in self.entries if e.name == entry_name)
        link = (entry_name, agent.name)
        if name != self._link_name(link):
            return
        if self.faults.hit("link_silent"):
            self._silent_links.add(name)
            self.at(2 * DEADLINE_S, lambda: self.disconnect(entry, agent))
        if name in self._silent_links:
            return
        messages = [message]
        if isinstance(message, types.WorkData):
            is_last = token("", TOKENS - 1) in message.data
            if self.faults.hit("part_lost"):
                messages = []
            elif is_last and self.faults.hit("last_part_lost"):
                messages = []
            elif self.faults.hit("part_duplicated"):
                messages = [message, message]
            elif self.faults.hit("part_crossed"):
                # Arrives on the connection of another agent.
                other = self.rng.choice([n for n in self.agents if n != agent.name])
                entry.later(LATENCY_S, "message", other, message)
                return
        for sent in messages:
            if name == self._link_name(link):
                entry.later(LATENCY_S, "message", agent.name, sent)
