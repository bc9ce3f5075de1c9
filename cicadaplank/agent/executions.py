"""State machine of each attempt at an agent, and the set of attempts in progress.

The agent receives a ``Work`` message, calls its engine or plain service, and ends
the attempt with ``WorkEnd``, ``WorkFailed`` or ``WorkRefused``. These classes do no
input or output; they return actions that the calling task carries out.
"""

import collections
import dataclasses
import enum

import automat

from cicadaplank.members import draining
from cicadaplank.messages import actions as process_actions
from cicadaplank.messages import types
from cicadaplank.requests import attempts, retries, verdicts

MAX_EXECUTIONS = 256
MAX_CLAIM_GENERATIONS = 10_000
MAX_SEEN_ATTEMPTS = 10_000
MAX_REASON_BYTES = 500
# Limit of an unfinished token line; an engine that exceeds it does not send its tokens
# as lines.
MAX_LINE_BYTES = 256 * 1024
MAX_PART_BYTES = 1024 * 1024
BUSY_RETRY_S = 0.2
# Reason of an attempt that an unexpected error has ended.
INTERNAL_ERROR = "internal error"
# Calls with a once key may run this long after their deadline: the entry instance
# records the result, so that it can answer a repeated request. Must equal the constant
# in ``cicadaplank.requests.exchange``.
LATE_RESULT_S = 30.0
# Attempts whose connection broke fail after this time when the probe has no result.
PROBE_LIMIT_S = 2.0
# Reasons of refusals by the planned stop.
REFUSALS = {"leaving": "the endpoint is stopping", "busy": "the endpoint is full"}
STATUS_OK = 200
STATUS_BAD_GATEWAY = 502
# The engine or a proxy in front of it did not complete the request.
RETRYABLE_STATUSES = (500, 502, 503, 504)


@dataclasses.dataclass(frozen=True)
class GrantDecision:
    """Result of checking a piece of work against the state of the agent.

    :param allowed: False when the table does not grant the work, the endpoint is not
        ready for the row, or a limit is used up.
    :param reason: short text for a refusal.
    :param manifest_digest: manifest digest of the weights that the endpoint serves
        for the row; empty for a plain service.
    :param can_resume: True when the engine can resume a stream at an offset.
    :param retry_after_s: seconds after which the work may be granted; 0 when not known.
    """

    allowed: bool
    reason: str = ""
    manifest_digest: str = ""
    can_resume: bool = False
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Reply:
    """Send a message to the entry instance that sent the work.

    :param entry: name of the connection that delivered the work.
    :param message: one of :mod:`cicadaplank.messages.types`.
    """

    entry: str
    message: object


@dataclasses.dataclass(frozen=True)
class CallEngine:
    """Send the request to the engine or plain service.

    The caller reports the response with :meth:`Executions.engine_headers`,
    ``engine_data`` (or ``engine_token``) and ``engine_end``, or a failure with
    ``engine_failed``, ``engine_rejected`` or ``engine_lost``. The request carries the
    identifier of the attempt, which the engine echoes, and the offset of a resumed
    stream.

    :param work: :class:`cicadaplank.messages.types.Work`.
    :param manifest_digest: manifest digest of the weights that must generate the
        response, or empty.
    :param timeout_s: seconds until the deadline.
    """

    work: types.Work
    manifest_digest: str
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class CancelEngine:
    """Close the engine connection of an attempt, which cancels it at the engine.

    Follows the last :class:`Reply` of the attempt, after which none can be sent.

    :param attempt: identifier of the attempt.
    """

    attempt: str


class ProbeResult(enum.Enum):
    """Result of a probe of an engine or plain service.

    A process that does not respond may be paused and go on, so that only a refused or
    closed connection or lost weights count as a crash.
    """

    ALIVE = "alive"
    SILENT = "silent"
    CRASHED = "crashed"


@dataclasses.dataclass(frozen=True)
class ProbeEngine:
    """Probe the engine and report with :meth:`Executions.engine_probed`."""


