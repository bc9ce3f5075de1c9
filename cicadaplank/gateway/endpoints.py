"""Endpoints as one entry instance knows them: their load, failures and ejection.

The outcome of calls takes precedence over the state that an endpoint publishes:
repeated failures eject an endpoint for a while, as a circuit breaker does, and after
that one trial call at a time tests whether it works again.
"""

import collections
import dataclasses

from cicadaplank.gateway import service_times
from cicadaplank.requests import announcements, limit_shares, warm_ups

# Weight of the newest call in the moving average of an endpoint's failure share.
FAILURE_WEIGHT = 0.2
# Consecutive failures after which an endpoint is ejected.
EJECT_FAILURES_IN_A_ROW = 3
# Failure share above which an endpoint is ejected.
EJECT_FAILURE_SHARE = 0.5
# Duration of the first ejection. It doubles with each further one, up to the maximum,
# until a call is answered.
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# The same for an endpoint whose address or weights are no longer those of its record.
# It ends when the record changes.
FIRST_OUTDATED_S = 1.0
MAX_OUTDATED_S = 8.0
# Largest share of a service's endpoints that failed calls may eject. When more of them
# fail, the cause is not in single endpoints.
MAX_EJECTED_SHARE = 0.5
# Age after which a peer's report of its calls in progress is dropped, or this number of
# its report periods if that is longer.
MAX_PEER_REPORT_AGE_S = 1.5
MAX_PEER_REPORT_PERIODS = 2.4
# Endpoints that are missing from the list just after an outage of the store are kept
# for this time: their records expired during it and are written again.
MISSING_GRACE_S = 2.5


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """State that an endpoint publishes about itself.

    :param name: identifier of the endpoint in the list.
    :param service: service name.
    :param host: IP address.
    :param port: TCP port.
    :param data_centre: data centre in which it runs.
    :param slots: number of calls that it processes concurrently.
    :param is_draining: whether it is draining and accepts no new calls.
    :param weights: dict from model name to the version that it serves.
    :param started_ms: Unix time of its start in milliseconds; 0 when it is unknown.
    :param warm_up_s: remaining seconds for which it is slow after its start, 0 when it
        is warm.
    :param sequence: number of the record; it rises with each record of a run.
    :param region: region in which it runs, empty when it is unknown.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool
    weights: dict
    started_ms: int = 0
    warm_up_s: float = 0.0
    sequence: int = dataclasses.field(default=0, compare=False)
    region: str = ""

    def precedes(self, other):
        """Tell whether this record was written before another one of the endpoint.

        :param other: :class:`Endpoint` of the same name.
        """
        own = self.started_ms, self.sequence
        return bool(self.started_ms) and own < (other.started_ms, other.sequence)

    @property
    def identity(self):
        """Return the key that distinguishes one run of an endpoint from another.

        :returns: tuple of name, host, port and time of the start.
        """
        return self.name, self.host, self.port, self.started_ms


@dataclasses.dataclass(frozen=True)
class Changes:
    """What a new list of endpoints has changed.

    :param removed: tuple of the removed :class:`EndpointState`.
    :param leaving: tuple of those whose record is the first to say that they leave.
    """

    removed: tuple
    leaving: tuple


class EndpointState:
    """An endpoint with the load and failures that this entry instance has observed.

    :param endpoint: :class:`Endpoint`.
    :ivar in_flight: number of calls that this entry instance has in progress there.
    :ivar failure_share: moving average of the share of failed calls, 0.0 to 1.0.
    :ivar failures_in_a_row: number of consecutive failures.
    :ivar ejected_until_s: time in seconds until which it gets no calls.
    :ivar is_removed: whether it has been removed from the known endpoints.
    :ivar missing_since_s: time in seconds since which it is missing from the list, or
        None when it is listed.
    :ivar full_until_s: time in seconds until which it counts as full.
    :ivar is_being_probed: whether a connection is being opened to test whether it is
        reachable.
    :ivar word: :class:`cicadaplank.requests.announcements.Word` of the endpoint.
    :ivar allowance: :class:`cicadaplank.requests.limit_shares.Allowance` that decides
        whether a limit leaves room for a call.
    :ivar load: :class:`cicadaplank.gateway.service_times.ReportedLoad`.
    """

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.load = service_times.ReportedLoad()
        self.in_flight = 0
        self.failure_share = 0.0
        self.failures_in_a_row = 0
        self.ejected_until_s = 0.0
        self.is_removed = False
        self.missing_since_s = None
        self._ejections = 0
        self._outdated = 0
        self._outdated_until_s = 0.0
        self._is_on_trial = False
        # By name of the other entry instance: its number of calls and the time until
        # which its report counts. Then the sum of these calls, and a lower bound of the
        # times.
        self._peer_reports = {}
        self._peer_calls_sum = 0
        self._first_expiry_s = float("inf")
        self.full_until_s = 0.0
        self.is_being_probed = False
        self.word = announcements.NOTHING
        self.allowance = limit_shares.UNLIMITED
        self.warm_up = warm_ups.WARM
        self._warm_up_record = None

    @property
    def limit_per_s(self):
        """Limit for all entry instances in requests per second, None without one."""
        return warm_ups.lower(self.word.limit_per_s, self.warm_up.limit_per_s)

    def record_warm_up(self, per_s, now_s):
        """Record what its record says of its warm-up, once for each record.

        :param per_s: requests per second that it bears while it is cold, 0.0 for any.
        :param now_s: current time in seconds.
        :returns: whether another limit holds from now on.
        """
        record = self.endpoint.sequence, self.endpoint.warm_up_s, per_s
        if record == self._warm_up_record:
            return False
        self._warm_up_record = record
        previous = self.warm_up
        self.warm_up = warm_ups.of(self.endpoint.warm_up_s, per_s, now_s)
        return previous.limit_per_s != self.warm_up.limit_per_s

    # Load.

    def call_started(self):
        """Count a call that is sent to the endpoint."""
        self.in_flight += 1

    def call_ended(self):
        """Count the end of a call that was sent to the endpoint."""
        self.in_flight -= 1

    def set_peer_load(self, peer, calls, now_s, period_s=0.0):
        """Record the calls in progress of another entry instance.

        :param peer: name of the entry instance.
        :param calls: number of its calls at this endpoint.
        :param now_s: current time in seconds.
        :param period_s: seconds between its reports.
        """
        previous, _ = self._peer_reports.pop(peer, (0, 0.0))
        self._peer_calls_sum += calls - previous
        if calls:
            max_age_s = max(MAX_PEER_REPORT_AGE_S, MAX_PEER_REPORT_PERIODS * period_s)
            self._peer_reports[peer] = (calls, now_s + max_age_s)
            self._first_expiry_s = min(self._first_expiry_s, now_s + max_age_s)

    def peer_calls(self, now_s):
        """Return the number of calls in progress of all other entry instances.

        It is read more often than reports arrive, so the sum is cached. Reports that
        are too old are dropped first.

        :param now_s: current time in seconds.
        """
        if self._first_expiry_s < now_s:
            self._peer_reports = {
                p: e for p, e in self._peer_reports.items() if e[1] >= now_s
            }
            self._peer_calls_sum = sum(
                calls for calls, _ in self._peer_reports.values()
            )
            times_s = (until_s for _, until_s in self._peer_reports.values())
            self._first_expiry_s = min(times_s, default=float("inf"))
        return self._peer_calls_sum

    def calls(self, now_s):
        """Return an estimate of the calls in progress of all entry instances."""
        known = self.in_flight + self.peer_calls(now_s)
        return max(known, self.load.calls(self.in_flight, now_s))

    def situation(self, figures, now_s):
        """Return what a prediction of the time of a call is based on.

        Of the calls of other instances, as many are taken to be unread as of the usual
        time of a call goes to reading.

        :param figures: :class:`cicadaplank.gateway.service_times.EngineFigures`.
        :param now_s: current time in seconds.
        :returns: :class:`cicadaplank.gateway.service_times.Situation`.
        """
        slots = max(1, self.endpoint.slots)
        calls = self.calls(now_s)
        usual = figures.usual
        read_s = usual.prompt_tokens / figures.read_tokens_per_s
        read_share = min(1.0, read_s / service_times.usual_call_s(figures, slots))
        others = max(0, calls - self.in_flight) * read_share
        unread = self.load.unread_tokens + others * usual.prompt_tokens
        return service_times.Situation(calls, slots, unread, self.load.pace(now_s))

    # Failures.

    def record_answer(self, now_s):
        """Record a successful answer; it ends an ejection.

        :param now_s: current time in seconds.
        """
        self.failure_share *= 1 - FAILURE_WEIGHT
        self.failures_in_a_row = 0
        self._outdated = 0
        self._ejections = 0
        self._is_on_trial = False
        self.ejected_until_s = min(self.ejected_until_s, now_s)

    def record_failure(self, now_s, may_eject):
        """Record a failure for which the endpoint is responsible.

        :param now_s: current time in seconds.
        :param may_eject: whether enough other endpoints are left.
        :returns: duration of a new ejection in seconds, 0.0 when none begins.
        """
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        self.failures_in_a_row += 1
        should_eject = (
            self._is_on_trial
            or self.failures_in_a_row >= EJECT_FAILURES_IN_A_ROW
            or self.failure_share > EJECT_FAILURE_SHARE
        )
        if not (should_eject and may_eject) or now_s < self.ejected_until_s:
            return 0.0
        return self._eject(now_s)

    def record_connect_failure(self, now_s):
        """Record that a connection could not be opened, and eject the endpoint.

        Unlike other failures it ejects at once: the endpoint certainly cannot be used
        from here, and each further try costs a call the time of a connection attempt.

        :param now_s: current time in seconds.
        :returns: duration of a new ejection in seconds, 0.0 when it is already ejected.
        """
        if now_s < self.ejected_until_s:
            return 0.0
        return self._eject(now_s)

    def record_connect_success(self, now_s):
        """Record that a probe could open a connection; it ends an ejection.

        :param now_s: current time in seconds.
        """
        self._is_on_trial = False
        self.ejected_until_s = min(self.ejected_until_s, now_s)

    def _eject(self, now_s):
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self._ejections)
        self._ejections += 1
        self._is_on_trial = True
        self.ejected_until_s = now_s + duration_s
        return duration_s

    def is_ejected(self, now_s):
        """Tell whether the endpoint gets no calls now.

        That is the case while it is ejected or probed, and during a trial call.

        :param now_s: current time in seconds.
        """
        if now_s < max(self.ejected_until_s, self._outdated_until_s):
            return True
        if self.is_being_probed:
            return True
        # One trial call at a time after an ejection.
        return self._is_on_trial and self.in_flight > 0

    def record_outdated(self, now_s):
        """Record that the endpoint is no longer what its record says.

        :param now_s: current time in seconds.
        """
        if now_s < self._outdated_until_s:
            return
        duration_s = min(MAX_OUTDATED_S, FIRST_OUTDATED_S * 2**self._outdated)
        self._outdated += 1
        self._outdated_until_s = now_s + duration_s

    def set_endpoint(self, endpoint):
        """Apply the record of the endpoint; a changed one is not outdated.

        :param endpoint: :class:`Endpoint` of the same run.
        """
        if endpoint != self.endpoint:
            self._outdated, self._outdated_until_s = 0, 0.0
        self.endpoint = endpoint

    def record_refusal(self, now_s, for_s):
        """Record that the endpoint refused a call because it is full.

        :param now_s: current time in seconds.
        :param for_s: seconds for which it counts as full.
        """
        self.full_until_s = now_s + for_s


class Endpoints:
    """All known endpoints by name and by service.

    :param random: ``random.Random``.
    :ivar counts: number of endpoints ``added`` and ``removed`` so far.
    :ivar announcements: :class:`cicadaplank.requests.announcements.Announcements`, by
        :attr:`Endpoint.identity`. It outlasts the state of an endpoint whose row is
        missing for a while.
    :ivar limits: :class:`cicadaplank.requests.limit_shares.LimitShares`, by the same
        key, of the known endpoints that have named a limit.
    """

    def __init__(self, random):
        self.counts = collections.Counter()
        self.limits = limit_shares.LimitShares()
        self.announcements = announcements.Announcements(random)
        self._states = {}
        self._services = collections.defaultdict(dict)

    def get(self, name):
        """Return the :class:`EndpointState` with a name, or None."""
        return self._states.get(name)

    def names(self):
        """Return the names of all endpoints."""
        return list(self._states)

    def all(self):
        """Return the :class:`EndpointState` of every endpoint."""
        return list(self._states.values())

    def of_service(self, service):
        """Return the :class:`EndpointState` of each endpoint of a service."""
        return list(self._services.get(service, {}).values())

    def update(self, listed, now_s, keep_missing=False, unix_s=0.0, was_restored=False):
        """Apply a new list of endpoints.

        An endpoint that was started anew is replaced by a new state. One whose record
        says that it is draining has said that it leaves, whatever its record says
        later: a delayed write may bring an older record back.

        :param listed: dict from name to :class:`Endpoint`.
        :param now_s: current time in seconds.
        :param keep_missing: keep missing endpoints for :data:`MISSING_GRACE_S`, since
            the store is in an outage or has just recovered from one.
        :param unix_s: time of day in Unix seconds.
        :param was_restored: whether the store has just come back from an older copy.
            Missing endpoints are kept then, and those whose record is older than the
            known one, as endpoints write their records again.
        :returns: :class:`Changes`.
        """
        removed, leaving = [], []
        keep_missing |= was_restored
        for name, endpoint in listed.items():
            state = self._states.get(name)
            if state and was_restored and endpoint.precedes(state.endpoint):
                endpoint = state.endpoint
            if state and not endpoint.started_ms:
                # A record without a start does not tell of a new run.
                endpoint = dataclasses.replace(
                    endpoint, started_ms=state.endpoint.started_ms
                )
            if state and state.endpoint.identity != endpoint.identity:
                removed.append(self._remove(state))
                self._succeed(state.endpoint, endpoint, now_s, unix_s)
                state = None
            if state is None:
                state = self._add(EndpointState(endpoint), now_s)
            elif state.endpoint.service != endpoint.service:
                self._services[state.endpoint.service].pop(name, None)
                self._services[endpoint.service][name] = state
            state.set_endpoint(endpoint)
            state.missing_since_s = None
            if endpoint.is_draining and self.record_leaving(state, now_s):
                leaving.append(state)
        for name in set(self._states) - set(listed):
            state = self._states[name]
            if state.missing_since_s is None:
                state.missing_since_s = now_s
            if not keep_missing or now_s - state.missing_since_s > MISSING_GRACE_S:
                removed.append(self._remove(state))
        return Changes(tuple(removed), tuple(leaving))

    def _succeed(self, endpoint, successor, now_s, unix_s):
        if (endpoint.host, endpoint.port) == (successor.host, successor.port):
            age_s = unix_s - successor.started_ms / 1000.0
            self.announcements.succeed(
                endpoint.identity, successor.identity, age_s, now_s
            )

    def _add(self, state, now_s):
        self.counts["added"] += 1
        self._states[state.endpoint.name] = state
        self._update_word(state, now_s)
        self._services[state.endpoint.service][state.endpoint.name] = state
        return state

    def _remove(self, state):
        self.counts["removed"] += 1
        state.is_removed = True
        self.limits.drop(state.endpoint.identity)
        del self._states[state.endpoint.name]
        self._services[state.endpoint.service].pop(state.endpoint.name, None)
        return state

    def record_leaving(self, state, now_s):
        """Record that an endpoint has said that it leaves.

        :param state: :class:`EndpointState`, which may have been removed.
        :param now_s: current time in seconds.
        :returns: whether it had not said so before.
        """
        run = state.endpoint.identity
        is_new = self.announcements.record_leaving(run, now_s)
        self._update_word(state, now_s)
        return is_new

    def record_busy(self, state, for_s, now_s):
        """Record that an endpoint has turned a call away for some time.

        :param state: :class:`EndpointState`, which may have been removed.
        :param for_s: seconds for which it wants no calls.
        :param now_s: current time in seconds.
        :returns: seconds for which it is left alone, 0.0 when it named no time.
        """
        run = state.endpoint.identity
        left_alone_s = self.announcements.record_busy(run, for_s, now_s)
        self._update_word(state, now_s)
        return left_alone_s

    def merge_leaving(self, name, started_ms, age_s, now_s):
        """Record the word of another entry instance that an endpoint leaves.

        :param name: name of the endpoint.
        :param started_ms: start of its run in Unix milliseconds.
        :param age_s: seconds since the endpoint said so.
        :param now_s: current time in seconds.
        :returns: whether it counts; one about another run than the present does not.
        """
        state = self.of_run(name, started_ms)
        if state is None:
            return False
        run = state.endpoint.identity
        counts = self.announcements.merge_leaving(run, age_s, now_s)
        self._update_word(state, now_s)
        return counts

    def of_run(self, name, started_ms):
        """Return the :class:`EndpointState` that another entry instance speaks of.

        :param name: name of the endpoint.
        :param started_ms: start of its run in Unix milliseconds.
        :returns: None when it is about another run than the present; that is counted.
        """
        state = self._states.get(name)
        if state is None or state.endpoint.started_ms != started_ms:
            self.announcements.counts["rejected"] += 1
            return None
        return state

    def record_limit(self, state, limit_per_s, now_s):
        """Record that an endpoint has named a limit.

        :param state: :class:`EndpointState`, which may have been removed.
        :param limit_per_s: requests per second for all entry instances together.
        :param now_s: current time in seconds.
        :returns: whether it is another one than before.
        """
        run = state.endpoint.identity
        is_new = self.announcements.record_limit(run, limit_per_s, now_s)
        self._update_word(state, now_s)
        return is_new

    def record_no_limit(self, state, sent_s, now_s):
        """Record that an endpoint has named no limit in the answer to a call.

        :param state: :class:`EndpointState`, which may have been removed.
        :param sent_s: time in seconds at which the call was sent.
        :param now_s: current time in seconds.
        :returns: whether it had named one before.
        """
        run = state.endpoint.identity
        has_ended = self.announcements.record_no_limit(run, sent_s, now_s)
        if has_ended:
            self._update_word(state, now_s)
        return has_ended

    def merge_limit(self, state, limit_per_s, age_s, now_s):
        """Record the word of another entry instance on the limit of an endpoint.

        :param state: :class:`EndpointState`.
        :param limit_per_s: requests per second, or None for no limit.
        :param age_s: seconds since the endpoint said so.
        :param now_s: current time in seconds.
        :returns: whether it is another one than before.
        """
        run = state.endpoint.identity
        is_new = self.announcements.merge_limit(run, limit_per_s, age_s, now_s)
        self._update_word(state, now_s)
        return is_new

    def _update_word(self, state, now_s):
        """Update the state that holds the run now, which may be a newer object."""
        run = state.endpoint.identity
        state.word = self.announcements.of(run)
        present = self._states.get(state.endpoint.name)
        if present is not None and present.endpoint.identity == run:
            present.word = state.word
            present.allowance = self.limits.set_limit(
                run,
                present.endpoint.data_centre,
                state.word,
                now_s,
                present.warm_up.limit_per_s,
            )

    def set_warm_up(self, state, per_s, now_s):
        """Apply what the record of an endpoint says of its warm-up.

        :param state: :class:`EndpointState`.
        :param per_s: requests per second that it bears while it is cold, 0.0 for any.
        :param now_s: current time in seconds.
        :returns: whether it has become cold.
        """
        is_changed = state.record_warm_up(per_s, now_s)
        if is_changed:
            self._update_word(state, now_s)
        return is_changed and state.warm_up.limit_per_s is not None

    def end_warm_ups(self, now_s):
        """Let the limits of endpoints end that are warm by now.

        :param now_s: current time in seconds.
        """
        for state in self._states.values():
            if now_s >= state.warm_up.until_s and state.warm_up is not warm_ups.WARM:
                state.warm_up = warm_ups.WARM
                self._update_word(state, now_s)

    def may_eject(self, service, now_s):
        """Tell whether one more endpoint of a service may be ejected.

        :param service: service name.
        :param now_s: current time in seconds.
        """
        states = self.of_service(service)
        ejected = sum(1 for state in states if now_s < state.ejected_until_s)
        return ejected + 1 <= MAX_EJECTED_SHARE * len(states)
