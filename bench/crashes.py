"""Replay of requests that share a part which crashes engines, on a stepped clock.

Drives one :class:`cicadaplank.requests.crash_causes.CrashCauses` and one
:class:`cicadaplank.requests.block_records.BlockRecords` for each entry instance, beside
a row that outlasts them. A :class:`Trouble` tells what goes wrong with messages and
instances.
"""

import dataclasses
import heapq
import itertools
import random

from cicadaplank.messages import types
from cicadaplank.requests import block_records, crash_causes

BAD = "bad"
MESSAGE_DELAY_S = 0.01
TICK_S = 0.05
QUEUE_S = (0.05, 0.3)
CRASH_AFTER_S = 0.085
ANSWER_S = (0.6, 2.0)
SOUND_AFTER_S = 0.5
RESTART_S = 3.0
# A dial after a broken connection is refused within this time.
PROBE_S = 0.003
SYSTEM_PROMPTS = 4
DOCUMENTS = 40
# Crash after which, and time within which, requests with the part must have ended.
JUDGED_CRASH = 5


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Size and traffic of a deployment.

    :param entries: number of entry instances.
    :param engines: number of engines.
    :param requests_per_s: sound requests of all clients together.
    :param bad_per_s: requests with the part that crashes engines.
    :param contact_s: seconds after the fifth crash from which arrivals are counted.
    """

    entries: int
    engines: int
    requests_per_s: float
    bad_per_s: float
    contact_s: float


FLEETS = {
    6: Fleet(6, 7, 110.0, 6.0, 3.0),
    45: Fleet(45, 26, 375.0, 12.0, 4.0),
    100: Fleet(100, 60, 800.0, 20.0, 4.0),
    330: Fleet(330, 780, 4100.0, 40.0, 4.0),
}


@dataclasses.dataclass(frozen=True)
class Trouble:
    """What goes wrong between entry instances.

    :param lost_share: share of the messages that never arrive.
    :param repeated_share: share that arrive a second time.
    :param max_delay_s: longest delay in seconds; messages overtake each other.
    :param restart_interval_s: seconds between restarts of one instance each, or 0.
    :param restarts_all_s: time in seconds at which all restart at once, 0 for never.
    """

    lost_share: float = 0.0
    repeated_share: float = 0.0
    max_delay_s: float = MESSAGE_DELAY_S
    restart_interval_s: float = 0.0
    restarts_all_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Result:
    """What a replay counted.

    :param crashes: engines that crashed.
    :param held_after_crashes: crashes until every entry instance blocked the part.
    :param held_after_s: seconds from the first crash until then, None for never.
    :param bad_arrivals: requests with the part that reached engines.
    :param late_arrivals: those that were sent later than ``contact_s`` after the fifth
        crash.
    :param sound: sound requests of the route after the first crash.
    :param sound_rejected: those that were rejected.
    :param messages: messages that all instances sent, one for each receiver.
    """

    crashes: int
    held_after_crashes: int | None
    held_after_s: float | None
    bad_arrivals: int
    late_arrivals: int
    sound: int
    sound_rejected: int
    messages: int


class _Engine:
    def __init__(self, name):
        self.name = name
        self.run = 0
        self.is_up = True
        # Requests by identifier: entry, shared parts, time at which the answer began.
        self.requests = {}


class Replay:
    """One replay.

    :param fleet: :class:`Fleet`.
    :param seed: integer.
    :param is_blocking: whether entry instances reject requests with blocked parts.
    :param trouble: :class:`Trouble`.
    """

    def __init__(self, fleet, seed, is_blocking=True, trouble=Trouble()):
        self._seed = seed
        self._trouble = trouble
        # End in seconds of each block in the store.
        self._recorded_until_s = {}
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._is_blocking = is_blocking
        self._events = []
        self._numbers = itertools.count()
        self._engines = [_Engine(f"engine-{n}") for n in range(fleet.engines)]
        self._entries, self._records = [], []
        for _ in range(fleet.entries):
            self._entries.append(self._new_causes())
            self._records.append(block_records.BlockRecords(self._rng, 0.0))
        self._crash_times_s = []
        self._held = None
        self._counts = dict.fromkeys(("sound", "rejected", "sent"), 0)
        self._bad_sent_s = []

    def _new_causes(self):
        rng = random.Random(f"{self._seed}-{next(self._numbers)}")
        causes = crash_causes.CrashCauses(rng)
        causes.members = self._fleet.entries
        return causes

    def _at(self, at_s, function, *arguments):
        event = (at_s, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def run(self, length_s=20.0):
        """Play the traffic.

        :param length_s: length in seconds.
        :returns: :class:`Result`.
        """
        fleet = self._fleet
        self._arrive(0.0, False)
        self._arrive(2.0, True)
        self._tick(TICK_S)
        trouble = self._trouble
        if trouble.restart_interval_s:
            self._at(trouble.restart_interval_s, self._restart_next, 0)
        if trouble.restarts_all_s:
            for number in range(fleet.entries):
                self._at(trouble.restarts_all_s, self._restart_entry, number)
        while self._events and self._events[0][0] <= length_s:
            at_s, _, function, arguments = heapq.heappop(self._events)
            function(at_s, *arguments)
        first_s = self._crash_times_s[0] if self._crash_times_s else None
        held_after_s = self._held - first_s if self._held is not None else None
        held_after = None
        if self._held is not None:
            held_after = sum(at_s <= self._held for at_s in self._crash_times_s)
        late_s = float("inf")
        if len(self._crash_times_s) >= JUDGED_CRASH:
            late_s = self._crash_times_s[JUDGED_CRASH - 1] + fleet.contact_s
        counts = self._counts
        late = sum(at_s > late_s for at_s in self._bad_sent_s)
        return Result(
            len(self._crash_times_s),
            held_after,
            held_after_s,
            len(self._bad_sent_s),
            late,
            counts["sound"],
            counts["rejected"],
            counts["sent"],
        )

    def _prompt(self, is_bad):
        system = f"system-{self._rng.randrange(SYSTEM_PROMPTS)}"
        # The popularity of documents falls with their number.
        document = f"document-{int(DOCUMENTS * self._rng.random() ** 2)}"
        if not is_bad:
            return (system, document)
        if self._rng.random() < 0.5:
            return (system, BAD, document)
        return (system, document, BAD)

    def _arrive(self, now_s, is_bad):
        rate = self._fleet.bad_per_s if is_bad else self._fleet.requests_per_s
        self._at(now_s + self._rng.expovariate(rate), self._arrive, is_bad)
        entry = self._rng.randrange(self._fleet.entries)
        parts = self._prompt(is_bad)
        if not is_bad and self._crash_times_s:
            self._counts["sound"] += 1
        if self._is_blocking and self._entries[entry].blocked_for_s(parts, now_s) > 0:
            if not is_bad:
                self._counts["rejected"] += 1
            return
        up = [engine for engine in self._engines if engine.is_up]
        if not up:
            return
        if is_bad:
            self._bad_sent_s.append(now_s)
        engine = min(up, key=lambda e: (len(e.requests), self._rng.random()))
        identifier = next(self._numbers)
        engine.requests[identifier] = [entry, parts, None]
        begins_s = now_s + self._rng.uniform(*QUEUE_S)
        self._at(begins_s, self._begin, engine, engine.run, identifier)

    def _begin(self, now_s, engine, run, identifier):
        if engine.run != run or identifier not in engine.requests:
            return
        request = engine.requests[identifier]
        request[2] = now_s
        if BAD in request[1]:
            self._at(now_s + CRASH_AFTER_S, self._crash, engine, run)
            return
        answer_s = self._rng.uniform(*ANSWER_S)
        self._at(now_s + SOUND_AFTER_S, self._sound, engine, run, identifier)
        self._at(now_s + answer_s, self._end, engine, run, identifier)

    def _sound(self, now_s, engine, run, identifier):
        if engine.run == run and identifier in engine.requests:
            entry, parts, _ = engine.requests[identifier]
            self._entries[entry].record_sound(parts, now_s)

    def _end(self, now_s, engine, run, identifier):
        if engine.run == run:
            engine.requests.pop(identifier, None)

    def _crash(self, now_s, engine, run):
        if engine.run != run:
            return
        self._crash_times_s.append(now_s)
        engine.is_up = False
        engine.run += 1
        broken, engine.requests = engine.requests, {}
        self._at(now_s + RESTART_S, self._restart, engine)
        by_entry = {}
        for entry, parts, began_s in broken.values():
            lists = by_entry.setdefault(entry, ([], []))
            lists[0 if began_s is not None else 1].append(parts)
        for entry, (begun, waiting) in by_entry.items():
            name = f"{engine.name}/{run}"
            self._at(now_s + PROBE_S, self._report, entry, name, begun, waiting)

    def _restart(self, now_s, engine):
        engine.is_up = True

    def _report(self, now_s, entry, name, begun, waiting):
        causes = self._entries[entry]
        self._send(now_s, entry, causes.record_crash(name, begun, waiting, now_s))
        self._check_held(now_s)

    def _restart_next(self, now_s, number):
        self._restart_entry(now_s, number)
        following = (number + 1) % self._fleet.entries
        at_s = now_s + self._trouble.restart_interval_s
        self._at(at_s, self._restart_next, following)

    def _restart_entry(self, now_s, number):
        self._entries[number] = self._new_causes()
        self._records[number] = block_records.BlockRecords(self._rng, now_s)
        self._keep_records(now_s, number)

    def _keep_records(self, now_s, number):
        """Carry out what an instance reads from the store or writes there."""
        causes, records = self._entries[number], self._records[number]
        left_s = causes.blocked_left_s(now_s)
        order = records.tick(left_s, causes.observed, causes.released, now_s)
        if order is None:
            return
        recorded = self._recorded_until_s.items()
        found = {part: until_s - now_s for part, until_s in recorded if until_s > now_s}
        if isinstance(order, block_records.Write):
            found = block_records.merged(found, order)
            self._recorded_until_s = {p: now_s + left for p, left in found.items()}
            report = types.BlockedPartsReport(found, True)
            self._send(now_s, number, [crash_causes.Broadcast(report)])
        taken_out = records.done(found, now_s)
        causes.retract(taken_out, block_records.MAX_HOLD_OFF_S, now_s)
        causes.adopt(found, now_s)

    def _send(self, now_s, sender, actions):
        trouble = self._trouble
        for action in actions:
            for receiver in range(self._fleet.entries):
                if receiver == sender or self._rng.random() < trouble.lost_share:
                    continue
                for _ in range(1 + (self._rng.random() < trouble.repeated_share)):
                    self._counts["sent"] += 1
                    delay_s = self._rng.uniform(MESSAGE_DELAY_S, trouble.max_delay_s)
                    arguments = (self._deliver, receiver, action.message)
                    self._at(now_s + delay_s, *arguments)

    def _deliver(self, now_s, receiver, message):
        if isinstance(message, types.CrashReport):
            self._entries[receiver].merge_crash(message, now_s)
            self._check_held(now_s)
        elif isinstance(message, types.BlockedPartsReport):
            causes, records = self._entries[receiver], self._records[receiver]
            causes.adopt(message.left_s, now_s)
            taken_out = records.learn(message.left_s, now_s)
            causes.retract(taken_out, block_records.MAX_HOLD_OFF_S, now_s)
        else:
            self._entries[receiver].merge_sound(message, now_s)
            self._check_held(now_s)

    def _check_held(self, now_s):
        if self._held is None and all(BAD in c.blocked for c in self._entries):
            self._held = now_s

    def _tick(self, now_s):
        self._at(now_s + TICK_S, self._tick)
        for number, causes in enumerate(self._entries):
            self._send(now_s, number, causes.tick(now_s))
            self._keep_records(now_s, number)
        self._check_held(now_s)


def main():
    """Print the results of five seeds at each size, with and without blocking."""
    for entries, fleet in FLEETS.items():
        for is_blocking in (False, True):
            for seed in range(1, 6 if entries < 100 else 3):
                if not is_blocking and seed > 1:
                    continue
                print(entries, is_blocking, Replay(fleet, seed, is_blocking).run())


if __name__ == "__main__":
    main()
