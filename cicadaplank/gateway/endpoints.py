"""Endpoints as one entry instance knows them.

What requests see goes before what an endpoint says of itself: failures of calls eject
an endpoint for a while, whatever its state is, and a trial call brings it back.
"""

import collections
import dataclasses

# Weight of the newest call in the failure share of an endpoint.
FAILURE_WEIGHT = 0.2
# Failures in a row after which an endpoint is ejected.
EJECT_IN_A_ROW = 3
# Failure share above which an endpoint is ejected.
EJECT_SHARE = 0.5
# First ejection; each further one in a row lasts twice as long.
EJECT_S = 1.0
MAX_EJECT_S = 8.0
# Largest part of a service's endpoints that is ejected; more failures mean that
# something else is wrong.
MAX_EJECTED_SHARE = 0.5
# Peers report their calls in progress every REPORT_S; older reports are dropped.
PEER_LOAD_AGE_S = 1.5
# Endpoints that are missing from the list just after an outage of the store are kept
# for this time: their entries lapsed and are written again.
LAPSE_S = 2.5


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """What an endpoint says of itself.

    :param name: identifier of this start of the endpoint.
    :param service: service name.
    :param host: IP address.
    :param port: TCP port.
    :param data_centre: data centre.
    :param slots: calls that it processes at once.
    :param is_leaving: whether it is about to stop.
    :param weights: dict from model name to the version that it serves.
    :param started_ms: Unix time of its start in milliseconds; 0 when it is unknown.
    :param warm_up_s: how much longer it stays slow after its start.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    weights: dict
    started_ms: int = 0
    warm_up_s: float = 0.0

    @property
    def identity(self):
        """Return what tells one start of an endpoint from another."""
        return self.name, self.host, self.port, self.started_ms


class EndpointState:
    """An endpoint and what this entry instance has seen of it.

    :param endpoint: :class:`Endpoint`.
    :ivar in_flight: calls that this entry instance has in progress there.
    """

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.in_flight = 0
        self.failure_share = 0.0
        self.failures_in_a_row = 0
        self.ejected_until_s = 0.0
        self.is_gone = False
        self.missing_since_s = None
        self._ejections = 0
        self._trial = False
        # Calls of each other entry instance with the time of its report, their sum, and
        # the time before which none of the reports came.
        self._peers = {}
        self._peer_sum = 0
        self._oldest_s = float("inf")
        self.full_until_s = 0.0
        # A connection is being opened to see whether it can be reached.
        self.is_probed = False

    # Load.

    def started(self):
        """Count a call that is sent there."""
        self.in_flight += 1

    def ended(self):
        """Count the end of a call."""
        self.in_flight -= 1

    def peer_load(self, peer, calls, now_s):
        """Take the calls in progress of another entry instance."""
        known, _ = self._peers.pop(peer, (0, 0.0))
        self._peer_sum += calls - known
        if calls:
            self._peers[peer] = (calls, now_s)
            self._oldest_s = min(self._oldest_s, now_s)

    def peer_calls(self, now_s):
        """Return the calls in progress of all other entry instances.

        It is asked for more often than reports come, so the sum is kept.
        """
        oldest_s = now_s - PEER_LOAD_AGE_S
        if self._oldest_s < oldest_s:
            self._peers = {p: e for p, e in self._peers.items() if e[1] >= oldest_s}
            self._peer_sum = sum(calls for calls, _ in self._peers.values())
            times_s = (at_s for _, at_s in self._peers.values())
            self._oldest_s = min(times_s, default=float("inf"))
        return self._peer_sum

    def calls(self, now_s):
        """Return an estimate of all calls that the endpoint has."""
        return self.in_flight + self.peer_calls(now_s)

    # Failures.

    def answered(self, now_s):
        """Take a good answer."""
        self.failure_share *= 1 - FAILURE_WEIGHT
        self.failures_in_a_row = 0
        self._ejections = 0
        self._trial = False
        self.ejected_until_s = min(self.ejected_until_s, now_s)

    def failed(self, now_s, may_eject):
        """Take a failure that the endpoint is responsible for.

        :param now_s: current time in seconds.
        :param may_eject: whether enough other endpoints are left.
        :returns: seconds of a new ejection, 0.0 when it is not ejected now.
        """
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        self.failures_in_a_row += 1
        due = (
            self._trial
            or self.failures_in_a_row >= EJECT_IN_A_ROW
            or self.failure_share > EJECT_SHARE
        )
        if not (due and may_eject) or now_s < self.ejected_until_s:
            return 0.0
        return self._eject(now_s)

    def unreachable(self, now_s):
        """Take a connection that could not be opened.

        It is certain that the endpoint cannot be used from here, and trying it again
        costs a call the time of a dial.

        :returns: seconds of a new ejection, 0.0 when it is ejected already.
        """
        if now_s < self.ejected_until_s:
            return 0.0
        return self._eject(now_s)

    def reached(self, now_s):
        """Take a connection that could be opened to see whether it can be reached."""
        self._trial = False
        self.ejected_until_s = min(self.ejected_until_s, now_s)

    def _eject(self, now_s):
        length_s = min(MAX_EJECT_S, EJECT_S * 2**self._ejections)
        self._ejections += 1
        self._trial = True
        self.ejected_until_s = now_s + length_s
        return length_s

    def is_ejected(self, now_s):
        """Tell whether the endpoint gets no calls now."""
        if now_s < self.ejected_until_s or self.is_probed:
            return True
        # One trial call at a time after an ejection.
        return self._trial and self.in_flight > 0

    def refused(self, now_s, for_s):
        """Take a refusal because the endpoint is full."""
        self.full_until_s = now_s + for_s


class Endpoints:
    """All known endpoints by service.

    :ivar counts: changes by kind.
    """

    def __init__(self):
        self.counts = collections.Counter()
        self._states = {}
        self._services = collections.defaultdict(dict)

    def get(self, name):
        """Return the :class:`EndpointState` of a name, or None."""
        return self._states.get(name)

    def names(self):
        """Return the names of all endpoints."""
        return list(self._states)

    def all(self):
        """Return all states."""
        return list(self._states.values())

    def of_service(self, service):
        """Return the states of a service."""
        return list(self._services.get(service, {}).values())

    def update(self, listed, now_s, keep_missing=False):
        """Take the list of endpoints.

        :param listed: dict from name to :class:`Endpoint`.
        :param now_s: current time in seconds.
        :param keep_missing: keep endpoints that are missing for :data:`LAPSE_S`, since
            the store has just come back from an outage.
        :returns: tuple of :class:`EndpointState` that are gone.
        """
        gone = []
        for name, endpoint in listed.items():
            state = self._states.get(name)
            if state and state.endpoint.identity != endpoint.identity:
                gone.append(self._remove(state))
                state = None
            if state is None:
                self._add(EndpointState(endpoint))
                continue
            if state.endpoint.service != endpoint.service:
                self._services[state.endpoint.service].pop(name, None)
                self._services[endpoint.service][name] = state
            state.endpoint = endpoint
            state.missing_since_s = None
        for name in set(self._states) - set(listed):
            state = self._states[name]
            if state.missing_since_s is None:
                state.missing_since_s = now_s
            if not keep_missing or now_s - state.missing_since_s > LAPSE_S:
                gone.append(self._remove(state))
        return tuple(gone)

    def _add(self, state):
        self.counts["added"] += 1
        self._states[state.endpoint.name] = state
        self._services[state.endpoint.service][state.endpoint.name] = state

    def _remove(self, state):
        self.counts["removed"] += 1
        state.is_gone = True
        del self._states[state.endpoint.name]
        self._services[state.endpoint.service].pop(state.endpoint.name, None)
        return state

    def may_eject(self, service, now_s):
        """Tell whether one more endpoint of a service may be ejected."""
        states = self.of_service(service)
        ejected = sum(1 for state in states if now_s < state.ejected_until_s)
        return ejected + 1 <= MAX_EJECTED_SHARE * len(states)
