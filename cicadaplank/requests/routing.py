"""Request routing: endpoint selection by load, prefix cache affinity and health.

:class:`Router` holds the state, :class:`EndpointHealth` ejects failing endpoints, and
:class:`HashRing` places the prefixes that no endpoint is known to have cached.
"""

import bisect
import collections
import dataclasses
import enum
import hashlib
import math

import automat

from cicadaplank.world import contracts

MAX_ENDPOINTS = 1_024
MAX_IN_FLIGHT = 10_000
MAX_HINTS_PER_ENDPOINT = 4_096
# Length of the prompt prefix that affinity uses: prompts with the same first characters
# share the first blocks of an engine's prefix cache.
PREFIX_CHARS = 256
RING_POINTS_PER_ENDPOINT = 32
# Endpoints known to cache a prefix among which its requests are spread, in addition to
# the two that the ring gives.
MAX_HINTED_ENDPOINTS = 2
# Bound on the relative load of an endpoint, as a multiple of the mean in its tier.
# Above it, requests go to other endpoints in spite of prefix affinity.
LOAD_BOUND = 1.25
# ``LOAD_BOUND`` does not apply below this share of an endpoint's capacity: a miss in
# the prefix cache costs more than the wait in a batch that still has free slots.
LIGHT_LOAD_SHARE = 0.8
# While several requests wait, one slot in 16, and at least one, is reserved for those
# whose prefix is cached; otherwise cache misses take every slot and slow the engines
# down.
RESERVED_SHARE = 1 / 16
MIN_CAPACITY_TO_RESERVE = 4
# Urgent requests may exceed the capacity of an endpoint by this share of it, and at
# least by one request: its engine runs them first, while the slots that this entry
# instance sees are few.
URGENT_PRIORITY = 2
URGENT_SHARE = 1 / 16
# Time constant of the exponential decay of the weight of a load report with its age.
REPORT_TIME_CONSTANT_S = 2.0
REPORT_STALE_S = 6.0
# Weight of a new load report in the moving average. A change of more than
# ``STEP_CHANGE_SHARE`` of the capacity is taken over at once. With a weight of 1, every
# entry instance would fill the free slots that a single report shows.
REPORT_WEIGHT = 0.15
STEP_CHANGE_SHARE = 0.25
EJECT_AFTER_FAILURES = 3
EJECT_FAILURE_SHARE = 0.5
MIN_OUTCOMES = 8
OUTCOME_WEIGHT = 0.15
EJECT_BASE_S = 5.0
EJECT_MAX_S = 60.0
# Largest share of a row's endpoints that may be ejected at once. When more of them
# fail, the cause is not in single endpoints.
MAX_EJECTED_SHARE = 0.5
RETRY_AFTER_FULL_S = 1.0
RETRY_AFTER_NOT_READY_S = 2.0
TIERS = ("data_centre", "region", "remote")
# Healthy, stale and ejected endpoints, in this order; see ``Router._health_rank``.
HEALTH_RANKS = (0, 1, 2)


