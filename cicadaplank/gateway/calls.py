"""One call from its arrival to its final answer.

A call is a task of the gateway: it owns its attempt at an endpoint and the answer to
the client. What is decided lies in :mod:`placement`, :mod:`waiting` and
:mod:`outcomes`.
"""

import dataclasses
import enum

from cicadaplank.gateway import events, outcomes, placement, routes, waiting
from cicadaplank.requests import verdicts

# Part of a route's objective after which an answer that has not started is sought at
# another endpoint. Twice the objective is late in any case.
PATIENCE = 2.0
MIN_PATIENCE_S = 0.35
# Clients abandon a stream after a gap of 2 s; the rest is for another endpoint to read
# the prompt again.
STALL_S = 0.9
# A stream is cut this long after its route's timeout.
TIMEOUT_SLACK_S = 0.1
# Body of an answer that is kept until it is complete.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# An endpoint that does not even acknowledge a call in this time is cut off. The longest
# queue on the way was 0.3 s.
UNACKNOWLEDGED_S = 0.4
# The endpoint is left alone for this time after it refused a call as full.
FULL_S = 0.1


class Phase(enum.Enum):
    """Phase of a call."""

    RECEIVED = "received"
    WAITING = "waiting"
    DIALLING = "dialling"
    SENT = "sent"
    STREAMING = "streaming"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True)
class Request:
    """A complete request of a client.

    :param head: :class:`cicadaplank.gateway.dialects.CallHead`.
    :param body: bytes.
    :param arrived_s: when it was complete.
    """

    head: object
    body: bytes
    arrived_s: float


