"""Limits of a large client whose traffic moves between entry instances.

Entry instances exchange real ``DemandReport`` objects through an in-memory queue with
latency; time advances in steps. The client sends more than its limit, and a load
balancer gives its traffic to other entry instances every few seconds. A window of
``WINDOW_S`` over the limit counts as overshoot; what the limit would have allowed and
the client asked for in vain counts as unused.
"""

import collections
import random

from cicadaplank.messages import codec
from cicadaplank.requests import rate_limits
from cicadaplank.world import contracts

STEP_S = 0.01
LATENCY_S = 0.003
RUN_S = 120.0
WARM_UP_S = 5.0
WINDOW_S = 10.0
MOVE_INTERVAL_S = (4.0, 12.0)
ENTRIES = 7
LIMIT_PER_S = 200.0
SMALL_LIMIT_PER_S = 5.0
OVER_DEMAND = 1.5
UNDER_DEMAND = 0.8
CUT_S = (40.0, 90.0)
RESTARTS_S = (30.0, 60.0, 100.0)
LARGE_ENTRIES = 330
LARGE_LIMIT_PER_S = 1000.0
LARGE_RUN_S = 20.0
ROW, CLIENT = "drafts", "large"


class EqualParts:
    """Equal fixed shares: the baseline.

    :param count: number of entry instances.
    :param limit_per_s: limit of the client.
    """

    def __init__(self, count, limit_per_s):
        self.rate_per_s = limit_per_s / count
        self.level = 1.0
        self.updated_s = 0.0

    def check_request(self, row, client, now_s):
        """Decide on a request; see :meth:`rate_limits.RateLimiter.check_request`."""
        elapsed_s = now_s - self.updated_s
        self.updated_s = now_s
        burst = max(1.0, self.rate_per_s * rate_limits.BURST_S)
        self.level = min(burst, self.level + elapsed_s * self.rate_per_s)
        if self.level < 1.0:
            return rate_limits.Rejected("requests", 1.0)
        self.level -= 1.0
        return rate_limits.Admitted()

    def tick(self, now_s):
        """Send nothing."""
        return ()


def configuration(limit_per_s):
    """Return a configuration with one limited client."""
    limit = contracts.ClientLimit(CLIENT, limit_per_s)
    row = contracts.Row(ROW, "service", "1", limits=(limit,))
    return contracts.Configuration(1, "bench", contracts.Table((row,)))


def shares_of(names, rng):
    """Return how a load balancer divides the traffic: mostly over few entries."""
    weights = {name: rng.random() ** 6 for name in names}
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


def evenly(names, rng):
    """Return how a load balancer divides the traffic evenly."""
    return dict.fromkeys(names, 1 / len(names))


def frame_bytes(name, action):
    """Return the bytes of one report on a stream, with its length prefix."""
    return 4 + len(codec.encode(codec.Envelope(name, 1000, action.report)))


