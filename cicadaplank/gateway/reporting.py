"""Log lines and metrics of the gateway.

Every decision about a request is logged with its inputs. The rate of log lines is
limited, separately for answered calls, so that under load their lines are dropped
before those of failures.
"""

import time

from cicadaplank.gateway import placement
from cicadaplank.requests import verdicts
from cicadaplank.world import links

# Limits in log lines per second: answered calls and calls that wait; all others.
ANSWERED_LINES_PER_S = 40.0
OTHER_LINES_PER_S = 60.0
# Capacity of each token bucket in lines.
BURST_LINES = 100
# Limit for changes of what the process knows of the deployment. They have a limit of
# their own, since failures of calls are most frequent just when these matter.
STATE_LINES_PER_S = 20.0
# Upper bounds of the buckets of the latency histogram in seconds.
LATENCY_BOUNDS_S = (0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
# Likewise for the time from the arrival of a call until it is first sent.
QUEUE_BOUNDS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0)
# Number of distinct reasons used as metric labels. A reason may contain text from an
# endpoint, so that the number of labels would otherwise be unbounded.
MAX_REASONS = 40
OTHER_REASON = "other"


class Reporter:
    """Writes the log lines and updates the metrics of the gateway.

    :param log: :class:`cicadaplank.reports.events.Events`.
    :param metrics: :class:`cicadaplank.reports.metrics.Metrics`.
    :param clock_s: callable that returns the monotonic time in seconds.
    """

    def __init__(self, log, metrics, clock_s):
        self.metrics = metrics
        self._log = log
        self._clock_s = clock_s
        now_s = clock_s()
        self._answered_bucket = links.TokenBucket(
            ANSWERED_LINES_PER_S, BURST_LINES, now_s
        )
        self._other_bucket = links.TokenBucket(OTHER_LINES_PER_S, BURST_LINES, now_s)
        self._state_bucket = links.TokenBucket(STATE_LINES_PER_S, BURST_LINES, now_s)
        self._reasons = set()

    def unix_s(self):
        """Return the wall-clock time in Unix seconds."""
        return time.time()

    def count(self, name, amount=1, **labels):
        """Add to a counter.

        :param name: name of the metric.
        :param amount: number to add.
        """
        self.metrics.count(name, amount, **labels)

    def _label(self, reason):
        """Return the metric label of a reason: its text before the first colon."""
        label = reason.partition(":")[0]
        if label in self._reasons or len(self._reasons) < MAX_REASONS:
            self._reasons.add(label)
            return label
        return OTHER_REASON

    def event(self, event, level="info", bucket=None, **fields):
        """Write a log line within the rate limit.

        :param event: name of the event.
        :param level: log level.
        :param bucket: token bucket of the line, that for other lines by default.
        """
        bucket = bucket or self._other_bucket
        if not bucket.take(1, self._clock_s()):
            self.count("log_lines_dropped", event=event)
            return
        self._log.log(event, level, **fields)

    def state_event(self, event, level="info", **fields):
        """Write a log line about what the process knows of the deployment.

        :param event: name of the event.
        :param level: log level.
        """
        self.event(event, level, self._state_bucket, **fields)

    def turned_away(self, request, status, reason, version):
        """Report a request that was refused before an endpoint was sought."""
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

    def unanswered(self, attempts, cause):
        """Report requests that were read and not started when their connection ended.

        :param attempts: list of the clients' identifiers of their attempts.
        :param cause: who ended the connection, and how.
        """
        self.count("requests_unanswered", len(attempts), cause=cause)
        for attempt in attempts:
            self.event(
                "request_unanswered", request=attempt.decode("latin-1"), cause=cause
            )

    def aborted_in_stop(self, abort, stop_s):
        """Report a call that a planned stop ends at its time limit.

        :param abort: :class:`cicadaplank.members.draining.Abort`.
        :param stop_s: time of the start of the stop in seconds.
        """
        call, accepted = abort.work, abort.accepted
        self.event(
            "call_aborted_in_stop",
            request=call.name,
            phase=call.phase.value,
            accepted_after_s=accepted.at_s - stop_s,
            needed_s=accepted.needed_s,
            limit_s=call.deadline_s - accepted.at_s,
            has_requests_behind=call.has_requests_behind,
        )

    def record_first_event(self, call, latency_s):
        """Record the latency of a stream's first event in seconds."""
        account = call.account.name if call.account else ""
        self.metrics.add_first_token(account, "", latency_s)

    def attempt_failed(self, call, state, ending, reason, now_s):
        """Report an attempt that gave no response for the client.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param state: state of the endpoint.
        :param ending: :class:`cicadaplank.gateway.outcomes.Ending`.
        :param reason: description of the failure.
        :param now_s: current time in seconds.
        """
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
            **_response_fields(call),
        )

    def attempt_withdrawn(self, call, version, bound):
        """Report an attempt that is withdrawn from an endpoint with older weights.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param version: version that the endpoint serves.
        :param bound: :class:`cicadaplank.gateway.named_versions.Bound`.
        """
        self.count("attempts_withdrawn", service=call.service)
        self.event(
            "attempt_withdrawn",
            request=call.name,
            endpoint=call.endpoint_name,
            attempt=call.history.sends,
            weights=version,
            needed=bound.version,
            left_s=bound.left_s,
        )

    def waiting(self, call, waiting, expected_s, states, demand, now_s):
        """Report a call that was queued until an endpoint has capacity.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param waiting: number of queued calls, this one included.
        :param expected_s: expected wait in seconds.
        :param states: states of the service's endpoints.
        :param demand: :class:`cicadaplank.gateway.placement.Demand`.
        :param now_s: current time in seconds.
        """
        if not self._answered_bucket.take(1, now_s):
            self.count("log_lines_dropped", event="call_waits")
            return
        usable = [s for s in states if placement.accepts(s, demand)]
        self._log.log(
            "call_waits",
            request=call.name,
            waiting=waiting,
            expected_s=expected_s,
            endpoints=len(states),
            usable=len(usable),
            full=sum(1 for s in usable if not placement.has_free_slot(s, now_s)),
            ejected=sum(1 for s in usable if s.is_ejected(now_s)),
            leaving=sum(1 for s in states if s.word.is_leaving),
            busy=sum(1 for s in usable if s.word.is_busy(now_s)),
            own_calls=sum(s.in_flight for s in usable),
            peer_calls=sum(s.peer_calls(now_s) for s in usable),
        )

    def ended(self, call, outcome, verdict, version):
        """Report the end of a call.

        :param call: :class:`cicadaplank.gateway.calls.Call`.
        :param outcome: name of the outcome.
        :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`.
        :param version: version of the configuration in force.
        """
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
            bucket=self._answered_bucket if outcome == "answered" else None,
            request=call.name,
            route=call.route.name,
            outcome=outcome,
            verdict=verdict.value,
            reason=reason,
            attempts=call.history.sends,
            failed_dials=call.history.dials,
            endpoint=call.endpoint_name,
            weights=call.weights_version,
            sent_after_s=call.sent_after_s,
            first_event_s=call.first_event_s,
            longest_gap_s=call.longest_gap_s,
            elapsed_s=elapsed_s,
            **_response_fields(call),
            admitted=call.admitted.version,
            configuration=version,
        )


def _response_fields(call):
    """Return the log fields of how the answer to the last attempt ended."""
    end = call.response_end
    return {
        "framing": end.framing.value,
        "ended_by": end.termination.value,
        "body_bytes": end.body_bytes,
        "partial_event_bytes": call.partial_event_bytes,
    }
