"""State machine of one call, from its arrival to its final answer.

A :class:`Call` owns its attempts at endpoints and the answer to the client. The
decisions are made elsewhere: :mod:`placement` chooses the endpoint, :mod:`waiting`
queues calls, and :mod:`outcomes` decides what follows a failed attempt.

An endpoint that is silent may be dead, or go on in a moment. A call that may be
repeated is sent to a second endpoint then, while the first attempt goes on: the first
of the two that delivers answers the client, and the other one is cancelled. This is a
hedged request (Dean and Barroso, The Tail at Scale, 2013), started late so that it
costs few repeats.
"""

import dataclasses
import enum

from cicadaplank.external import event_streams
from cicadaplank.gateway import (
    admittance,
    attempts,
    call_errors,
    framing,
    outcomes,
    placement,
    routes,
    service_times,
    waiting,
)
from cicadaplank.requests import verdicts

# A call whose answer has not started after this multiple of the route's objective is
# sent to a second endpoint. After twice the objective it is late anyway.
RESPONSE_TIMEOUT_FACTOR = 2.0
MIN_RESPONSE_TIMEOUT_S = 0.35
# A stream that stays silent for this time is resumed at a second endpoint. Clients
# abandon a stream after a gap of 2 s; the rest of it is left for the other endpoint to
# process the prompt again.
STREAM_STALL_TIMEOUT_S = 0.9
# A stream that has begun is aborted this long after the call's deadline.
DEADLINE_SLACK_S = 0.1
# The same at most, for one whose request was read late: an answer has to end within
# 0.5 s of its deadline.
MAX_DEADLINE_SLACK_S = 0.4
# An endpoint that refused a call because it is full gets no new calls for this time.
FULL_BACK_OFF_S = 0.1


# Reason of a call that ends because of :class:`crash_causes.CrashCauses`.
BLOCKED = "a part of the prompt crashed several endpoints"


class Phase(enum.Enum):
    """Phase of a call.

    ``RECEIVED``: not placed yet, or to be placed again after a failed attempt.
    ``WAITING``: in the queue of its service. ``DIALLING``: a connection to the endpoint
    is being opened. ``SENT``: sent, and nothing of this attempt's answer was forwarded.
    ``STREAMING``: a part of the stream was forwarded to the client. ``ENDED``: the
    client has its final answer, or has left.
    """

    RECEIVED = "received"
    WAITING = "waiting"
    DIALLING = "dialling"
    SENT = "sent"
    STREAMING = "streaming"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True)
class Request:
    """A complete request of a client.

    :param head: :class:`cicadaplank.gateway.dialects.RequestHead`.
    :param body: bytes of the body.
    :param arrived_s: time in seconds at which its last byte arrived; the earliest
        possible time when it was read late.
    :param read_s: time in seconds at which it was read.
    """

    head: object
    body: bytes
    arrived_s: float
    read_s: float


