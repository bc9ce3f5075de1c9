"""Dispatch of events to the requests in progress on an entry instance."""

import dataclasses
import heapq

from cicadaplank.messages import actions as process_actions
from cicadaplank.messages import types
from cicadaplank.requests import (
    answers,
    attempts,
    claims,
    crash_tracking,
    exchange,
    retries,
    verdicts,
)

MAX_REQUESTS = 4_000


class Dispatcher:
    """Requests in progress on an entry instance, by request and by attempt.

    Each event is passed to the :class:`exchange.Exchange` that it belongs to. Internal
    actions are applied here. Every event method returns a tuple of the remaining
    actions, which the network layer carries out:
    :class:`exchange.SendWork`, :class:`exchange.SendCancel`, :class:`answers.Answer`,
    :class:`answers.StreamPart`, :class:`answers.StreamEnd`,
    :class:`answers.StreamError`, :class:`exchange.AttemptEnded`,
    :class:`suspects.Broadcast`, :class:`claims.Transact` and :class:`claims.Read`.
    ``now_s`` is Unix time in seconds in all of them, because leases of claims are
    compared between processes. The network layer calls :meth:`tick` at
    :meth:`next_tick_s`.

    :param entry: name of this entry instance.
    :param process: name of this process, unique over restarts (instance name and
        incarnation).
    :param choose: callable that takes an :class:`exchange.RouteRequest` and ``now_s``
        and returns the name of an endpoint, or why there is none; see
        :class:`exchange.SharedState`.
    :param random: ``random.Random``.
    :param budget: :class:`retries.RetryBudget`; None for one with default limits.
    :ivar claims: :class:`claims.Claims`.
    :ivar suspects: :class:`crash_tracking.CrashTracker`.
    :ivar budget: :class:`retries.RetryBudget`.
    :ivar buffer: :class:`exchange.Buffer`.
    :ivar dropped_responses: number of agent messages that matched no attempt in
        progress at that agent.
    :ivar rejected: number of requests refused because of ``MAX_REQUESTS``.
    """

    def __init__(self, entry, process, choose, random, budget=None):
        self.entry = entry
        self.claims = claims.Claims(process)
        self.suspects = crash_tracking.CrashTracker()
        self.budget = budget or retries.RetryBudget()
        self.buffer = exchange.Buffer()
        self.dropped_responses = 0
        self.rejected = 0
        self._shared = exchange.SharedState(
            choose,
            self.claims,
            self.budget,
            self.suspects,
            random,
            self.buffer,
            self._suspect_endpoints,
        )
        self._exchanges = {}
        self._attempts = {}
        self._wake_times = []

    def __len__(self):
        return len(self._exchanges)

    def states(self):
        """Return the number of requests in each state.

        :returns: dict from state name to count, for metrics.
        """
        counts = {}
        for machine in self._exchanges.values():
            counts[machine.state()] = counts.get(machine.state(), 0) + 1
        return counts

    def request(self, request, now_s):
        """Start a caller's request, or refuse it above ``MAX_REQUESTS``.

        :param request: :class:`exchange.Request`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if len(self._exchanges) >= MAX_REQUESTS:
            self.rejected += 1
            failure = answers.ERROR_KINDS["no_endpoint"]
            verdict = verdicts.Verdict.NOT_RUN
            retry_after_s = retries.CALLER_RETRY_RANGE_S[1]
            body = answers.error_body(
                failure, verdict, "too many requests", retry_after_s
            )
            answer = answers.Answer(
                request.identifier, 503, verdict, body, retry_after_s, failure.code
            )
            return (answer,)
        machine = exchange.Exchange(request, self._shared)
        self._exchanges[request.identifier] = machine
        return self._advance(machine, machine.start, now_s)

    def begin_write(self, work, now_s):
        """Record that an attempt may run, immediately before its work is written.

        :param work: :class:`cicadaplank.messages.types.Work` of the attempt.
        :param now_s: current time in seconds.
        :returns: the work that must be written now, with the time that is left until
            the deadline; None when the attempt has ended (the caller has disconnected
            or the deadline has passed), or was written before, and the work must not be
            written.
        """
        machine = self._attempts.get(work.attempt)
        if machine is None or machine.attempt.state() != "created":
            return None
        machine.attempt.written(now_s)
        remaining_s = max(0.0, machine.request.deadline_s - now_s)
        return dataclasses.replace(work, deadline_s=remaining_s)

    def undelivered(self, attempt, reason, now_s):
        """Handle an attempt of which no byte was or will be written.

        :param attempt: identifier of the attempt.
        :param reason: short text, for example ``connection refused``.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        return self._attempt_event(attempt, "undelivered", (reason,), now_s)

    def message(self, endpoint, message, now_s):
        """Handle a message of an agent about an attempt.

        :param endpoint: instance name of the agent that sent it.
        :param message: one of ``WorkAccepted``, ``WorkData``, ``WorkEnd``,
            ``WorkRefused`` and ``WorkFailed`` of :mod:`cicadaplank.messages.types`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        machine = self._attempts.get(message.attempt)
        if machine is None or machine.attempt.endpoint != endpoint:
            self.dropped_responses += 1
            return ()
        if isinstance(message, types.WorkEnd):
            machine.attempt.load = message.load
        event, arguments = _attempt_event_for(message)
        digest = message.manifest_digest if event == "accepted" else ""
        if digest and not machine.record_manifest(digest):
            mismatch = attempts.Broken(
                verdicts.Verdict.MAY_HAVE_RUN,
                "the endpoint serves other weights",
                running=True,
            )
            event, arguments = "failed", (mismatch,)
        return self._attempt_event(message.attempt, event, arguments, now_s)

    def connection_lost(self, endpoint, reason, now_s):
        """Handle the loss of the connection to an agent.

        :param endpoint: instance name of the agent.
        :param reason: short text.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        lost = [
            attempt
            for attempt, machine in self._attempts.items()
            if machine.attempt.endpoint == endpoint
        ]
        result = ()
        for attempt in lost:
            result += self._attempt_event(attempt, "lost", (reason,), now_s)
        return result

    def attempt_lost(self, attempt, reason, now_s):
        """Handle an attempt that was perhaps not written and gets no response.

        :param attempt: identifier of the attempt.
        :param reason: short text.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        return self._attempt_event(attempt, "lost", (reason,), now_s)

    def caller_gone(self, request, now_s):
        """Handle a caller that closed its connection before the final answer.

        :param request: identifier of the request.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        machine = self._exchanges.get(request)
        if machine is None:
            return ()
        return self._advance(machine, machine.caller_gone, now_s)

    def stop(self, now_s):
        """Give every request its final answer at the time limit of a planned stop.

        A request whose claim has to be released is answered when the release takes
        effect, or after ``exchange.RELEASE_TIMEOUT_S``.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        result = ()
        for machine in list(self._exchanges.values()):
            result += self._advance(machine, machine.stop, now_s)
        return result

    def stop_unsent(self, can_end, now_s):
        """Give requests that have certainly not run their final answer in a stop.

        :param can_end: callable that takes an :class:`exchange.Request` and ``now_s``
            and tells whether it can end in time; those that can go on.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        result = ()
        for machine in list(self._exchanges.values()):
            if _is_unsent(machine) and not can_end(machine.request, now_s):
                result += self._apply(machine, machine.stop(now_s), now_s)
        return result

    def suspect_report(self, sender, report, now_s):
        """Handle a crash report of another entry instance.

        :param sender: name of the other entry instance.
        :param report: :class:`cicadaplank.messages.types.SuspectReport`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        result = self.suspects.merge_report(sender, report, now_s)
        return self._apply_outcomes(result, now_s)

    def committed(self, change_id, now_s, revision=None):
        """Handle a committed transaction; see :meth:`claims.Claims.committed`."""
        result = self.claims.committed(change_id, now_s, revision)
        return self._apply_outcomes(result, now_s)

    def conflicted(self, change_id, records, now_s):
        """Handle a failed condition; see :meth:`claims.Claims.conflicted`."""
        result = self.claims.conflicted(change_id, records, now_s)
        return self._apply_outcomes(result, now_s)

    def unavailable(self, change_id, now_s):
        """Handle a failed transaction; see :meth:`claims.Claims.unavailable`."""
        return self._apply_outcomes(self.claims.unavailable(change_id, now_s), now_s)

    def answer_lost(self, change_id, now_s):
        """Handle a lost response; see :meth:`claims.Claims.answer_lost`."""
        return self._apply_outcomes(self.claims.answer_lost(change_id, now_s), now_s)

    def read_back(self, change_id, records, now_s):
        """Handle records that were read; see :meth:`claims.Claims.read_back`."""
        result = self.claims.read_back(change_id, records, now_s)
        return self._apply_outcomes(result, now_s)

    def read_failed(self, change_id, now_s):
        """Handle a failed read; see :meth:`claims.Claims.read_failed`."""
        return self._apply_outcomes(self.claims.read_failed(change_id, now_s), now_s)

    def tick(self, now_s):
        """Handle the timers that are due.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        result = self._apply_outcomes(self.claims.tick(now_s), now_s)
        while self._wake_times and self._wake_times[0][0] <= now_s:
            _, request = heapq.heappop(self._wake_times)
            machine = self._exchanges.get(request)
            if machine is not None:
                result += self._advance(machine, machine.wake, now_s)
        return result

    def next_tick_s(self):
        """Return the time at which :meth:`tick` is next needed, None for never."""
        while self._wake_times and self._wake_times[0][1] not in self._exchanges:
            heapq.heappop(self._wake_times)
        times = [self._wake_times[0][0]] if self._wake_times else []
        claims_due_s = self.claims.next_tick_s()
        if claims_due_s is not None:
            times.append(claims_due_s)
        return min(times, default=None)

    def _attempt_event(self, attempt, event, arguments, now_s):
        machine = self._attempts.get(attempt)
        if machine is None:
            return ()

        def handle(now_s):
            outcome = getattr(machine.attempt, event)(*arguments, now_s)
            return machine.attempt_event(outcome, now_s)

        return self._advance(machine, handle, now_s)

    def _advance(self, machine, event, *arguments):
        """Pass an event to an exchange; an error ends its request only.

        :param machine: :class:`exchange.Exchange`.
        :param event: callable that returns its actions.
        :param arguments: arguments of the event; the last one is the time.
        :returns: tuple of the actions for the network layer.
        """
        try:
            return self._apply(machine, event(*arguments), arguments[-1])
        except Exception as error:
            actions = machine.break_off()
            if machine.attempt is not None:
                self._attempts.pop(machine.attempt.identifier, None)
            self._exchanges.pop(machine.request.identifier, None)
            return (process_actions.ReportError(error), *actions)

    def _apply(self, machine, actions, now_s):
        """Apply internal actions of an exchange.

        :param machine: :class:`exchange.Exchange` that returned the actions.
        :param actions: tuple of actions.
        :param now_s: current time in seconds.
        :returns: tuple of the actions for the network layer.
        """
        request = machine.request.identifier
        result = ()
        for action in actions:
            if isinstance(action, exchange.Wake):
                heapq.heappush(self._wake_times, (action.at_s, action.request))
                continue
            if isinstance(action, exchange.SendWork):
                self._attempts[action.work.attempt] = machine
            elif isinstance(action, exchange.AttemptEnded):
                self._attempts.pop(action.attempt, None)
            result += self._apply_outcomes((action,), now_s)
        if machine.is_finished:
            self._exchanges.pop(request, None)
        return result

    def _apply_outcomes(self, actions, now_s):
        """Pass outcomes of claims and crash reports to the exchanges they concern.

        :param actions: tuple of actions.
        :param now_s: current time in seconds.
        :returns: tuple of the actions for the network layer.
        """
        result = ()
        for action in actions:
            if isinstance(action, (claims.Held, claims.Recorded, claims.Denied)):
                machine = self._exchanges.get(action.claim)
                if machine is not None:
                    result += self._advance(
                        machine, machine.claim_result, action, now_s
                    )
            elif isinstance(action, claims.Released):
                machine = self._exchanges.get(action.claim)
                if machine is not None:
                    result += self._advance(machine, machine.claim_released, now_s)
            elif isinstance(action, crash_tracking.Broadcast):
                result += (action,)
                result += self._block_requests(action.message.digest, now_s)
            else:
                result += (action,)
        return result

    def _block_requests(self, digest, now_s):
        """End the requests with a digest that has reached the crash limit."""
        if not self.suspects.blocked_for_s(digest, now_s):
            return ()
        result = ()
        for machine in list(self._exchanges.values()):
            if machine.digest == digest:
                result += self._advance(machine, machine.suspected, now_s)
        return result

    def _suspect_endpoints(self, digest, now_s):
        """Return endpoints that run other requests which were part of a crash."""
        return frozenset(
            machine.attempt.endpoint
            for machine in self._attempts.values()
            if machine.digest != digest and self.suspects.crashes(machine.digest, now_s)
        )


