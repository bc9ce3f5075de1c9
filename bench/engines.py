"""Simple model of engines, and entry instances that drive them through messages.

An engine runs one iteration at a time: the prefill of one waiting request, or one
decoding step of all running ones. Its prefix cache holds a few prefixes and drops the
one used longest ago. Cache events and load reports reach the entry instances late,
and some cache events are lost. Time is simulated; the decision objects are real.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from cicadaplank.agent import caches
from cicadaplank.external import engines as platform_engines
from cicadaplank.messages import types
from cicadaplank.requests import admission, routing
from cicadaplank.world import contracts, machines

ENTRIES = 6
ENGINES = 8
CAPACITY = 16
CACHED_PREFIXES = 10
PREFIX_PREFILL_S = 0.120
REST_PREFILL_S = 0.015
# A decoding step of a full batch stays within the 29 ms between tokens.
DECODE_BASE_S = 0.012
DECODE_PER_REQUEST_S = 0.001
MEAN_TOKENS = 30
LATENCY_S = 0.001
TICK_S = 0.1
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 0.2
CACHE_EVENT_LAG_S = 0.3
CACHE_EVENT_LOSS = 0.02
KEPT_EVENTS = 10_000
OBJECTIVE_S = 0.88
ROW, CLIENT = "drafts", "portal"


@dataclasses.dataclass
class Request:
    """One request and what happened to it."""

    identifier: str
    entry: int
    prefix: str
    priority: int
    tokens: int
    arrived_s: float
    first_token_s: float = None
    shed_s: float = None
    hit: bool = False


class Engine:
    """Continuous batching with a prefix cache of limited size.

    :param name: instance name.
    """

    def __init__(self, name):
        self.name = name
        self.cache = collections.OrderedDict()
        self.waiting = []
        self.running = {}
        self.busy = False
        self.sequence = 0
        self.events = collections.deque(maxlen=KEPT_EVENTS)
        self.agent = caches.PrefixCacheReporter(0.0)

    @property
    def load(self):
        """Requests in progress."""
        return len(self.waiting) + len(self.running)

    def use_prefix(self, prefix, now_s, rng):
        """Look a prefix up and keep it.

        :param prefix: prefix digest.
        :param now_s: current time in seconds.
        :param rng: :class:`random.Random` that loses events.
        :returns: whether it was there.
        """
        if prefix in self.cache:
            self.cache.move_to_end(prefix)
            return True
        self.cache[prefix] = None
        self._event("stored", prefix, now_s, rng)
        if len(self.cache) > CACHED_PREFIXES:
            evicted, _ = self.cache.popitem(last=False)
            self._event("removed", evicted, now_s, rng)
        return False

    def _event(self, kind, prefix, now_s, rng):
        self.sequence += 1
        if rng.random() >= CACHE_EVENT_LOSS:
            event = platform_engines.CacheEvent(self.sequence, kind, prefix)
            self.events.append((now_s + CACHE_EVENT_LAG_S, event))

    def events_after(self, action, now_s):
        """Return the cache events that a :class:`caches.ReadCacheEvents` gets."""
        shown = [
            event
            for shown_s, event in self.events
            if shown_s <= now_s and event.sequence > action.after
        ]
        return tuple(shown[: action.limit])


class RoundRobin:
    """Baseline: each entry instance takes the engines in turn."""

    def __init__(self, names, number, rng):
        self._turn = itertools.cycle(names[number:] + names[:number])

    def choose_request(self, queries, now_s, unix_s):
        """Return the next engine for the first request."""
        return 0, routing.EndpointChoice(next(self._turn), "data_centre")

    def __getattr__(self, name):
        return lambda *args, **kwargs: ()


class Random(RoundRobin):
    """Baseline: each request goes to an engine chosen by chance."""

    def __init__(self, names, number, rng):
        self._names, self._rng = names, rng

    def choose_request(self, queries, now_s, unix_s):
        """Return any engine for the first request."""
        return 0, routing.EndpointChoice(self._rng.choice(self._names), "data_centre")


def start_router(names, number, rng):
    """Return a router that knows the table and the engines.

    :param names: engine names.
    :param number: number of the entry instance.
    :param rng: :class:`random.Random`.
    """
    router = routing.Router("north", "dc1", rng)
    limit = contracts.ClientLimit(CLIENT, 1.0)
    row = contracts.Row(ROW, "service", "1", holders=tuple(names), limits=(limit,))
    table = contracts.Table((row,))
    router.configuration_accepted(contracts.Configuration(1, "bench", table), 0.0)
    router.instances_listed(
        [
            machines.Instance(name, "agent", "127.0.0.1", 1, "north", "dc1")
            for name in names
        ],
        0.0,
    )
    return router


class NoShedding:
    """Baseline: every request is dispatched when it arrives."""

    def __init__(self):
        self._queue = collections.deque()

    def submit(self, waiting, now_s):
        """Queue a request."""
        self._queue.append(waiting)
        return ()

    def dispatch_candidates(self, row, now_s):
        """Return the request that arrived first."""
        return (self._queue[0],) if self._queue else ()

    def started(self, request, now_s):
        """Remove the request that arrived first."""
        self._queue.popleft()
        return ()

    def first_token_seen(self, row, elapsed_s, now_s):
        """Record nothing."""
        return ()

    def tick(self, now_s):
        """Shed nothing."""
        return ()


class Fleet:
    """Entry instances and engines with simulated time.

    :param seed: seed of traffic, lengths and losses.
    :param router: function from engine names, entry number and rng to a router.
    :param queue: function that returns the admission queue of an entry instance.
    :param has_events: False for agents that read no cache events.
    """

    def __init__(
        self,
        seed,
        router=start_router,
        queue=admission.AdmissionQueue,
        has_events=True,
    ):
        self.rng = random.Random(seed)
        # Losses do not change the traffic, so that runs without events compare.
        self.loss_rng = random.Random(seed + 1)
        self.has_events = has_events
        names = [f"engine-{number}" for number in range(ENGINES)]
        self.engines = {name: Engine(name) for name in names}
        self.routers = [
            router(names, number, random.Random(seed * 100 + number))
            for number in range(ENTRIES)
        ]
        self.queues = [queue() for _ in range(ENTRIES)]
        self.requests = {}
        self.sent = {}
        self.now_s = 0.0
        self._events = []
        self._order = itertools.count()

    def at(self, delay_s, function, *args):
        """Call a function after a delay."""
        entry = (self.now_s + delay_s, next(self._order), function, args)
        heapq.heappush(self._events, entry)

    def run(self, arrivals, end_s):
        """Run the traffic.

        :param arrivals: iterable of ``(time_s, prefix, priority)`` in order of time.
        :param end_s: simulated end in seconds.
        """
        for name in self.engines:
            self.report(name)
            if self.has_events:
                self.start_agent(name)
        for number in range(ENTRIES):
            self.at(TICK_S * (number + 1) / ENTRIES, self.tick, number)
        arrivals = iter(arrivals)
        self.next_arrival(arrivals)
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, function, args = heapq.heappop(self._events)
            function(*args)

    def next_arrival(self, arrivals):
        """Schedule the next request of the traffic."""
        arrival = next(arrivals, None)
        if arrival is not None:
            self.at(arrival[0] - self.now_s, self.arrive, arrivals, *arrival[1:])

    def arrive(self, arrivals, prefix, priority):
        """Take a request at the entry instance that the load balancer picks."""
        entry = self.rng.randrange(ENTRIES)
        identifier = f"request-{len(self.requests)}"
        tokens = 1 + int(self.rng.expovariate(1 / MEAN_TOKENS))
        request = Request(identifier, entry, prefix, priority, tokens, self.now_s)
        self.requests[identifier] = request
        deadline_s = self.now_s + 60.0
        waiting = admission.QueuedRequest(identifier, ROW, CLIENT, priority, deadline_s)
        self.shed(self.queues[entry].submit(waiting, self.now_s))
        self.start_waiting(entry)
        self.next_arrival(arrivals)

    def shed(self, actions):
        """Answer the requests that are rejected."""
        for action in actions:
            self.requests[action.request].shed_s = self.now_s

    def tick(self, entry):
        """Let an entry instance look at its queue."""
        self.shed(self.queues[entry].tick(self.now_s))
        self.start_waiting(entry)
        self.at(TICK_S, self.tick, entry)

    def start_waiting(self, entry):
        """Dispatch requests while the router has an endpoint."""
        queue, router = self.queues[entry], self.routers[entry]
        while waiting := queue.dispatch_candidates(ROW, self.now_s):
            requests = [self.requests[each.request] for each in waiting]
            queries = [
                routing.RoutingQuery(ROW, CLIENT, each.prefix, priority=each.priority)
                for each in requests
            ]
            position, chosen = router.choose_request(queries, self.now_s, self.now_s)
            if isinstance(chosen, routing.NoEndpoint):
                return
            request = requests[position]
            identifier = request.identifier
            queue.started(identifier, self.now_s)
            router.dispatched(identifier, chosen.endpoint, request.prefix, self.now_s)
            self.sent[identifier] = self.now_s
            self.at(LATENCY_S, self.submit, chosen.endpoint, request)

    def submit(self, name, request):
        """Give a request to an engine."""
        engine = self.engines[name]
        entry = (request.priority, next(self._order), request)
        heapq.heappush(engine.waiting, entry)
        if not engine.busy:
            self.iterate(engine)

    def iterate(self, engine):
        """Begin the next iteration of an engine."""
        engine.busy = True
        if engine.waiting and len(engine.running) < CAPACITY:
            _, _, request = heapq.heappop(engine.waiting)
            request.hit = engine.use_prefix(request.prefix, self.now_s, self.loss_rng)
            duration_s = REST_PREFILL_S + PREFIX_PREFILL_S * (not request.hit)
            engine.running[request.identifier] = request.tokens
            self.at(duration_s, self.prefilled, engine, request)
        elif engine.running:
            duration_s = DECODE_BASE_S + DECODE_PER_REQUEST_S * len(engine.running)
            self.at(duration_s, self.decoded, engine)
        else:
            engine.busy = False

    def prefilled(self, engine, request):
        """Send the first token of a request."""
        self.at(LATENCY_S, self.first_token, request)
        self.generated(engine, [request.identifier])
        self.iterate(engine)

    def decoded(self, engine):
        """Give every running request one token."""
        self.generated(engine, list(engine.running))
        self.iterate(engine)

    def generated(self, engine, identifiers):
        """Count one token each and end the requests that are complete."""
        for identifier in identifiers:
            engine.running[identifier] -= 1
            if engine.running[identifier] <= 0:
                del engine.running[identifier]
                prefix = self.requests[identifier].prefix
                engine.agent.request_completed(prefix, prefix, self.now_s)
                self.at(LATENCY_S, self.answered, identifier, engine.load)

    def first_token(self, request):
        """Take the first token at the entry instance."""
        request.first_token_s = self.now_s
        elapsed_s = self.now_s - self.sent[request.identifier]
        self.queues[request.entry].first_token_seen(ROW, elapsed_s, self.now_s)

    def answered(self, identifier, load):
        """Take the end of an answer at the entry instance."""
        entry = self.requests[identifier].entry
        outcome = routing.Outcome.ANSWERED
        self.routers[entry].finished(identifier, outcome, self.now_s, load)
        self.start_waiting(entry)

    def report(self, name):
        """Send the load of an engine, and again after the interval."""
        load = self.engines[name].load
        report = types.EndpointReport({ROW: "1"}, load, CAPACITY, "ready")
        lag_s = REPORT_LAG_S if self.now_s else 0.0
        self.at(lag_s, self.pass_report, name, report)
        self.at(REPORT_INTERVAL_S, self.report, name)

    def pass_report(self, name, report):
        """Deliver a load report to every entry instance."""
        for entry, router in enumerate(self.routers):
            router.endpoint_reported(name, report, self.now_s)
            self.start_waiting(entry)

    def start_agent(self, name):
        """Connect the entry instances to an agent and start its clock."""
        for entry in range(ENTRIES):
            self.agent_acts(name, self.engines[name].agent.watcher_connected(entry, 0))
        self.agent_tick(name)

    def agent_tick(self, name):
        """Let an agent read its engine's events and report."""
        self.agent_acts(name, self.engines[name].agent.tick(self.now_s))
        self.at(TICK_S, self.agent_tick, name)

    def agent_acts(self, name, taken):
        """Carry out the actions of an agent."""
        engine = self.engines[name]
        for action in taken:
            if isinstance(action, caches.ReadCacheEvents):
                events = engine.events_after(action, self.now_s)
                engine.agent.events_read(events, self.now_s)
            else:
                self.at(LATENCY_S, self.pass_cache_report, name, action)

    def pass_cache_report(self, name, action):
        """Deliver a report about prefixes."""
        report = action.report
        event = routing.CacheEvent(
            report.sequence,
            tuple(report.stored),
            tuple(report.evicted),
            report.cleared,
        )
        for entry in action.watchers:
            self.routers[entry].cache_changed(name, event, self.now_s)


def poisson(rng, rate_per_s, end_s, prefixes, priorities=(5,)):
    """Return Poisson traffic over prefixes whose popularity follows Zipf's law.

    :param rng: :class:`random.Random`.
    :param rate_per_s: requests a second.
    :param end_s: time of the last request at most.
    :param prefixes: number of different prefixes.
    :param priorities: priorities, equally frequent.
    :returns: list of ``(time_s, prefix, priority)``.
    """
    names = [f"prefix-{number}" for number in range(prefixes)]
    weights = [1 / (number + 1) for number in range(prefixes)]
    arrivals, now_s = [], 0.0
    while (now_s := now_s + rng.expovariate(rate_per_s)) < end_s:
        prefix = rng.choices(names, weights)[0]
        arrivals.append((now_s, prefix, rng.choice(priorities)))
    return arrivals


def percentile(values, share):
    """Return a percentile.

    :param values: non-empty list of numbers.
    :param share: from 0 to 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