class Outcome(enum.Enum):
    """How an attempt at an endpoint ended.

    ``ANSWERED``: the endpoint answered. ``FAILED``: it broke the connection, timed out
    or crashed. ``BUSY`` and ``LEAVING``: it refused the work. ``CANCELLED``: the caller
    disconnected, which gives no information about the endpoint.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    BUSY = "busy"
    LEAVING = "leaving"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class RoutingQuery:
    """Properties of a request that determine its endpoint.

    :param row: row name.
    :param client: client name.
    :param prefix: digest of the prompt's prefix, or empty for a plain service.
    :param tried: names of the endpoints of earlier attempts, which are excluded.
    :param repeatable: False for a call that may not be repeated; it is never a probe.
    :param priority: 0 is most urgent.
    :param manifest_digest: digest of the weights that must answer, for a stream that is
        resumed; empty for any that the row permits.
    """

    row: str
    client: str
    prefix: str = ""
    tried: frozenset = frozenset()
    repeatable: bool = True
    priority: int = 5
    manifest_digest: str = ""


@dataclasses.dataclass(frozen=True)
class EndpointChoice:
    """Routing decision: the endpoint selected for a request.

    :param endpoint: instance name.
    :param tier: location relative to the entry instance: same ``data_centre``, same
        ``region`` or ``remote``.
    :param hinted: True when the endpoint is expected to hold the prefix in its cache.
    :param probe: True when the request is the health probe of an ejected endpoint.
    """

    endpoint: str
    tier: str
    hinted: bool = False
    probe: bool = False


@dataclasses.dataclass(frozen=True)
class NoEndpoint:
    """Routing decision: no endpoint can take the request now; it has not run.

    :param reason: ``unknown_row``, ``not_granted``, ``not_ready``, ``all_tried`` or
        ``full``. With ``full`` and ``not_ready`` the request may stay in the queue.
    :param retry_after_s: seconds after which to retry.
    """

    reason: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """Change of the prefix cache of an engine.

    :param sequence: sequence number without gaps, so that lost events are detected.
    :param stored: prefix digests now in the cache.
    :param evicted: prefix digests no longer in the cache.
    :param cleared: True when the cache was emptied before ``stored``.
    """

    sequence: int
    stored: tuple = ()
    evicted: tuple = ()
    cleared: bool = False


@dataclasses.dataclass(frozen=True)
class Ejected:
    """Action: report that an endpoint was ejected and gets no work until it is probed.

    :param endpoint: instance name.
    :param duration_s: seconds until it may be probed.
    """

    endpoint: str
    duration_s: float


@dataclasses.dataclass(frozen=True)
class Readmitted:
    """Action: report that an endpoint answered its probe and gets work again."""

    endpoint: str


class EndpointHealth:
    """Outlier ejection of one endpoint, and its readmission after a successful probe.

    The states are ``admitted``, ``ejected`` and ``probing``. The ejection time starts
    at ``EJECT_BASE_S`` and doubles with each failed probe, up to ``EJECT_MAX_S``.

    :param endpoint: instance name.
    :ivar healthy: False from the ejection until a probe is answered.
    :ivar ejected_until_s: time from which the ejected endpoint may be probed.
    """

    _machine = automat.MethodicalMachine()

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.healthy = True
        self.ejected_until_s = 0.0
        self._ejections = 0

    @_machine.state(initial=True, serialized="admitted")
    def _admitted(self):
        """The endpoint gets work."""

    @_machine.state(serialized="ejected")
    def _ejected(self):
        """The endpoint gets no work; from ``ejected_until_s`` on it may be probed."""

    @_machine.state(serialized="probing")
    def _probing(self):
        """A request was sent to the endpoint as its probe."""

    @_machine.serializer()
    def _state_name(self, state):
        return state

    @_machine.input()
    def failed(self, now_s, jitter):
        """Record that the endpoint is an outlier, or that its probe failed.

        :param now_s: current time in seconds.
        :param jitter: random factor of the ejection time, about 1.
        :returns: :class:`Ejected`, or nothing when the endpoint is already ejected.
        """

    @_machine.input()
    def probed(self):
        """Record that a request was sent as the probe."""

    @_machine.input()
    def answered(self):
        """Record an answer of the endpoint.

        :returns: :class:`Readmitted` when it was the answer to the probe, else nothing.
        """

    @_machine.input()
    def released(self):
        """Record that the probe was inconclusive, so that another request may probe."""

    @_machine.output()
    def _eject(self, now_s, jitter):
        duration_s = min(EJECT_MAX_S, EJECT_BASE_S * 2**self._ejections) * jitter
        self._ejections = min(self._ejections + 1, 10)
        self.ejected_until_s = now_s + duration_s
        self.healthy = False
        return (Ejected(self.endpoint, duration_s),)

    @_machine.output()
    def _readmit(self):
        self._ejections = 0
        self.healthy = True
        return (Readmitted(self.endpoint),)

    def _first_output(outputs):
        return next(iter(outputs), ())

    _admitted.upon(failed, _ejected, [_eject], _first_output)
    _admitted.upon(probed, _admitted, [], _first_output)
    _admitted.upon(answered, _admitted, [], _first_output)
    _admitted.upon(released, _admitted, [], _first_output)
    _ejected.upon(failed, _ejected, [], _first_output)
    _ejected.upon(probed, _probing, [], _first_output)
    _ejected.upon(answered, _ejected, [], _first_output)
    _ejected.upon(released, _ejected, [], _first_output)
    _probing.upon(failed, _ejected, [_eject], _first_output)
    _probing.upon(probed, _probing, [], _first_output)
    _probing.upon(answered, _admitted, [_readmit], _first_output)
    _probing.upon(released, _ejected, [], _first_output)

    @property
    def state(self):
        """Name of the state: ``admitted``, ``ejected`` or ``probing``."""
        return self._state_name()


class _Endpoint:
    """State of one endpoint as this entry instance knows it."""

    def __init__(self, name):
        self.name = name
        self.report = None
        self.reported_s = 0.0
        self.other_entries_load = 0.0
        self.in_flight = 0
        self.leaving = False
        self.busy_until_s = 0.0
        self.health = EndpointHealth(name)
        self.failures = 0
        self.outcomes = 0
        self.failure_share = 0.0
        self.cache_sequence = None
        self.hints = collections.OrderedDict()

    @property
    def capacity(self):
        return max(1, self.report.capacity) if self.report else 1

    def update_load(self, load):
        """Update the moving average of the load that other entry instances cause."""
        others = max(0, load - self.in_flight)
        change = others - self.other_entries_load
        step_change = (
            not self.reported_s or abs(change) > STEP_CHANGE_SHARE * self.capacity
        )
        self.other_entries_load += change if step_change else REPORT_WEIGHT * change

    def slots_for(self, query, reserve):
        """Return the number of requests in progress below which the request fits.

        :param reserve: True to keep slots for requests whose prefix is cached.
        """
        hinted = query.prefix in self.hints
        if query.priority <= URGENT_PRIORITY and (hinted or not reserve):
            return self.capacity + max(1.0, URGENT_SHARE * self.capacity)
        if not reserve or hinted:
            return self.capacity
        if self.capacity < MIN_CAPACITY_TO_RESERVE:
            return self.capacity
        return self.capacity - max(1.0, RESERVED_SHARE * self.capacity)

    def load(self, mean_other_load, now_s):
        """Estimate the requests in progress from this and the other entry instances.

        As the last report ages, the mean over the tier replaces it.
        """
        age_s = max(0.0, now_s - self.reported_s)
        weight = math.exp(-age_s / REPORT_TIME_CONSTANT_S)
        others = weight * self.other_entries_load + (1 - weight) * mean_other_load
        return self.in_flight + others


class HashRing:
    """Consistent hash ring: adding or removing an endpoint remaps few keys.

    Each endpoint has ``RING_POINTS_PER_ENDPOINT`` points on the ring.

    :param names: iterable of unique endpoint names.
    """

    def __init__(self, names):
        points = [
            (_hash(f"{name}\x00{point}"), name)
            for name in names
            for point in range(RING_POINTS_PER_ENDPOINT)
        ]
        self._points = sorted(points)
        self._hashes = [point for point, _ in self._points]

    def iter_from(self, key):
        """Yield every name once, in ring order from the hash of the key.

        :param key: text that is hashed.
        :returns: iterator over names.
        """
        start = bisect.bisect(self._hashes, _hash(key))
        seen = set()
        for offset in range(len(self._points)):
            name = self._points[(start + offset) % len(self._points)][1]
            if name not in seen:
                seen.add(name)
                yield name


def _hash(text):
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class _RowPlan:
    """Routing data of one row, computed once for each accepted table.

    :param table: :class:`cicadaplank.world.contracts.Table`.
    :param row: :class:`cicadaplank.world.contracts.Row`.
    :param tier_of: function from instance name to tier.
    :ivar required_versions: maps each row that an endpoint must serve to its version or
        manifest digest.
    :ivar leaving_after_s: maps each holder to the Unix time after which it gets no new
        work, or None.
    :ivar tiers: list of ``(tier, names, ring)``, the nearest first.
    """

    def __init__(self, table, row, tier_of):
        self.row = row
        self.required_versions = _required_versions(table, row)
        holders = table.holders(row.name)
        self.leaving_after_s = {
            name: table.leaving_after_s(row.name, name) for name in holders
        }
        self.tiers = []
        for tier in TIERS:
            names = [name for name in holders if tier_of(name) == tier]
            if names:
                self.tiers.append((tier, names, HashRing(names)))

    def granted(self, name, unix_s):
        after_s = self.leaving_after_s[name]
        return after_s is None or unix_s < after_s


def _required_versions(table, row):
    """Return the versions to be served: of the row, and for an adapter of its base."""
    rows = [row]
    if row.kind == "adapter":
        base = table.row(row.base)
        rows += [base] if base else []
    return {
        each.name: each.version if each.kind == "service" else each.manifest_digest
        for each in rows
    }


class Router:
    """Selects endpoints for the requests of one entry instance.

    The I/O layer passes in every accepted configuration, the instance list, the
    :class:`cicadaplank.messages.types.EndpointReport` messages and the engines' cache
    events. For each attempt at a request it calls :meth:`choose`, then
    :meth:`dispatched` and, exactly once, :meth:`finished`.

    :param region: region of the entry instance.
    :param data_centre: data centre of the entry instance.
    :param rng: :class:`random.Random`.
    """

    def __init__(self, region, data_centre, rng):
        self.region = region
        self.data_centre = data_centre
        self.counts = collections.Counter()
        self.configuration = contracts.EMPTY
        self._rng = rng
        self._instances = {}
        self._endpoints = {}
        self._plans = {}
        self._attempts = {}
        self._holders_of_prefix = {}

    def instances_listed(self, instances, now_s):
        """Replace the instance list, from which regions and data centres are looked up.

        :param instances: iterable of :class:`cicadaplank.world.machines.Instance`.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        self._instances = {instance.name: instance for instance in instances}
        self._plans.clear()
        return ()

    def configuration_accepted(self, configuration, now_s):
        """Use a newly accepted configuration; ignore one that is not newer.

        :param configuration: :class:`cicadaplank.world.contracts.Configuration`.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        if configuration.version <= self.configuration.version:
            return ()
        self.configuration = configuration
        self._plans.clear()
        return ()

    def endpoint_reported(self, name, report, now_s):
        """Update the state of an endpoint from its report.

        :param name: instance name.
        :param report: :class:`cicadaplank.messages.types.EndpointReport`.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            self._drop_disconnected()
            if len(self._endpoints) >= MAX_ENDPOINTS:
                self.counts["endpoints_rejected"] += 1
                return ()
            endpoint = self._endpoints[name] = _Endpoint(name)
        endpoint.report = report
        endpoint.reported_s = now_s
        endpoint.update_load(report.load)
        endpoint.leaving = report.state == "leaving"
        return ()

    def endpoint_lost(self, name, now_s):
        """Record that the connection to an endpoint was closed, or that it has left.

        The endpoint gets no work until its next report.

        :param name: instance name.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.report = None
            self._clear_hints(endpoint)
        return ()

    def choose(self, query, now_s, unix_s):
        """Select the endpoint for a request.

        :param query: :class:`RoutingQuery`.
        :param now_s: current time in seconds.
        :param unix_s: current Unix time in seconds, compared with the times after which
            holders leave a row.
        :returns: :class:`EndpointChoice` or :class:`NoEndpoint`.
        """
        return self._choose(query, now_s, unix_s, False)

    def _choose(self, query, now_s, unix_s, reserve):
        plan = self._plan(query.row)
        if plan is None:
            return NoEndpoint("unknown_row")
        if plan.row.limit_for(query.client) is None:
            return NoEndpoint("not_granted")
        arguments = (now_s, unix_s, reserve)
        required = plan.required_versions
        may_fall_back = plan.row.kind == "model" and not query.manifest_digest
        if query.manifest_digest:
            required = {**required, query.row: query.manifest_digest}
        found = self._choose_among(query, plan, required, *arguments)
        if isinstance(found, NoEndpoint) and may_fall_back:
            # Endpoints serve the previous version until the new one has been copied. An
            # adapter is not served on a base model other than the accepted version.
            any_version = dict.fromkeys(plan.required_versions)
            found = self._choose_among(query, plan, any_version, *arguments)
        if isinstance(found, NoEndpoint):
            self.counts[f"none_{found.reason}"] += 1
        return found

    def _choose_among(self, query, plan, required, now_s, unix_s, reserve):
        """Select among the endpoints that serve the required versions of the rows."""
        reason = "not_ready"
        for health_rank in HEALTH_RANKS:
            found, reason = self._choose_with_health_rank(
                query, plan, required, health_rank, now_s, unix_s, reserve
            )
            if found is not None:
                return found
            if reason == "full":
                break
        wait_s = RETRY_AFTER_FULL_S if reason == "full" else RETRY_AFTER_NOT_READY_S
        return NoEndpoint(reason, wait_s)

    def _choose_with_health_rank(
        self, query, plan, required, health_rank, now_s, unix_s, reserve
    ):
        """Select among the endpoints of one health rank.

        Tiers are searched one after the other, so that remote endpoints cost no time
        when an endpoint in the local data centre is selected.

        :returns: pair of :class:`EndpointChoice` or None, and the reason why there is
            none.
        """
        reason = "not_ready"
        for tier, names, ring in plan.tiers:
            ready = self._ready(plan, names, required, unix_s)
            usable = [each for each in ready if each.name not in query.tried]
            if ready and reason == "not_ready":
                reason = "all_tried"
            probe = self._probe(query, usable, now_s)
            if probe is not None:
                return EndpointChoice(probe.name, tier, probe=True), ""
            pool = [
                each for each in usable if self._health_rank(each, now_s) == health_rank
            ]
            if not pool:
                continue
            reason = "full"
            chosen = self._choose_in_tier(query, tier, pool, ring, now_s, reserve)
            if chosen is not None:
                return chosen, ""
        return None, reason

    def choose_request(self, queries, now_s, unix_s):
        """Select one of several waiting requests, and its endpoint.

        When few slots are free, the first request may get one at an endpoint that does
        not hold its prefix. A later request whose prefix is cached there is preferred,
        because it saves the engine a prefill.

        :param queries: non-empty sequence of :class:`RoutingQuery`, in queue order.
        :param now_s: current time in seconds.
        :param unix_s: current Unix time in seconds, compared with the times after which
            holders leave a row.
        :returns: pair of a position in ``queries`` and its :class:`EndpointChoice`, or
            0 and the :class:`NoEndpoint` of the first.
        """
        reserve = len(queries) > 1 and bool(queries[0].prefix)
        first = self._choose(queries[0], now_s, unix_s, reserve)
        if isinstance(first, NoEndpoint):
            if first.reason != "full" or not reserve:
                return 0, first
        elif first.hinted or first.probe:
            return 0, first
        for position, query in enumerate(queries[1:], 1):
            if query.prefix not in self._holders_of_prefix:
                continue
            chosen = self._choose(query, now_s, unix_s, reserve)
            if isinstance(chosen, EndpointChoice) and chosen.hinted:
                return position, chosen
        return 0, first

    def dispatched(self, attempt, name, prefix, now_s):
        """Record that an attempt is sent to the selected endpoint.

        :param attempt: identifier of the attempt.
        :param name: instance name of the endpoint.
        :param prefix: prefix digest, or empty.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        if len(self._attempts) >= MAX_IN_FLIGHT:
            self.counts["attempts_untracked"] += 1
            return ()
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return ()
        endpoint.in_flight += 1
        probe = (
            endpoint.health.state == "ejected"
            and now_s >= endpoint.health.ejected_until_s
        )
        if probe:
            self.counts["probes"] += 1
            endpoint.health.probed()
        self._attempts[attempt] = (name, prefix, probe)
        return ()

    def finished(
        self, attempt, outcome, now_s, load=None, retry_after_s=RETRY_AFTER_FULL_S
    ):
        """Record the end of an attempt.

        :param attempt: identifier; unknown ones are ignored.
        :param outcome: :class:`Outcome`.
        :param now_s: current time in seconds.
        :param load: requests in progress at the agent, from its answer, or None.
        :param retry_after_s: seconds for which the endpoint gets no work after it
            refused the attempt as ``BUSY``.
        :returns: tuple of :class:`Ejected` or :class:`Readmitted`.
        """
        name, prefix, probe = self._attempts.pop(attempt, (None, "", False))
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return ()
        endpoint.in_flight -= 1
        if load is not None:
            endpoint.update_load(load)
            endpoint.reported_s = now_s
        if outcome is Outcome.ANSWERED:
            if prefix:
                self._add_hint(endpoint, prefix)
            return self._record_answer(endpoint, probe)
        if outcome is Outcome.FAILED:
            return self._record_failure(endpoint, probe, now_s)
        if outcome is Outcome.LEAVING:
            endpoint.leaving = True
        if outcome is Outcome.BUSY:
            endpoint.busy_until_s = now_s + retry_after_s
        if probe:
            endpoint.health.released()
        return ()

    def cache_changed(self, name, event, now_s):
        """Apply a cache event to the hints about the endpoint.

        After a gap in the sequence, or when the cache was emptied, all earlier hints
        about the endpoint are discarded. An event with an old sequence number is
        ignored.

        :param name: instance name.
        :param event: :class:`CacheEvent`.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return ()
        expected = endpoint.cache_sequence
        restarted = event.cleared
        if expected is not None and event.sequence < expected and not restarted:
            self.counts["cache_events_old"] += 1
            return ()
        gap = expected is not None and event.sequence > expected
        if restarted or gap:
            self.counts["cache_gaps"] += gap
            self._clear_hints(endpoint)
        endpoint.cache_sequence = event.sequence + 1
        for prefix in event.evicted:
            self._remove_hint(endpoint, prefix)
        for prefix in event.stored:
            self._add_hint(endpoint, prefix)
        return ()

    def states(self):
        """Return the health state of each endpoint, for logs and metrics.

        :returns: dict from instance name to state name.
        """
        return {name: each.health.state for name, each in self._endpoints.items()}

    def hints(self):
        """Return how many prefixes each endpoint is expected to hold in its cache.

        :returns: dict from instance name to number of hints.
        """
        return {name: len(each.hints) for name, each in self._endpoints.items()}

    def _drop_disconnected(self):
        """Drop disconnected endpoints at the limit; until then their health is kept."""
        if len(self._endpoints) < MAX_ENDPOINTS:
            return
        for name, endpoint in list(self._endpoints.items()):
            if endpoint.report is None and not endpoint.in_flight:
                del self._endpoints[name]

    def _tier_of(self, name):
        instance = self._instances.get(name)
        if instance is None or instance.region != self.region:
            return "remote"
        if instance.data_centre != self.data_centre:
            return "region"
        return "data_centre"

    def _plan(self, row_name):
        if row_name not in self._plans:
            table = self.configuration.table
            row = table.row(row_name)
            if row is None:
                return None
            self._plans[row_name] = _RowPlan(table, row, self._tier_of)
        return self._plans[row_name]

    def _ready(self, plan, names, required, unix_s):
        """Return the endpoints that are ready, granted by the table and serve the rows.

        :param required: maps each required row to the version or manifest digest that
            must be served, or to None for any.
        """
        ready = []
        for name in names:
            endpoint = self._endpoints.get(name)
            if endpoint is None or endpoint.report is None or endpoint.leaving:
                continue
            rows = endpoint.report.rows
            if (
                endpoint.report.state == "ready"
                and plan.granted(name, unix_s)
                and all(row in rows for row in required)
                and all(digest in (None, rows[row]) for row, digest in required.items())
            ):
                ready.append(endpoint)
        return ready

    def _health_rank(self, endpoint, now_s):
        """Return 0 for a healthy endpoint, 1 for a stale one, 2 for an ejected one.

        An endpoint is stale when its last report is older than ``REPORT_STALE_S``. Only
        the lowest rank present is used: a stale or ejected endpoint is better than
        none, but neither is used while a healthy one is left.
        """
        if not endpoint.health.healthy:
            return 2
        return int(now_s - endpoint.reported_s > REPORT_STALE_S)

    def _probe(self, query, usable, now_s):
        """Return an ejected endpoint that this request may probe, or None.

        A request is not used as a probe when it must not be repeated, was tried before,
        or has no other endpoint in the tier for a retry.
        """
        if not query.repeatable or query.tried or len(usable) < 2:
            return None
        for each in usable:
            health = each.health
            if health.healthy or now_s < health.ejected_until_s:
                continue
            if health.state == "ejected":
                return each
        return None

    def _choose_in_tier(self, query, tier, pool, ring, now_s, reserve):
        """Select among endpoints of one tier; return None when all are full."""
        mean_other_load = sum(each.other_entries_load for each in pool) / len(pool)
        loads = {each.name: each.load(mean_other_load, now_s) for each in pool}
        shares = {each.name: loads[each.name] / each.capacity for each in pool}
        with_free_slots = [
            each
            for each in pool
            if now_s >= each.busy_until_s
            and loads[each.name] < each.slots_for(query, reserve)
        ]
        if not with_free_slots:
            return None
        bound = LOAD_BOUND * sum(shares.values()) / len(shares)
        lightly_loaded = [
            each
            for each in with_free_slots
            if shares[each.name] <= max(bound, LIGHT_LOAD_SHARE)
        ]
        selected = self._select_endpoint(
            query, lightly_loaded or with_free_slots, ring, shares
        )
        hinted = query.prefix in selected.hints
        self.counts["chosen_hinted" if hinted else "chosen_unhinted"] += 1
        self.counts[f"chosen_{tier}"] += 1
        return EndpointChoice(selected.name, tier, hinted=hinted)

    def _select_endpoint(self, query, pool, ring, shares):
        if not query.prefix:
            sample = self._rng.sample(pool, min(2, len(pool)))
            return min(sample, key=lambda each: shares[each.name])
        by_name = {each.name: each for each in pool}
        holders = self._holders_of_prefix.get(query.prefix, ())
        hinted = [by_name[name] for name in holders if name in by_name]
        if hinted:
            return min(
                hinted[:MAX_HINTED_ENDPOINTS], key=lambda each: shares[each.name]
            )
        nearest = []
        for name in ring.iter_from(query.prefix):
            if name in by_name:
                nearest.append(by_name[name])
            if len(nearest) == 2:
                break
        return min(nearest, key=lambda each: shares[each.name])

    def _add_hint(self, endpoint, prefix):
        hints = endpoint.hints
        hints[prefix] = None
        hints.move_to_end(prefix)
        self._holders_of_prefix.setdefault(prefix, {})[endpoint.name] = None
        if len(hints) > MAX_HINTS_PER_ENDPOINT:
            self.counts["hints_evicted"] += 1
            self._remove_hint(endpoint, next(iter(hints)))

    def _remove_hint(self, endpoint, prefix):
        if prefix not in endpoint.hints:
            return
        del endpoint.hints[prefix]
        holders = self._holders_of_prefix[prefix]
        del holders[endpoint.name]
        if not holders:
            del self._holders_of_prefix[prefix]

    def _clear_hints(self, endpoint):
        for prefix in list(endpoint.hints):
            self._remove_hint(endpoint, prefix)
        endpoint.cache_sequence = None

    def _record_answer(self, endpoint, probe):
        endpoint.failures = 0
        endpoint.outcomes += 1
        endpoint.failure_share *= 1 - OUTCOME_WEIGHT
        if not probe:
            return ()
        endpoint.outcomes = 0
        endpoint.failure_share = 0.0
        self.counts["readmitted"] += 1
        return endpoint.health.answered()

    def _record_failure(self, endpoint, probe, now_s):
        endpoint.failures += 1
        endpoint.outcomes += 1
        share = endpoint.failure_share
        endpoint.failure_share = share + OUTCOME_WEIGHT * (1 - share)
        outlier = endpoint.failures >= EJECT_AFTER_FAILURES or (
            endpoint.outcomes >= MIN_OUTCOMES
            and endpoint.failure_share >= EJECT_FAILURE_SHARE
        )
        if not probe and not outlier:
            return ()
        if not probe and not self._may_eject(endpoint):
            self.counts["ejections_withheld"] += 1
            return ()
        endpoint.failures = 0
        self.counts["ejected"] += 1
        return endpoint.health.failed(now_s, self._rng.uniform(0.8, 1.2))

    def _may_eject(self, endpoint):
        """Tell whether ``MAX_EJECTED_SHARE`` permits it in all rows of the endpoint."""
        rows = endpoint.report.rows if endpoint.report else {}
        for row in rows:
            serving = [
                each
                for each in self._endpoints.values()
                if each.report and row in each.report.rows
            ]
            unavailable = sum(each.health.state != "admitted" for each in serving)
            if unavailable + 1 > MAX_EJECTED_SHARE * len(serving):
                return False
        return True
