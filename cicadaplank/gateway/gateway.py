"""The gateway of an entry instance, which forwards calls of clients to endpoints.

It owns the calls in progress, the queues of waiting calls and the connections to
endpoints, and carries out the decisions of :mod:`placement`, :mod:`waiting` and
:mod:`outcomes`. Names of headers and records are specific to a deployment and are not
used here.
"""

import collections
import dataclasses
import traceback

from twisted import logger

from cicadaplank.gateway import (
    admittance,
    broken_attempts,
    budget,
    call_errors,
    calls,
    connections,
    dialects,
    endpoints,
    evacuations,
    guarded_calls,
    homes,
    named_versions,
    outcomes,
    placement,
    routes,
    staleness,
    waiting,
)
from cicadaplank.members import draining
from cicadaplank.messages import types
from cicadaplank.requests import (
    answer_times,
    block_records,
    crash_causes,
    crash_tracking,
)
from cicadaplank.world import buffers

_log = logger.Logger()

TIMEOUT_CHECK_INTERVAL_S = 0.05
# Delay of the event loop from which on requests count as having arrived before it.
LATE_LOOP_S = 0.1
# Number of endpoint crashes after which a request is blocked.
CRASH_LIMIT = 3
# Time for which a crash counts against a request: one that crashes endpoints is sent
# again within it.
SUSPICION_S = 120.0
# A connection that tests an endpoint and ends within this time was accepted in place of
# one that has crashed.
PROBE_LIFE_S = 0.3
# Longest time between two checks that counts as time in which this process ran.
MAX_AWAKE_STEP_S = 0.1
# Retry time given to clients when no better estimate is known, for example when no
# endpoint can serve a call.
DEFAULT_RETRY_AFTER_S = 1.0
# Limit on the bytes of incomplete answers of all calls together.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024
# An endpoint's connections are divided among at least this many entry instances.
MIN_MEMBERS = 8
# Factor of the expected wait for a permit up to which a call may have to wait, as more
# urgent ones may arrive meanwhile.
PERMIT_WAIT_MARGIN = 1.25
# Interval at which one entry instance wishes for a permit of an endpoint to which it
# would send a call, although none waits: the answer shows whether the limit holds.
# It is longer where more instances wish for the permits of a smaller limit.
MIN_WISH_S = 0.25
MAX_WISH_S = 5.0
WISHES_PER_PERMIT = 4

