"""State machine of one request on an entry instance, from arrival to final answer."""

import dataclasses

import automat

from cicadaplank.messages import types
from cicadaplank.requests import (
    answers,
    attempts,
    claims,
    crash_tracking,
    retries,
    verdicts,
)

# Bound on the buffered bytes of all non-streamed answers; a daemon may use 256 MB.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request after admission.

    :param identifier: unique over all entry instances and their restarts.
    :param row: name of the row (model or plain service) that the request addresses.
    :param client: client name.
    :param method: HTTP method.
    :param path: HTTP path at the engine or plain service.
    :param body: request body.
    :param deadline_s: time in seconds after which the answer is of no use to the
        caller.
    :param stream: True when the caller wants tokens as they are generated; only for
        requests that may be repeated.
    :param priority: 0 is most urgent.
    :param repeatable: False for a call that must not be executed more than once.
    :param once_key: ``Idempotency-Key`` of a call that may not be repeated, or empty.
        Without a key the call is dispatched without a claim and is not dispatched
        again once it may have run.
    :param prefix: digest of the start of the prompt, empty for a plain service.
    """

    identifier: str
    row: str
    client: str
    method: str
    path: str
    body: bytes
    deadline_s: float
    stream: bool = False
    priority: int = 5
    repeatable: bool = True
    once_key: str = ""
    prefix: str = ""


@dataclasses.dataclass(frozen=True)
class RouteRequest:
    """Parameters of an endpoint choice by the router.

    :param request: :class:`Request`.
    :param avoid: frozenset of the endpoints to exclude: those that failed this request
        and, after a crash, those that run other requests which were part of a crash.
    :param offset: tokens already delivered; above 0 the endpoint must be able to
        resume a stream.
    :param manifest_digest: digest of the weights that must answer, or empty.
    """

    request: Request
    avoid: frozenset
    offset: int = 0
    manifest_digest: str = ""


@dataclasses.dataclass(frozen=True)
class SendWork:
    """Send an attempt to an agent.

    Once a connection to the agent has room in its send queue, the network layer calls
    :meth:`cicadaplank.requests.dispatcher.Dispatcher.begin_write` and writes the work
    that it returns, if any. Without such a connection it calls
    :meth:`cicadaplank.requests.dispatcher.Dispatcher.undelivered` and never writes the
    work.

    :param endpoint: instance name of the agent.
    :param work: :class:`cicadaplank.messages.types.Work`.
    """

    endpoint: str
    work: types.Work


@dataclasses.dataclass(frozen=True)
class SendCancel:
    """Cancel an attempt at an agent.

    :param endpoint: instance name of the agent.
    :param cancel: :class:`cicadaplank.messages.types.WorkCancel`.
    """

    endpoint: str
    cancel: types.WorkCancel


@dataclasses.dataclass(frozen=True)
class AttemptEnded:
    """Report the end of an attempt; the router updates load and ejection from it.

    :param endpoint: instance name of the agent.
    :param attempt: identifier of the attempt.
    :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`.
    :param reason: short text; empty for a complete answer.
    :param crashed: True when the engine crashed while it ran the attempt.
    :param load: requests in progress at the agent, None when it did not report them.
    :param retry_after_s: from a refusal: seconds for which the endpoint takes no work.
    :param cancelled: True when this entry instance ended the attempt for a reason that
        is no evidence about the health of the endpoint.
    """

    endpoint: str
    attempt: str
    verdict: verdicts.Verdict
    reason: str = ""
    crashed: bool = False
    load: int | None = None
    retry_after_s: float = 0.0
    cancelled: bool = False


@dataclasses.dataclass(frozen=True)
class Wake:
    """Call :meth:`Exchange.wake` of a request at a given time.

    :param request: identifier of the request.
    :param at_s: time of the call in seconds.
    """

    request: str
    at_s: float


# Denial codes that leave open whether an earlier call with the same key has run, even
# though this call was not sent.
_EARLIER_MAY_HAVE_RUN = ("in_progress", "unknown")
# A dispatched call with a claim is not cancelled when its caller disconnects or has its
# final answer. If the result arrives within this time after the deadline, it is
# recorded for a repeated call.
LATE_RESULT_S = 30.0
# Longest wait for the release of a claim before a NOT_RUN answer. Until the release
# takes effect, a repeated call with the same key is told that the first may have run.
RELEASE_TIMEOUT_S = 1.0
# Reason of an attempt that an unexpected error of this process has ended.
INTERNAL_ERROR = "internal error"


class Buffer:
    """Byte budget for the non-streamed answers that one entry instance buffers.

    :param limit_bytes: largest number of bytes that may be buffered at a time.
    :ivar used_bytes: bytes reserved now.
    :ivar rejected: number of parts that did not fit.
    """

    def __init__(self, limit_bytes=MAX_BUFFERED_BYTES):
        self._limit_bytes = limit_bytes
        self.used_bytes = 0
        self.rejected = 0

    def reserve(self, size_bytes):
        """Reserve bytes for a part of an answer.

        :param size_bytes: size of the part.
        :returns: False when the part does not fit; nothing is reserved then.
        """
        if self.used_bytes + size_bytes > self._limit_bytes:
            self.rejected += 1
            return False
        self.used_bytes += size_bytes
        return True

    def release(self, size_bytes):
        """Release reserved bytes.

        :param size_bytes: number of bytes.
        """
        self.used_bytes -= size_bytes


@dataclasses.dataclass(frozen=True)
class SharedState:
    """State and collaborators shared by all requests of one entry instance.

    :param choose: callable that takes a :class:`RouteRequest` and ``now_s`` and returns
        the name of an endpoint, or :class:`cicadaplank.requests.routing.NoEndpoint`, or
        None.
    :param claims: :class:`cicadaplank.requests.claims.Claims`.
    :param budget: :class:`cicadaplank.requests.retries.RetryBudget`.
    :param suspects: :class:`cicadaplank.requests.crash_tracking.CrashTracker`.
    :param random: ``random.Random``.
    :param buffer: :class:`Buffer`.
    :param suspect_endpoints: callable that takes a request digest and ``now_s`` and
        returns the endpoints that run other requests which were part of a crash.
    """

    choose: object
    claims: claims.Claims
    budget: retries.RetryBudget
    suspects: crash_tracking.CrashTracker
    random: object
    buffer: Buffer
    suspect_endpoints: object


@dataclasses.dataclass(frozen=True)
class _Error:
    """Final error of a request; its advice depends on the release of the claim.

    :param code: key of :data:`cicadaplank.requests.answers.ERROR_KINDS`.
    :param reason: reason of the last failed attempt, or empty.
    :param retry_after_s: seconds after which the caller may retry.
    :param status: HTTP status that replaces the one of the failure, 0 for none.
    """

    code: str
    reason: str
    retry_after_s: float
    status: int = 0


class Exchange:
    """State machine of a request; each event returns a tuple of actions.

    States: ``new``, ``claiming``, ``attempting``, ``backing_off``, ``releasing``,
    ``recording``, ``finished``. Exactly one of
    :class:`answers.Answer`, :class:`answers.StreamEnd` and
    :class:`answers.StreamError` is returned over the life of a request, unless the
    caller has disconnected.

    :param request: :class:`Request`.
    :param shared: :class:`SharedState`.
    :ivar digest: digest of client, row, method, path and body.
    :ivar verdict: combined verdict of the attempts so far.
    :ivar attempt: current :class:`cicadaplank.requests.attempts.Attempt`, or None.
    :ivar attempt_count: number of attempts so far.
    :ivar is_finished: True in the state ``finished``.
    """

    _machine = automat.MethodicalMachine()

    def __init__(self, request, shared):
        self.request = request
        self.verdict = verdicts.Verdict.NOT_RUN
        self.attempt = None
        self.attempt_count = 0
        self._shared = shared
        self.digest = crash_tracking.digest(
            request.client, request.row, request.method, request.path, request.body
        )
        self._generation = 0
        self._failed_endpoints = frozenset()
        self._last_reason = ""
        self._delivered_tokens = 0
        self._manifest_digest = ""
        self._parts = []
        self._buffered_bytes = 0
        self._is_oversize = False
        self._wake_s = 0.0
        self._error = None
        self._caller_gone = False
        self._is_forwarding = False
        self.is_finished = False

    @_machine.serializer()
    def state(self, state):
        """Return the name of the current state."""
        return state

    @_machine.state(initial=True, serialized="new")
    def _new(self):
        """The request has not been started."""

    @_machine.state(serialized="claiming")
    def _claiming(self):
        """The claim of a call that may not be repeated has been requested."""

    @_machine.state(serialized="attempting")
    def _attempting(self):
        """An attempt is in progress."""

    @_machine.state(serialized="backing_off")
    def _backing_off(self):
        """The request waits before its next attempt."""

    @_machine.state(serialized="releasing")
    def _releasing(self):
        """The claim is being released before the final answer."""

    @_machine.state(serialized="recording")
    def _recording(self):
        """The caller needs no answer any more; a late result is still recorded."""

    @_machine.state(serialized="finished")
    def _finished(self):
        """The request is complete; all further events are ignored."""

    @_machine.input()
    def start(self, now_s):
        """Start the request on its arrival."""

    @_machine.input()
    def claim_result(self, result, now_s):
        """Handle the outcome of the claim.

        :param result: :class:`claims.Held`, :class:`claims.Recorded` or
            :class:`claims.Denied`.
        :param now_s: current time in seconds.
        """

    @_machine.input()
    def claim_released(self, now_s):
        """Handle a release of the claim that took effect."""

    def attempt_event(self, actions, now_s):
        """Handle the actions that the current attempt returned for an event.

        :param actions: tuple of :class:`attempts.Part`, :class:`attempts.Complete` and
            :class:`attempts.Broken`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if self._is_forwarding and len(actions) == 1:
            # A stream has one part for each token, and a transition of the state
            # machine costs about 50 us, so parts bypass it.
            if isinstance(actions[0], attempts.Part):
                return self._handle_part(actions[0], now_s)
        return self._attempt_event(actions, now_s)

    @_machine.input()
    def _attempt_event(self, actions, now_s):
        """Handle actions of the current attempt that may end it."""

    @_machine.input()
    def wake(self, now_s):
        """Handle a time that was requested with :class:`Wake`."""

    @_machine.input()
    def suspected(self, now_s):
        """Handle that requests with this digest have reached the crash limit."""

    @_machine.input()
    def stop(self, now_s):
        """Give the final answer now because the entry instance is stopping."""

    @_machine.input()
    def caller_gone(self, now_s):
        """Handle a caller that closed its connection."""

    @_machine.input()
    def _claim(self, now_s):
        """Request a claim for a call that may not be repeated."""

    @_machine.input()
    def _start_attempt(self, now_s):
        """Choose an endpoint and send the work to it."""

    @_machine.input()
    def _back_off(self, after_s, now_s):
        """Wait ``after_s`` seconds before the next attempt."""

    @_machine.input()
    def _release(self, error, now_s):
        """Release the claim before the final error is returned."""

    @_machine.input()
    def _record(self, final, now_s):
        """Return the final actions; the attempt continues so its result is recorded."""

    @_machine.input()
    def _finish(self, final, now_s):
        """Return the final actions and finish the request."""

    @_machine.output()
    def _begin(self, now_s):
        self._shared.budget.record_request()
        deadline = Wake(self.request.identifier, self.request.deadline_s)
        if self.request.once_key and not self.request.repeatable:
            return (deadline, *self._claim(now_s))
        return (deadline, *self._start_attempt(now_s))

    @_machine.output()
    def _request_claim(self, now_s):
        request = self.request
        return self._shared.claims.claim(
            request.identifier,
            request.row,
            request.client,
            request.once_key,
            self.digest,
            request.deadline_s,
            now_s,
        )

    @_machine.output()
    def _handle_claim_result(self, result, now_s):
        if isinstance(result, claims.Held):
            self._generation = result.generation
            return self._start_attempt(now_s)
        if isinstance(result, claims.Recorded):
            self.verdict = verdicts.Verdict.RAN
            if result.body is None:
                return self._fail(_Error("too_large_to_record", "", 0.0), now_s)
            answer = answers.Answer(
                self.request.identifier,
                result.status,
                self.verdict,
                result.body,
                recorded=True,
            )
            return self._finish((answer,), now_s)
        if result.code in _EARLIER_MAY_HAVE_RUN:
            self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        return self._fail(_Error(result.code, "", result.retry_after_s), now_s)

    @_machine.output()
    def _send_work(self, now_s):
        request = self.request
        blocked_s = self._shared.suspects.blocked_for_s(self.digest, now_s)
        if blocked_s:
            return self._fail(_Error("crashes", self._last_reason, blocked_s), now_s)
        remaining_s = request.deadline_s - now_s
        if remaining_s < retries.MIN_ATTEMPT_S:
            return self._fail(self._retryable_error("deadline"), now_s)
        endpoint = self._choose_endpoint(now_s)
        if not isinstance(endpoint, str):
            return self._fail(self._no_endpoint(endpoint), now_s)
        self.attempt_count += 1
        identifier = f"{request.identifier}.{self.attempt_count}"
        self.attempt = attempts.Attempt(
            identifier, endpoint, request.stream, self._delivered_tokens
        )
        self._drop_parts()
        self._is_oversize = False
        work = types.Work(
            attempt=identifier,
            row=request.row,
            client=request.client,
            method=request.method,
            path=request.path,
            body=request.body,
            stream=request.stream,
            priority=request.priority,
            deadline_s=remaining_s,
            offset=self._delivered_tokens,
            once_key=request.once_key if self._generation else "",
            generation=self._generation,
            manifest_digest=self._manifest_digest,
            prefix=request.prefix,
        )
        return (SendWork(endpoint, work),)

    def _choose_endpoint(self, now_s):
        """Ask the router for an endpoint.

        :returns: name of an endpoint, or what ``SharedState.choose`` returned instead,
            or None when a stream cannot be resumed.
        """
        if not self._delivered_tokens:
            self._manifest_digest = ""
        elif not self._manifest_digest:
            # It is not known which weights generated the tokens already delivered, so
            # the stream could be resumed from other weights.
            return None
        avoid = self._failed_endpoints
        if self._shared.suspects.crashes(self.digest, now_s):
            # Requests that were part of the same crash are retried on different
            # endpoints: the next crash then tells the request that causes crashes from
            # those that were running beside it.
            avoid |= self._shared.suspect_endpoints(self.digest, now_s)
        for avoided in dict.fromkeys((avoid, self._failed_endpoints)):
            route = RouteRequest(
                self.request, avoided, self._delivered_tokens, self._manifest_digest
            )
            endpoint = self._shared.choose(route, now_s)
            if isinstance(endpoint, str):
                break
        return endpoint

    def _no_endpoint(self, found):
        """Return the error for a request that no endpoint can take.

        :param found: :class:`cicadaplank.requests.routing.NoEndpoint` or None.
        :returns: :class:`_Error`.
        """
        error = self._retryable_error(
            "cannot_resume" if self._delivered_tokens else "no_endpoint"
        )
        if found is None:
            return error
        return dataclasses.replace(
            error,
            reason=error.reason or found.reason,
            retry_after_s=max(error.retry_after_s, found.retry_after_s),
        )

    def record_manifest(self, manifest_digest):
        """Record which weights answer the current attempt.

        :param manifest_digest: digest from ``WorkAccepted``.
        :returns: False when a resumed stream would continue from other weights.
        """
        if self._delivered_tokens:
            return manifest_digest == self._manifest_digest
        self._manifest_digest = manifest_digest
        return True

    @_machine.output()
    def _handle_attempt_event(self, actions, now_s):
        self._is_forwarding = self.request.stream
        result = ()
        for action in actions:
            if isinstance(action, attempts.Part):
                result += self._handle_part(action, now_s)
            elif isinstance(action, attempts.Complete):
                result += self._handle_complete(action, now_s)
            elif isinstance(action, attempts.Broken):
                result += self._handle_broken(action, now_s)
        return result

    def _handle_part(self, part, now_s):
        if self.request.stream:
            self._delivered_tokens = self.attempt.next_offset
            return (answers.StreamPart(self.request.identifier, part.data),)
        self._buffer_part(part)
        if not self._is_oversize or self._generation:
            return ()
        error = self._retryable_error("entry_full")
        if self.attempt.next_offset > answers.MAX_ANSWER_BYTES:
            error = _Error("answer_too_large", "", 0.0)
        return self._cancel("the answer is too large") + self._fail(error, now_s)

    def _buffer_part(self, part):
        """Buffer a part of a non-streamed answer.

        When the answer exceeds its size limit or the shared buffer is full, all of its
        parts are dropped and the answer is marked as oversize.
        """
        size_bytes = len(part.data)
        if self._is_oversize:
            return
        fits = self.attempt.next_offset <= answers.MAX_ANSWER_BYTES
        if fits and self._shared.buffer.reserve(size_bytes):
            self._parts.append(part.data)
            self._buffered_bytes += size_bytes
        else:
            self._is_oversize = True
            self._drop_parts()

    def _drop_parts(self):
        self._shared.buffer.release(self._buffered_bytes)
        self._parts = []
        self._buffered_bytes = 0

    def _handle_complete(self, complete, now_s):
        self.verdict = verdicts.Verdict.RAN
        ended = self._attempt_ended(self.verdict)
        identifier = self.request.identifier
        if self.request.stream:
            end = answers.StreamEnd(identifier, self._delivered_tokens)
            return ended + self._finish((end,), now_s)
        recorded = self._record_result(complete, now_s)
        if self._is_oversize:
            return (
                ended
                + recorded
                + self._fail(_Error("too_large_to_record", "", 0.0), now_s)
            )
        body = b"".join(self._parts)
        answer = answers.Answer(identifier, complete.status, self.verdict, body)
        return ended + recorded + self._finish((answer,), now_s)

    def _record_result(self, complete, now_s):
        """Record the result of a call under its claim, if it has one.

        The body is omitted when the answer was too large to buffer.
        """
        if not self._generation:
            return ()
        body = None
        if not self._is_oversize:
            body = b"".join(self._parts)
        return self._shared.claims.record_result(
            self.request.identifier, complete.status, body, now_s
        )

    def _handle_broken(self, broken, now_s):
        self.verdict = verdicts.combine(self.verdict, broken.verdict)
        self._failed_endpoints |= {self.attempt.endpoint}
        self._last_reason = broken.reason
        result = self._report_broken(broken, now_s)
        blocked_s = self._shared.suspects.blocked_for_s(self.digest, now_s)
        if blocked_s:
            return result + self._fail(
                _Error("crashes", broken.reason, blocked_s), now_s
            )
        if broken.status:
            error = _Error("engine_error", broken.reason, 0.0, broken.status)
            return result + self._fail(error, now_s)
        decision = retries.decide(
            self.verdict,
            self.request.repeatable,
            self.attempt_count,
            now_s,
            self.request.deadline_s,
            self._shared.budget,
            self._shared.random,
        )
        if isinstance(decision, retries.GiveUp):
            retry_after_s = max(decision.retry_after_s, broken.retry_after_s)
            return result + self._fail(
                _Error(decision.code, broken.reason, retry_after_s), now_s
            )
        if decision.after_s:
            return result + self._back_off(decision.after_s, now_s)
        return result + self._start_attempt(now_s)

    def _report_broken(self, broken, now_s):
        """Report a broken attempt and its crash, and cancel it if it may still run.

        The attempt of a call with a claim is not cancelled.
        """
        attempt = self.attempt
        result = ()
        if broken.running and not self._generation:
            cancel = types.WorkCancel(attempt.identifier)
            result = (SendCancel(attempt.endpoint, cancel),)
        result += self._attempt_ended(
            broken.verdict, broken.reason, broken.crashed, broken.retry_after_s
        )
        if broken.crashed:
            result += self._shared.suspects.record_crash(
                self.digest, attempt.endpoint, now_s
            )
        return result

    def _attempt_ended(self, verdict, reason="", crashed=False, retry_after_s=0.0):
        self._is_forwarding = False
        attempt = self.attempt
        return (
            AttemptEnded(
                attempt.endpoint,
                attempt.identifier,
                verdict,
                reason,
                crashed,
                attempt.load,
                retry_after_s,
            ),
        )

    @_machine.output()
    def _handle_late_event(self, actions, now_s):
        result = ()
        for action in actions:
            if isinstance(action, attempts.Part):
                self._buffer_part(action)
            elif isinstance(action, attempts.Complete):
                result += self._attempt_ended(verdicts.Verdict.RAN)
                result += self._record_result(action, now_s)
                result += self._finish((), now_s)
            elif isinstance(action, attempts.Broken):
                result += self._report_broken(action, now_s)
                if action.verdict is verdicts.Verdict.NOT_RUN:
                    result += self._shared.claims.release(
                        self.request.identifier, now_s
                    )
                result += self._finish((), now_s)
        return result

    @_machine.output()
    def _schedule_retry(self, after_s, now_s):
        self._wake_s = now_s + after_s
        return (Wake(self.request.identifier, self._wake_s),)

    @_machine.output()
    def _retry_when_due(self, now_s):
        return self._start_attempt(now_s) if now_s >= self._wake_s else ()

    @_machine.output()
    def _expire_claiming(self, now_s):
        if now_s < self.request.deadline_s:
            return ()
        abandoned = self._shared.claims.abandon(self.request.identifier, now_s)
        return abandoned + self._fail(self._retryable_error("deadline"), now_s)

    @_machine.output()
    def _expire_attempting(self, now_s):
        if now_s < self.request.deadline_s:
            return ()
        error = self._retryable_error("deadline")
        if self._is_dispatched_claim():
            self.verdict = verdicts.Verdict.MAY_HAVE_RUN
            return self._record((self._final_action(error),), now_s)
        return self._cancel("the deadline has passed", True) + self._fail(error, now_s)

    @_machine.output()
    def _expire_releasing(self, now_s):
        if now_s < self._wake_s:
            return ()
        return self._finish((self._final_action(self._error, answers.NEW_KEY),), now_s)

    @_machine.output()
    def _expire_recording(self, now_s):
        if now_s < self._wake_s:
            return ()
        ended = self._attempt_ended(
            verdicts.Verdict.MAY_HAVE_RUN, "no result arrived in time to be recorded"
        )
        return ended + self._finish((), now_s)

    @_machine.output()
    def _answer_released(self, now_s):
        return self._finish((self._final_action(self._error),), now_s)

    @_machine.output()
    def _start_release(self, error, now_s):
        self._error = error
        self._wake_s = now_s + RELEASE_TIMEOUT_S
        wake = Wake(self.request.identifier, self._wake_s)
        return (wake, *self._shared.claims.release(self.request.identifier, now_s))

    @_machine.output()
    def _start_recording(self, final, now_s):
        self._wake_s = max(now_s, self.request.deadline_s) + LATE_RESULT_S
        final_actions = () if self._caller_gone else final
        return (*final_actions, Wake(self.request.identifier, self._wake_s))

    @_machine.output()
    def _emit_final(self, final, now_s):
        self.is_finished = True
        self._drop_parts()
        if self._generation:
            self._shared.claims.forget(self.request.identifier)
        return () if self._caller_gone else final

    @_machine.output()
    def _block_attempting(self, now_s):
        blocked_s = self._shared.suspects.blocked_for_s(self.digest, now_s)
        if not blocked_s or self._is_dispatched_claim():
            return ()
        error = _Error("crashes", self._last_reason, blocked_s)
        return self._cancel("the request crashes endpoints") + self._fail(error, now_s)

    @_machine.output()
    def _block_backing_off(self, now_s):
        blocked_s = self._shared.suspects.blocked_for_s(self.digest, now_s)
        if not blocked_s:
            return ()
        return self._fail(_Error("crashes", self._last_reason, blocked_s), now_s)

    @_machine.output()
    def _stop_claiming(self, now_s):
        abandoned = self._shared.claims.abandon(self.request.identifier, now_s)
        return abandoned + self._finish(
            (self._final_action(self._retryable_error("stopping")),), now_s
        )

    @_machine.output()
    def _stop_attempting(self, now_s):
        cancelled = ()
        if self._is_dispatched_claim():
            self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        else:
            cancelled = self._cancel("the entry instance is stopping")
        return cancelled + self._fail(self._retryable_error("stopping"), now_s)

    @_machine.output()
    def _stop_backing_off(self, now_s):
        return self._fail(self._retryable_error("stopping"), now_s)

    @_machine.output()
    def _disconnect_claiming(self, now_s):
        self._caller_gone = True
        abandoned = self._shared.claims.abandon(self.request.identifier, now_s)
        return abandoned + self._finish((), now_s)

    @_machine.output()
    def _disconnect_attempting(self, now_s):
        self._caller_gone = True
        if self._is_dispatched_claim():
            return self._record((), now_s)
        cancelled = self._cancel("the caller has gone")
        return cancelled + self._fail(self._retryable_error("no_endpoint"), now_s)

    @_machine.output()
    def _disconnect_backing_off(self, now_s):
        self._caller_gone = True
        return self._fail(self._retryable_error("no_endpoint"), now_s)

    @_machine.output()
    def _disconnect_releasing(self, now_s):
        self._caller_gone = True
        return ()

    def _is_dispatched_claim(self):
        may_have_run = verdicts.Verdict.MAY_HAVE_RUN
        return bool(self._generation) and self.attempt.verdict is may_have_run

    def _cancel(self, reason, is_past_deadline=False):
        """Cancel the current attempt and combine its verdict into the request's.

        :param reason: short text for :class:`AttemptEnded`.
        :param is_past_deadline: True when the deadline passed, which counts against the
            endpoint.
        :returns: tuple of :class:`SendCancel` and :class:`AttemptEnded`.
        """
        attempt = self.attempt
        self.verdict = verdicts.combine(self.verdict, attempt.verdict)
        cancel = SendCancel(attempt.endpoint, types.WorkCancel(attempt.identifier))
        (ended,) = self._attempt_ended(attempt.verdict, reason)
        return (cancel, dataclasses.replace(ended, cancelled=not is_past_deadline))

    def _retryable_error(self, code):
        """Return an error with a random retry time, which spreads callers' retries."""
        retry_after_s = self._shared.random.uniform(*retries.CALLER_RETRY_RANGE_S)
        return _Error(code, self._last_reason, retry_after_s)

    def _fail(self, error, now_s):
        """End the request with an error.

        A claim whose call certainly did not run is released first.
        """
        if self._generation and self.verdict is verdicts.Verdict.NOT_RUN:
            return self._release(error, now_s)
        return self._finish((self._final_action(error),), now_s)

    def _final_action(self, error, advice=""):
        """Return the final action for an error.

        :param error: :class:`_Error`.
        :param advice: replaces the failure's advice when not empty, unless the verdict
            or a started stream requires other advice.
        :returns: :class:`answers.StreamError` when part of a stream was delivered, else
            :class:`answers.Answer`.
        """
        failure = answers.ERROR_KINDS[error.code]
        identifier = self.request.identifier
        may_have_run = self.verdict is verdicts.Verdict.MAY_HAVE_RUN
        if may_have_run and not self.request.repeatable:
            if not self.request.once_key:
                advice = answers.CHECK_FIRST
            elif failure.code not in _EARLIER_MAY_HAVE_RUN:
                advice = answers.SAME_KEY
        if self._delivered_tokens:
            advice = answers.ERROR_KINDS["cannot_resume"].advice
        body = answers.error_body(
            failure, self.verdict, error.reason, error.retry_after_s, advice
        )
        if self._delivered_tokens:
            return answers.StreamError(identifier, self._delivered_tokens, body)
        return answers.Answer(
            identifier,
            error.status or failure.status,
            self.verdict,
            body,
            error.retry_after_s,
            failure.code,
        )

    def break_off(self):
        """End the request after an unexpected error, whatever its state.

        :returns: tuple of actions. A dispatched call with a claim is not cancelled.
        """
        self.is_finished = True
        result = ()
        attempt = self.attempt
        if attempt is not None and attempt.state() not in ("complete", "broken"):
            cancelled = self._cancel(INTERNAL_ERROR)
            result = cancelled[1:] if self._generation else cancelled
        self._drop_parts()
        if self._caller_gone:
            return result
        return (*result, self._final_action(_Error("internal_error", "", 0.0)))

    _join = attempts.concatenate_actions
    _new.upon(start, _new, [_begin], _join)
    _new.upon(_claim, _claiming, [_request_claim], _join)
    _claiming.upon(claim_result, _claiming, [_handle_claim_result], _join)
    _claiming.upon(wake, _claiming, [_expire_claiming], _join)
    _claiming.upon(caller_gone, _claiming, [_disconnect_claiming], _join)
    _claiming.upon(stop, _claiming, [_stop_claiming], _join)
    _attempting.upon(_attempt_event, _attempting, [_handle_attempt_event], _join)
    _attempting.upon(wake, _attempting, [_expire_attempting], _join)
    _attempting.upon(suspected, _attempting, [_block_attempting], _join)
    _attempting.upon(caller_gone, _attempting, [_disconnect_attempting], _join)
    _attempting.upon(stop, _attempting, [_stop_attempting], _join)
    _attempting.upon(_back_off, _backing_off, [_schedule_retry], _join)
    _attempting.upon(_record, _recording, [_start_recording], _join)
    _backing_off.upon(wake, _backing_off, [_retry_when_due], _join)
    _backing_off.upon(suspected, _backing_off, [_block_backing_off], _join)
    _backing_off.upon(caller_gone, _backing_off, [_disconnect_backing_off], _join)
    _backing_off.upon(stop, _backing_off, [_stop_backing_off], _join)
    _releasing.upon(claim_released, _releasing, [_answer_released], _join)
    _releasing.upon(wake, _releasing, [_expire_releasing], _join)
    _releasing.upon(caller_gone, _releasing, [_disconnect_releasing], _join)
    _recording.upon(_attempt_event, _recording, [_handle_late_event], _join)
    _recording.upon(wake, _recording, [_expire_recording], _join)
    for _state in (_new, _claiming, _attempting, _backing_off):
        _state.upon(_start_attempt, _attempting, [_send_work], _join)
        _state.upon(_release, _releasing, [_start_release], _join)
    for _state in (_new, _claiming, _attempting, _backing_off, _releasing, _recording):
        _state.upon(_finish, _finished, [_emit_final], _join)
    # Events that arrive too late or too early for a state are ignored.
    for _state, _events in (
        (_new, (claim_result, claim_released, _attempt_event, wake)),
        (_new, (suspected, stop, caller_gone)),
        (_claiming, (start, claim_released, _attempt_event, suspected)),
        (_attempting, (start, claim_result, claim_released)),
        (_backing_off, (start, claim_result, claim_released, _attempt_event)),
        (_releasing, (start, claim_result, _attempt_event, suspected, stop)),
        (_recording, (start, claim_result, claim_released)),
        (_recording, (suspected, stop, caller_gone)),
        (_finished, (start, claim_result, claim_released, _attempt_event)),
        (_finished, (wake, suspected, stop, caller_gone)),
    ):
        for _event in _events:
            _state.upon(_event, _state, [], _join)
    del _state, _events, _event, _join
