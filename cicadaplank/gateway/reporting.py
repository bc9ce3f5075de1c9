"""Log lines and metrics of the gateway.

Every decision that touches a request leaves a line with its inputs. The number of lines
a second is bounded; under load the lines of answered calls are dropped first.
"""

import time

from cicadaplank.gateway import placement
from cicadaplank.requests import verdicts
from cicadaplank.world import links

# Lines a second for calls that were answered, and for all others.
ANSWERED_LINES_PER_S = 40.0
OTHER_LINES_PER_S = 60.0
# Lines that may come at once.
BURST_LINES = 100
# Upper bounds of the latency histograms in seconds.
LATENCY_BOUNDS_S = (0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
# Time from the arrival of a call until it is first sent to an endpoint.
QUEUE_BOUNDS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0)
# Reasons that get a label of their own; texts of endpoints may be part of a reason.
MAX_REASONS = 40
OTHER_REASON = "other"


class Reporter:
    """Writes log lines and counts.

    :param log: :class:`cicadaplank.reports.events.Events`.
    :param metrics: :class:`cicadaplank.reports.metrics.Metrics`.
    :param clock_s: callable that gives the steady time in seconds.
    """

    def __init__(self, log, metrics, clock_s):
        self.metrics = metrics
        self._log = log
        self._clock_s = clock_s
        now_s = clock_s()
        self._answered = links.TokenBucket(ANSWERED_LINES_PER_S, BURST_LINES, now_s)
        self._others = links.TokenBucket(OTHER_LINES_PER_S, BURST_LINES, now_s)
        self._reasons = set()

    def unix_s(self):
        """Return the time of day in Unix seconds."""
        return time.time()

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        self.metrics.count(name, amount, **labels)

    def _label(self, reason):
        """Return the label of a reason: its part before what differs by call."""
        label = reason.partition(":")[0]
        if label in self._reasons or len(self._reasons) < MAX_REASONS:
            self._reasons.add(label)
            return label
        return OTHER_REASON

    def event(self, event, level="info", bucket=None, **fields):
        """Write a line unless too many were written."""
        bucket = bucket or self._others
        if not bucket.take(1, self._clock_s()):
            self.count("log_lines_dropped", event=event)
            return
        self._log.log(event, level, **fields)

    def turned_away(self, request, status, reason, version):
        """Report a request that was answered without looking for an endpoint."""
        self.count(
            "requests",
            outcome="turned_away",
            status=status,
            reason=self._label(reason),
        )
        self.event(
            "request_turned_away",
            request=request.head.attempt.decode("latin-1"),
            status=status,
            reason=reason,
            host=request.head.host,
            path=request.head.path,
            configuration=version,
            verdict=verdicts.Verdict.NOT_RUN.value,
        )

    def first_event(self, call, latency_s):
        """Report the first event of a stream."""
        account = call.account.name if call.account else ""
        self.metrics.add_first_token(account, "", latency_s)

    def attempt_failed(self, call, state, ending, reason, now_s):
        """Report an attempt that gave no answer for the client."""
        self.count("attempts_failed", ending=ending.value)
        self.event(
            "attempt_failed",
            request=call.name,
            endpoint=state.endpoint.name,
            ending=ending.value,
            reason=reason,
            attempt=call.history.sends,
            endpoint_calls=state.in_flight,
            peer_calls=state.peer_calls(now_s),
            failures_in_a_row=state.failures_in_a_row,
        )

    def waiting(self, call, waiting, expected_s, states, demand, now_s):
        """Report a call that waits for room.

        :param waiting: calls that wait, this one included.
        :param expected_s: expected wait in seconds.
        :param states: states of the service's endpoints.
        :param demand: :class:`cicadaplank.gateway.placement.Demand`.
        """
        if not self._answered.take(1, now_s):
            self.count("log_lines_dropped", event="call_waits")
            return
        usable = [s for s in states if placement.serves(s.endpoint, demand)]
        self._log.log(
            "call_waits",
            request=call.name,
            waiting=waiting,
            expected_s=expected_s,
            endpoints=len(states),
            usable=len(usable),
            full=sum(1 for s in usable if not placement.has_room(s, now_s)),
            ejected=sum(1 for s in usable if s.is_ejected(now_s)),
            own_calls=sum(s.in_flight for s in usable),
            peer_calls=sum(s.peer_calls(now_s) for s in usable),
        )

    def ended(self, call, outcome, verdict, version):
        """Report the end of a call."""
        elapsed_s = self._clock_s() - call.request.arrived_s
        service, reason = call.service, call.reason
        self.count(
            "requests", outcome=outcome, service=service, reason=self._label(reason)
        )
        self.count("attempts", call.history.sends, service=service)
        if call.sent_after_s is not None:
            self.metrics.observe(
                "queue_seconds", call.sent_after_s, QUEUE_BOUNDS_S, service=service
            )
        if outcome == "answered":
            self.metrics.observe(
                "answer_seconds", elapsed_s, LATENCY_BOUNDS_S, service=service
            )
        self.event(
            "call_ended",
            bucket=self._answered if outcome == "answered" else None,
            request=call.name,
            route=call.route.name,
            outcome=outcome,
            verdict=verdict.value,
            reason=reason,
            attempts=call.history.sends,
            failed_dials=call.history.dials,
            endpoint=call.endpoint_name,
            sent_after_s=call.sent_after_s,
            first_event_s=call.first_event_s,
            longest_gap_s=call.longest_gap_s,
            elapsed_s=elapsed_s,
            configuration=version,
        )
