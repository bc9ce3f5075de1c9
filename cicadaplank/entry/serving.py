"""Serves callers' requests on an entry instance.

Executes the actions of limits, admission, routing and dispatch.
"""

import collections
import dataclasses

from cicadaplank.entry import claimcalls, frontend
from cicadaplank.links import sockets
from cicadaplank.members import draining
from cicadaplank.messages import types
from cicadaplank.reports import objectives
from cicadaplank.requests import (
    admission,
    answer_times,
    answers,
    claims,
    crash_tracking,
    dispatcher,
    exchange,
    rate_limits,
    routing,
    verdicts,
)

# Reasons in an agent's refusal that do not count as a failure of the endpoint. They
# must equal the texts that :mod:`cicadaplank.agent.executions` sends.
BUSY_REASON = "the endpoint is full"
LEAVING_REASON = "the endpoint is stopping"
INTERNAL_ERROR = answers.ERROR_KINDS["internal_error"]
RETRY_LATER_ADVICE = "Send the request again after the time in Retry-After."
GRANT_ADVICE = "Ask the operator for a grant in the table."
# Limits the waiting requests of one row that are dispatched in one call, so that the
# event loop is not blocked.
MAX_STARTS_PER_TURN = 64
# Error codes and messages of refusals by the planned stop.
REFUSALS = {
    "leaving": ("stopping", "This entry instance is stopping."),
    "busy": ("overload", "Too many requests are in progress."),
}


class OpenRequest:
    """A caller's request whose response is not complete.

    :param request: Twisted request.
    :param call: :class:`cicadaplank.entry.frontend.Call`.
    :param arrived_s: Unix time of arrival in seconds.
    """

    def __init__(self, request, call, arrived_s):
        self.request = request
        self.call = call
        self.arrived_s = arrived_s
        self.started_s = None
        self.endpoint = ""
        self.first_token_s = None
        self.last_token_s = None
        self.tokens = 0

    @property
    def has_caller_left(self):
        """Whether the caller has closed or reset its connection, reported or not."""
        return sockets.has_peer_left(self.request.transport.getHandle())