class Call:
    """One call.

    :param gateway: :class:`cicadaplank.gateway.gateway.Gateway`.
    :param client: connection of the client, with ``reply``, ``begin_stream``,
        ``stream``, ``end_stream`` and ``abort``.
    :param request: :class:`Request`.
    :param route: :class:`cicadaplank.gateway.routes.Route`.
    :param account: :class:`cicadaplank.gateway.routes.Account` or None.
    :param service: service name.
    :param fingerprint: digest of client and content.
    """

    def __init__(self, gateway, client, request, route, account, service, fingerprint):
        self.request = request
        self.route = route
        self.service = service
        self.account = account
        self.fingerprint = fingerprint
        self.phase = Phase.RECEIVED
        self.history = outcomes.History()
        self.excluded = frozenset()
        self.state = None
        self.reason = ""
        self.last_event = b""
        self.endpoint_name = ""
        # Times from the arrival, for the log.
        self.sent_after_s = None
        self.first_event_s = None
        self.longest_gap_s = 0.0
        head = request.head
        wait_s = route.timeout_s
        if head.wait_s is not None:
            wait_s = min(wait_s, head.wait_s)
        self.deadline_s = request.arrived_s + wait_s
        self.objective_s = request.arrived_s + route.objective_s
        self.priority = route.priority
        if account is not None and account.priority is not None:
            self.priority = account.priority
        self._gateway = gateway
        self._client = client
        self._connection = None
        self._dial = None
        self._attempt = 0
        self._reply = None
        self._body = []
        self._body_bytes = 0
        self._splitter = None
        self._began = False
        self._is_paused = False
        self._sent_s = 0.0
        self._event_s = 0.0
        self._heard_s = 0.0

    # Placement.

    @property
    def name(self):
        """Return the client's identifier of the call, for logs."""
        return self.request.head.attempt.decode("latin-1")

    def demand(self):
        """Return the :class:`placement.Demand` of the next attempt."""
        model = self.request.head.model if self.route.is_generation else ""
        return placement.Demand(
            self.service,
            self._gateway.data_centre,
            model,
            self._gateway.least_version(model),
            self.excluded,
        )

    def ticket(self):
        """Return the :class:`cicadaplank.gateway.waiting.Ticket` of this call."""
        latest_s = waiting.latest_start_s(
            self.request.arrived_s, self.deadline_s, self.objective_s
        )
        if self._began:
            latest_s = min(self.deadline_s, self._heard_s + 2 * STALL_S)
        arrived_s = self.request.arrived_s
        answers = self._gateway.answer_times[self.service]
        start_by_s = answers.start_by_s(arrived_s, self.objective_s)
        return waiting.Ticket(self, self.priority, arrived_s, start_by_s, latest_s)

    def send(self, state, now_s):
        """Send the call to an endpoint.

        :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
        :param now_s: current time in seconds.
        """
        self.state = state
        self.endpoint_name = state.endpoint.name
        self.phase = Phase.DIALLING
        self._attempt += 1
        attempt = self._attempt
        state.started()
        may_repeat = self.route.repeat is not routes.Repeat.NEVER
        self._dial = self._gateway.pool(state).take(
            lambda connection: self._opened(connection, attempt),
            lambda reason: self._dial_failed(reason, attempt),
            may_repeat,
        )

    def _opened(self, connection, attempt):
        if attempt != self._attempt or self.phase is not Phase.DIALLING:
            self._gateway.give_back(connection)
            return
        self._dial = None
        now_s = self._gateway.now_s()
        left_s = self.deadline_s - now_s
        if left_s < outcomes.MIN_ATTEMPT_S or self.state.is_gone:
            self._gateway.give_back(connection)
            self._release()
            self.attempt_ended(outcomes.Ending.UNREACHABLE, "endpoint left", None)
            return
        self._connection = connection
        self._reply = None
        self._body = []
        self._body_bytes = 0
        self.phase = Phase.SENT
        self._sent_s = self._heard_s = now_s
        if self.sent_after_s is None:
            self.sent_after_s = now_s - self.request.arrived_s
        self.history.sends += 1
        if self.route.repeat is not routes.Repeat.NEVER:
            connection.limit_unacknowledged(UNACKNOWLEDGED_S)
        connection.send(self._gateway.write(self, self.state, left_s), self)
        if self._is_paused:
            connection.pause()

    def _dial_failed(self, reason, attempt):
        if attempt != self._attempt or self.phase is not Phase.DIALLING:
            return
        self._dial = None
        self.attempt_ended(outcomes.Ending.UNREACHABLE, reason, self._release())

    def _release(self):
        """Give the place at the endpoint back.

        :returns: the state of the endpoint.
        """
        state, self.state = self.state, None
        self._connection = None
        if state is not None:
            state.ended()
        return state

    # Answer of the endpoint.

    def reply_started(self, head):
        """Take the status and headers of the answer."""
        if head.attempt and head.attempt != self.request.head.attempt:
            self._gateway.count("answers_of_other_calls")
            return False
        self._heard_s = self._gateway.now_s()
        self._reply = head
        if self._is_good(head) and self.route.is_stream:
            self._splitter = events.EventSplitter()
        return True

    @staticmethod
    def _is_good(head):
        signed = head.is_signed and head.attempt and not head.is_encoded
        return 200 <= head.status < 300 and bool(signed)

    def reply_data(self, data):
        """Take a part of the body."""
        now_s = self._gateway.now_s()
        if self._began:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self._event_s)
        self._event_s = now_s
        self._heard_s = now_s
        if self._splitter is None:
            self._body_bytes += len(data)
            if self._body_bytes > MAX_ANSWER_BYTES:
                self._drop(outcomes.Ending.BROKEN, "answer too long")
                return
            self._body.append(data)
            return
        try:
            complete = self._splitter.feed(data)
        except ValueError as fault:
            self._drop(outcomes.Ending.BROKEN, str(fault))
            return
        out = []
        for event in complete:
            if self._began and not events.follows(event.identifier, self.last_event):
                self._gateway.count("repeated_events")
                continue
            out.append(event.data)
            if event.identifier:
                self.last_event = event.identifier
        if out:
            self._pass_on(b"".join(out))

    def _pass_on(self, data):
        self.phase = Phase.STREAMING
        if not self._began:
            self._began = True
            self.first_event_s = self._heard_s - self.request.arrived_s
            self._gateway.first_event(self, self.first_event_s)
            self._observe_answer(self._heard_s)
            self._client.begin_stream(self._reply)
        self._client.stream(data)

    def _observe_answer(self, now_s):
        answers = self._gateway.answer_times[self.service]
        answers.observe(now_s - self._sent_s)

    def reply_ended(self):
        """Take the end of a complete answer."""
        head = self._reply
        state = self._release()
        now_s = self._gateway.now_s()
        if head.is_not_run or head.is_misdirected:
            ending = outcomes.Ending.REFUSED
            if head.is_misdirected:
                ending = outcomes.Ending.MISDIRECTED
            self.attempt_ended(ending, f"status {head.status}", state)
            return
        if self._splitter is not None:
            self._stream_ended(state, now_s)
            return
        # The endpoint's own refusal of a request, such as 404, is passed on as it is.
        passes = head.is_signed and 300 <= head.status < 500
        if self._is_good(head) or passes:
            if not self._is_promise(head):
                state.answered(now_s)
                self._observe_answer(now_s)
                self._finish("answered", verdicts.Verdict.RAN)
                self._client.reply(head, b"".join(self._body))
                return
        if head.status >= 500 and head.is_signed and not self._is_promise(head):
            self.attempt_ended(outcomes.Ending.FAILED, f"status {head.status}", state)
            return
        self.attempt_ended(outcomes.Ending.BROKEN, f"status {head.status}", state)

    @staticmethod
    def _is_promise(head):
        """Tell whether the status would promise that the call did not run."""
        return head.status in (408, 421, 429, 503)

    def _stream_ended(self, state, now_s):
        rest = self._splitter.rest
        self._splitter = None
        state.answered(now_s)
        if rest or not self._began:
            self._pass_on(rest)
        self._finish("answered", verdicts.Verdict.RAN)
        self._client.end_stream()

    def reply_broken(self, reason):
        """Take the loss of the connection before the end of the answer."""
        state = self._release()
        self._gateway.connection_broken(self, state)
        self.attempt_ended(outcomes.Ending.BROKEN, reason, state)

    def _drop(self, ending, reason):
        """Give the attempt up; the endpoint notices the closed connection."""
        connection = self._connection
        state = self._release()
        if connection is not None:
            connection.cancel()
        self.attempt_ended(ending, reason, state)

    def pause(self):
        """Read no more from the endpoint: the client reads too slowly."""
        self._is_paused = True
        if self._connection is not None:
            self._connection.pause()

    def resume(self):
        """Read from the endpoint again."""
        self._is_paused = False
        self._heard_s = self._gateway.now_s()
        if self._connection is not None:
            self._connection.resume()

    # What follows.

    def attempt_ended(self, ending, reason, state):
        """Decide what follows an attempt without an answer for the client.

        :param ending: :class:`cicadaplank.gateway.outcomes.Ending`.
        :param reason: what happened, for the log.
        :param state: state of the endpoint, or None when it is not to blame.
        """
        now_s = self._gateway.now_s()
        self._attempt += 1
        self._splitter = None
        self.history.ended(ending)
        if state is not None:
            self.excluded |= {state.endpoint.name}
            self._gateway.blame(self, state, ending, reason, now_s)
        chosen = outcomes.decide(
            self.history,
            ending,
            self.route,
            self.deadline_s - now_s,
            self._gateway.budget(self.service),
            now_s,
        )
        step = chosen.step
        if self._began and step is outcomes.Step.RETRY and not self.last_event:
            step = outcomes.Step.FAIL
        self.reason = f"{ending.value}:{chosen.reason}"
        if step is outcomes.Step.RETRY:
            self.phase = Phase.RECEIVED
            self._gateway.place(self, now_s)
        elif self._began:
            self.abort(f"stream broken: {reason}")
        elif step is outcomes.Step.REFUSE:
            self.refuse(self.reason, now_s)
        elif step is outcomes.Step.PASS:
            self._finish("passed_failure", verdicts.Verdict.RAN)
            self._client.reply(self._reply, b"".join(self._body))
        else:
            self.fail(502, reason, now_s)

    def refuse(self, reason, now_s, expected_s=0.0):
        """Tell the client that the call was not run, and when to come back."""
        if self.history.verdict is not verdicts.Verdict.NOT_RUN:
            self.fail(502, reason, now_s)
            return
        if self._began:
            self.abort(reason)
            return
        self.reason = reason
        after_s = self._gateway.retry_after_s(expected_s, self.deadline_s - now_s)
        self._finish("refused", verdicts.Verdict.NOT_RUN)
        self._client.refuse(503, f"not run: {reason}; send it again later", after_s)

    def fail(self, status, reason, now_s):
        """Tell the client that the call may have run."""
        if self._began:
            self.abort(reason)
            return
        self.reason = f"{self.reason} {reason}".strip()
        self._finish("failed", self.history.verdict)
        self._client.refuse(status, f"may have run: {reason}", None)

    def abort(self, reason):
        """Break a stream off; its end is missing, so it cannot pass for complete."""
        self.reason = reason
        self._finish("broken_off", verdicts.Verdict.MAY_HAVE_RUN)
        self._client.abort()

    def _finish(self, outcome, verdict):
        self.phase = Phase.ENDED
        self._gateway.ended(self, outcome, verdict)

    def client_left(self):
        """Stop all work for a client that has gone."""
        if self.phase is Phase.ENDED:
            return
        self._stop()
        self._finish("client_left", self.history.verdict)

    def stop_for(self, reason, now_s):
        """End the call because the process stops."""
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
        self._release()
        if connection is not None:
            connection.cancel()
        if dial is not None:
            dial.disconnect()

    # Time.

    def tick(self, now_s):
        """Give up an attempt that is silent, or the call at its deadline."""
        if self.phase is Phase.ENDED:
            return
        limit_s = self.deadline_s + (TIMEOUT_SLACK_S if self._began else 0.0)
        if now_s >= limit_s:
            self._expire(now_s)
        elif self._is_paused:
            return
        elif self.phase is Phase.STREAMING:
            if now_s - self._heard_s > STALL_S and self._may_go_on():
                self._drop(outcomes.Ending.SILENT, "stream stalled")
        elif self.phase is Phase.SENT:
            waited_s = now_s - self._sent_s
            if waited_s > self._patience_s() and self._may_go_on():
                self._drop(outcomes.Ending.SILENT, "no answer")

    def _patience_s(self):
        return max(MIN_PATIENCE_S, PATIENCE * self.route.objective_s)

    def _may_go_on(self):
        """Tell whether another endpoint could take the call over."""
        return (
            self.route.repeat is not routes.Repeat.NEVER
            and self.history.sends < self.route.max_attempts
            and self._gateway.budget(self.service).left(self._gateway.now_s()) >= 1
            and self._gateway.has_alternative(self)
        )

    def _expire(self, now_s):
        was_sent = self.phase in (Phase.SENT, Phase.STREAMING)
        state = self.state
        self._stop()
        if was_sent:
            self.history.ended(outcomes.Ending.SILENT)
            self._gateway.blame(self, state, outcomes.Ending.SILENT, "deadline", now_s)
            self.fail(504, "deadline", now_s)
        else:
            self.refuse("deadline", now_s)