class Execution:
    """State machine of one attempt; each event returns a tuple of actions.

    States: ``calling`` (no response headers yet), ``answering`` (the response is
    arriving), ``probing`` (the connection to the engine broke; a probe tells whether
    the engine crashed), ``ended`` (no more messages follow).

    :param entry: name of the connection that delivered the work.
    :param work: :class:`cicadaplank.messages.types.Work`.
    :param manifest_digest: manifest digest of the weights that must generate the
        response, or empty.
    :param deadline_s: time at which the attempt is ended.
    :ivar is_answering: True in the state ``answering``.
    :ivar is_ended: True in the state ``ended``.
    """

    _machine = automat.MethodicalMachine()

    def __init__(self, entry, work, manifest_digest, deadline_s):
        self.entry = entry
        self.work = work
        self.deadline_s = deadline_s
        self.next_offset = work.offset
        self._manifest_digest = manifest_digest
        self._status = 0
        self._buffer = b""
        self._header_digest = None
        self._loss_reason = ""
        self.is_answering = False
        self.is_ended = False

    @_machine.serializer()
    def state(self, state):
        """Return the name of the current state."""
        return state

    @_machine.state(initial=True, serialized="calling")
    def _calling(self):
        """The request was passed on; the engine has not responded."""

    @_machine.state(serialized="answering")
    def _answering(self):
        """The response headers have arrived."""

    @_machine.state(serialized="probing")
    def _probing(self):
        """The connection broke; a probe checks whether the engine crashed."""

    @_machine.state(serialized="ended")
    def _ended(self):
        """No more messages are sent for the attempt."""

    @_machine.input()
    def headers(self, status, echoed, manifest_digest, offset, now_s):
        """The headers of the engine's response arrived."""

    def data(self, data, now_s):
        """Forward bytes of the response body; ignored unless answering.

        Not an input of the state machine: it leads to a new state only by an error.
        """
        if self.is_answering:
            return self._forward(data, now_s)
        return ()

    @_machine.input()
    def end(self, total, manifest_digest, load, now_s):
        """The engine's response is complete."""

    @_machine.input()
    def lose(self, reason, now_s):
        """The connection broke after the request was sent."""

    @_machine.input()
    def survive(self, now_s):
        """The probe did not find that the engine has crashed."""

    @_machine.input()
    def fail(self, verdict, reason, crashed, now_s):
        """The attempt fails with a verdict."""

    @_machine.input()
    def refuse(self, reason, retry_after_s, now_s):
        """The attempt is refused: no byte of the request reached the engine."""

    @_machine.input()
    def stop(self, now_s):
        """The attempt is cancelled: its result is no longer needed."""

    @_machine.input()
    def close(self, now_s):
        """The attempt ends; its last message is returned elsewhere."""

    @_machine.output()
    def _check_headers(self, status, echoed, manifest_digest, offset, now_s):
        self._status = status
        self.is_answering = True
        if echoed != self.work.attempt:
            return self._abort(f"the response belongs to {echoed!r:.80}", now_s)
        if self._is_other_digest(manifest_digest):
            return self._abort("the engine answered from other weights", now_s)
        self._header_digest = manifest_digest
        if status != STATUS_OK or not self.work.stream:
            return ()
        if offset != self.work.offset:
            return self._abort(f"the engine started at token {offset}", now_s)
        if manifest_digest is None:
            if not self.work.offset:
                return ()
            return self._abort("the engine does not name its weights first", now_s)
        # Tells the entry instance that it may resume the stream: the weights are
        # checked before the first token.
        accepted = types.WorkAccepted(self.work.attempt, manifest_digest)
        return (Reply(self.entry, accepted),)

    def _is_other_digest(self, reported):
        """Tell whether the engine reports a digest other than the expected one.

        :param reported: manifest digest, or None when the engine has not reported one.
        :returns: False when no digest is expected or none was reported.
        """
        expected = self._manifest_digest
        return bool(expected) and reported is not None and reported != expected

    def _abort(self, reason, now_s):
        cancel = CancelEngine(self.work.attempt)
        may_have_run = verdicts.Verdict.MAY_HAVE_RUN
        return (*self.fail(may_have_run, reason, False, now_s), cancel)

    def _forward(self, data, now_s):
        if self._is_error_response():
            room = MAX_REASON_BYTES - len(self._buffer)
            self._buffer += data[:room]
            return ()
        if not self.work.stream:
            return self._data_replies(data)
        lines, newline, rest = (self._buffer + data).rpartition(b"\n")
        self._buffer = rest
        if len(rest) > MAX_LINE_BYTES:
            return self._abort("the engine sent a line that is too long", now_s)
        return self._data_replies(lines + newline) if newline else ()

    def _is_error_response(self):
        """Tell whether the status makes the response a failure of the attempt."""
        if self._status == STATUS_OK:
            return False
        retryable = self._status in RETRYABLE_STATUSES and not self.work.once_key
        return self.work.stream or retryable

    def _data_replies(self, data):
        actions = ()
        while data:
            part = data[:MAX_PART_BYTES]
            if self.work.stream and len(data) > MAX_PART_BYTES:
                part = part[: part.rindex(b"\n") + 1]
            data = data[len(part) :]
            message = types.WorkData(self.work.attempt, self.next_offset, part)
            actions += (Reply(self.entry, message),)
            self.next_offset += attempts.count_tokens_or_bytes(part, self.work.stream)
        return actions

    @_machine.output()
    def _finish(self, total, manifest_digest, load, now_s):
        if self._is_error_response():
            return self._report_status(now_s)
        if manifest_digest is None:
            manifest_digest = self._header_digest
        if self._manifest_digest and manifest_digest != self._manifest_digest:
            return self._abort_after_wrong_tokens(
                "the engine answered from other weights", now_s
            )
        if total is not None and total != self.next_offset:
            return self._abort(f"the engine sent {total} tokens in total", now_s)
        if self._buffer:
            return self._abort("the engine's last token was cut", now_s)
        end = types.WorkEnd(self.work.attempt, self._status, self.next_offset, load)
        return (Reply(self.entry, end), *self.close(now_s))

    def _abort_after_wrong_tokens(self, reason, now_s):
        """Fail the attempt; the client may already hold tokens of the wrong weights."""
        if not self.work.stream or self.next_offset == self.work.offset:
            return self._abort(reason, now_s)
        # The status makes the entry instance neither retry nor resume.
        verdict = verdicts.Verdict.MAY_HAVE_RUN.value
        message = types.WorkFailed(
            self.work.attempt, verdict, reason, False, STATUS_BAD_GATEWAY
        )
        return (Reply(self.entry, message), *self.close(now_s))

    def _report_status(self, now_s):
        text = self._buffer.decode("utf-8", "replace")
        reason = f"the engine answered {self._status}: {text}"
        if self._status in RETRYABLE_STATUSES:
            return self.fail(verdicts.Verdict.MAY_HAVE_RUN, reason, False, now_s)
        message = types.WorkFailed(
            self.work.attempt, verdicts.Verdict.RAN.value, reason, False, self._status
        )
        return (Reply(self.entry, message), *self.close(now_s))

    @_machine.output()
    def _mark_ended(self, now_s):
        self._set_ended()
        return ()

    def _set_ended(self):
        self.is_answering = False
        self.is_ended = True

    @_machine.output()
    def _send_failure(self, verdict, reason, crashed, now_s):
        self._set_ended()
        message = types.WorkFailed(self.work.attempt, verdict.value, reason, crashed)
        return (Reply(self.entry, message),)

    @_machine.output()
    def _send_refusal(self, reason, retry_after_s, now_s):
        self._set_ended()
        message = types.WorkRefused(self.work.attempt, reason, retry_after_s)
        return (Reply(self.entry, message),)

    @_machine.output()
    def _abort_without_headers(self, total, manifest_digest, load, now_s):
        return self._abort("the engine ended without a response", now_s)

    @_machine.output()
    def _start_probe(self, reason, now_s):
        self.is_answering = False
        self._loss_reason = reason
        return (ProbeEngine(),)

    @_machine.output()
    def _fail_without_crash(self, now_s):
        return self.fail(verdicts.Verdict.MAY_HAVE_RUN, self._loss_reason, False, now_s)

    @_machine.output()
    def _cancel_engine(self, now_s):
        self._set_ended()
        return (CancelEngine(self.work.attempt),)

    def break_off(self):
        """End the attempt after an unexpected error, whatever its state.

        :returns: tuple of actions.
        """
        self._set_ended()
        failed = _may_have_run_reply(self.entry, self.work, INTERNAL_ERROR)
        return (failed, CancelEngine(self.work.attempt))

    _join = attempts.concatenate_actions
    _calling.upon(headers, _answering, [_check_headers], _join)
    _calling.upon(refuse, _ended, [_send_refusal], _join)
    _calling.upon(end, _calling, [_abort_without_headers], _join)
    _answering.upon(end, _answering, [_finish], _join)
    _probing.upon(survive, _probing, [_fail_without_crash], _join)
    for _state in (_calling, _answering):
        _state.upon(lose, _probing, [_start_probe], _join)
    for _state in (_calling, _answering, _probing):
        _state.upon(fail, _ended, [_send_failure], _join)
        _state.upon(stop, _ended, [_cancel_engine], _join)
        _state.upon(close, _ended, [_mark_ended], _join)
    # Events that do not apply to a state are ignored.
    for _state, _events in (
        (_calling, (survive,)),
        (_answering, (headers, refuse, survive)),
        (_probing, (headers, end, refuse, lose)),
        (_ended, (headers, end, fail, refuse, stop, lose, survive, close)),
    ):
        for _event in _events:
            _state.upon(_event, _state, [], _join)
    del _state, _events, _event, _join


