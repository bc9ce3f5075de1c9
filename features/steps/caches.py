"""Steps for cache events on their way from an engine to the entry instances."""

import random

import behave

from bench import engines as bench_engines
from cicadaplank.agent import caches
from cicadaplank.external import engines
from cicadaplank.messages import codec, types
from cicadaplank.requests import routing
from standins import batches

SEED = 11
AGENT = "fi-south-model-1"
TICK_S = 0.1
PREFIX = "prefix 0"


def prompt_of(prefix):
    """Return a prompt of eight blocks that starts in its own way."""
    return f"{prefix}: ".ljust(routing.PREFIX_CHARS, "x")


class Cache:
    """An engine's prefix cache, its agent and entry instances that watch the agent."""

    def __init__(self, blocks, entries):
        self.now_s = 100.0
        self.blocks = blocks
        self.content = "v1"
        self.lag_s = 0.0
        self.lost = set()
        self.is_silent = False
        self.refusing = set()
        self.routers = {}
        self.prompts = {}
        self.reads = 0
        self.bytes_sent = 0
        self.sent = 0
        self.restart_engine()
        self.restart_agent()
        for number in range(entries):
            self.connect(f"entry-{number}")

    def restart_engine(self):
        """Lose the cache and begin a new count of events."""
        self.engine = batches.PrefixCache(self.blocks)

    def restart_agent(self):
        """Replace the agent; every entry instance connects again."""
        self.agent = caches.PrefixCacheReporter(self.now_s)
        self.agent.set_served_rows({bench_engines.ROW: self.content})
        for name in list(self.routers):
            self.connect(name)

    def connect(self, name):
        """Connect an entry instance.

        It has not noticed the loss of an older connection.
        """
        if name not in self.routers:
            rng = random.Random(SEED)
            self.routers[name] = bench_engines.start_router((AGENT,), 0, rng)
        report = types.EndpointReport({bench_engines.ROW: "1"}, 0, 8, "ready")
        self.routers[name].endpoint_reported(AGENT, report, self.now_s)
        self.carry_out(self.agent.watcher_connected(name, self.now_s))

    def carry_out(self, taken):
        """Carry out the agent's actions."""
        for action in taken:
            if isinstance(action, caches.ReadCacheEvents):
                self.read(action)
            else:
                self.deliver(action)

    def read(self, action):
        """Read the engine's events with the faults that are set."""
        self.reads += 1
        if self.is_silent:
            self.agent.read_failed(self.now_s)
            return
        events = tuple(
            engines.CacheEvent(event["sequence"], event["kind"], event["block"])
            for event in self.engine.events
            if event["sequence"] > action.after
            and event["time_s"] <= self.now_s - self.lag_s
            and event["sequence"] not in self.lost
        )
        self.agent.events_read(events[: action.limit], self.now_s)

    def deliver(self, action):
        """Pass a report on as its frame."""
        frame = codec.encode(codec.Envelope(AGENT, 1, action.report))
        report = codec.decode(frame).message
        event = routing.CacheEvent(
            report.sequence,
            tuple(report.stored),
            tuple(report.evicted),
            report.cleared,
        )
        for name in action.watchers:
            if name in self.refusing:
                self.agent.undelivered(name)
                continue
            self.bytes_sent += len(frame)
            self.routers[name].cache_changed(AGENT, event, self.now_s)

    def begin(self, prefix, entry="entry-0", prompt=None):
        """Start a request; return its attempt."""
        self.sent += 1
        self.prompts[prefix] = prompt or prompt_of(prefix)
        router = self.routers[entry]
        router.dispatched(self.sent, AGENT, prefix, self.now_s)
        self.engine.use(self.content, self.prompts[prefix], self.now_s)
        return self.sent

    def end(self, prefix, attempt, entry="entry-0"):
        """End a request at the agent and its entry instance."""
        block = batches.block_hashes(self.content, self.prompts[prefix])[-1]
        self.agent.request_completed(prefix, block, self.now_s)
        answered = routing.Outcome.ANSWERED
        self.routers[entry].finished(attempt, answered, self.now_s)

    def serve(self, prefix, **options):
        """Serve a request at once."""
        self.end(prefix, self.begin(prefix, **options))

    def evict(self, begin=1_000):
        """Serve other prompts until the cache holds nothing else."""
        count = self.blocks // len(batches.block_hashes("", prompt_of(PREFIX)))
        for number in range(begin, begin + count):
            self.engine.use(self.content, prompt_of(f"prefix {number}"), self.now_s)

    def advance(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.now_s += TICK_S
            self.carry_out(self.agent.tick(self.now_s))

    def holds(self, prefix):
        """Tell whether the engine holds the block that ends a prefix."""
        block = batches.block_hashes(self.content, self.prompts[prefix])[-1]
        return block in self.engine.held_blocks()

    def hinted(self, name, prefix):
        """Tell whether an entry instance has the hint for a prefix."""
        query = routing.RoutingQuery(bench_engines.ROW, bench_engines.CLIENT, prefix)
        return self.routers[name].choose(query, self.now_s, self.now_s).hinted

    def wrong(self):
        """Return the hints of prefixes that the engine does not hold."""
        return [
            (name, prefix)
            for prefix in self.prompts
            if not self.holds(prefix)
            for name in self.routers
            if self.hinted(name, prefix)
        ]


@behave.given(
    "a cache of {blocks:d} blocks whose prefixes {count:d} entry instances know"
)
def step_cache(context, blocks, count):
    context.cache = Cache(blocks, count)
    context.cache.advance(2)
    context.cache.serve(PREFIX)
    context.cache.serve("prefix 1")
    context.cache.advance(4)
    for name in context.cache.routers:
        assert context.cache.hinted(name, PREFIX), name


def lose_evictions(cache):
    """Evict everything; the events are lost, later ones are not."""
    first = len(cache.engine.events) + 1
    cache.evict()
    cache.lost = set(range(first, len(cache.engine.events) + 1))
    cache.advance(2)
    cache.serve("prefix 2")


def evict_during_request(cache):
    """Evict a prefix between the first token and the end of its request."""
    attempt = cache.begin(PREFIX)
    cache.evict()
    cache.advance(3)
    cache.end(PREFIX, attempt)


def restart_engine(cache, later=()):
    """Restart the engine and serve prefixes on it without an entry instance."""
    cache.restart_engine()
    for prefix in later:
        cache.engine.use(cache.content, prompt_of(prefix), cache.now_s)


def restart_engine_late(cache):
    """Restart an engine whose events come late."""
    cache.lag_s = 3.0
    restart_engine(cache, ["prefix 9"])


def restart_agent(cache):
    """Evict a prefix while the agent is away."""
    cache.evict()
    cache.restart_agent()


def refuse_report(cache):
    """Let the send queues be full for the report of an eviction."""
    cache.refusing = set(cache.routers)
    cache.evict()
    cache.advance(2)
    cache.refusing = set()


def silence(cache):
    """Evict a prefix whose event is never given."""
    cache.is_silent = True
    cache.evict()


def load_weights(cache):
    """Load other weights, for which the cached blocks are useless."""
    cache.content = "v2"
    cache.agent.set_served_rows({bench_engines.ROW: "v2"})


def exceed_budget(cache):
    """Serve and evict many prefixes, all known to the entry instances."""
    cache.engine.capacity = 100_000
    for number in range(800):
        cache.serve(f"many {number}")
        if number % 20 == 0:
            cache.advance(0.1)
    cache.advance(3)
    cache.engine.capacity = 64
    cache.evict()


def miss_reports(cache):
    """Evict a prefix while one entry instance is not connected."""
    cache.agent.watcher_lost("entry-1")
    cache.evict()
    cache.advance(2)
    cache.connect("entry-1")


FAULTS = {
    "the prefix is evicted": Cache.evict,
    "the prefix is evicted while a request runs": evict_during_request,
    "the event of the eviction is lost": lose_evictions,
    "the event of the eviction comes 3 s late": lambda cache: (
        setattr(cache, "lag_s", 3.0),
        cache.evict(),
    ),
    "the engine restarts and stays idle": restart_engine,
    "the engine restarts and counts past the old event": lambda cache: restart_engine(
        cache, [f"prefix {number}" for number in range(50, 56)]
    ),
    "the engine restarts and its events come 3 s late": restart_engine_late,
    "the agent restarts while the prefix is evicted": restart_agent,
    "the report of the eviction is not delivered": refuse_report,
    "the engine gives no events any more": silence,
    "other weights are loaded": load_weights,
    "evictions exceed the budget of the reports": exceed_budget,
    "an entry instance misses reports and reconnects": miss_reports,
}


@behave.when('the cache meets the fault "{fault}"')
def step_fault(context, fault):
    FAULTS[fault](context.cache)
    assert not context.cache.holds(PREFIX)


@behave.then("the cache hints of every entry instance are right within {limit_s:d} s")
def step_right(context, limit_s):
    context.cache.advance(limit_s)
    assert not context.cache.wrong(), context.cache.wrong()[:4]


@behave.when('the cache meets the case "{case}"')
def step_case(context, case):
    cache = context.cache
    if case == "an entry instance connects late":
        cache.connect("entry-9")
    elif case == "the prefix is evicted and stored again":
        cache.evict()
        cache.advance(3)
        cache.serve(PREFIX)
    elif case == "a request repeats it after a lost event":
        # The lost event is that of another prefix; this one stays in the cache.
        cache.lost = {len(cache.engine.events) + 1}
        cache.serve("prefix 2")
        cache.advance(3)
        assert not cache.hinted("entry-1", PREFIX)
        cache.serve(PREFIX)
    elif case == "a request repeats it after an agent's start":
        cache.restart_agent()
        cache.advance(3)
        assert not cache.hinted("entry-1", PREFIX)
        cache.serve(PREFIX)
    else:
        assert case == "one entry instance sent the request", case


@behave.then(
    "every entry instance has the cache hint for the prefix within {limit_s:d} s"
)
def step_hint(context, limit_s):
    cache = context.cache
    cache.advance(limit_s)
    missing = [name for name in cache.routers if not cache.hinted(name, PREFIX)]
    assert not missing, missing


@behave.when("the cache serves two prompts that share one block and evicts it")
def step_shared(context):
    cache = context.cache
    for prefix in ("short 1", "short 2"):
        cache.serve(prefix, prompt="s" * batches.BLOCK_CHARS + prefix)
    cache.advance(3)
    assert cache.hinted("entry-1", "short 1") and cache.hinted("entry-1", "short 2")
    cache.evict()


@behave.when("the cache serves {rate:d} new prefixes a second for {duration_s:d} s")
def step_churn(context, rate, duration_s):
    cache = context.cache
    cache.reads = cache.bytes_sent = 0
    context.duration_s = duration_s
    for number in range(rate * duration_s):
        cache.serve(f"new {number}")
        if number % rate == 0:
            cache.advance(1)


@behave.then("the cache reports took less than {bound:d} bytes a second")
def step_bytes(context, bound):
    rate = context.cache.bytes_sent / context.duration_s
    assert 0 < rate < bound, rate


@behave.then("the agent read the cache events at most {most:d} times")
def step_reads(context, most):
    assert 0 < context.cache.reads <= most, context.cache.reads


@behave.when('the cache overfills the table "{table}"')
def step_overfill(context, table):
    cache = context.cache
    agent, now_s = cache.agent, cache.now_s
    if table == "watchers":
        for number in range(1_100):
            agent.watcher_connected(f"further {number}", now_s)
        return
    kind = "removed" if table == "removed_blocks" else "stored"
    if table in ("held_blocks", "removed_blocks"):
        last = cache.engine.events[-1]
        first = engines.CacheEvent(last["sequence"], last["kind"], last["block"])
        later = tuple(
            engines.CacheEvent(first.sequence + number, kind, f"block {number}")
            for number in range(1, 70_000)
        )
        agent.events_read((first, *later), now_s)
        return
    for number in range(6_000):
        agent.request_completed(f"further {number}", f"block {number}", now_s)


@behave.then(
    'the cache table "{table}" holds at most {bound:d} and counted "{counter}"'
)
def step_bounded(context, table, bound, counter):
    agent = context.cache.agent
    assert agent.sizes[table] <= bound, agent.sizes
    assert agent.counts[counter], agent.counts