# Reasons of calls that end because this process stops or has too many of them.
STOPPING = "this process stops"
REFUSALS = {"leaving": STOPPING, "busy": "too many calls are in progress"}


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits that the deployment sets.

    :param retry_share: retries allowed for each request.
    :param retry_allowance: further retries allowed in a window, over all entry
        instances.
    :param retry_window_s: length of that window in seconds.
    :param weights_s: seconds from the naming of a version of weights until older ones
        are forbidden.
    :param limits_warm_up: whether the rate that cold endpoints bear is a limit.
    """

    retry_share: float
    retry_allowance: float
    retry_window_s: float
    weights_s: float
    limits_warm_up: bool = False


class Gateway:
    """Calls, queues, connections and endpoints of one entry instance.

    :param reactor: Twisted reactor.
    :param dialect: :class:`cicadaplank.gateway.dialects.Dialect`.
    :param data_centre: data centre of this instance.
    :param bounds: :class:`Bounds`.
    :param random: ``random.Random``.
    :param reporter: :class:`cicadaplank.gateway.reporting.Reporter`.
    :param stop: :class:`cicadaplank.members.draining.Draining` of this process; None
        for one that takes work and has default limits.
    """

    def __init__(
        self, reactor, dialect, data_centre, bounds, random, reporter, stop=None
    ):
        self.dialect = dialect
        self.data_centre = data_centre
        self.draining = stop or draining.Draining(draining.StopLimits(takes_work=True))
        self.endpoints = endpoints.Endpoints(random)
        self.buffers = buffers.BufferBudget(MAX_BUFFERED_BYTES)
        self.suspects = crash_tracking.CrashTracker(CRASH_LIMIT, SUSPICION_S)
        self.crash_causes = crash_causes.CrashCauses(random)
        self._broken_attempts = broken_attempts.BrokenAttempts()
        self._blocked_parts = []
        self.weights_requirement = named_versions.WeightsRequirement(bounds.weights_s)
        self.route_index = None
        self.evacuations = evacuations.Evacuations()
        self.members = 1
        self._budget_members = 1
        # Returns whether the configuration is known to be the newest.
        self.is_current = lambda: False
        # Returns why this instance has stopped serving, an empty string if it has not.
        self.stop_reason = lambda: ""
        # Returns whether it is not known yet which parts of prompts are blocked.
        self.awaits_blocks = lambda: False
        self.broadcast = lambda message, exclude: None
        self.send_to_peer = lambda peer, message: None
        self._reactor = reactor
        self._bounds = bounds
        self._random = random
        self._reporter = reporter
        # In order of arrival.
        self._calls = {}
        self._pools = {}
        self._queues = collections.defaultdict(waiting.CallQueue)
        self._budgets = {}
        self.answer_times = collections.defaultdict(waiting.AnswerTimeAverage)
        self._longest_answers = collections.defaultdict(answer_times.LongestAnswer)
        # Time of the last check of time-outs, and by how much it was late, in seconds.
        self._checked_s = None
        self._late_s = 0.0
        # Time in seconds that has passed while the event loop ran.
        self._awake_s = 0.0
        # Time until which this instance does not wish for another permit, by endpoint.
        self._wished_until_s = {}
        # Services with an endpoint that has stated its pace.
        self._paced_services = set()
        # Data centres with a gauge of the calls left there.
        self._evacuated_shown = set()
        # Last report of each other entry instance: calls in progress by endpoint name.
        self._peer_loads = {}

    # Time and random numbers.

    def now_s(self):
        """Return the time of the monotonic clock in seconds."""
        return self._reactor.seconds()

    def arrival_s(self):
        """Return the earliest time at which data that is read now may have arrived.

        While the event loop runs late, requests wait in the sockets, and the time that
        their clients wait has begun.

        :returns: time in seconds.
        """
        now_s = self.now_s()
        if self._checked_s is None or self._late_s < LATE_LOOP_S:
            return now_s
        if now_s - self._checked_s > TIMEOUT_CHECK_INTERVAL_S:
            return now_s
        return self._checked_s - self._late_s

    def awake_s(self):
        """Return the time in seconds that has passed while this process ran.

        Data that had arrived before a standstill is read after it.
        """
        if self._checked_s is None:
            return self._awake_s
        passed_s = self.now_s() - self._checked_s
        return self._awake_s + min(passed_s, MAX_AWAKE_STEP_S)

    def unix_s(self):
        """Return the time of day in Unix seconds."""
        return self._reporter.unix_s()

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        self._reporter.count(name, amount, **labels)

    # Unexpected errors.

    def record_error(self, request=""):
        """Count and log the exception that is being handled.

        :param request: client's identifier of the attempt that met it, empty when it
            concerns no single one.
        """
        detail = traceback.format_exc().strip().replace("\n", " | ")
        detail = detail[-guarded_calls.MAX_DETAIL_CHARS :]
        try:
            self._reporter.count("unexpected_errors")
            self._reporter.event(
                "unexpected_error", "error", request=request, detail=detail
            )
        except Exception:
            _log.failure("an unexpected error could not be reported: {d}", d=detail)

    def run(self, function, *args):
        """Call a function whose errors concern no single call; they are recorded."""
        try:
            function(*args)
        except Exception:
            self.record_error()

    # State of the deployment.

    def set_configuration(self, configuration):
        """Apply a new configuration to further requests and to calls not sent yet.

        :param configuration: :class:`cicadaplank.gateway.routes.Configuration`.
        """
        self.route_index = routes.RouteIndex(configuration)
        self.check_calls()
        # The allowed regions of waiting calls may have changed.
        self._place_waiting()

    def _place_waiting(self):
        """Refuse or send the waiting calls after a change of where they may go."""
        now_s = self.now_s()
        for service in list(self._queues):
            self.run(self._refuse_all_unservable, service, now_s)
            self.run(self.dispatch, service)

    @property
    def evacuated(self):
        """Return the data centres that get no calls, a frozenset of names."""
        return self.evacuations.names

    def set_evacuated(self, listed, keeps_missing=False):
        """Apply the list of evacuated data centres, also to waiting calls.

        Calls that are at an endpoint end there; an attempt that fails goes elsewhere.

        :param listed: iterable of names of data centres.
        :param keeps_missing: whether missing names are kept.
        """
        changes = self.evacuations.update(listed, keeps_missing)
        for name in changes.begun:
            states = self.endpoints.all()
            calls_there = sum(
                s.in_flight for s in states if s.endpoint.data_centre == name
            )
            self._reporter.state_event(
                "evacuation_in_force", data_centre=name, calls=calls_there
            )
        for name in changes.ended:
            self._reporter.state_event("evacuation_ended", data_centre=name)
        if changes.begun or changes.ended:
            self._place_waiting()

    def check_calls(self):
        """Check each call that is not at an endpoint against what may be served now."""
        now_s = self.now_s()
        for call in list(self._calls):
            call.configuration_changed(now_s)

    @property
    def configuration_version(self):
        """Return the version of the configuration in force, -1 for none."""
        return self.route_index.configuration.version if self.route_index else -1

    def set_bounds(self, bounds):
        """Apply new limits; the retry budgets start empty.

        :param bounds: :class:`Bounds`.
        """
        self._bounds = bounds
        self.weights_requirement.set_allowed(bounds.weights_s)
        self._budgets.clear()

    def update_metrics(self, metrics):
        """Set the gauges of queues, retry budgets and endpoints.

        :param metrics: :class:`cicadaplank.reports.metrics.Metrics`.
        """
        now_s = self.now_s()
        for service, queue in self._queues.items():
            metrics.set_gauge("calls_waiting", len(queue), service=service)
            for reason, count in queue.refused.items():
                metrics.set_gauge(
                    "calls_refused", count, service=service, reason=reason
                )
        for service, retry_budget in self._budgets.items():
            metrics.set_gauge(
                "repeats_left", retry_budget.retries_left(now_s), service=service
            )
            metrics.set_gauge(
                "repeats_rejected", retry_budget.rejected, service=service
            )
        stating = sum(1 for s in self.endpoints.all() if s.load.states_pace)
        metrics.set_gauge("endpoints_stating_pace", stating)
        for kind, count in self.draining.counts.items():
            metrics.set_gauge("stop_decisions", count, kind=kind)
        metrics.set_gauge("answers_buffered_bytes", self.buffers.total_bytes)
        metrics.set_gauge("answers_dropped_for_memory", self.buffers.dropped)
        ejected = sum(1 for s in self.endpoints.all() if now_s < s.ejected_until_s)
        metrics.set_gauge("endpoints_known", len(self.endpoints.all()))
        metrics.set_gauge("endpoints_ejected", ejected)
        for kind, count in self.endpoints.announcements.counts.items():
            metrics.set_gauge("endpoint_announcements", count, kind=kind)
        metrics.set_gauge("endpoints_limited", len(self.endpoints.limits))
        metrics.set_gauge("evacuations_ignored", self.evacuations.ignored)
        left = collections.Counter({name: 0 for name in self.evacuated})
        for state in self.endpoints.all():
            if state.endpoint.data_centre in left:
                left[state.endpoint.data_centre] += state.in_flight
        # A data centre that is not evacuated any more keeps its gauge, at -1.
        self._evacuated_shown |= left.keys()
        for name in self._evacuated_shown:
            calls_there = left[name] if name in left else -1
            metrics.set_gauge("evacuated_calls_left", calls_there, data_centre=name)
        for kind, count in self.endpoints.limits.counts.items():
            metrics.set_gauge("limit_permits", count, kind=kind)

    def engine(self, service):
        """Return the published figures of a service's engines.

        :param service: service name.
        :returns: :class:`cicadaplank.gateway.service_times.EngineFigures`, or None when
            there are none or no endpoint of the service has stated its pace.
        """
        if service not in self._paced_services:
            return None
        found = self.route_index.configuration.services.get(service)
        return found.engine if found else None

    @property
    def limits(self):
        """Return the :class:`cicadaplank.gateway.routes.ClientLimits` in force."""
        if self.route_index is None:
            return routes.ClientLimits()
        return self.route_index.configuration.limits

    def set_endpoints(self, listed, keep_missing, was_restored=False):
        """Apply a new list of endpoints, and send waiting calls to them.

        :param listed: dict from name to
            :class:`cicadaplank.gateway.endpoints.Endpoint`.
        :param keep_missing: whether missing endpoints are kept for a while, since their
            records may have expired during an outage of the store.
        :param was_restored: whether the store has just come back from an older copy.
        """
        now_s = self.now_s()
        changes = self.endpoints.update(
            listed, now_s, keep_missing, self.unix_s(), was_restored
        )
        self._set_warm_ups(now_s)
        for state in changes.removed:
            self.run(self._record_listed_crash, state)
            self.run(self._remove_endpoint, state)
        for state in changes.leaving:
            self.run(self._report_leaving, state, now_s, "")
        for service in list(self._queues):
            self.run(self.dispatch, service)

    def _set_warm_ups(self, now_s):
        """Limit the calls to cold endpoints as their service and the list say."""
        services = self.route_index.configuration.services if self.route_index else {}
        for state in self.endpoints.all():
            service = services.get(state.endpoint.service)
            per_s = service.warm_up_per_s if service else 0.0
            if not self._bounds.limits_warm_up:
                per_s = 0.0
            if self.endpoints.set_warm_up(state, per_s, now_s):
                self._reporter.state_event(
                    "endpoint_cold",
                    endpoint=state.endpoint.name,
                    limit_per_s=per_s,
                    for_s=state.endpoint.warm_up_s,
                )

    def _remove_endpoint(self, state):
        name = state.endpoint.name
        self._wished_until_s.pop(name, None)
        pool = self._pools.pop(state.endpoint.identity, None)
        if pool is not None:
            pool.close()
        self._reporter.event("endpoint_gone", endpoint=name)

    def set_member_count(self, count, is_known=True):
        """Set the number of entry instances, this one included.

        :param count: number of instances that are known.
        :param is_known: whether the list of instances has been read.
        """
        self.members = self.crash_causes.members = count
        self._budget_members = count if is_known else None
        for retry_budget in self._budgets.values():
            retry_budget.members = self._budget_members

    def set_permit_members(self, name, members, silent):
        """Set the entry instances that share the limits of endpoints.

        :param name: name of this instance.
        :param members: dict from name to data centre of this instance and those that
            it is connected to.
        :param silent: number of further instances that may run but are not connected.
        """
        self.endpoints.limits.name = name
        self.endpoints.limits.set_members(members, silent)

    def set_peer_loads(self, peer, loads, period_s=0.0):
        """Record the calls in progress of another entry instance.

        :param peer: name of the instance.
        :param loads: dict from endpoint name to number of calls.
        :param period_s: seconds between reports of that instance.
        """
        now_s = self.now_s()
        for name in self._peer_loads.get(peer, {}).keys() | loads.keys():
            state = self.endpoints.get(name)
            if state is not None:
                state.set_peer_load(peer, loads.get(name, 0), now_s, period_s)
        self._peer_loads[peer] = loads

    def peer_lost(self, peer):
        """Drop the last report of an entry instance.

        The loads that it reported for endpoints expire by their age.

        :param peer: name of the instance.
        """
        self._peer_loads.pop(peer, None)

    def loads(self):
        """Return the calls of this instance in progress, by endpoint name."""
        states = self.endpoints.all()
        return {s.endpoint.name: s.in_flight for s in states if s.in_flight}

    def min_version(self, model):
        """Return the oldest version of weights that a call may run on.

        :param model: model name, or empty.
        :returns: version number, 0 when any version is allowed.
        """
        return self.weights_requirement.min_version(model, self.now_s()) if model else 0

    def near_bound(self, model, version, now_s):
        """Return the bound of a version if calls that wait on it are to be withdrawn.

        :param model: model name.
        :param version: version that the endpoint serves.
        :param now_s: current time in seconds.
        :returns: :class:`cicadaplank.gateway.named_versions.Bound` or None.
        """
        return self.weights_requirement.near_bound(model, version, now_s)

    # Calls.

    @property
    def open_calls(self):
        """Return the number of calls in progress."""
        return len(self._calls)

    def accept(self, client, request):
        """Start a call for a complete request of a client, or reject the request.

        :param client: connection of the client.
        :param request: :class:`cicadaplank.gateway.calls.Request`.
        :returns: the :class:`cicadaplank.gateway.calls.Call`, or None when it was
            answered at once.
        """
        if self.route_index is None:
            self._reject(client, request, 503, "no configuration is known yet")
            return None
        stop_reason = self.stop_reason()
        if stop_reason:
            self._reporter.count("refused_as_stale")
            after_s = staleness.RETRY_AFTER_S
            self._reject(client, request, 503, stop_reason, after_s)
            return None
        admitted = admittance.check(self.route_index, request.head)
        if isinstance(admitted, admittance.Denied):
            denied = self._if_current(admitted)
            self._reject(client, request, denied.status, denied.reason)
            return None
        service = self._choose_service(admitted)
        self.budget(service).record_request(self.now_s())
        if request.head.shared_parts and self.awaits_blocks():
            self._reporter.count("refused_before_blocks")
            reason = "it is not known yet which parts of prompts are blocked"
            self._reject(client, request, 503, reason, block_records.READ_AGAIN_S)
            return None
        blocked_s = self.crash_causes.blocked_for_s(
            request.head.shared_parts, self.now_s()
        )
        if blocked_s > 0:
            self._reject(client, request, 503, calls.BLOCKED, blocked_s)
            return None
        fingerprint = ""
        if len(self.suspects):
            fingerprint = self._fingerprint(request, admitted)
            blocked_s = self.suspects.blocked_for_s(fingerprint, self.unix_s())
            if blocked_s > 0:
                reason = "this request crashed several endpoints"
                self._reject(client, request, 503, reason, blocked_s)
                return None
        call = calls.Call(self, client, request, admitted, service, fingerprint)
        self._calls[call] = None
        call_errors.run(call, self._start, call)
        return None if call.phase is calls.Phase.ENDED else call

    def _start(self, call):
        """Place a new call, or refuse it when its time is over or does not suffice."""
        now_s = self.now_s()
        (offered,) = self.draining.offered(call, now_s, self._needed_s(call, now_s))
        if call.deadline_s - now_s < outcomes.MIN_ATTEMPT_S:
            call.refuse("deadline", now_s)
        elif isinstance(offered, draining.Refuse):
            call.refuse(REFUSALS[offered.reason], now_s, offered.retry_after_s)
        else:
            self.place(call, now_s)

    def _needed_s(self, call, now_s):
        """Return the time in seconds that a call may take until its whole answer.

        Earlier answers, of which a process may know few, tell only what is likely. When
        a stopping process takes no connections any more, and when requests wait behind
        the call on its connection, which a broken answer leaves without one, it is the
        time limit of the call.
        """
        limit_s = call.latest_deadline_s - now_s
        is_accepting = self.draining.accepts_connections(now_s)
        if not is_accepting or call.has_requests_behind:
            return limit_s
        return self._longest_answers[call.service].needed_s(limit_s, now_s)

    def refuse_if_late(self, call, now_s, wait_s=0.0):
        """Refuse a call that has not run and cannot end before this process stops.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param now_s: current time in seconds.
        :param wait_s: expected time in seconds until it is sent.
        :returns: whether the call was refused.
        """
        is_sent = call.phase in (calls.Phase.SENT, calls.Phase.STREAMING)
        if is_sent or not call.may_be_refused:
            return False
        if self.draining.can_end(now_s, wait_s + self._needed_s(call, now_s)):
            return False
        call.terminate(STOPPING, now_s)
        return True

    def _if_current(self, denied):
        """Return the denial for a client.

        While the configuration may be outdated, the newest one may allow the request,
        so the client is asked to retry.

        :param denied: :class:`admittance.Denied`.
        """
        if self.is_current():
            return denied
        reason = f"the configuration may be old: {denied.reason}"
        return admittance.Denied(503, reason)

    def admit_again(self, call):
        """Check a call that is to be sent against the configuration in force.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :returns: None when nothing has changed for the call; otherwise
            :class:`admittance.Denied`, or :class:`admittance.Admitted` and the service
            that the call goes to from now on.
        """
        stop_reason = self.stop_reason()
        if stop_reason and call.may_be_refused:
            self._reporter.count("refused_as_stale")
            return admittance.Denied(503, stop_reason)
        if call.admitted.version == self.configuration_version:
            return None
        admitted = admittance.check(self.route_index, call.request.head)
        if isinstance(admitted, admittance.Denied):
            return self._if_current(admitted)
        service = call.service
        if all(share.service != service for share in admitted.route.usable_shares):
            service = self._choose_service(admitted)
        return admitted, service

    def allowed_regions(self, call):
        """Return the regions in which a call may be sent by the configuration in force.

        A call at an endpoint keeps its admission when the configuration changes.
        Whether it may be sent at all is checked elsewhere.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :returns: frozenset of names, None for any.
        """
        admitted = call.admitted
        if admitted.version != self.configuration_version:
            found = admittance.check(self.route_index, call.request.head)
            if isinstance(found, admittance.Admitted):
                admitted = found
        return homes.allowed_regions(admitted.route, admitted.account)

    def _reject(self, client, request, status, reason, after_s=DEFAULT_RETRY_AFTER_S):
        self._reporter.turned_away(request, status, reason, self.configuration_version)
        client.refuse(status, reason, after_s if status == 503 else None)

    def record_unanswered(self, attempts, cause):
        """Report requests that were read and end with their connection unanswered.

        They were queued behind another one, and have not run.

        :param attempts: list of the clients' identifiers of their attempts.
        :param cause: ``client_left``, ``closed`` (by this process, in order) or
            ``broken_off`` (by this process, in the middle of an answer).
        """
        self._reporter.unanswered(attempts, cause)

    def _choose_service(self, admitted):
        route = admitted.route
        if len(route.shares) == 1:
            return route.shares[0].service
        regions = homes.allowed_regions(route, admitted.account)
        usable = route.usable_shares
        alive = [s for s in usable if self._has_endpoint(s.service, regions)]
        candidates = alive or usable
        weights = [share.weight or 1.0 for share in candidates]
        return self._random.choices(candidates, weights)[0].service

    def _has_endpoint(self, service, regions):
        states = self.endpoints.of_service(service)
        return any(
            homes.allows(regions, state.endpoint.region)
            and state.endpoint.data_centre not in self.evacuated
            for state in states
        )

    def _fingerprint(self, request, admitted):
        head = request.head
        name = admitted.account.name if admitted.account else ""
        route = admitted.route.name
        method, target = head.method.decode("latin-1"), head.target.decode("latin-1")
        return crash_tracking.digest(name, route, method, target, request.body)

    def place(self, call, now_s):
        """Send a call to an endpoint, queue it, or refuse it.

        A new call does not overtake waiting ones; a call that has already failed at an
        endpoint does.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param now_s: current time in seconds.
        """
        if not call.admit_again(now_s) or self.refuse_if_late(call, now_s):
            return
        blocked_s = self.crash_causes.blocked_for_s(call.shared_parts, now_s)
        if blocked_s > 0:
            call.refuse(calls.BLOCKED, now_s, blocked_s)
            return
        queue = self._queues[call.service]
        states = self.endpoints.of_service(call.service)
        demand = call.demand()
        if not len(queue) or call.excluded:
            state = placement.choose(states, demand, now_s, self._random)
            self._wish_for_permits(states, demand, state, now_s)
            if state is not None:
                queue.record_start(now_s)
                call.send(state, now_s)
                return
        queue.sheds = demand.generation is not None
        queue_entry = call.queue_entry()
        if self._refuse_unservable(call, queue_entry, states, now_s):
            return
        expected_s = placement.permit_wait_s(states, demand, len(queue), now_s)
        is_told = expected_s is not None
        if is_told:
            longest_s = PERMIT_WAIT_MARGIN * expected_s
        else:
            longest_s = expected_s = queue.expected_wait_s(now_s, call.priority)
        if self.refuse_if_late(call, now_s, longest_s):
            return
        displaced = queue.displace(queue_entry, now_s)
        if displaced is not None:
            call_errors.run(displaced.call, self._refuse_displaced, displaced, now_s)
        reason = queue.admit(queue_entry, now_s, longest_s)
        if reason:
            call.refuse(reason, now_s, expected_s, is_told)
            return
        call.phase = calls.Phase.WAITING
        self._reporter.waiting(call, len(queue), expected_s, states, demand, now_s)
        if len(queue) > 1:
            self.dispatch(call.service)
        self._update_permits(now_s)

    def _wish_for_permits(self, states, demand, chosen, now_s):
        """Wish for permits of endpoints with a limit that would serve a call better.

        :param states: states of the service's endpoints.
        :param demand: :class:`placement.Demand` of the call.
        :param chosen: state of the endpoint that the call is sent to, or None.
        :param now_s: current time in seconds.
        """
        if not len(self.endpoints.limits) or chosen is None:
            return
        cost = placement.cost(chosen, demand, now_s)
        for state in states:
            limit_per_s, name = state.limit_per_s, state.endpoint.name
            if limit_per_s is None or now_s < self._wished_until_s.get(name, 0.0):
                continue
            if placement.cost(state, demand, now_s) < cost:
                wish_s = self.members / (WISHES_PER_PERMIT * limit_per_s)
                wish_s = min(MAX_WISH_S, max(MIN_WISH_S, wish_s))
                self._wished_until_s[name] = now_s + wish_s
                state.allowance.want(1, False)

    def _update_permits(self, now_s):
        """Ask for the permits that waiting calls can use, and issue those of others."""
        if not len(self.endpoints.limits):
            return
        self.endpoints.end_warm_ups(now_s)
        for state in self.endpoints.all():
            if state.limit_per_s is None:
                continue
            waiting = len(self._queues[state.endpoint.service])
            is_usable = not (
                state.word.is_leaving
                or state.word.is_busy(now_s)
                or state.is_ejected(now_s)
                or state.calls(now_s) >= state.endpoint.slots
            )
            wished = now_s < self._wished_until_s.get(state.endpoint.name, 0.0)
            wanted = max(waiting, wished) if is_usable else 0
            state.allowance.want(wanted, waiting > 0)
        for outgoing in self.endpoints.limits.tick(now_s):
            self.send_to_peer(outgoing.peer, outgoing.message)

    def _refuse_unservable(self, call, queue_entry, states, now_s):
        """Refuse a call that no endpoint can serve within the time that it may wait.

        :param call: :class:`cicadaplank.gateway.calls.Call`, not queued.
        :param queue_entry: its :class:`waiting.QueuedCall`.
        :param states: states of the service's endpoints.
        :param now_s: current time in seconds.
        :returns: whether the call was refused.
        """
        soonest_s = placement.soonest_s(states, call.demand(), now_s)
        if soonest_s <= now_s or soonest_s < queue_entry.wait_until_s:
            return False
        queue = self._queues[call.service]
        if soonest_s == float("inf"):
            queue.refused["no_endpoint"] += 1
            call.refuse("no endpoint can serve it now", now_s, DEFAULT_RETRY_AFTER_S)
        else:
            queue.refused["endpoints_busy"] += 1
            call.refuse("every endpoint is busy", now_s, soonest_s - now_s)
        return True

    def _refuse_all_unservable(self, service, now_s):
        """Refuse the waiting calls that no endpoint can serve any more.

        :param service: service name.
        :param now_s: current time in seconds.
        """
        queue = self._queues[service]
        states = self.endpoints.of_service(service)
        for queued_call in queue.by_urgency(now_s):
            call = queued_call.call
            call_errors.run(
                call, self._refuse_unservable, call, queued_call, states, now_s
            )
            if call.phase is calls.Phase.ENDED:
                queue.withdraw(call)

    def dispatch(self, service):
        """Send waiting calls to endpoints that have a free slot.

        :param service: service name.
        """
        queue = self._queues[service]
        if not len(queue):
            return
        now_s = self.now_s()
        states = self.endpoints.of_service(service)
        # Most calls that end free no slot that a waiting call may use.
        if not any(placement.is_available(state, now_s) for state in states):
            return
        for queued_call in queue.by_urgency(now_s):
            call = queued_call.call
            if call.phase is not calls.Phase.WAITING:
                continue
            is_sent = call_errors.run(
                call, self._send_waiting, queue, queued_call, states, now_s
            )
            # Calls behind one that is limited to regions may go elsewhere.
            is_limited = call.excluded or self.allowed_regions(call) is not None
            if is_sent is False and not is_limited:
                break

    def _send_waiting(self, queue, queued_call, states, now_s):
        """Send a waiting call to an endpoint with a free slot.

        :returns: False when there is none.
        """
        call = queued_call.call
        state = placement.choose(states, call.demand(), now_s, self._random)
        if state is None:
            return False
        queue.dequeue(queued_call, now_s)
        call.send(state, now_s)
        return True

    def withdraw(self, call):
        """Remove a call from the queue of its service."""
        self._queues[call.service].withdraw(call)

    def may_be_sent_again(self, call, now_s):
        """Tell whether a call that is at an endpoint may be sent to another one.

        The configuration in force has to allow it as it was admitted. Unlike in
        :meth:`admit_again`, a call that may not be sent stays where it is.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param now_s: current time in seconds.
        """
        if self.stop_reason():
            return False
        if self.crash_causes.blocked_for_s(call.shared_parts, now_s) > 0:
            return False
        if call.admitted.version == self.configuration_version:
            return True
        admitted = admittance.check(self.route_index, call.request.head)
        if isinstance(admitted, admittance.Denied):
            return False
        services = {share.service for share in admitted.route.usable_shares}
        return (
            call.service in services
            and admitted.account == call.account
            and admitted.route.retry_policy is call.route.retry_policy
            and admitted.route.is_stream == call.route.is_stream
        )

    def choose_second(self, call, first, now_s):
        """Choose an endpoint for a call while it is at another one that is silent.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param first: name of the endpoint that it is at.
        :param now_s: current time in seconds.
        :returns: :class:`cicadaplank.gateway.endpoints.EndpointState` with a free slot,
            or None when there is none or the call may not be sent again.
        """
        if not self.may_be_sent_again(call, now_s):
            return None
        demand = call.demand()
        demand = dataclasses.replace(demand, excluded=call.excluded | {first})
        states = self.endpoints.of_service(call.service)
        return placement.choose(states, demand, now_s, self._random)

    def second_attempt_begins(self, call, state, reason, now_s):
        """Report that a call is sent to a second endpoint while the first is silent.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
        :param reason: text for the log.
        :param now_s: current time in seconds.
        """
        self._queues[call.service].record_start(now_s)
        self._reporter.count("second_attempts", service=call.service)
        self._reporter.event(
            "second_attempt",
            request=call.name,
            endpoint=state.endpoint.name,
            first=call.endpoint_name,
            reason=reason,
        )

    def second_attempt_ended(self, call, has_won):
        """Count the end of the race between two attempts.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param has_won: whether the second attempt answers the client.
        """
        result = "won" if has_won else "lost"
        self._reporter.count(
            "second_attempts_ended", service=call.service, result=result
        )

    def call_ended(self, call, outcome, verdict):
        """Remove a call that has ended, report it, and use its slot for a waiting one.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param outcome: how it ended, for log and metrics.
        :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`.
        """
        self._calls.pop(call, None)
        self.draining.finished(call)
        if outcome == "answered":
            now_s = self.now_s()
            sent_s = call.request.arrived_s + call.sent_after_s
            self._longest_answers[call.service].record(now_s - sent_s, now_s)
            if call.fingerprint:
                self.suspects.clear(call.fingerprint)
        self._reporter.ended(call, outcome, verdict, self.configuration_version)
        if call.phase is calls.Phase.ENDED and len(self._queues[call.service]):
            self._reactor.callLater(0, self.dispatch, call.service)

    def drop(self, call):
        """Remove a call that has ended, also from the queues.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        """
        self._calls.pop(call, None)
        self.draining.finished(call)
        for queue in self._queues.values():
            queue.withdraw(call)

    def record_first_event(self, call, latency_s):
        """Record the latency of a stream's first event.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param latency_s: seconds since the arrival of the call.
        """
        self._reporter.record_first_event(call, latency_s)

    # Endpoints.

    def pool(self, state):
        """Return the connection pool of an endpoint; create it if needed.

        :returns: :class:`connections.ConnectionPool`.
        """
        endpoint = state.endpoint
        pool = self._pools.get(endpoint.identity)
        if pool is None:
            limit = self._connection_limit(endpoint.service)
            pool = self._pools[endpoint.identity] = connections.ConnectionPool(
                self._reactor, self.dialect, endpoint.host, endpoint.port, limit
            )
        return pool

    def _connection_limit(self, service):
        service_settings = self.route_index.configuration.services.get(service)
        total = service_settings.max_connections if service_settings else 0
        return max(2, total // max(MIN_MEMBERS, self.members))

    def release_connection(self, connection):
        """Return a connection to its pool; the call does not need it any more."""
        connection.release()

    def encode_call(self, call, state, left_s):
        """Return the bytes of a call as they are sent to an endpoint.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
        :param left_s: seconds until the call's deadline.
        """
        resume_after = call.last_event or call.request.head.resume_after
        forwarding = dialects.Forwarding(
            state.endpoint.name,
            left_s,
            call.account.name if call.account else "",
            resume_after,
            call.priority if call.route.is_generation else None,
            self._weights_to_check(call),
        )
        body = call.request.body
        head = self.dialect.write_request(call.request.head, len(body), forwarding)
        return head + body

    def _weights_to_check(self, call):
        """Return the version of the weights that the endpoint has to check.

        The list shows the weights of an endpoint late. Once every older version is
        forbidden, an endpoint with other weights than listed has to refuse the call. No
        check is asked for while an endpoint may have loaded a newer version already.

        :param call: :class:`cicadaplank.gateway.calls.Call` that is being sent.
        :returns: version number, or None.
        """
        demand, version = call.demand(), call.weights_version
        newest = self.weights_requirement.newest_version(demand.model)
        return version if version == demand.min_version == newest else None

    def budget(self, service):
        """Return the :class:`budget.RetryBudget` of a service; create it if needed."""
        retry_budget = self._budgets.get(service)
        if retry_budget is None:
            bounds = self._bounds
            retry_budget = self._budgets[service] = budget.RetryBudget(
                bounds.retry_share, bounds.retry_allowance, bounds.retry_window_s
            )
            retry_budget.members = self._budget_members
        return retry_budget

    def retry_after_s(self, expected_s, left_s):
        """Return the time after which a refused client should retry.

        :param expected_s: expected time in seconds until a slot is free.
        :param left_s: seconds until the client's deadline.
        :returns: seconds.
        """
        return waiting.retry_after_s(expected_s, left_s, self._random)

    def told_retry_after_s(self, expected_s):
        """Return the same when endpoints have told the time until there is room.

        :param expected_s: that time in seconds.
        :returns: seconds, no fewer than ``expected_s``.
        """
        return waiting.told_retry_after_s(expected_s, self._random)

    def connection_broken(self, call, attempt):
        """Record that a request may have crashed its endpoint, and tell the peers.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param attempt: :class:`cicadaplank.gateway.attempts.Attempt` whose endpoint
            closed the connection.
        """
        if not call.fingerprint:
            call.fingerprint = self._fingerprint(call.request, call.admitted)
        now_s = self.now_s()
        if call.shared_parts and not attempt.is_sound:
            parts, has_begun = call.shared_parts, attempt.has_begun
            self._broken_attempts.record(attempt.state, parts, has_begun, now_s)
            if attempt.state.is_removed:
                self._record_listed_crash(attempt.state)
        name = attempt.endpoint_name
        sent = self.suspects.record_crash(call.fingerprint, name, self.unix_s())
        for action in sent:
            self.broadcast(action.message, action.exclude)

    def record_sound(self, call):
        """Record that an endpoint has answered a prompt without a crash.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        """
        if call.shared_parts:
            self.crash_causes.record_sound(call.shared_parts, self.now_s())

    def _record_listed_crash(self, state):
        """Record a crash of an endpoint that is no longer listed, or started anew.

        :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`, removed.
        """
        is_leaving = state.endpoint.is_draining or state.word.is_leaving
        if not is_leaving:
            self._record_crash(state)
        self._broken_attempts.forget(state)

    def _record_crash(self, state):
        """Record that an endpoint has crashed, with the attempts that broke there."""
        now_s = self.now_s()
        crash = self._broken_attempts.take_crash(state, now_s)
        if crash is None:
            return
        run = f"{state.endpoint.name}/{state.endpoint.started_ms}"
        sent = self.crash_causes.record_crash(
            run, crash.begun, crash.waiting, now_s, crash.crashed_s
        )
        for action in sent:
            self.broadcast(action.message, "")
        if sent:
            self._reporter.state_event(
                "endpoint_crashed",
                endpoint=state.endpoint.name,
                parts=",".join(crash.parts),
                begun=len(crash.begun),
                waiting=len(crash.waiting),
            )

    def merge_crash(self, report):
        """Record a crash that another entry instance observed.

        :param report: :class:`cicadaplank.messages.types.CrashReport`.
        """
        self.crash_causes.merge_crash(report, self.now_s())

    def merge_sound(self, report):
        """Record sound answers that another entry instance observed.

        :param report: :class:`cicadaplank.messages.types.SoundPartsReport`.
        """
        self.crash_causes.merge_sound(report, self.now_s())

    def _apply_blocked_parts(self):
        """End the calls whose prompts have come to be blocked."""
        blocked = self.crash_causes.blocked
        if blocked == self._blocked_parts:
            return
        self._blocked_parts = blocked
        self._reporter.state_event("prompt_parts_blocked", parts=",".join(blocked))
        now_s = self.now_s()
        for call in list(self._calls):
            call_errors.run(call, self._block, call, now_s)

    def _block(self, call, now_s):
        """End a call if its prompt is blocked."""
        blocked_s = self.crash_causes.blocked_for_s(call.shared_parts, now_s)
        if blocked_s > 0:
            call.block(blocked_s, now_s)

    def record_withdrawal(self, call, version, bound):
        """Report an attempt that is withdrawn from an endpoint with older weights.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param version: version that the endpoint serves.
        :param bound: :class:`cicadaplank.gateway.named_versions.Bound`.
        """
        self._reporter.attempt_withdrawn(call, version, bound)

    def record_word(self, call, state, head, sent_s):
        """Record what an endpoint says of itself in an answer, and act on it.

        A misdirected call was answered by another endpoint, which speaks of itself.

        :param call: :class:`cicadaplank.gateway.calls.Call` at that endpoint.
        :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
        :param head: :class:`cicadaplank.gateway.dialects.ResponseHead`.
        :param sent_s: time in seconds at which the call was sent.
        """
        for header in head.malformed:
            self._reporter.count("malformed_headers", header=header)
            self._reporter.event(
                "malformed_header",
                request=call.name,
                endpoint=state.endpoint.name,
                header=header,
            )
        if head.is_misdirected:
            return
        now_s = self.now_s()
        if head.load is not None:
            self._record_load(state, head.load, now_s)
        if head.is_leaving and self.endpoints.record_leaving(state, now_s):
            self._report_leaving(state, now_s, call.name)
            if not state.word.is_said_to_leave(now_s):
                endpoint = state.endpoint
                report = types.LeavingReport(endpoint.name, endpoint.started_ms, 0.0)
                self.broadcast(report, "")
        self._record_limit(call, state, head, sent_s)
        if head.busy_for_s is not None:
            for_s = self.endpoints.record_busy(state, head.busy_for_s, now_s)
            if for_s:
                self._reporter.count("endpoints_busy", service=state.endpoint.service)
                self._reporter.state_event(
                    "endpoint_busy",
                    request=call.name,
                    endpoint=state.endpoint.name,
                    named_s=head.busy_for_s,
                    for_s=for_s,
                )
                self._refuse_all_unservable(state.endpoint.service, now_s)

    def _record_load(self, state, report, now_s):
        """Record the load that an endpoint reports, and log its first pace."""
        had_pace = state.load.states_pace
        state.load.record(report, state.in_flight, now_s)
        if state.load.states_pace and not had_pace:
            self._paced_services.add(state.endpoint.service)
            self._reporter.event(
                "endpoint_states_pace", endpoint=state.endpoint.name, pace=report.pace
            )

    def _record_limit(self, call, state, head, sent_s):
        """Record the limit that an endpoint names in an answer, or that it names none.

        A limit that cannot be read says nothing: the one that was named before holds.
        """
        now_s = self.now_s()
        if head.limit_per_s is not None:
            self._reporter.count("endpoint_limits", service=state.endpoint.service)
            is_new = self.endpoints.record_limit(state, head.limit_per_s, now_s)
        elif head.names_limit or head.attempt != call.request.head.attempt:
            return
        elif not (head.is_signed or head.is_not_run):
            return
        else:
            is_new = self.endpoints.record_no_limit(state, sent_s, now_s)
        if not is_new:
            return
        self._report_limit(state, request=call.name, named_per_s=head.limit_per_s)
        self.broadcast(self._limit_report(state), "")

    def _report_limit(self, state, **source):
        """Log the limit of an endpoint that is in force from now on, and act on it."""
        self._reporter.state_event(
            "endpoint_limit",
            endpoint=state.endpoint.name,
            limit_per_s=state.word.limit_per_s,
            calls=state.in_flight,
            **source,
        )
        self._reactor.callLater(0, self.dispatch, state.endpoint.service)

    def _limit_report(self, state):
        endpoint, word = state.endpoint, state.word
        return types.LimitReport(
            endpoint.name,
            endpoint.started_ms,
            word.limit_per_s is not None,
            word.limit_per_s or 0.0,
            self.now_s() - word.limit_said_s,
        )

    def limit_reports(self):
        """Return a :class:`types.LimitReport` for each limit that is known.

        An entry instance that connects, and may have restarted, is told them.
        """
        return [
            self._limit_report(state)
            for state in self.endpoints.all()
            if state.word.limit_per_s is not None
        ]

    def merge_limit(self, peer, report):
        """Record the word of another entry instance on the limit of an endpoint.

        :param peer: name of the instance.
        :param report: :class:`cicadaplank.messages.types.LimitReport`.
        """
        state = self.endpoints.of_run(report.endpoint, report.started_ms)
        if state is None:
            return
        limit_per_s = report.limit_per_s if report.is_limited else None
        now_s = self.now_s()
        if self.endpoints.merge_limit(state, limit_per_s, report.age_s, now_s):
            self._report_limit(state, peer=peer, age_s=report.age_s)

    def receive_permit_request(self, peer, request):
        """Issue permits to another entry instance, if there are any.

        :param peer: name of the instance.
        :param request: :class:`cicadaplank.messages.types.PermitRequest`.
        """
        state = self.endpoints.of_run(request.endpoint, request.started_ms)
        if state is None:
            return
        if request.limit_per_s > 0:
            report = types.LimitReport(
                request.endpoint,
                request.started_ms,
                True,
                request.limit_per_s,
                request.limit_age_s,
            )
            self.merge_limit(peer, report)
        if state.limit_per_s is None:
            if request.limit_per_s > 0:
                self.send_to_peer(peer, self._limit_report(state))
            return
        run, now_s = state.endpoint.identity, self.now_s()
        for outgoing in self.endpoints.limits.receive(peer, run, request, now_s):
            self.send_to_peer(outgoing.peer, outgoing.message)

    def receive_permits(self, peer, grant):
        """Use the permits that another entry instance has granted.

        :param peer: name of the instance.
        :param grant: :class:`cicadaplank.messages.types.PermitGrant`.
        """
        state = self.endpoints.of_run(grant.endpoint, grant.started_ms)
        if state is None:
            return
        run, now_s = state.endpoint.identity, self.now_s()
        if self.endpoints.limits.grant(peer, run, grant, now_s):
            self.dispatch(state.endpoint.service)
            self._update_permits(now_s)

    def _report_leaving(self, state, now_s, request):
        """Report that an endpoint leaves, and end what depends on it.

        :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
        :param now_s: current time in seconds.
        :param request: name of the call whose answer says so, empty when it is the
            endpoint's record.
        """
        endpoint = state.endpoint
        self._reporter.count(
            "endpoints_leaving",
            service=endpoint.service,
            source="answer" if request else "record",
        )
        self._reporter.state_event(
            "endpoint_leaving",
            request=request,
            endpoint=endpoint.name,
            calls=state.in_flight,
        )
        pool = self._pools.get(endpoint.identity)
        if pool is not None:
            pool.close()
        self._refuse_all_unservable(endpoint.service, now_s)

    def merge_leaving(self, peer, report):
        """Record the word of another entry instance that an endpoint leaves.

        :param peer: name of the instance.
        :param report: :class:`cicadaplank.messages.types.LeavingReport`.
        """
        counts = self.endpoints.merge_leaving(
            report.endpoint, report.started_ms, report.age_s, self.now_s()
        )
        if counts:
            self._reporter.state_event(
                "endpoint_said_to_leave",
                endpoint=report.endpoint,
                peer=peer,
                age_s=report.age_s,
            )

    def record_failure(self, call, state, ending, reason, now_s):
        """Record a failed attempt at an endpoint, and eject the endpoint if needed.

        A refusal does not count as a failure when the endpoint has said that it leaves
        or is busy, or when at least half of its slots are in use.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`, or None when
            the attempt does not count against an endpoint.
        :param ending: :class:`cicadaplank.gateway.outcomes.Ending`.
        :param reason: text for the log.
        :param now_s: current time in seconds.
        """
        if state is None:
            return
        self._reporter.attempt_failed(call, state, ending, reason, now_s)
        if ending is outcomes.Ending.REFUSED:
            state.record_refusal(now_s, calls.FULL_BACK_OFF_S)
            self._reporter.count("endpoint_full", service=state.endpoint.service)
            is_announced = state.word.is_leaving or state.word.is_busy(now_s)
            if is_announced or state.calls(now_s) >= state.endpoint.slots / 2:
                return
        if ending is outcomes.Ending.MISDIRECTED:
            state.record_outdated(now_s)
            return
        reason = f"{ending.value}: {reason}"
        if ending is outcomes.Ending.UNREACHABLE:
            self._eject_unreachable(state, reason)
            return
        may_eject = self.endpoints.may_eject(state.endpoint.service, now_s)
        self._report_ejection(state, state.record_failure(now_s, may_eject), reason)
        if ending in (outcomes.Ending.SILENT, outcomes.Ending.BROKEN):
            self._probe(state)

    def _report_ejection(self, state, for_s, reason):
        if for_s:
            self._reporter.count("ejections", service=state.endpoint.service)
            self._reporter.event(
                "endpoint_ejected",
                endpoint=state.endpoint.name,
                for_s=for_s,
                failure_share=state.failure_share,
                reason=reason,
            )

    def _eject_unreachable(self, state, reason):
        """Eject an endpoint, and probe it when the ejection ends.

        A dial that timed out as this process stood still tells nothing of the endpoint.
        """
        if self.pool(state).was_held_up:
            self._reporter.count("dials_held_up", service=state.endpoint.service)
            return
        for_s = state.record_connect_failure(self.now_s())
        self._report_ejection(state, for_s, reason)
        if for_s:
            self._reactor.callLater(for_s, self._probe, state)

    def _probe(self, state):
        """Test whether an endpoint accepts a connection before calls are sent to it.

        Load pattern: a data centre is cut off from the network, and every idle
        connection to its endpoints is silent. Each call sent on one would be late.
        """
        if state.is_removed or state.is_being_probed:
            return
        state.is_being_probed = True
        self.pool(state).drop_idle()

        def opened(connection):
            state.is_being_probed = False
            state.record_connect_success(self.now_s())
            connection.watch_life(PROBE_LIFE_S, self._record_crash, state)
            connection.release()
            self.dispatch(state.endpoint.service)

        def failed(reason):
            state.is_being_probed = False
            if pool.was_refused:
                self._record_crash(state)
            self._eject_unreachable(state, f"probe: {reason}")

        pool = self.pool(state)
        pool.acquire(opened, failed, reuse=False)

    # Time.

    def check_timeouts(self):
        """Handle time-outs of calls and of the queues.

        It is called every :data:`TIMEOUT_CHECK_INTERVAL_S`.
        """
        now_s = self.now_s()
        self.run(self._tick_crash_causes, now_s)
        if self._checked_s is not None:
            self._late_s = now_s - self._checked_s - TIMEOUT_CHECK_INTERVAL_S
            self._awake_s = self.awake_s()
        self._checked_s = now_s
        for call in list(self._calls):
            call_errors.run(call, self._check_time, call, now_s)
        self.run(self._update_permits, now_s)
        for service, queue in list(self._queues.items()):
            for queued_call in queue.pop_expired(now_s):
                call = queued_call.call
                call_errors.run(call, self._refuse_expired, call, now_s)
            self.run(self.dispatch, service)

    def _check_time(self, call, now_s):
        """End a call that is late for a stop, or handle its own time-outs."""
        if self.draining.is_stopping and self.refuse_if_late(call, now_s):
            return
        call.check_timeouts(now_s)

    def _tick_crash_causes(self, now_s):
        for action in self.crash_causes.tick(now_s):
            self.broadcast(action.message, "")
        self._apply_blocked_parts()

    def _refuse_displaced(self, displaced, now_s):
        """Refuse a call whose place in a queue a more urgent one takes."""
        call = displaced.call
        queue = self._queues[call.service]
        expected_s = queue.expected_wait_s(now_s, displaced.priority)
        call.refuse("displaced by a more urgent call", now_s, expected_s)

    def _refuse_expired(self, call, now_s):
        """Refuse a call that has waited too long in a queue."""
        states = self.endpoints.of_service(call.service)
        count = len(self._queues[call.service])
        wait_s = placement.permit_wait_s(states, call.demand(), count, now_s)
        if wait_s is None:
            call.refuse("waited too long", now_s, DEFAULT_RETRY_AFTER_S)
        else:
            call.refuse("waited too long", now_s, wait_s, True)

    def abort(self, call):
        """End a call that exceeds the time limit of a planned stop.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        """
        call.terminate(STOPPING, self.now_s())
