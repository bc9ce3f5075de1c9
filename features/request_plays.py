"""Generated plays of requests through entries and agents, without a network.

They use the stand-ins of :mod:`bench.inmemory`, whose engines pause here. A plan prints
as Python code.
"""

import collections
import dataclasses

from bench import inmemory
from bench import requests as bench_requests
from cicadaplank.members import draining
from cicadaplank.requests import verdicts

ENTRIES = 2
# A drain that ends after every deadline aborts nothing.
DRAIN_S = 30.0
SLACK_S = 0.5
# Time after which work that nobody waits for has been cancelled.
CANCEL_S = 0.1
LENGTH_S = 10.0
CHANGES = (
    "agent drains",
    "agent leaves",
    "agent is replaced",
    "connection is lost",
    "table service is down",
    "caller leaves",
    "entry stops",
)


@dataclasses.dataclass(frozen=True)
class Asked:
    """One request.

    :param at_s: time in seconds.
    :param kind: ``stream``, ``whole`` or ``once``.
    :param entry: number of the entry instance.
    :param pauses: tuple of ``(position, seconds)``: its engine pauses before a token;
        before position 0, and in an answer in one piece, before the answer begins.
    """

    at_s: float
    kind: str
    entry: int
    pauses: tuple = ()


@dataclasses.dataclass(frozen=True)
class Change:
    """One change; the same one once more takes it back where that is possible.

    :param at_s: time in seconds.
    :param what: one of :data:`CHANGES`.
    :param subject: number of the agent, entry instance or request.
    """

    at_s: float
    what: str
    subject: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """A whole play.

    :param agents: number of agents.
    :param asked: tuple of :class:`Asked`.
    :param changes: tuple of :class:`Change`.
    """

    agents: int
    asked: tuple
    changes: tuple = ()


class _Agent(inmemory.Agent):
    """Agent whose engine pauses as the plan says."""

    def __init__(self, fleet, name, pauses):
        super().__init__(fleet, name)
        self._pauses = pauses

    def _paused_s(self, call, position):
        """Return how long the engine pauses before a token, once for each request."""
        return self._pauses[call.name].pop(position, 0.0)

    def _token(self, work, call, position):
        pause_s = self._paused_s(call, position)
        if pause_s and work.attempt in self.runs:
            self._fleet.at(pause_s, lambda: self._token(work, call, position))
            return
        super()._token(work, call, position)

    def _answer(self, work, call):
        pause_s = self._paused_s(call, 0)
        if pause_s and work.attempt in self.runs:
            self._fleet.at(pause_s, lambda: self._answer(work, call))
            return
        super()._answer(work, call)


class Play:
    """Plays a :class:`Plan`.

    :param plan: :class:`Plan`.
    :param seed: seed of the random choices of endpoints.
    :ivar faults: list of ``(kind, text)``.
    :ivar outcomes: counter of the requests by outcome.
    """

    def __init__(self, plan, seed=1):
        self.plan = plan
        self.faults = []
        self.outcomes = collections.Counter()
        self._pauses = {
            f"c{n}": dict(asked.pauses) for n, asked in enumerate(plan.asked)
        }
        fleet = self.fleet = inmemory.Fleet(seed, (), ENTRIES, 0)
        fleet.agents = {
            f"a{n}": _Agent(fleet, f"a{n}", self._pauses) for n in range(plan.agents)
        }
        self._sent = {}
        self._toggled = set()
        self._stopped = set()
        self._touched = set()
        self._attempts = collections.defaultdict(set)
        fleet.on_attempt = self._attempted
        fleet.choose = self._choose

    def _choose(self, route, now_s, entry):
        names = [
            name
            for name in self.fleet.agents
            if name not in route.avoid and ("agent leaves", name) not in self._toggled
        ]
        return self.fleet.rng.choice(names) if names else None

    def _attempted(self, entry, action):
        request = action.work.attempt.rpartition(".")[0]
        self._attempts[action.endpoint].add((entry.name, request))

    def _send(self, number, asked):
        entry = self.fleet.entries[asked.entry]
        if entry.name not in self._stopped:
            call = inmemory.Call(f"c{number}", asked.kind)
            self._sent[number] = self.fleet.send(call, entry)

    def _touch(self, requests):
        """Note requests whose answer was broken off, unless they have ended."""
        sent = self.fleet.sent
        self._touched |= {name for name in requests if sent[name].outcome is None}

    def _apply(self, change):
        fleet = self.fleet
        name = f"a{change.subject % self.plan.agents}"
        agent = fleet.agents[name]
        entry = fleet.entries[change.subject % ENTRIES]
        if change.what == "agent drains":
            agent.draining.set_limits(draining.StopLimits(DRAIN_S))
            agent.draining.stop_requested(fleet.now_s)
        elif change.what == "agent leaves":
            self._toggled ^= {(change.what, name)}
        elif change.what == "agent is replaced":
            self._touch(request for _, request in self._attempts[name])
            agent.kill()
        elif change.what == "connection is lost":
            attempts = self._attempts[name]
            self._touch(r for owner, r in attempts if owner == entry.name)
            fleet.disconnect(entry, agent)
        elif change.what == "table service is down":
            fleet.table.down = not fleet.table.down
        elif change.what == "entry stops":
            self._stopped.add(entry.name)
            self._touch(entry.open)
            entry.later(0.0, "stop")
        else:
            sent = self._sent.get(change.subject)
            if sent is not None:
                self._touch([sent.identifier])
                fleet.leave(sent)
                fleet.at(CANCEL_S, lambda: self._check_cancelled(sent))

    def _fault(self, kind, text):
        self.faults.append((kind, f"{self.fleet.now_s - 1000.0:.2f} s: {text}"))

    def _check_cancelled(self, sent):
        for agent in self.fleet.agents.values():
            for attempt in agent.runs:
                is_own = attempt.rpartition(".")[0] == sent.identifier
                if is_own and sent.call.kind != "once":
                    self._fault("an engine still works", attempt)

    def run(self):
        """Play the plan.

        :returns: list of faults.
        """
        fleet = self.fleet
        for number, asked in enumerate(self.plan.asked):
            fleet.at(asked.at_s, lambda n=number, a=asked: self._send(n, a))
        for change in self.plan.changes:
            fleet.at(change.at_s, lambda c=change: self._apply(c))
        # An outage ends: writes of claims are repeated until then.
        fleet.at(LENGTH_S, lambda: setattr(fleet.table, "down", False))
        fleet.run()
        for kind, count in bench_requests.count_violations(fleet).items():
            if count:
                self._fault(kind, str(count))
        for sent in fleet.sent.values():
            self._check(sent)
        for entry in fleet.entries:
            if len(entry.dispatcher) or entry.open:
                self._fault("left", f"{entry.name}: {entry.dispatcher.states()}")
        for agent in fleet.agents.values():
            if agent.runs:
                self._fault("left", f"{agent.name}: {list(agent.runs)}")
        return self.faults

    def _check(self, sent):
        lasted_s = sent.final_s - sent.sent_s
        name = "whole" if sent.complete else str(sent.outcome)
        self.outcomes[name] += 1
        text = f"{sent.identifier} {sent.call.kind} {name} {sent.code} {lasted_s:.2f}"
        if lasted_s > inmemory.DEADLINE_S + SLACK_S:
            self._fault("late", text)
        is_late = lasted_s >= inmemory.DEADLINE_S - SLACK_S
        is_refused = sent.outcome == verdicts.Verdict.NOT_RUN.value
        is_excused = sent.identifier in self._touched or is_late or is_refused
        if not sent.complete and not is_excused:
            self._fault("no whole answer", text)
