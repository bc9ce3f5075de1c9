"""State machine of one call, from its arrival to its final answer.

A :class:`Call` owns the current attempt at an endpoint and the answer to the client.
The decisions are made elsewhere: :mod:`placement` chooses the endpoint, :mod:`waiting`
queues calls, and :mod:`outcomes` decides what follows a failed attempt.
"""

import dataclasses
import enum

from cicadaplank.external import event_streams
from cicadaplank.gateway import (
    admittance,
    framing,
    outcomes,
    placement,
    routes,
    waiting,
)
from cicadaplank.requests import verdicts

# An attempt whose answer has not started after this multiple of the route's objective
# is abandoned for another endpoint. After twice the objective it is late anyway.
RESPONSE_TIMEOUT_FACTOR = 2.0
MIN_RESPONSE_TIMEOUT_S = 0.35
# A stream that stays silent for this time is resumed at another endpoint. Clients
# abandon a stream after a gap of 2 s; the rest of it is left for the other endpoint to
# process the prompt again.
STREAM_STALL_TIMEOUT_S = 0.9
# An endpoint that crashes under a part of a prompt does so as it begins to answer. A
# stream that has gone on for this time shows that its prompt is sound.
SOUND_STREAM_S = 0.5
# A stream that has begun is aborted this long after the call's deadline.
DEADLINE_SLACK_S = 0.1
# Limit of an answer's body that is buffered until it is complete.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# The connection of a call that may be retried is broken off when the endpoint's host
# does not acknowledge the sent bytes within this time. The longest queueing delay seen
# on the network path was 0.3 s.
ACK_TIMEOUT_S = 0.4
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
    """

    head: object
    body: bytes
    arrived_s: float


class Call:
    """One call of a client, over all its attempts at endpoints.

    :param gateway: :class:`cicadaplank.gateway.gateway.Gateway`.
    :param client: connection of the client, with ``has_left``, ``reply``,
        ``begin_stream``, ``stream``, ``end_stream`` and ``abort``.
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
        self.state = None
        self.reason = ""
        self.last_event = b""
        self.endpoint_name = ""
        # Version of the weights of the last endpoint that the call was sent to, as that
        # endpoint published it.
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
        self.objective_s = request.arrived_s + self.route.objective_s
        self._gateway = gateway
        self._client = client
        self._connection = None
        self._dial = None
        self._attempt = 0
        # Permit of the attempt as long as it is not sent, for an endpoint with a limit.
        self._permit = None
        self._reply = None
        self._body = bytearray()
        self._splitter = None
        self._stream_began = False
        # Whether the current attempt brings the rest of a stream that has begun.
        self._is_resumed = False
        # Whether the last event that was forwarded has an id.
        self._is_place_known = False
        # Whether an event of the current attempt was forwarded.
        self._has_progressed = False
        self._numbering = event_streams.Numbering()
        # Whether an attempt broke off inside an event that no later one has brought.
        self._is_event_due = False
        self._is_paused = False
        self._sent_s = 0.0
        # Time at which the answer to the last attempt began, in seconds.
        self._answer_began_s = None
        self._last_event_s = 0.0
        self._last_activity_s = 0.0

    @property
    def shared_parts(self):
        """Return the parts of the prompt that other requests may share."""
        return self.request.head.shared_parts

    @property
    def has_begun(self):
        """Whether the answer to the last attempt has begun."""
        return self._answer_began_s is not None

    def is_sound(self, now_s):
        """Tell whether the last attempt was answered for :data:`SOUND_STREAM_S`.

        :param now_s: current time in seconds.
        """
        return self.has_begun and now_s - self._answer_began_s >= SOUND_STREAM_S

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
        if service != self.service:
            self._stop()
            self.phase = Phase.RECEIVED
        self.admitted, self.service = admitted, service
        return True

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
        self._finish("denied", verdicts.Verdict.NOT_RUN)
        after_s = None
        if denied.status == 503:
            left_s = self.deadline_s - now_s
            after_s = self._gateway.retry_after_s(0.0, left_s)
        self._client.refuse(denied.status, f"not run: {denied.reason}", after_s)

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
        )

    @property
    def _model(self):
        """Model whose weights the call needs, or empty."""
        return self.request.head.model if self.route.is_generation else ""

    def _endpoint_version(self):
        """Return the version of the weights that the endpoint serves, None if unknown.

        The list of endpoints shows a change some hundred milliseconds late.
        """
        return self.state.endpoint.weights.get(self._model)

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
        return waiting.QueuedCall(
            self, self.priority, arrived_s, start_by_s, wait_until_s
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
        self.state = state
        self.endpoint_name = state.endpoint.name
        self.phase = Phase.DIALLING
        self._attempt += 1
        attempt = self._attempt
        state.call_started()
        self._permit = state.allowance.take(now_s)
        may_retry = self.route.retry_policy is not routes.RetryPolicy.NEVER
        identifier = self.request.head.attempt
        self._dial = self._gateway.pool(state).acquire(
            lambda connection: self._opened(connection, attempt),
            lambda reason: self._dial_failed(reason, attempt),
            # Without an identifier, no answer but the first is known to be its own.
            may_retry and bool(identifier),
            identifier,
        )

    def _opened(self, connection, attempt):
        if attempt != self._attempt or self.phase is not Phase.DIALLING:
            self._gateway.release_connection(connection)
            return
        self._dial = None
        if self._client.has_left:
            self._gateway.release_connection(connection)
            self.client_left()
            return
        now_s = self._gateway.now_s()
        left_s = self.deadline_s - now_s
        # The endpoint, or what the call requires, may have changed during the dial.
        is_usable = (
            not self.state.is_removed
            and placement.may_be_sent(self.state, self.demand(), now_s)
            and self.state.allowance.honours(self._permit)
        )
        if left_s < outcomes.MIN_ATTEMPT_S or not is_usable:
            self._gateway.release_connection(connection)
            self._release_endpoint()
            self.attempt_ended(outcomes.Ending.UNREACHABLE, "endpoint left", None)
            return
        self._connection = connection
        self._permit = None
        self._reply = None
        self._body = bytearray()
        self._is_resumed = self._stream_began
        self._has_progressed = False
        self.response_end = framing.ResponseEnd()
        self.partial_event_bytes = 0
        self.phase = Phase.SENT
        self._answer_began_s = None
        self._sent_s = self._last_activity_s = now_s
        if self.sent_after_s is None:
            self.sent_after_s = now_s - self.request.arrived_s
        self.history.sends += 1
        self.weights_version = self._endpoint_version()
        if self.route.retry_policy is not routes.RetryPolicy.NEVER:
            connection.set_unacknowledged_timeout(ACK_TIMEOUT_S)
        connection.send(
            self._gateway.encode_call(self, self.state, left_s),
            self,
            has_body=self.request.head.method != b"HEAD",
        )
        if self._is_paused:
            connection.pause()

    def _dial_failed(self, reason, attempt):
        if attempt != self._attempt or self.phase is not Phase.DIALLING:
            return
        self._dial = None
        self.attempt_ended(
            outcomes.Ending.UNREACHABLE, reason, self._release_endpoint()
        )

    def _release_endpoint(self):
        """Release the endpoint's slot and detach from its connection.

        :returns: the endpoint's :class:`cicadaplank.gateway.endpoints.EndpointState`,
            or None when there was none.
        """
        state, self.state = self.state, None
        permit, self._permit = self._permit, None
        self._connection = None
        self._gateway.buffers.release(self)
        if state is not None:
            state.call_ended()
            if permit is not None:
                state.allowance.give_back(permit)
        return state

    # Answer of the endpoint.

    def response_started(self, head):
        """Handle the status and headers of the answer.

        :param head: :class:`cicadaplank.gateway.dialects.ResponseHead`.
        :returns: False when it answers another call and has to be skipped.
        """
        if not self._is_own(head):
            self._gateway.count("answers_of_other_calls")
            if head.attempt and head.is_leaving:
                # An endpoint that has said that it leaves does not stay.
                leaving = dataclasses.replace(head, busy_for_s=None, limit_per_s=None)
                self._gateway.record_word(self, self.state, leaving, self._sent_s)
            return False
        self._gateway.record_word(self, self.state, head, self._sent_s)
        self._last_activity_s = self._gateway.now_s()
        if 200 <= head.status < 300:
            self._answer_began_s = self._last_activity_s
        self._reply = head
        is_stream = self.route.is_stream and self.request.head.method != b"HEAD"
        has_events = head.status == 200 and head.is_event_stream
        if is_stream and has_events and self._is_valid_success(head):
            self._splitter = event_streams.EventSplitter()
        return True

    def _is_own(self, head):
        """Tell whether an answer belongs to the current attempt.

        One without an identifier may be an earlier answer that is written once more,
        unless it is the first one on its connection.
        """
        if head.attempt:
            return head.attempt == self.request.head.attempt
        return self._connection.is_first_response

    @staticmethod
    def _is_valid_success(head):
        is_verified = head.is_signed and head.attempt and not head.is_encoded
        return 200 <= head.status < 300 and bool(is_verified)

    def response_data(self, data):
        """Handle a part of the body: buffer it, or forward its complete events.

        :param data: bytes.
        """
        now_s = self._gateway.now_s()
        if self._splitter is None:
            self._last_activity_s = now_s
            self._body += data
            if len(self._body) > MAX_ANSWER_BYTES:
                reason = f"the answer is longer than {MAX_ANSWER_BYTES} bytes"
                self._abandon_attempt(outcomes.Ending.BROKEN, reason)
                return
            self._gateway.buffers.set_held(self, len(self._body))
            return
        try:
            complete = self._splitter.feed(data)
        except ValueError as fault:
            self._abandon_attempt(outcomes.Ending.BROKEN, str(fault))
            return
        forwarded = []
        fault = ""
        for event in complete:
            if not event_streams.is_newer(event.identifier, self._previous_event):
                self._gateway.count("repeated_events")
                continue
            fault = self._join_fault(event)
            if fault:
                break
            forwarded.append(event.data)
            if event.identifier:
                self.last_event = event.identifier
                self._numbering.add(event.identifier)
            if not event.is_comment:
                self._has_progressed = True
                self._is_place_known = bool(event.identifier)
        if forwarded:
            # Bytes of an unfinished event are no progress for the client.
            if self._stream_began:
                gap_s = now_s - self._last_event_s
                self.longest_gap_s = max(self.longest_gap_s, gap_s)
            self._last_event_s = self._last_activity_s = now_s
            self._forward(b"".join(forwarded))
            if self.is_sound(now_s):
                self._gateway.record_sound(self)
        if fault:
            self._abandon_attempt(outcomes.Ending.BROKEN, fault)
            return
        self._gateway.buffers.set_held(self, self._splitter.rest_bytes)

    @property
    def _previous_event(self):
        """Identifier of the last event that the client has, empty if none."""
        if (
            self.last_event
            or self.route.retry_policy is not routes.RetryPolicy.RESUMABLE
        ):
            return self.last_event
        return self.request.head.resume_after

    def _join_fault(self, event):
        """Return why an event cannot follow the ones forwarded, empty if it can.

        :param event: :class:`cicadaplank.external.event_streams.Event`.
        """
        if not self._is_resumed or event.is_comment:
            return ""
        if not event.identifier:
            return "an event without an id in the rest of a stream"
        if not self._numbering.may_follow(event.identifier):
            return "an event is missing in the rest of a stream"
        return ""

    def drop_buffer(self, reason):
        """Abandon the attempt, as the incomplete answers take too much memory.

        :param reason: text for the log and the client.
        """
        self._cancel_attempt()
        self._body = bytearray()
        self.attempt_ended(outcomes.Ending.BROKEN, reason, None)

    def _forward(self, data):
        self.phase = Phase.STREAMING
        self._is_event_due = False
        if not self._stream_began:
            self._stream_began = True
            self.first_event_s = self._last_activity_s - self.request.arrived_s
            self._gateway.record_first_event(self, self.first_event_s)
            self._observe_answer(self._last_activity_s)
            self._client.begin_stream(self._reply)
        self._client.stream(data)

    def _observe_answer(self, now_s):
        answer_time = self._gateway.answer_times[self.service]
        answer_time.record_answer(now_s - self._sent_s)

    def _record_response_end(self, end):
        self.response_end = end
        if self._splitter is not None:
            self.partial_event_bytes = self._splitter.rest_bytes
            self._is_event_due |= self._splitter.is_inside_event
        self._gateway.count(
            "responses", framing=end.framing.value, ended_by=end.termination.value
        )

    def response_ended(self, end):
        """Handle the end of a complete answer.

        :param end: :class:`cicadaplank.gateway.framing.ResponseEnd`.
        """
        self._record_response_end(end)
        head = self._reply
        state = self._release_endpoint()
        now_s = self._gateway.now_s()
        if head.is_not_run or head.is_misdirected:
            ending = outcomes.Ending.REFUSED
            if head.is_misdirected:
                ending = outcomes.Ending.MISDIRECTED
            self.attempt_ended(ending, f"status {head.status}", state)
            return
        if self._splitter is not None:
            self._stream_ended(end, state, now_s)
            return
        if self._stream_began:
            reason = f"status {head.status} instead of the rest of a stream"
            self.attempt_ended(outcomes.Ending.BROKEN, reason, state)
            return
        # Redirects and client errors of the application itself, such as 404, are
        # forwarded as they are.
        is_forwarded = head.is_signed and 300 <= head.status < 500
        if self._is_valid_success(head) or is_forwarded:
            if not self._claims_not_run(head):
                state.record_answer(now_s)
                self._observe_answer(now_s)
                if self._is_valid_success(head):
                    self._record_sound(end)
                self._finish("answered", verdicts.Verdict.RAN)
                self._client.reply(head, bytes(self._body))
                return
        if head.status >= 500 and head.is_signed and not self._claims_not_run(head):
            self.attempt_ended(outcomes.Ending.FAILED, f"status {head.status}", state)
            return
        self.attempt_ended(outcomes.Ending.BROKEN, f"status {head.status}", state)

    @staticmethod
    def _claims_not_run(head):
        """Tell whether the status means to clients that the call did not run.

        An answer with such a status is not forwarded.
        """
        return head.status in (408, 421, 429, 503)

    def _stream_ended(self, end, state, now_s):
        fault = self._stream_fault(end)
        if fault:
            if end.termination is not framing.Termination.COMPLETE:
                self._gateway.connection_broken(self, state)
            self.attempt_ended(outcomes.Ending.BROKEN, fault, state)
            return
        rest = self._splitter.rest
        self._splitter = None
        state.record_answer(now_s)
        self._record_sound(end)
        if rest or not self._stream_began:
            self._forward(rest)
        self._finish("answered", verdicts.Verdict.RAN)
        self._client.end_stream()

    def _record_sound(self, end):
        """Record a whole answer, as evidence that its prompt crashes no endpoint.

        Without a length and chunks it ends in the same way when its endpoint crashes.
        """
        if end.framing is not framing.Framing.CLOSE:
            self._gateway.record_sound(self)

    def _stream_fault(self, end):
        """Return why a stream whose answer has ended is not whole, empty if it is.

        Without a length and chunks, a close is the only end of an answer, also of one
        whose endpoint has crashed.
        """
        if self._splitter.is_inside_event:
            return "the stream ended inside an event"
        if self._is_event_due:
            return "the stream ended before the rest of an event"
        if end.framing is framing.Framing.CLOSE and not self._has_progressed:
            return "the stream ended before its first event"
        return ""

    def response_failed(self, end, reason):
        """Handle the loss of the connection before the end of the answer.

        :param end: :class:`cicadaplank.gateway.framing.ResponseEnd`.
        :param reason: text for the log and the client.
        """
        self._record_response_end(end)
        state = self._release_endpoint()
        self._gateway.connection_broken(self, state)
        self.attempt_ended(outcomes.Ending.BROKEN, reason, state)

    def _abandon_attempt(self, ending, reason):
        """Cancel the attempt; the closed connection tells the endpoint to stop."""
        self.attempt_ended(ending, reason, self._cancel_attempt())

    def _cancel_attempt(self):
        connection = self._connection
        state = self._release_endpoint()
        if connection is not None:
            self._record_response_end(connection.cancel())
        return state

    def pause(self):
        """Stop reading from the endpoint because the client reads too slowly."""
        self._is_paused = True
        if self._connection is not None:
            self._connection.pause()

    def resume(self):
        """Resume reading from the endpoint."""
        self._is_paused = False
        self._last_activity_s = self._gateway.now_s()
        if self._connection is not None:
            self._connection.resume()

    # End of an attempt and of the call.

    def attempt_ended(self, ending, reason, state):
        """Retry or end the call after an attempt that gave the client no answer.

        :param ending: :class:`cicadaplank.gateway.outcomes.Ending`.
        :param reason: what happened, for the log and the client.
        :param state: state of the endpoint that failed, or None when the failure is not
            counted against an endpoint.
        """
        now_s = self._gateway.now_s()
        self._attempt += 1
        self._splitter = None
        self.history.ended(ending)
        if state is not None:
            self.excluded |= {state.endpoint.name}
            self._gateway.record_failure(self, state, ending, reason, now_s)
        decision = outcomes.decide(
            self.history,
            ending,
            self.route,
            self.deadline_s - now_s,
            self._gateway.budget(self.service),
            now_s,
        )
        action = decision.action
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
            self._finish("passed_failure", verdicts.Verdict.RAN)
            self._client.reply(self._reply, bytes(self._body))
        else:
            self.fail(502, reason, now_s)

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
        self._finish("refused", verdicts.Verdict.NOT_RUN)
        self._client.refuse(503, f"not run: {reason}; send it again later", after_s)

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
        self._finish("failed", self.history.verdict)
        self._client.refuse(status, f"may have run: {reason}", None)

    def abort(self, reason):
        """Abort a stream without its end, so that it is not taken for complete.

        :param reason: text for the log.
        """
        self.reason = reason
        self._finish("broken_off", verdicts.Verdict.MAY_HAVE_RUN)
        self._client.abort()

    def _finish(self, outcome, verdict):
        self.phase = Phase.ENDED
        self._gateway.call_ended(self, outcome, verdict)

    def client_left(self):
        """Cancel the call because its client has closed the connection."""
        if self.phase is Phase.ENDED:
            return
        self.reason = f"{self.reason} in phase {self.phase.value}".strip()
        self._stop()
        self._finish("client_left", self.history.verdict)

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
        self._attempt += 1
        connection, dial = self._connection, self._dial
        self._dial = None
        if self.phase is Phase.WAITING:
            self._gateway.withdraw(self)
        self._release_endpoint()
        if connection is not None:
            self._record_response_end(connection.cancel())
        if dial is not None:
            dial.disconnect()

    # Time.

    def check_timeouts(self, now_s):
        """Abandon an attempt that timed out, or end the call at its deadline.

        :param now_s: current time in seconds.
        """
        if self.phase is Phase.ENDED:
            return
        limit_s = self.deadline_s + (DEADLINE_SLACK_S if self._stream_began else 0.0)
        if now_s >= limit_s:
            self._expire(now_s)
        elif self.phase is Phase.SENT and self._withdraw_if_due(now_s):
            return
        elif self._is_paused:
            return
        elif self.phase is Phase.STREAMING:
            if (
                now_s - self._last_activity_s > STREAM_STALL_TIMEOUT_S
                and self._can_fail_over()
            ):
                self._abandon_attempt(outcomes.Ending.SILENT, "stream stalled")
        elif self.phase is Phase.SENT:
            elapsed_s = now_s - self._sent_s
            if elapsed_s > self._response_timeout_s() and self._can_fail_over():
                self._abandon_attempt(outcomes.Ending.SILENT, "no answer")

    def _withdraw_if_due(self, now_s):
        """Withdraw a waiting attempt before its endpoint's weights are forbidden.

        The endpoint has not failed, so this is not counted against it.

        :returns: whether the attempt was withdrawn.
        """
        version = self._endpoint_version()
        if version is None:
            version = self.weights_version
        if version is None or self._body:
            return False
        bound = self._gateway.near_bound(self._model, version, now_s)
        if bound is None:
            return False
        self._gateway.record_withdrawal(self, version, bound)
        self._cancel_attempt()
        self.excluded |= {self.endpoint_name}
        reason = f"withdrawn: version {bound.version} of the weights is required"
        self.attempt_ended(outcomes.Ending.WITHDRAWN, reason, None)
        return True

    def _response_timeout_s(self):
        return max(
            MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * self.route.objective_s
        )

    def _can_fail_over(self):
        """Tell whether the call may be retried and another endpoint is available."""
        return (
            self.route.retry_policy is not routes.RetryPolicy.NEVER
            and self.history.sends < self.route.max_attempts
            and self._gateway.budget(self.service).retries_left(self._gateway.now_s())
            >= 1
            and self._gateway.has_alternative(self)
        )

    def _expire(self, now_s):
        was_sent = self.phase in (Phase.SENT, Phase.STREAMING)
        state = self.state
        self._stop()
        if was_sent:
            self.history.ended(outcomes.Ending.SILENT)
            self._gateway.record_failure(
                self, state, outcomes.Ending.SILENT, "deadline", now_s
            )
            self.fail(504, "deadline", now_s)
        else:
            self.refuse("deadline", now_s)