class World:
    """Entry instances, their messages and the traffic of the client.

    :param rng: :class:`random.Random`.
    :param equal: True for the baseline.
    :param demand: offered requests a second as a multiple of the limit.
    :param limit_per_s: limit of the client.
    :param count: number of entry instances.
    """

    def __init__(self, rng, equal, demand, limit_per_s=LIMIT_PER_S, count=ENTRIES):
        self.rng = rng
        self.equal = equal
        self.limit_per_s = limit_per_s
        self.rate_per_s = demand * limit_per_s
        self.names = [f"entry-{number}" for number in range(count)]
        self.entries = {name: self.start(name, 0.0) for name in self.names}
        self.queue = collections.deque()
        self.shares = {}
        self.move_at_s = 0.0
        self.admitted = collections.Counter()
        self.asked = collections.Counter()
        self.sent_bytes = 0
        self.run_s = RUN_S
        self.spread = shares_of

    def start(self, name, now_s):
        """Return the limits of an entry instance that has just started."""
        if self.equal:
            return EqualParts(len(self.names), self.limit_per_s)
        entry = rate_limits.RateLimiter(name, now_s)
        entry.configuration_accepted(configuration(self.limit_per_s), now_s)
        entry.entries_listed(self.names, now_s)
        return entry

    def deliver(self, now_s, cut):
        """Pass the messages that are due, except over a cut."""
        while self.queue and self.queue[0][0] <= now_s:
            _, sender, peer, report = self.queue.popleft()
            if not cut or (sender in cut) == (peer in cut):
                self.entries[peer].demand_reported(sender, report, now_s)

    def run(self, cut=(), cut_s=(0.0, 0.0), restarts_s=()):
        """Run the traffic.

        :param cut: names on one side of a partition.
        :param cut_s: its begin and end in seconds.
        :param restarts_s: times at which a random entry instance restarts.
        """
        restarts = list(restarts_s)
        for step in range(int(self.run_s / STEP_S)):
            now_s = step * STEP_S
            if now_s >= self.move_at_s:
                self.shares = self.spread(self.names, self.rng)
                self.move_at_s = now_s + self.rng.uniform(*MOVE_INTERVAL_S)
            if restarts and now_s >= restarts[0]:
                restarts.pop(0)
                name = self.rng.choice(self.names)
                self.entries[name] = self.start(name, now_s)
            self.deliver(now_s, cut if cut_s[0] <= now_s < cut_s[1] else ())
            for name, entry in self.entries.items():
                self.serve(name, entry, now_s)
                for action in entry.tick(now_s):
                    self.sent_bytes += len(action.peers) * frame_bytes(name, action)
                    for peer in action.peers:
                        due_s = now_s + LATENCY_S
                        self.queue.append((due_s, name, peer, action.report))

    def serve(self, name, entry, now_s):
        """Let the requests of one step arrive at an entry instance."""
        rate_per_s = self.rate_per_s * self.shares[name]
        second = int(now_s)
        # Poisson arrivals have no memory, so each step may draw its own.
        at_s = self.rng.expovariate(rate_per_s) if rate_per_s else STEP_S
        while at_s < STEP_S:
            at_s += self.rng.expovariate(rate_per_s)
            self.asked[second] += 1
            answer = entry.check_request(ROW, CLIENT, now_s)
            self.admitted[second] += isinstance(answer, rate_limits.Admitted)

    def windows(self):
        """Return admitted over limit for each window, one starting each second."""
        count = int(WINDOW_S)
        starts = range(int(WARM_UP_S), int(self.run_s) - count + 1)
        return [
            sum(self.admitted[start + offset] for offset in range(count))
            / (WINDOW_S * self.limit_per_s)
            for start in starts
        ]

    def overshoot(self):
        """Return the overshoot of the worst window as a share of the limit."""
        return max(0.0, max(self.windows()) - 1.0)

    def bytes_per_s(self):
        """Return the bytes of reports that each entry instance sends a second."""
        return self.sent_bytes / len(self.entries) / self.run_s

    def unused(self):
        """Return the unused share of what was asked for within the limit."""
        seconds = range(int(WARM_UP_S), int(self.run_s))
        wanted = sum(min(self.limit_per_s, self.asked[second]) for second in seconds)
        admitted = sum(self.admitted[second] for second in seconds)
        return max(0.0, 1.0 - admitted / wanted)


def run(seed):
    """Measure the limits.

    :param seed: seed of the traffic.
    :returns: dict of ``limits.*`` figures, shares from 0 to 1.
    """
    figures = {}
    for prefix, equal in (("", False), ("baseline_", True)):
        world = World(random.Random(seed), equal, OVER_DEMAND)
        world.run()
        figures[f"limits.{prefix}overshoot_share"] = world.overshoot()
        figures[f"limits.{prefix}unused_share"] = world.unused()
        under = World(random.Random(seed), equal, UNDER_DEMAND)
        under.run()
        figures[f"limits.{prefix}rejected_within_limit_share"] = under.unused()
        small = World(random.Random(seed), equal, UNDER_DEMAND, SMALL_LIMIT_PER_S)
        small.run()
        figures[f"limits.{prefix}small_rejected_within_limit_share"] = small.unused()
        cut = World(random.Random(seed), equal, OVER_DEMAND)
        cut.run(cut=cut.names[:3], cut_s=CUT_S)
        figures[f"limits.{prefix}cut_overshoot_share"] = cut.overshoot()
        figures[f"limits.{prefix}cut_unused_share"] = cut.unused()
        if not equal:
            figures["limits.report_bytes_per_s"] = world.bytes_per_s()
        restarted = World(random.Random(seed), equal, OVER_DEMAND)
        restarted.run(restarts_s=RESTARTS_S)
        figures[f"limits.{prefix}restart_overshoot_share"] = restarted.overshoot()
        figures[f"limits.{prefix}restart_unused_share"] = restarted.unused()
    return figures | measure_large(seed)


def measure_large(seed):
    """Measure the fleet expected in two years, with traffic in two patterns.

    :param seed: seed of the traffic.
    :returns: dict of ``limits.*_330`` figures.
    """
    figures = {}
    for pattern, spread in (("", evenly), ("moving_", shares_of)):
        rng = random.Random(seed)
        world = World(rng, False, OVER_DEMAND, LARGE_LIMIT_PER_S, LARGE_ENTRIES)
        world.run_s, world.spread = LARGE_RUN_S, spread
        world.run()
        figures |= {
            f"limits.{pattern}overshoot_share_330": world.overshoot(),
            f"limits.{pattern}unused_share_330": world.unused(),
            f"limits.{pattern}report_bytes_per_s_330": world.bytes_per_s(),
        }
    return figures