class Executions:
    """All attempts in progress at an agent.

    Every event method returns a tuple of :class:`Reply`, :class:`CallEngine`,
    :class:`CancelEngine` and :class:`ProbeEngine`. The caller carries them out and
    calls :meth:`tick` at the time that :meth:`next_tick_s` returns.

    :param check: callable that takes the ``Work`` and ``now_s`` and returns a
        :class:`GrantDecision`, which tells whether this agent may run the work.
    :param stop: :class:`cicadaplank.members.draining.Draining` of this process; None
        for one with default limits.
    :ivar dropped_responses: number of engine events without an attempt in progress.
    :ivar refused: number of work messages that were refused.
    """

    def __init__(self, check, stop=None):
        self._check = check
        self._stop = stop or draining.Draining()
        self._executions = {}
        self._claim_generations = collections.OrderedDict()
        self._seen_attempts = collections.OrderedDict()
        self._probe_deadline_s = None
        self.dropped_responses = 0
        self.refused = 0

    def __len__(self):
        return len(self._executions)

    def states(self):
        """Return a counter from state name to the number of attempts in that state."""
        return collections.Counter(e.state() for e in self._executions.values())

    def work(self, entry, work, now_s):
        """Accept or refuse work from an entry instance.

        :param entry: name of the connection to the entry instance. A reconnection gets
            a new name, so that the loss of the old connection does not end newer work.
        :param work: :class:`cicadaplank.messages.types.Work`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if work.attempt in self._seen_attempts:
            # Ignore a duplicate: it must not run after the first message was refused.
            return ()
        self._seen_attempts[work.attempt] = None
        if len(self._seen_attempts) > MAX_SEEN_ATTEMPTS:
            self._seen_attempts.popitem(last=False)
        if work.once_key and not self._record_generation(work):
            # The call may have run under a newer generation of the claim or under this
            # one. A refusal would allow the entry instance to release the claim or to
            # dispatch it again, so a failure is returned.
            return (
                _may_have_run_reply(entry, work, "the claim was dispatched before"),
            )
        try:
            grant = self._check(work, now_s)
        except Exception as error:
            refused = self._refuse(entry, work, INTERNAL_ERROR, 0.0)
            return (process_actions.ReportError(error), *refused)
        (offered,) = self._stop.offered(work.attempt, now_s)
        if isinstance(offered, draining.Refuse):
            reason = REFUSALS[offered.reason]
            return self._refuse(entry, work, reason, offered.retry_after_s)
        refusal = self._refusal(work, grant)
        if refusal is not None:
            self._stop.finished(work.attempt)
            return self._refuse(entry, work, *refusal)
        self._stop.started(work.attempt)
        deadline_s = now_s + work.deadline_s
        if work.once_key:
            self._claim_generations[_claim_key(work)] = (work.generation, work.attempt)
            deadline_s += LATE_RESULT_S
        execution = Execution(entry, work, grant.manifest_digest, deadline_s)
        self._executions[work.attempt] = execution
        accepted = types.WorkAccepted(work.attempt)
        call = CallEngine(work, grant.manifest_digest, deadline_s - now_s)
        return (Reply(entry, accepted), call)

    def _record_generation(self, work):
        """Record the generation of the claim that the work carries.

        :returns: False when a newer generation was seen, or this one was executed.
        """
        key = _claim_key(work)
        generation, executed_by = self._claim_generations.get(key, (0, ""))
        if work.generation < generation:
            return False
        if work.generation == generation and executed_by:
            return False
        self._claim_generations[key] = (work.generation, "")
        self._claim_generations.move_to_end(key)
        if len(self._claim_generations) > MAX_CLAIM_GENERATIONS:
            self._claim_generations.popitem(last=False)
        return True

    def _refusal(self, work, grant):
        """Return the reason and ``retry_after_s`` of a refusal, None to accept."""
        if work.deadline_s < retries.MIN_ATTEMPT_S:
            return "the deadline has passed", 0.0
        if not grant.allowed:
            return grant.reason, grant.retry_after_s
        if work.manifest_digest and work.manifest_digest != grant.manifest_digest:
            return "the endpoint serves other weights", 0.0
        if work.offset and not grant.can_resume:
            return "the engine cannot resume a stream", 0.0
        if len(self._executions) >= MAX_EXECUTIONS:
            return "the endpoint is full", BUSY_RETRY_S
        return None

    def _refuse(self, entry, work, reason, retry_after_s):
        self.refused += 1
        message = types.WorkRefused(work.attempt, reason, retry_after_s)
        return (Reply(entry, message),)

    def engine_headers(self, attempt, status, echoed, manifest_digest, offset, now_s):
        """Handle the headers of the engine's response.

        :param attempt: identifier of the attempt that the request was made for.
        :param status: HTTP status.
        :param echoed: attempt identifier that the engine echoes.
        :param manifest_digest: manifest digest that the engine reports, or None when it
            reports the digest only at the end.
        :param offset: offset of the first token of a stream, else 0.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        arguments = (status, echoed, manifest_digest, offset)
        return self._handle_event(attempt, "headers", arguments, now_s)

    def engine_data(self, attempt, data, now_s):
        """Handle bytes of the engine's response body."""
        return self._handle_event(attempt, "data", (data,), now_s)

    def engine_token(self, attempt, echoed, offset, token, now_s, manifest_digest=None):
        """Handle one token of a stream, in place of headers and data.

        :param attempt: identifier of the attempt that the request was made for.
        :param echoed: attempt identifier that the engine echoes.
        :param offset: number of tokens before this one.
        :param token: bytes without a newline.
        :param now_s: current time in seconds.
        :param manifest_digest: manifest digest that the engine reports before the first
            token; None when it reports the digest only at the end, and then the stream
            cannot be resumed.
        :returns: tuple of actions.
        """
        execution = self._executions.get(attempt)
        if execution is None:
            self.dropped_responses += 1
            return ()
        actions = ()
        if not execution.is_answering:
            arguments = (STATUS_OK, echoed, manifest_digest, offset)
            actions = self._handle_event(attempt, "headers", arguments, now_s)
            if not execution.is_answering:
                return actions
        reason = None
        if echoed != attempt:
            reason = f"the token belongs to {echoed!r:.80}"
        elif offset != execution.next_offset:
            reason = f"token {offset} follows {execution.next_offset} tokens"
        elif b"\n" in token:
            reason = "the token holds a newline"
        if reason is not None:
            arguments = (verdicts.Verdict.MAY_HAVE_RUN, reason, False)
            failed = self._handle_event(attempt, "fail", arguments, now_s)
            return (*actions, *failed, CancelEngine(attempt))
        return actions + self._handle_event(attempt, "data", (token + b"\n",), now_s)

    def engine_end(self, attempt, now_s, total=None, manifest_digest=None):
        """Handle the end of a response body that is complete by its HTTP framing.

        :param attempt: identifier of the attempt.
        :param now_s: current time in seconds.
        :param total: number of tokens of the stream including the offset, or of bytes
            of the body, as counted by the engine; None when it reports no count.
        :param manifest_digest: manifest digest that the engine reports at the end; None
            when it reported the digest in the headers.
        :returns: tuple of actions.
        """
        load = len(self._executions) - 1
        return self._handle_event(attempt, "end", (total, manifest_digest, load), now_s)

    def engine_failed(self, attempt, dispatched, reason, now_s):
        """Handle a failed engine call, without probing the engine.

        :param attempt: identifier of the attempt.
        :param dispatched: False when no byte of the request was written.
        :param reason: short text.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if not dispatched:
            execution = self._executions.get(attempt)
            if execution is not None:
                self._clear_execution(execution.work)
            return self._handle_event(attempt, "refuse", (reason, 0.0), now_s)
        arguments = (verdicts.Verdict.MAY_HAVE_RUN, reason, False)
        return self._handle_event(attempt, "fail", arguments, now_s)

    def _clear_execution(self, work):
        """Allow this generation of the claim to be dispatched here again."""
        key = _claim_key(work)
        if self._claim_generations.get(key) == (work.generation, work.attempt):
            self._claim_generations[key] = (work.generation, "")

    def engine_rejected(self, attempt, status, reason, now_s):
        """Handle an error status that shows that the engine did not run the request.

        :param attempt: identifier of the attempt.
        :param status: HTTP status, 400 to 499.
        :param reason: error text of the engine.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        execution = self._executions.get(attempt)
        if execution is None:
            self.dropped_responses += 1
            return ()
        self._clear_execution(execution.work)
        message = types.WorkFailed(
            attempt, verdicts.Verdict.NOT_RUN.value, reason, False, status
        )
        return (
            Reply(execution.entry, message),
            *self._handle_event(attempt, "close", (), now_s),
        )

    def engine_lost(self, attempt, reason, now_s):
        """Handle a connection to the engine that broke after the request was written.

        Unlike in :meth:`engine_failed`, the engine is probed before the attempt ends,
        so that a crash is attributed to the requests that were running.

        :param attempt: identifier of the attempt.
        :param reason: short text.
        :param now_s: current time in seconds.
        :returns: tuple of actions; :class:`ProbeEngine` unless a probe is in progress.
        """
        actions = self._handle_event(attempt, "lose", (reason,), now_s)
        if ProbeEngine() not in actions:
            return actions
        if self._probe_deadline_s is not None:
            return ()
        self._probe_deadline_s = now_s + PROBE_LIMIT_S
        return actions

    def engine_probed(self, result, now_s):
        """Handle the result of a probe.

        Unless the engine crashed, only the attempts whose connection broke fail.

        :param result: :class:`ProbeResult`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        self._probe_deadline_s = None
        if result is ProbeResult.CRASHED:
            return self.engine_crashed(now_s)
        actions = ()
        for attempt in list(self._executions):
            actions += self._handle_event(attempt, "survive", (), now_s)
        return actions

    def engine_crashed(self, now_s):
        """Fail all attempts in progress because the engine process has crashed.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        arguments = (verdicts.Verdict.MAY_HAVE_RUN, "the engine crashed", True)
        self._probe_deadline_s = None
        actions = ()
        for attempt in list(self._executions):
            actions += self._handle_event(attempt, "fail", arguments, now_s)
        return actions

    def cancel(self, entry, attempt, now_s):
        """Handle a ``WorkCancel``; ignored when another connection sent the work.

        :param entry: name of the connection that delivered it.
        :param attempt: identifier of the attempt.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        execution = self._executions.get(attempt)
        if execution is None or execution.entry != entry:
            return ()
        return self._handle_event(attempt, "stop", (), now_s)

    def entry_connection_lost(self, entry, now_s):
        """Cancel the attempts of an entry instance whose connection was lost.

        Calls with a once key run to completion, because cancelling cannot undo them;
        their replies are dropped.

        :param entry: name of the connection.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        actions = ()
        for attempt, execution in list(self._executions.items()):
            if execution.entry == entry and not execution.work.once_key:
                actions += self._handle_event(attempt, "stop", (), now_s)
        return actions

    def abort(self, action, now_s):
        """End work that exceeds the drain limit of a planned stop.

        :param action: :class:`cicadaplank.members.draining.Abort`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if action.work not in self._executions:
            return ()
        return self._end_now(action.work, action.verdict, "the endpoint stopped", now_s)

    def tick(self, now_s):
        """End work whose deadline or probe time limit has passed.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        actions = ()
        if self._probe_deadline_s is not None and now_s >= self._probe_deadline_s:
            actions += self.engine_probed(ProbeResult.SILENT, now_s)
        verdict, reason = verdicts.Verdict.MAY_HAVE_RUN, "the deadline has passed"
        for attempt, execution in list(self._executions.items()):
            if now_s >= execution.deadline_s:
                actions += self._end_now(attempt, verdict, reason, now_s)
        return actions

    def _end_now(self, attempt, verdict, reason, now_s):
        failed = self._handle_event(attempt, "fail", (verdict, reason, False), now_s)
        return (*failed, CancelEngine(attempt))

    def next_tick_s(self):
        """Return the time at which :meth:`tick` is due, or None."""
        times = [execution.deadline_s for execution in self._executions.values()]
        if self._probe_deadline_s is not None:
            times.append(self._probe_deadline_s)
        return min(times, default=None)

    def _handle_event(self, attempt, event, arguments, now_s):
        execution = self._executions.get(attempt)
        if execution is None:
            self.dropped_responses += 1
            return ()
        try:
            actions = getattr(execution, event)(*arguments, now_s)
        except Exception as error:
            actions = (process_actions.ReportError(error), *execution.break_off())
        if execution.is_ended:
            del self._executions[attempt]
            self._stop.finished(attempt)
        return actions


def _claim_key(work):
    return (work.row, work.client, work.once_key)


def _may_have_run_reply(entry, work, reason):
    verdict = verdicts.Verdict.MAY_HAVE_RUN.value
    return Reply(entry, types.WorkFailed(work.attempt, verdict, reason))