def _is_unsent(machine):
    """Tell whether a request has not run and is not at an endpoint.

    :param machine: :class:`exchange.Exchange`.
    """
    if machine.verdict is not verdicts.Verdict.NOT_RUN:
        return False
    if machine.state() == "attempting":
        return machine.attempt.state() == "created"
    return machine.state() in ("claiming", "backing_off")


def _attempt_event_for(message):
    """Return the event of a message about an attempt.

    :param message: see :meth:`Dispatcher.message`.
    :returns: name of the input of :class:`attempts.Attempt` and a tuple of its
        arguments without the time.
    :raises ValueError: when the message is not about an attempt.
    """
    if isinstance(message, types.WorkAccepted):
        return "accepted", ()
    if isinstance(message, types.WorkData):
        return "data", (message.offset, message.data)
    if isinstance(message, types.WorkEnd):
        return "end", (message.status, message.total)
    if isinstance(message, types.WorkRefused):
        return "refused", (message.reason, message.retry_after_s)
    if isinstance(message, types.WorkFailed):
        failure = attempts.Broken(
            verdicts.Verdict(message.verdict),
            message.reason,
            message.crashed,
            status=message.status,
        )
        return "failed", (failure,)
    raise ValueError(
        f"expected a message about an attempt, got {type(message).__name__}"
    )