class Serving:
    """Handles the callers' requests of one entry instance.

    :param daemon: :class:`cicadaplank.entry.process.EntryDaemon`.
    :param observe: callable ``observe(open_request, verdict, outcome)`` for metrics,
        called once for each request, when it ends.
    """

    def __init__(self, daemon, observe):
        self._daemon = daemon
        settings = daemon.settings
        now_s = daemon.now_s
        self.router = routing.Router(settings.region, settings.data_centre, daemon.rng)
        self.limits = rate_limits.RateLimiter(daemon.name, now_s)
        self.admission = admission.AdmissionQueue(
            settings.objective(objectives.FIRST_TOKEN).threshold_s, settings.max_queue
        )
        process = f"{daemon.name}/{daemon.incarnation}"
        self.dispatcher = dispatcher.Dispatcher(
            daemon.name, process, self._choose, daemon.rng
        )
        self.counts = collections.Counter()
        self._observe = observe
        self._open_requests = {}
        self._queued_requests = {}
        self._prefixes = {}
        self._longest_answers = collections.defaultdict(answer_times.LongestAnswer)
        # Connection on which the work of each attempt was written. An agent may have
        # several, and answers and takes a cancellation on that one.
        self._connections = {}
        self._sequence = 0
        self._process = process
        self._timer = None

    @property
    def open_count(self):
        """Number of requests whose response is not complete."""
        return len(self._open_requests)

    def handlers(self):
        """Return the handlers of the actions that the decision objects return.

        :returns: dict from action class to handler.
        """
        return {
            exchange.SendWork: self._send_work,
            exchange.SendCancel: self._send_cancel,
            exchange.AttemptEnded: self._attempt_ended,
            answers.StreamPart: self._stream_part,
            answers.StreamEnd: self._stream_end,
            answers.StreamError: self._stream_error,
            answers.Answer: self._answer,
            crash_tracking.Broadcast: self._broadcast_suspect,
            claims.Transact: self._perform_claims_action,
            claims.Read: self._perform_claims_action,
            admission.Shed: self._shed,
            rate_limits.SendDemand: self._send_demand,
            routing.Ejected: self._log_ejected,
            routing.Readmitted: self._log_readmitted,
        }

    # Requests of callers.

    def accept_request(self, request, call):
        """Answer, queue or dispatch a new request of a caller.

        :param request: Twisted request.
        :param call: :class:`cicadaplank.entry.frontend.Call`.
        """
        now_s = self._daemon.now_s
        self._sequence += 1
        identifier = f"{self._process}/{self._sequence}"
        open_request = OpenRequest(request, call, now_s)
        self._open_requests[identifier] = open_request
        request.notifyFinish().addErrback(self._caller_disconnected, identifier)
        if not self._daemon.guarded(self._admit, identifier, call, now_s):
            self._abandon(identifier)

    def _admit(self, identifier, call, now_s):
        rejection = self._rejection(identifier, call, now_s)
        if rejection is not None:
            self._answer(rejection)
            return
        wanted = self._exchange_request(identifier, call, now_s)
        self._prefixes[identifier] = call.prefix
        if self._is_suspect(wanted, now_s):
            # The dispatcher rejects it at once; a full queue must not delay that.
            self._start(wanted, now_s)
            return
        waiting = admission.QueuedRequest(
            identifier, call.row, call.client, wanted.priority, wanted.deadline_s
        )
        self._queued_requests[identifier] = wanted
        self._daemon.carry_out(self.admission.submit(waiting, now_s))
        self._start_waiting(call.row)

    def _rejection(self, identifier, call, now_s):
        """Return the answer that rejects a request, or None when it is accepted."""
        daemon = self._daemon
        (offered,) = daemon.draining.offered(identifier, now_s)
        if isinstance(offered, draining.Refuse):
            code, message = REFUSALS[offered.reason]
            return _unavailable(identifier, code, message)
        if not daemon.distribution.ready(now_s):
            message = "This entry instance is not ready."
            return _unavailable(identifier, "not_ready", message)
        if daemon.configuration.table.row(call.row) is None:
            message = f"The table has no row {call.row!r}."
            return frontend.error_answer(
                identifier, "no_row", 404, message, GRANT_ADVICE
            )
        decision = self.limits.check_request(call.row, call.client, now_s)
        if isinstance(decision, rate_limits.Admitted):
            return None
        if decision.reason == "not_granted":
            message = f"The table does not grant {call.row!r} to {call.client!r}."
            code = "not_granted"
            return frontend.error_answer(identifier, code, 403, message, GRANT_ADVICE)
        message = f"The limit of {call.client!r} is used up ({decision.reason})."
        later_s = decision.retry_after_s
        return frontend.error_answer(
            identifier, "limited", 429, message, RETRY_LATER_ADVICE, later_s
        )

    def _exchange_request(self, identifier, call, now_s):
        settings = self._daemon.settings
        row = self._daemon.configuration.table.row(call.row)
        limit_s = settings.request_limit_s
        deadline_s = now_s + min(limit_s, call.deadline_s or limit_s)
        repeatable = not any(
            call.row == once.service
            and call.method == once.method
            and call.path.startswith(once.path_prefix)
            for once in settings.once_calls
        )
        return exchange.Request(
            identifier,
            call.row,
            call.client,
            call.method,
            call.path,
            call.body,
            deadline_s,
            call.stream,
            max(row.priority, call.priority or 0),
            repeatable,
            call.once_key,
            prefix=call.prefix,
        )

    def _is_suspect(self, wanted, now_s):
        digest = crash_tracking.digest(
            wanted.client, wanted.row, wanted.method, wanted.path, wanted.body
        )
        return self.dispatcher.suspects.blocked_for_s(digest, now_s) > 0

    def _caller_disconnected(self, failure, identifier):
        open_request = self._open_requests.pop(identifier, None)
        if open_request is None:
            return
        now_s = self._daemon.now_s
        self.counts["callers_gone"] += 1
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        self._daemon.guarded(self._observe, open_request, verdict, "cancelled")
        self._queued_requests.pop(identifier, None)
        self._daemon.carry_out(self.admission.withdrawn(identifier, now_s))
        self._daemon.carry_out(self.dispatcher.caller_gone(identifier, now_s))
        self._request_ended(identifier)

    def _request_ended(self, identifier):
        self._prefixes.pop(identifier, None)
        self._daemon.draining.finished(identifier)

    # Admission.

    def _start_waiting(self, row):
        """Dispatch waiting requests of a row while an endpoint can take one.

        A request for which there will be no endpoint is dispatched too, so that it
        gets its final answer; only ``full`` and ``not_ready`` are waited for.
        """
        now_s = self._daemon.now_s
        for _ in range(MAX_STARTS_PER_TURN):
            waiting = self.admission.dispatch_candidates(row, now_s)
            if not waiting:
                return
            queries = [
                self._query(self._queued_requests[each.request], frozenset())
                for each in waiting
            ]
            position, found = self.router.choose_request(queries, now_s, now_s)
            may_wait = ("full", "not_ready")
            if isinstance(found, routing.NoEndpoint) and found.reason in may_wait:
                return
            identifier = waiting[position].request
            self.admission.started(identifier, now_s)
            self._start(self._queued_requests.pop(identifier), now_s)

    def _start(self, wanted, now_s):
        open_request = self._open_requests.get(wanted.identifier)
        if open_request is not None:
            open_request.started_s = now_s
        self._daemon.draining.started(wanted.identifier)
        self._daemon.carry_out(self.dispatcher.request(wanted, now_s))
        self._schedule()

    def start_waiting_of_all_rows(self):
        """Dispatch the waiting requests of every row that an endpoint can take."""
        # Rows that the table no longer has are included: their requests are rejected.
        for row in self.admission.rows_with_requests():
            self._daemon.guarded(self._start_waiting, row)

    def _shed(self, action):
        self._queued_requests.pop(action.request, None)
        message = f"Too many requests are waiting ({action.reason})."
        answer = frontend.error_answer(
            action.request,
            "overload",
            503,
            message,
            RETRY_LATER_ADVICE,
            action.retry_after_s,
        )
        self._answer(answer)

    # Routing.

    def _query(self, wanted, tried, manifest_digest=""):
        prefix = self._prefixes.get(wanted.identifier, "")
        return routing.RoutingQuery(
            wanted.row,
            wanted.client,
            prefix,
            tried,
            wanted.repeatable,
            wanted.priority,
            manifest_digest,
        )

    def _choose(self, route, now_s):
        query = self._query(route.request, route.avoid, route.manifest_digest)
        found = self.router.choose(query, now_s, now_s)
        return found.endpoint if isinstance(found, routing.EndpointChoice) else found

    def _send_work(self, action):
        attempt = action.work.attempt
        identifier = attempt.rpartition(".")[0]
        prefix = self._prefixes.get(identifier, "")
        if identifier in self._open_requests:
            self._open_requests[identifier].endpoint = action.endpoint
        now_s = self._daemon.now_s
        self.router.dispatched(attempt, action.endpoint, prefix, now_s)
        instance = self._daemon.peers.get(action.endpoint)
        if instance is None:
            self._undelivered(attempt, "the endpoint is not in the list of instances")
            return
        dialled = self._daemon.hub.dial(instance)
        dialled.addCallback(self._write_work, action.work)
        dialled.addErrback(self._work_failed, attempt)
        dialled.addErrback(self._daemon.report_failure)

    def _write_work(self, connection, work):
        identifier = work.attempt.rpartition(".")[0]
        open_request = self._open_requests.get(identifier)
        if open_request is not None and open_request.has_caller_left:
            self._caller_disconnected(None, identifier)
            return
        if connection is None:
            self._undelivered(work.attempt, "connection refused")
        elif not connection.has_room:
            self._undelivered(work.attempt, "the connection's send queue is full")
        else:
            self._refuse_late()
            work = self.dispatcher.begin_write(work, self._daemon.now_s)
            if work is not None:
                self._connections[work.attempt] = connection
                connection.send(work)

    def _work_failed(self, failure, attempt):
        self._daemon.report_failure(failure)
        self._attempt_lost(attempt)

    def _attempt_lost(self, attempt):
        now_s = self._daemon.now_s
        lost = self.dispatcher.attempt_lost(attempt, exchange.INTERNAL_ERROR, now_s)
        self._daemon.carry_out(lost)
        self._schedule()

    def _undelivered(self, attempt, reason):
        now_s = self._daemon.now_s
        self._daemon.carry_out(self.dispatcher.undelivered(attempt, reason, now_s))
        self._schedule()

    def _send_cancel(self, action):
        connection = self._connections.get(action.cancel.attempt)
        if connection is not None:
            connection.send(action.cancel)

    def _attempt_ended(self, action):
        self._connections.pop(action.attempt, None)
        now_s = self._daemon.now_s
        pause_s = action.retry_after_s or routing.RETRY_AFTER_FULL_S
        ended = self.router.finished(
            action.attempt, _outcome(action), now_s, action.load, pause_s
        )
        self._daemon.carry_out(ended)
        if action.reason:
            self._daemon.events.log(
                "attempt_failed",
                attempt=action.attempt,
                endpoint=action.endpoint,
                verdict=action.verdict.value,
                reason=action.reason,
                crashed=action.crashed,
            )
        self._daemon.reactor.callLater(0, self.start_waiting_of_all_rows)

    def _log_ejected(self, action):
        self._daemon.events.log(
            "endpoint_ejected", endpoint=action.endpoint, duration_s=action.duration_s
        )

    def _log_readmitted(self, action):
        self._daemon.events.log("endpoint_readmitted", endpoint=action.endpoint)

    # Answers.

    def _stream_part(self, action):
        open_request = self._open_requests.get(action.request)
        if open_request is None:
            return
        now_s = self._daemon.now_s
        if not open_request.tokens:
            self._close_if_stopping(open_request)
        frontend.write_stream_part(
            open_request.request, action.data, open_request.tokens > 0
        )
        self._daemon.guarded(self._part_written, open_request, action.data, now_s)

    def _part_written(self, open_request, data, now_s):
        tokens = data.count(b"\n")
        if open_request.first_token_s is None:
            open_request.first_token_s = now_s
            elapsed_s = now_s - open_request.started_s
            self.admission.first_token_seen(open_request.call.row, elapsed_s, now_s)
        self._daemon.observe_tokens(open_request, tokens, now_s)
        open_request.last_token_s = now_s
        open_request.tokens += tokens
        call = open_request.call
        self.limits.tokens_generated(call.row, call.client, tokens, now_s)

    def _stream_end(self, action):
        def write(open_request):
            if not open_request.tokens:
                frontend.write_stream_part(open_request.request, b"", False)
            self._record_answer(open_request)
            self._close_if_stopping(open_request)
            frontend.write_stream_end(open_request.request, action.total)

        self._end_request(action.request, write, verdicts.Verdict.RAN, "answered")

    def _stream_error(self, action):
        def write(open_request):
            self._close_if_stopping(open_request)
            frontend.write_stream_error(open_request.request, action.body)

        verdict = verdicts.Verdict.MAY_HAVE_RUN
        self._end_request(action.request, write, verdict, "broken_stream")

    def _answer(self, answer):
        def write(open_request):
            if not answer.code:
                self._record_answer(open_request)
            self._close_if_stopping(open_request)
            frontend.write_answer(open_request.request, answer)

        outcome = answer.code or "answered"
        self._end_request(answer.request, write, answer.verdict, outcome)

    def _record_answer(self, open_request):
        if open_request.started_s is not None:
            now_s = self._daemon.now_s
            longest = self._longest_answers[open_request.call.row]
            longest.record(now_s - open_request.started_s, now_s)

    def _close_if_stopping(self, open_request):
        """Let the connection of a response end with it during a planned stop."""
        if self._daemon.draining.is_stopping:
            frontend.close_after_response(open_request.request)

    def _end_request(self, identifier, write, verdict, outcome):
        """End a request by its final answer.

        :param identifier: identifier of the request.
        :param write: called with the :class:`OpenRequest`, to write the answer.
        :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`, for metrics.
        :param outcome: outcome for metrics.
        """
        open_request = self._open_requests.pop(identifier, None)
        if open_request is not None:
            if not self._daemon.guarded(write, open_request):
                self._break_off(open_request, identifier)
            self._daemon.guarded(self._observe, open_request, verdict, outcome)
        self._request_ended(identifier)

    def _break_off(self, open_request, identifier):
        """End a response after an error of its handler."""
        answer = frontend.error_answer(
            identifier,
            INTERNAL_ERROR.code,
            INTERNAL_ERROR.status,
            INTERNAL_ERROR.message,
            INTERNAL_ERROR.advice,
        )
        answer = dataclasses.replace(answer, verdict=verdicts.Verdict.MAY_HAVE_RUN)
        request, is_stream = open_request.request, open_request.call.stream
        if not self._daemon.guarded(frontend.break_off, request, answer, is_stream):
            self._daemon.guarded(request.transport.abortConnection)

    def action_failed(self, action):
        """End the request or attempt of an action that could not be carried out.

        :param action: action that a decision object returned.
        """
        if isinstance(action, exchange.SendWork):
            self._attempt_lost(action.work.attempt)
        elif isinstance(action, answers.StreamPart):
            # A stream must not go on without a part.
            self._abandon(action.request)

    def _abandon(self, identifier):
        """End a request with an error, and its attempt."""
        open_request = self._open_requests.get(identifier)
        if open_request is not None:
            self._break_off(open_request, identifier)
            self._caller_disconnected(None, identifier)

    # Claims.

    def _perform_claims_action(self, action):
        daemon = self._daemon
        performed = claimcalls.perform(
            daemon.tables, action, self.dispatcher, lambda: daemon.now_s
        )
        performed.addCallback(self._claims_action_done)
        performed.addErrback(daemon.report_failure)

    def _claims_action_done(self, actions):
        self._daemon.carry_out(actions)
        self._schedule()

    # Other entry instances and agents.

    def _broadcast_suspect(self, action):
        for name in self._daemon.entry_names:
            if name != action.exclude:
                self._daemon.send(name, action.message)

    def _send_demand(self, action):
        for name in action.peers:
            self._daemon.send(name, action.report)

    def message(self, connection, message):
        """Handle a message from an agent or another entry instance.

        :param connection: :class:`cicadaplank.links.streams.PeerConnection`.
        :param message: one of :mod:`cicadaplank.messages.types`.
        """
        peer, now_s = connection.peer, self._daemon.now_s
        if isinstance(message, WORK_MESSAGES):
            actions = self.dispatcher.message(peer, message, now_s)
            self._daemon.carry_out(actions)
            self._schedule()
        elif isinstance(message, types.EndpointReport):
            self._daemon.carry_out(self.router.endpoint_reported(peer, message, now_s))
            self.start_waiting_of_all_rows()
        elif isinstance(message, types.CacheReport):
            event = routing.CacheEvent(
                message.sequence,
                _only_strings(message.stored),
                _only_strings(message.evicted),
                message.cleared,
            )
            self._daemon.carry_out(self.router.cache_changed(peer, event, now_s))
        elif isinstance(message, types.SuspectReport):
            actions = self.dispatcher.suspect_report(peer, message, now_s)
            self._daemon.carry_out(actions)
        elif isinstance(message, types.DemandReport):
            self._daemon.carry_out(self.limits.demand_reported(peer, message, now_s))

    def entry_connected(self, name):
        """Record a new connection to another entry instance.

        :param name: instance name.
        """
        self._daemon.carry_out(self.limits.peer_connected(name, self._daemon.now_s))

    def endpoint_silent(self, name):
        """Send an endpoint no work until its next report; its attempts go on.

        :param name: instance name.
        """
        self._daemon.carry_out(self.router.endpoint_lost(name, self._daemon.now_s))

    def endpoint_lost(self, name, reason):
        """Record that an endpoint cannot be reached and end the attempts on it.

        :param name: instance name.
        :param reason: short text, which the attempts end with.
        """
        now_s = self._daemon.now_s
        self._daemon.guarded(self.endpoint_silent, name)
        self._daemon.carry_out(self.dispatcher.connection_lost(name, reason, now_s))
        self._schedule()

    def connection_lost(self, lost):
        """End the attempts on one of the connections to an agent; they may have run.

        :param lost: :class:`cicadaplank.links.streams.PeerConnection`.
        """
        now_s, reason = self._daemon.now_s, "the connection was lost"
        if self._daemon.hub.connection(lost.peer) is None:
            self.endpoint_lost(lost.peer, reason)
            return
        for attempt, connection in list(self._connections.items()):
            if connection is lost:
                ended = self.dispatcher.attempt_lost(attempt, reason, now_s)
                self._daemon.carry_out(ended)
        self._schedule()

    def stop(self):
        """Give every request its final answer, at the time limit of a planned stop."""
        now_s = self._daemon.now_s
        for identifier in list(self._queued_requests):
            self._refuse_queued(identifier, now_s)
        self._daemon.carry_out(self.dispatcher.stop(now_s))
        self._schedule()

    def _refuse_queued(self, identifier, now_s):
        self._daemon.carry_out(self.admission.withdrawn(identifier, now_s))
        self._queued_requests.pop(identifier)
        message = "This entry instance stops and the request did not start."
        self._answer(_unavailable(identifier, "stopping", message))

    def _refuse_late(self):
        """Refuse requests that have not run and cannot end by the drain limit."""
        if not self._daemon.draining.is_stopping:
            return
        now_s = self._daemon.now_s
        for identifier, wanted in list(self._queued_requests.items()):
            if not self._can_end(wanted, now_s):
                self._refuse_queued(identifier, now_s)
        stopped = self.dispatcher.stop_unsent(self._can_end, now_s)
        self._daemon.carry_out(stopped)
        self._schedule()

    def _can_end(self, wanted, now_s):
        longest = self._longest_answers[wanted.row]
        needed_s = longest.needed_s(wanted.deadline_s - now_s, now_s)
        return self._daemon.draining.can_end(now_s, needed_s)

    # Time.

    def tick(self):
        """Apply the time limits and reports that are due; called every ``TICK_S``.

        ``TICK_S`` is that of :mod:`cicadaplank.daemons.base`.
        """
        now_s = self._daemon.now_s
        for step in (
            lambda: self._daemon.carry_out(self.limits.tick(now_s)),
            lambda: self._daemon.carry_out(self.admission.tick(now_s)),
            self._refuse_late,
            self.start_waiting_of_all_rows,
            self._dispatcher_tick,
        ):
            self._daemon.guarded(step)

    def _dispatcher_tick(self):
        self._daemon.carry_out(self.dispatcher.tick(self._daemon.now_s))
        self._schedule()

    def _schedule(self):
        """Set the timer for the dispatcher's next tick, replacing the previous one."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due_s = self.dispatcher.next_tick_s()
        if due_s is not None:
            delay_s = max(0.0, due_s - self._daemon.now_s)
            self._timer = self._daemon.reactor.callLater(delay_s, self._dispatcher_tick)


WORK_MESSAGES = (
    types.WorkAccepted,
    types.WorkData,
    types.WorkEnd,
    types.WorkRefused,
    types.WorkFailed,
)


def _unavailable(identifier, code, message):
    """Return the answer to a request that was not run, and may be sent again soon."""
    return frontend.error_answer(
        identifier, code, 503, message, RETRY_LATER_ADVICE, 1.0
    )


def _only_strings(values):
    """Return the digests of a report without values of another type."""
    return tuple(value for value in values if isinstance(value, str))


def _outcome(action):
    """Return the outcome by which the router judges the endpoint of an attempt."""
    if not action.reason:
        return routing.Outcome.ANSWERED
    if action.reason == BUSY_REASON:
        return routing.Outcome.BUSY
    if action.reason == LEAVING_REASON:
        return routing.Outcome.LEAVING
    cancel_reasons = (
        "the caller has gone",
        "the answer is too large",
        exchange.INTERNAL_ERROR,
    )
    if action.reason in cancel_reasons:
        return routing.Outcome.CANCELLED
    return routing.Outcome.FAILED