class Call:
    """One call of a client, over all its attempts at endpoints.

    :param gateway: :class:`cicadaplank.gateway.gateway.Gateway`.
    :param client: connection of the client, with ``has_left``,
        ``has_queued_requests``, ``reply``, ``refuse``, ``begin_stream``, ``stream``,
        ``end_stream``, ``abort`` and ``handling_failed``.
    :param request: :class:`Request`.
    :param admitted: :class:`cicadaplank.gateway.admittance.Admitted`.
    :param service: service name.
    :param fingerprint: digest of the client account and the request's content, by which
        requests that crash endpoints are recognised; empty until it is needed.
    """

    def __init__(self, gateway, client, request, admitted, service, fingerprint):
        self.request = request
        self.admitted = admitted
        self.service = service
        self.fingerprint = fingerprint
        self.phase = Phase.RECEIVED
        self.history = outcomes.History()
        self.excluded = frozenset()
        self.reason = ""
        self.last_event = b""
        # Name of the last endpoint that the call was sent to or that answered, and the
        # version of its weights that it published.
        self.endpoint_name = ""
        self.weights_version = None
        # Seconds since the arrival, for the log.
        self.sent_after_s = None
        self.first_event_s = None
        self.longest_gap_s = 0.0
        # How the answer to the last attempt ended, and the number of bytes after its
        # last complete event.
        self.response_end = framing.ResponseEnd()
        self.partial_event_bytes = 0
        head = request.head
        wait_s = self.route.timeout_s
        if head.wait_s is not None:
            wait_s = min(wait_s, head.wait_s)
        self.deadline_s = request.arrived_s + wait_s
        # The deadline of a request that came just before it was read.
        self.latest_deadline_s = min(
            request.read_s + wait_s, self.deadline_s + MAX_DEADLINE_SLACK_S
        )
        self.objective_s = request.arrived_s + self.route.objective_s
        self._gateway = gateway
        self._client = client
        # Attempts in progress: one, or two while the first one is silent.
        self._attempts = []
        self._reply = None
        self._body = b""
        self._is_client_told = False
        self._stream_began = False
        # Whether the last event that was forwarded has an id.
        self._is_place_known = False
        self._numbering = event_streams.Numbering()
        # Whether an attempt broke off inside an event that no later one has brought.
        self._is_event_due = False
        self._is_paused = False
        # Budget of a retry that was taken and not sent yet, and its time, or None.
        self._unsent_retry = None
        self._last_event_s = 0.0
        self._last_activity_s = 0.0

    @property
    def shared_parts(self):
        """Return the parts of the prompt that other requests may share."""
        return self.request.head.shared_parts

    @call_errors.ends_call
    def block(self, after_s, now_s):
        """End the call unless a part of its answer was forwarded.

        :param after_s: seconds for which its prompt is blocked.
        :param now_s: current time in seconds.
        """
        if self.phase in (Phase.STREAMING, Phase.ENDED):
            return
        if self.phase is Phase.SENT:
            self.history.ended(outcomes.Ending.SILENT)
        self._stop()
        self.refuse(BLOCKED, now_s, after_s)

    # What the configuration says.

    @property
    def route(self):
        """Return the :class:`cicadaplank.gateway.routes.Route` of the call."""
        return self.admitted.route

    @property
    def account(self):
        """Return the client's :class:`cicadaplank.gateway.routes.Account`, or None."""
        return self.admitted.account

    @property
    def priority(self):
        """Return the priority, 0 for the most urgent; the account's goes first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @call_errors.ends_call
    def configuration_changed(self, now_s):
        """Apply a newer configuration, unless the call is at an endpoint.

        A call at an endpoint is checked before it is sent again.

        :param now_s: current time in seconds.
        """
        if self.phase not in (Phase.WAITING, Phase.DIALLING):
            return
        if self.admit_again(now_s) and self.phase is Phase.RECEIVED:
            self._gateway.place(self, now_s)

    def admit_again(self, now_s):
        """Check the call against the configuration in force before it is sent.

        A call that is no longer allowed ends. One that goes to another service leaves
        the queue or the dial that it is in.

        :param now_s: current time in seconds.
        :returns: whether the call may be sent.
        """
        found = self._gateway.admit_again(self)
        if found is None:
            return True
        if isinstance(found, admittance.Denied):
            self._stop()
            self._deny(found, now_s)
            return False
        admitted, service = found
        if not (self.may_be_refused or self._may_repeat(admitted.route)):
            self._stop()
            self.fail(502, "not sent again: the route no longer allows it", now_s)
            return False
        if service != self.service:
            self._stop()
            self.phase = Phase.RECEIVED
        self.admitted, self.service = admitted, service
        return True

    def _may_repeat(self, route):
        """Tell whether a route allows another run of a call that may have run."""
        if route.retry_policy is routes.RetryPolicy.NEVER:
            return False
        return not self._stream_began or (
            route.is_stream and route.retry_policy is self.route.retry_policy
        )

    @property
    def may_be_refused(self):
        """Whether the call has certainly not run and its client got no answer yet."""
        is_not_run = self.history.verdict is verdicts.Verdict.NOT_RUN
        return is_not_run and not self._stream_began

    def _deny(self, denied, now_s):
        if not self.may_be_refused:
            self.fail(502, f"not sent again: {denied.reason}", now_s)
            return
        self.reason = denied.reason
        after_s = None
        if denied.status == 503:
            left_s = self.deadline_s - now_s
            after_s = self._gateway.retry_after_s(0.0, left_s)
        text = f"not run: {denied.reason}"
        answer = (self._client.refuse, denied.status, text, after_s)
        self._finish("denied", verdicts.Verdict.NOT_RUN, *answer)

    # Placement.

    @property
    def name(self):
        """Return the client's identifier of its attempt, for logs."""
        return self.request.head.attempt.decode("latin-1")

    def demand(self):
        """Return what the next attempt requires of an endpoint.

        :returns: :class:`placement.Demand`.
        """
        return placement.Demand(
            self.service,
            self._gateway.data_centre,
            self._model,
            self._gateway.min_version(self._model),
            self.excluded,
            self._gateway.members,
            self.generation(),
            self._gateway.allowed_regions(self),
            self._gateway.evacuated,
        )

    def generation(self):
        """Return the :class:`placement.Generation`, None without published figures."""
        engine = self._gateway.engine(self.service)
        if engine is None or not self.route.is_generation:
            return None
        work = service_times.bounded_work(engine, self.request.head.work)
        return placement.Generation(engine, work, self.route.objective_s)

    @property
    def _model(self):
        """Model whose weights the call needs, or empty."""
        return self.request.head.model if self.route.is_generation else ""

    def queue_entry(self):
        """Return the queue entry of this call.

        A stream that has begun waits at most until twice :data:`STREAM_STALL_TIMEOUT_S`
        after its last activity, since clients abandon it after a gap of 2 s.

        :returns: :class:`cicadaplank.gateway.waiting.QueuedCall`.
        """
        wait_until_s = waiting.wait_until_s(
            self.request.arrived_s, self.deadline_s, self.objective_s
        )
        if self._stream_began:
            wait_until_s = min(
                self.deadline_s, self._last_activity_s + 2 * STREAM_STALL_TIMEOUT_S
            )
        arrived_s = self.request.arrived_s
        answer_time = self._gateway.answer_times[self.service]
        start_by_s = answer_time.start_by_s(arrived_s, self.objective_s)
        generation, work_s = self.generation(), 0.0
        if generation is not None:
            work_s = service_times.work_s(generation.engine, generation.work)
        return waiting.QueuedCall(
            self,
            self.priority,
            arrived_s,
            start_by_s,
            wait_until_s,
            work_s,
            self.may_be_refused,
        )

    def send(self, state, now_s):
        """Start an attempt: get a connection to an endpoint and send the call on it.

        The call ends instead when its client has left.

        :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
        :param now_s: current time in seconds.
        """
        if self._client.has_left:
            self.client_left()
            return
        self.phase = Phase.DIALLING
        self._begin_attempt(state, now_s)

    def _begin_attempt(self, state, now_s, is_hedge=False):
        attempt = attempts.Attempt(self._gateway, self, state, is_hedge, now_s)
        self._attempts.append(attempt)
        may_retry = self.route.retry_policy is not routes.RetryPolicy.NEVER
        identifier = self.request.head.attempt
        # Without an identifier, no answer but the first is known to be its own.
        attempt.dial(may_retry and bool(identifier), identifier)

    def attempt_opened(self, attempt, connection):
        """Send the call on the connection of an attempt, if it still may be sent.

        :param attempt: :class:`attempts.Attempt`.
        :param connection: :class:`cicadaplank.gateway.connections.EndpointConnection`.
        """
        if self._client.has_left:
            attempt.end()
            self._gateway.release_connection(connection)
            self.client_left()
            return
        now_s = self._gateway.now_s()
        if self._gateway.refuse_if_late(self, now_s):
            return
        left_s = self.deadline_s - now_s
        # The endpoint, or what the call requires, may have changed during the dial.
        may_send = attempt.is_usable(self.demand(), now_s)
        if attempt.is_hedge:
            may_send = may_send and self._gateway.may_be_sent_again(self, now_s)
        if left_s < outcomes.MIN_ATTEMPT_S or not may_send:
            attempt.end()
            self._gateway.release_connection(connection)
            self.attempt_ended(
                attempt,
                outcomes.Ending.UNREACHABLE,
                "endpoint left",
                counts_as_failure=False,
            )
            return
        if not self._is_second(attempt):
            self.phase = Phase.SENT
        self._unsent_retry = None
        if self.sent_after_s is None:
            self.sent_after_s = now_s - self.request.arrived_s
        state = attempt.state
        attempt.weights_version = state.endpoint.weights.get(self._model)
        self._show_attempt(attempt)
        data = self._gateway.encode_call(self, state, left_s)
        self.history.sends += 1
        attempt.send(connection, data, self._stream_began, self._is_paused, now_s)

    def _is_second(self, attempt):
        return attempt is not self._attempts[0]

    def _show_attempt(self, attempt):
        """Let the log show an attempt as the last one."""
        self.endpoint_name = attempt.endpoint_name
        self.weights_version = attempt.weights_version
        self.response_end = attempt.response_end
        self.partial_event_bytes = attempt.partial_event_bytes

    def _give_back_retry(self):
        """Return a retry that was taken and not sent to its budget."""
        unsent, self._unsent_retry = self._unsent_retry, None
        if unsent is not None:
            budget, taken_s = unsent
            budget.give_back(taken_s)

    @property
    def has_requests_behind(self):
        """Whether requests of its connection wait for the end of its answer."""
        return self._client.has_queued_requests

    # Answers of endpoints.

    def events_received(self, attempt, events):
        """Forward the events of an attempt that the client does not have yet.

        :param attempt: :class:`attempts.Attempt`.
        :param events: list of :class:`cicadaplank.external.event_streams.Event`.
        :returns: why an event cannot follow the ones forwarded, empty if it can.
        """
        now_s = self._gateway.now_s()
        forwarded = []
        has_progressed = False
        fault = ""
        repeated = 0
        for event in events:
            if not event_streams.is_newer(event.identifier, self._previous_event):
                repeated += 1
                attempt.idle_bytes += len(event.data)
                continue
            if event.is_comment:
                attempt.idle_bytes += len(event.data)
                if self._is_second(attempt):
                    continue
            fault = self._join_fault(attempt, event)
            if fault:
                break
            forwarded.append(event.data)
            if event.identifier:
                self.last_event = event.identifier
                self._numbering.add(event.identifier)
            if not event.is_comment:
                has_progressed = attempt.has_progressed = True
                attempt.idle_bytes = 0
                self._is_place_known = bool(event.identifier)
        if repeated:
            self._gateway.count("repeated_events", repeated)
        if attempt.idle_bytes > attempts.MAX_IDLE_BYTES:
            fault = fault or f"{attempt.idle_bytes} bytes without a new event"
        # The client gets the head and the events of one attempt.
        if has_progressed or (forwarded and not self._stream_began):
            self._elect(attempt, now_s)
        if forwarded:
            # Bytes of an unfinished event are no progress for the client.
            if self._stream_began:
                gap_s = now_s - self._last_event_s
                self.longest_gap_s = max(self.longest_gap_s, gap_s)
            attempt.last_activity_s = now_s
            self._last_event_s = self._last_activity_s = now_s
            self._forward(attempt, b"".join(forwarded), now_s)
            if attempt.is_sound:
                self._gateway.record_sound(self)
        return fault

    def _elect(self, attempt, now_s):
        """Let an attempt that has delivered answer the client, and cancel the other.

        An endpoint whose attempt was still silent when a later one had delivered has
        failed; one that was second has not.
        """
        if len(self._attempts) == 1:
            return
        is_second = self._is_second(attempt)
        (other,) = (each for each in self._attempts if each is not attempt)
        self._attempts = [attempt]
        other.cancel()
        self.history.ended(outcomes.Ending.SILENT)
        if is_second:
            self.excluded |= {other.endpoint_name}
            self._gateway.record_failure(
                self, other.state, outcomes.Ending.SILENT, self._silence(), now_s
            )
        else:
            self._give_back_retry()
        self._gateway.second_attempt_ended(self, is_second)
        self._show_attempt(attempt)

    def _silence(self):
        return "stream stalled" if self._stream_began else "no answer"

    @property
    def _previous_event(self):
        """Identifier of the last event that the client has, empty if none."""
        if (
            self.last_event
            or self.route.retry_policy is not routes.RetryPolicy.RESUMABLE
        ):
            return self.last_event
        return self.request.head.resume_after

    def _join_fault(self, attempt, event):
        """Return why an event cannot follow the ones forwarded, empty if it can.

        :param attempt: :class:`attempts.Attempt` that brings it.
        :param event: :class:`cicadaplank.external.event_streams.Event`.
        """
        if not attempt.is_resumed or event.is_comment:
            return ""
        if not event.identifier:
            return "an event without an id in the rest of a stream"
        if not self._numbering.may_follow(event.identifier):
            return "an event is missing in the rest of a stream"
        return ""

    def _forward(self, attempt, data, now_s):
        self.phase = Phase.STREAMING
        self._is_event_due = False
        if not self._stream_began:
            self._stream_began = True
            self.first_event_s = now_s - self.request.arrived_s
            self._gateway.record_first_event(self, self.first_event_s)
            self._observe_answer(attempt, now_s)
            self._client.begin_stream(attempt.reply)
        self._client.stream(data)

    def _observe_answer(self, attempt, now_s):
        answer_time = self._gateway.answer_times[self.service]
        answer_time.record_answer(now_s - attempt.sent_s)

    def record_response_end(self, attempt):
        """Record how the answer to an attempt ended, for the log and the next one.

        :param attempt: :class:`attempts.Attempt`.
        """
        self._show_attempt(attempt)
        self._is_event_due |= attempt.is_inside_event

    def attempt_answered(self, attempt):
        """Handle the end of a complete answer.

        :param attempt: :class:`attempts.Attempt`, ended.
        """
        head, state = attempt.reply, attempt.state
        now_s = self._gateway.now_s()
        if head.is_not_run or head.is_misdirected:
            ending = outcomes.Ending.REFUSED
            if head.is_misdirected:
                ending = outcomes.Ending.MISDIRECTED
            self.attempt_ended(attempt, ending, f"status {head.status}")
            return
        if attempt.splitter is not None:
            self._stream_ended(attempt, now_s)
            return
        broken = outcomes.Ending.BROKEN
        if self._stream_began:
            reason = f"status {head.status} instead of the rest of a stream"
            self.attempt_ended(attempt, broken, reason)
            return
        # Redirects and client errors of the application itself, such as 404, are
        # forwarded as they are.
        is_forwarded = head.is_signed and 300 <= head.status < 500
        if head.is_valid_success or is_forwarded:
            if not head.claims_not_run:
                self._elect(attempt, now_s)
                state.record_answer(now_s)
                self._observe_answer(attempt, now_s)
                if head.is_valid_success:
                    self._record_sound(attempt)
                answer = (self._client.reply, head, attempt.body)
                self._finish("answered", verdicts.Verdict.RAN, *answer)
                return
        ending = broken
        if head.status >= 500 and head.is_signed and not head.claims_not_run:
            ending = outcomes.Ending.FAILED
            self._reply, self._body = head, bytes(attempt.body)
        self.attempt_ended(attempt, ending, f"status {head.status}")

    def _stream_ended(self, attempt, now_s):
        fault = self._stream_fault(attempt)
        if fault:
            if attempt.response_end.termination is not framing.Termination.COMPLETE:
                self._gateway.connection_broken(self, attempt)
            self.attempt_ended(attempt, outcomes.Ending.BROKEN, fault)
            return
        rest = attempt.splitter.rest
        self._elect(attempt, now_s)
        attempt.state.record_answer(now_s)
        self._record_sound(attempt)
        if rest or not self._stream_began:
            self._forward(attempt, rest, now_s)
        self._finish("answered", verdicts.Verdict.RAN, self._client.end_stream)

    def _record_sound(self, attempt):
        """Record a whole answer, as evidence that its prompt crashes no endpoint.

        Without a length and chunks it ends in the same way when its endpoint crashes.
        """
        if attempt.response_end.framing is not framing.Framing.CLOSE:
            self._gateway.record_sound(self)

    def _stream_fault(self, attempt):
        """Return why a stream whose answer has ended is not whole, empty if it is.

        Without a length and chunks, a close is the only end of an answer, also of one
        whose endpoint has crashed.
        """
        if attempt.is_inside_event:
            return "the stream ended inside an event"
        others = [each for each in self._attempts if each is not attempt]
        if self._is_event_due or any(other.is_inside_event for other in others):
            return "the stream ended before the rest of an event"
        is_unframed = attempt.response_end.framing is framing.Framing.CLOSE
        if is_unframed and not attempt.has_progressed:
            return "the stream ended before its first event"
        return ""

    @call_errors.ends_call
    def pause(self):
        """Stop reading from endpoints because the client reads too slowly."""
        self._is_paused = True
        for attempt in self._attempts:
            attempt.pause()

    @call_errors.ends_call
    def resume(self):
        """Resume reading from endpoints."""
        self._is_paused = False
        self._last_activity_s = self._gateway.now_s()
        for attempt in self._attempts:
            attempt.resume(self._last_activity_s)

    # End of an attempt and of the call.

    def attempt_ended(self, attempt, ending, reason, counts_as_failure=True):
        """Retry or end the call after an attempt that gave the client no answer.

        While another attempt is in progress, the call goes on with that.

        :param attempt: :class:`attempts.Attempt`, ended.
        :param ending: :class:`cicadaplank.gateway.outcomes.Ending`.
        :param reason: what happened, for the log and the client.
        :param counts_as_failure: whether the endpoint is responsible for it.
        """
        now_s = self._gateway.now_s()
        budget = self._gateway.budget(self.service)
        is_second = self._is_second(attempt)
        self._attempts.remove(attempt)
        self._last_activity_s = max(self._last_activity_s, attempt.last_activity_s)
        self.history.ended(ending)
        if counts_as_failure:
            self.excluded |= {attempt.endpoint_name}
            self._gateway.record_failure(self, attempt.state, ending, reason, now_s)
        if self._attempts:
            self._go_on_without(is_second)
            return
        decision = outcomes.decide(
            self.history,
            ending,
            self.route,
            self.deadline_s - now_s,
            budget,
            now_s,
        )
        action = decision.action
        has_taken = action is outcomes.Action.RETRY
        if has_taken and ending is not outcomes.Ending.UNREACHABLE:
            self._unsent_retry = budget, now_s
        if (
            self._stream_began
            and action is outcomes.Action.RETRY
            and not self._is_place_known
        ):
            action = outcomes.Action.FAIL
        self.reason = f"{ending.value}:{decision.reason}"
        if action is outcomes.Action.RETRY:
            self.phase = Phase.RECEIVED
            self._gateway.place(self, now_s)
        elif self._stream_began:
            self.abort(f"stream broken: {reason}")
        elif action is outcomes.Action.REFUSE:
            self.refuse(self.reason, now_s)
        elif action is outcomes.Action.PASS:
            answer = (self._client.reply, self._reply, self._body)
            self._finish("passed_failure", verdicts.Verdict.RAN, *answer)
        else:
            self.fail(502, reason, now_s)

    def _go_on_without(self, is_second):
        """Go on with the other attempt after one of two has ended.

        :param is_second: whether the one that has ended began after the other.
        """
        (attempt,) = self._attempts
        self._show_attempt(attempt)
        if is_second:
            self._give_back_retry()
            self._gateway.second_attempt_ended(self, False)
        elif attempt.sent_s is None:
            self.phase = Phase.DIALLING
        else:
            self.phase = Phase.SENT

    def refuse(self, reason, now_s, expected_s=0.0, has_told_time=False):
        """End the call as not run, and tell the client when to retry.

        When an attempt may have run, the call fails instead; when a stream has begun,
        it is aborted.

        :param reason: text for the client and the log.
        :param now_s: current time in seconds.
        :param expected_s: expected time in seconds until a slot is free.
        :param has_told_time: whether endpoints have told that time: the client is told
            no earlier one, also if its deadline comes before.
        """
        if self.history.verdict is not verdicts.Verdict.NOT_RUN:
            self.fail(502, reason, now_s)
            return
        if self._stream_began:
            self.abort(reason)
            return
        self.reason = reason
        if has_told_time:
            after_s = self._gateway.told_retry_after_s(expected_s)
        else:
            left_s = self.deadline_s - now_s
            after_s = self._gateway.retry_after_s(expected_s, left_s)
        text = f"not run: {reason}; send it again later"
        answer = (self._client.refuse, 503, text, after_s)
        self._finish("refused", verdicts.Verdict.NOT_RUN, *answer)

    def fail(self, status, reason, now_s):
        """End the call and tell the client that it may have run.

        :param status: HTTP status.
        :param reason: text for the client and the log.
        :param now_s: current time in seconds; not used.
        """
        if self._stream_began:
            self.abort(reason)
            return
        self.reason = f"{self.reason} {reason}".strip()
        answer = (self._client.refuse, status, f"may have run: {reason}", None)
        self._finish("failed", self.history.verdict, *answer)

    def abort(self, reason):
        """Abort a stream without its end, so that it is not taken for complete.

        :param reason: text for the log.
        """
        self.reason = reason
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        self._finish("broken_off", verdict, self._client.abort)

    def _finish(self, outcome, verdict, answer, *args):
        """End the call: answer its client, then take the call out of the gateway.

        :param outcome: how it ended, for log and metrics.
        :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`.
        :param answer: callable that answers the client, with its arguments.
        """
        self.phase = Phase.ENDED
        self._attempts = []
        answer(*args)
        self._is_client_told = True
        self._give_back_retry()
        self._gateway.call_ended(self, outcome, verdict)

    def handling_failed(self):
        """End the call after an unexpected error, while that is being handled.

        The client is told first, by what the call itself knows: a call that was never
        sent has not run.
        """
        self._gateway.record_error(self.name)
        is_told, self._is_client_told = self._is_client_told, True
        self.phase = Phase.ENDED
        if not is_told:
            self._client.handling_failed(self.history.sends > 0)
        left, self._attempts = self._attempts, []
        for attempt in left:
            self._gateway.run(attempt.cancel)
        self._give_back_retry()
        self._gateway.drop(self)
        if not is_told:
            if self.history.sends > 0:
                self.history.ended(outcomes.Ending.SILENT)
            self.reason = "internal error"
            self._gateway.run(
                self._gateway.call_ended, self, "failed", self.history.verdict
            )

    @call_errors.ends_call
    def client_left(self):
        """Cancel the call because its client has closed the connection."""
        if self.phase is Phase.ENDED:
            return
        self.reason = f"{self.reason} in phase {self.phase.value}".strip()
        self._is_client_told = True
        self._stop()
        self._finish("client_left", self.history.verdict, lambda: None)

    @call_errors.ends_call
    def terminate(self, reason, now_s):
        """End the call because the process is shutting down.

        :param reason: text for the client and the log.
        :param now_s: current time in seconds.
        """
        if self.phase is Phase.ENDED:
            return
        was_sent = self.phase in (Phase.SENT, Phase.STREAMING)
        self._stop()
        if was_sent:
            self.history.ended(outcomes.Ending.SILENT)
            self.fail(502, reason, now_s)
        else:
            self.refuse(reason, now_s)

    def _stop(self):
        if self.phase is Phase.WAITING:
            self._gateway.withdraw(self)
        while self._attempts:
            self._attempts.pop(0).cancel()

    # Time.

    @call_errors.ends_call
    def check_timeouts(self, now_s):
        """Try a second endpoint for a silent attempt, or end the call at its deadline.

        :param now_s: current time in seconds.
        """
        if self.phase is Phase.ENDED:
            return
        limit_s = self.deadline_s
        if self._stream_began:
            limit_s = max(limit_s + DEADLINE_SLACK_S, self.latest_deadline_s)
        if now_s >= limit_s:
            self._expire(now_s)
            return
        for attempt in list(self._attempts):
            if not attempt.is_ended:
                self._withdraw_if_due(attempt, now_s)
        if not self._is_paused and self._is_silent(now_s):
            self._send_to_second(now_s)

    def _is_silent(self, now_s):
        """Tell whether the only attempt in progress is silent for too long."""
        if len(self._attempts) != 1 or self._attempts[0].sent_s is None:
            return False
        return self._silent_s(self._attempts[0], now_s) > self._silence_limit_s()

    def _silent_s(self, attempt, now_s):
        """Return for how long an attempt has been silent that was sent.

        Before the first event or the whole answer, that is the time since the sending.
        """
        is_streaming = self.phase is Phase.STREAMING and not self._is_second(attempt)
        return now_s - (attempt.last_activity_s if is_streaming else attempt.sent_s)

    def _silence_limit_s(self):
        if self.phase is Phase.STREAMING:
            return STREAM_STALL_TIMEOUT_S
        return self._response_timeout_s()

    def _send_to_second(self, now_s):
        """Send the call to a second endpoint, if it may be sent again now."""
        is_place_known = self._is_place_known or not self._stream_began
        budget = self._gateway.budget(self.service)
        if (
            self.route.retry_policy is routes.RetryPolicy.NEVER
            or not is_place_known
            or self.history.sends >= self.route.max_attempts
            or self.deadline_s - now_s < outcomes.MIN_ATTEMPT_S
            or budget.retries_left(now_s) < 1
        ):
            return
        first = self._attempts[0]
        state = self._gateway.choose_second(self, first.endpoint_name, now_s)
        if state is None or not budget.try_retry(now_s):
            return
        self._unsent_retry = budget, now_s
        self._gateway.second_attempt_begins(self, state, self._silence(), now_s)
        self._begin_attempt(state, now_s, is_hedge=True)

    def _withdraw_if_due(self, attempt, now_s):
        """Withdraw a waiting attempt before its endpoint's weights are forbidden.

        The endpoint has not failed, so this is not counted against it.
        """
        is_first = not self._is_second(attempt)
        if attempt.sent_s is None or attempt.body or attempt.has_progressed:
            return
        if is_first and self.phase is not Phase.SENT:
            return
        # The list of endpoints shows a change some hundred milliseconds late.
        version = attempt.state.endpoint.weights.get(self._model)
        if version is None:
            version = attempt.weights_version
        if version is None:
            return
        bound = self._gateway.near_bound(self._model, version, now_s)
        if bound is None:
            return
        attempt.cancel()
        self._gateway.record_withdrawal(self, version, bound)
        self.excluded |= {attempt.endpoint_name}
        reason = f"withdrawn: version {bound.version} of the weights is required"
        self.attempt_ended(
            attempt, outcomes.Ending.WITHDRAWN, reason, counts_as_failure=False
        )

    def _response_timeout_s(self):
        return max(
            MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * self.route.objective_s
        )

    def _expire(self, now_s):
        sent = [each for each in self._attempts if each.sent_s is not None]
        limit_s = self._silence_limit_s()
        # A second attempt may have begun just now.
        silent = sent[:1] + [a for a in sent[1:] if self._silent_s(a, now_s) > limit_s]
        self._stop()
        if sent:
            self.history.ended(outcomes.Ending.SILENT)
            for attempt in silent:
                self._gateway.record_failure(
                    self, attempt.state, outcomes.Ending.SILENT, "deadline", now_s
                )
            self.fail(504, "deadline", now_s)
        else:
            self.refuse("deadline", now_s)
