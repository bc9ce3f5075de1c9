"""Task that runs the attempts of entry instances on an engine or plain service."""

import collections

from twisted.internet import defer

from cicadaplank.agent import executions
from cicadaplank.external import engines, errors, services
from cicadaplank.messages import types
from cicadaplank.requests import routing

# Time-out of the request that tells whether the engine or plain service still runs.
PROBE_TIMEOUT_S = 1.0
# HTTP status of an engine that has not loaded the row.
STATUS_NO_MODEL = 404
INTERNAL_ERROR = executions.INTERNAL_ERROR


class Work:
    """Task that owns the attempts in progress at one agent.

    :param daemon: :class:`cicadaplank.agent.process.AgentDaemon`.
    :param backend: :class:`EngineBackend` or :class:`ServiceBackend`.
    """

    def __init__(self, daemon, backend):
        self._daemon = daemon
        self._backend = backend
        self.executions = executions.Executions(self._check_grant, daemon.draining)
        self.counts = collections.Counter()
        self._connections = {}
        self._calls = {}
        self._versions = {}
        self._timer = None

    @property
    def load(self):
        """Number of attempts in progress."""
        return len(self.executions)

    def handlers(self):
        """Return a dict from action class to the method that carries it out."""
        return {
            executions.Reply: self._reply,
            executions.CallEngine: self._call,
            executions.CancelEngine: self._cancel,
            executions.ProbeEngine: self._probe,
        }

    def message(self, connection, message):
        """Handle a message of an entry instance; other messages are ignored.

        :param connection: :class:`cicadaplank.links.streams.PeerConnection`.
        :param message: one of :mod:`cicadaplank.messages.types`.
        """
        now_s = self._daemon.now_s
        if isinstance(message, types.Work):
            self._connections[message.attempt] = connection
            actions = self.executions.work(connection.name, message, now_s)
            self._carry_out(actions)
        elif isinstance(message, types.WorkCancel):
            actions = self.executions.cancel(connection.name, message.attempt, now_s)
            self._carry_out(actions)

    def connection_ended(self, connection):
        """Handle the end of a connection; see ``Executions.entry_connection_lost``."""
        now_s = self._daemon.now_s
        self._carry_out(self.executions.entry_connection_lost(connection.name, now_s))

    def abort(self, action):
        """End work at the drain limit.

        :param action: :class:`cicadaplank.members.draining.Abort`.
        """
        self._carry_out(self.executions.abort(action, self._daemon.now_s))

    def tick(self):
        """Apply the time limits; see ``Executions.tick``."""
        self._carry_out(self.executions.tick(self._daemon.now_s))

    def _carry_out(self, actions):
        self._daemon.carry_out(actions)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due_s = self.executions.next_tick_s()
        if due_s is not None:
            delay_s = max(0.0, due_s - self._daemon.now_s)
            self._timer = self._daemon.reactor.callLater(delay_s, self.tick)

    def _check_grant(self, work, now_s):
        """Return the :class:`executions.GrantDecision` for a piece of work."""
        daemon = self._daemon
        table = daemon.configuration.table
        if not daemon.distribution.ready(now_s):
            return executions.GrantDecision(
                False, "no configuration is known yet", "", False, 1
            )
        if not table.grants(work.row, daemon.name, work.client, now_s):
            return executions.GrantDecision(False, "the table does not grant the work")
        return self._backend.grant(work)

    def _reply(self, action):
        message = action.message
        connection = self._connections.get(message.attempt)
        if connection is not None:
            connection.send(message)
        final_types = (types.WorkEnd, types.WorkRefused, types.WorkFailed)
        if isinstance(message, final_types):
            self.counts[type(message).__name__] += 1
            self._discard_attempt(message.attempt)

    def _discard_attempt(self, attempt):
        self._connections.pop(attempt, None)
        version = self._versions.pop(attempt, None)
        if version is not None:
            self._backend.work_ended(version)

    def _call(self, action):
        work, digest = action.work, action.manifest_digest
        self._versions[work.attempt] = (work.row, digest)
        self._backend.work_started((work.row, digest))
        call = self._backend.call(self, work, digest, action.timeout_s)
        self._calls[work.attempt] = call
        call.addErrback(self._call_failed, work)
        call.addErrback(self._call_broke, work)
        call.addErrback(self._daemon.report_failure)
        call.addBoth(lambda _: self._calls.pop(work.attempt, None))

    def action_failed(self, action):
        """Refuse work whose call could not be made; it did not reach the engine."""
        if isinstance(action, executions.CallEngine):
            attempt, now_s = action.work.attempt, self._daemon.now_s
            self._carry_out(
                self.executions.engine_failed(attempt, False, INTERNAL_ERROR, now_s)
            )

    def _call_broke(self, failure, work):
        """End an attempt after an unexpected error; the engine may have run it."""
        self._daemon.report_failure(failure)
        now_s = self._daemon.now_s
        self._carry_out(
            self.executions.engine_failed(work.attempt, True, INTERNAL_ERROR, now_s)
        )

    def _cancel(self, action):
        call = self._calls.pop(action.attempt, None)
        if call is not None:
            call.cancel()
        self._discard_attempt(action.attempt)

    def _call_failed(self, failure, work):
        failure.trap(errors.PlatformError, defer.CancelledError)
        if failure.check(defer.CancelledError):
            return None
        error, attempt, now_s = failure.value, work.attempt, self._daemon.now_s
        if isinstance(error, errors.Refused):
            actions = self.executions.engine_rejected(
                attempt, error.status, error.reason, now_s
            )
        elif isinstance(error, errors.Unavailable):
            actions = self.executions.engine_failed(attempt, False, error.reason, now_s)
            self._backend.check_engine()
        else:
            actions = self.executions.engine_lost(attempt, error.reason, now_s)
        self._carry_out(actions)
        return None

    def _probe(self, action):
        """Find out whether the engine crashed or only one response was lost."""

        def probed(result):
            if result is executions.ProbeResult.CRASHED:
                self.counts["engine_crashes"] += 1
                self._backend.check_engine()
            elif result is executions.ProbeResult.SILENT:
                self.counts["engine_silences"] += 1
            self._carry_out(self.executions.engine_probed(result, self._daemon.now_s))

        self._backend.probe().addCallback(probed).addErrback(
            self._daemon.report_failure
        )

    # Called by a backend with the progress of a call.

    def response_started(self, attempt, status, echoed, digest, offset):
        """Handle the start of a response; see ``Executions.engine_headers``."""
        actions = self.executions.engine_headers(
            attempt, status, echoed, digest, offset, self._daemon.now_s
        )
        self._carry_out(actions)

    def data_received(self, attempt, data):
        """Handle a part of a response body."""
        actions = self.executions.engine_data(attempt, data, self._daemon.now_s)
        self._carry_out(actions)

    def token_received(self, event):
        """Handle one token of a stream.

        :param event: :class:`cicadaplank.external.engines.StreamEvent`.
        """
        actions = self.executions.engine_token(
            event.attempt, event.attempt, event.offset, event.data, self._daemon.now_s
        )
        self._carry_out(actions)

    def response_ended(self, attempt, total):
        """Handle the end of a complete response; see ``Executions.engine_end``."""
        actions = self.executions.engine_end(attempt, self._daemon.now_s, total)
        self._carry_out(actions)


class EngineBackend:
    """Sends work to an engine.

    :param daemon: :class:`cicadaplank.agent.process.AgentDaemon`.
    :param client: :class:`cicadaplank.external.engines.Engine`.
    :param weights: :class:`cicadaplank.agent.weights.Weights`.
    :param caches: :class:`cicadaplank.agent.caches.PrefixCacheReporter`.
    """

    def __init__(self, daemon, client, weights, caches):
        self._daemon = daemon
        self._client = client
        self._weights = weights
        self._caches = caches

    def grant(self, work):
        """Return whether the engine serves the row.

        :returns: :class:`executions.GrantDecision`.
        """
        digest = self._weights.serving(work.row)
        if not digest:
            return executions.GrantDecision(
                False, "the endpoint is not ready", "", False, 1.0
            )
        resumes = self._daemon.settings.endpoint.resumes_streams
        return executions.GrantDecision(True, "", digest, resumes)

    def work_started(self, key):
        """Count work on a version, which is not unloaded while work runs on it.

        :param key: tuple of row name and manifest digest.
        """
        self._weights.work_started(*key)

    def work_ended(self, key):
        """Count the end of work on a version.

        :param key: tuple of row name and manifest digest.
        """
        self._weights.work_ended(*key)

    def call(self, work_task, work, digest, timeout_s):
        """Send a completion to the engine.

        :param work_task: :class:`Work` that is told about the response.
        :param work: :class:`cicadaplank.messages.types.Work`.
        :param digest: not used; ``Executions`` checks the digest in the response.
        :param timeout_s: seconds until the deadline.
        :returns: Deferred that fires when the response is complete.
        """
        completion = engines.Completion(
            work.attempt,
            work.path,
            work.body,
            work.stream,
            work.priority,
            work.offset,
            timeout_s,
            routing.PREFIX_CHARS if work.prefix else 0,
        )
        calling = self._call(work_task, completion, work.prefix)
        return defer.Deferred.fromCoroutine(calling)

    async def _call(self, work_task, completion, prefix):
        attempt = completion.attempt
        start_s = self._daemon.now_s

        def opened(digest):
            work_task.response_started(attempt, 200, attempt, digest, completion.offset)
            self._weights.record_latency(self._daemon.now_s - start_s)

        def received(event):
            work_task.token_received(event)

        try:
            end = await self._client.complete(completion, received, opened)
        except errors.Refused as error:
            if error.status != STATUS_NO_MODEL:
                raise
            # The row was loaded before, so the engine has restarted.
            raise errors.Unavailable(error.reason) from error
        if not completion.stream:
            work_task.data_received(attempt, end.body)
        total = end.total if completion.stream else len(end.body)
        work_task.response_ended(attempt, total)
        self._caches.request_completed(prefix, end.prefix_block, self._daemon.now_s)

    def probe(self):
        """Find out whether the engine still runs and holds its weights.

        :returns: Deferred of :class:`executions.ProbeResult`.
        """
        probing = self._client.state().addTimeout(PROBE_TIMEOUT_S, self._daemon.reactor)
        return probing.addCallbacks(self._probe_result, _failed_probe_result)

    def _probe_result(self, state):
        rows = self._weights.serving_rows()
        if all(state.model(row) is not None for row in rows):
            return executions.ProbeResult.ALIVE
        return executions.ProbeResult.CRASHED

    def check_engine(self):
        """Compare the engine's state with the expected one, after a failed call."""
        self._weights.check_engine()


class ServiceBackend:
    """Sends work to a plain service.

    :param daemon: :class:`cicadaplank.agent.process.AgentDaemon`.
    :param client: :class:`cicadaplank.external.services.Service`.
    """

    def __init__(self, daemon, client):
        self._daemon = daemon
        self._client = client

    def grant(self, work):
        """Return whether the service is the row's.

        :returns: :class:`executions.GrantDecision`.
        """
        if work.row != self._daemon.settings.endpoint.row:
            return executions.GrantDecision(False, "the endpoint is another service")
        return executions.GrantDecision(True)

    def work_started(self, key):
        """Do nothing: a plain service has no weights to keep loaded."""

    def work_ended(self, key):
        """Do nothing: a plain service has no weights to keep loaded."""

    def call(self, work_task, work, digest, timeout_s):
        """Send a call to the service.

        :param work_task: :class:`Work` that is told about the response.
        :param work: :class:`cicadaplank.messages.types.Work`.
        :param digest: not used; a plain service has no weights.
        :param timeout_s: seconds until the deadline.
        :returns: Deferred that fires when the response is complete.
        """
        call = services.ServiceCall(
            work.attempt, work.method, work.path, work.body, work.once_key, timeout_s
        )
        return defer.Deferred.fromCoroutine(self._call(work_task, call))

    async def _call(self, work_task, call):
        end = await self._client.call(call)
        work_task.response_started(call.attempt, end.status, end.attempt, "", 0)
        work_task.data_received(call.attempt, end.body)
        work_task.response_ended(call.attempt, len(end.body))

    def probe(self):
        """Find out whether the service still runs.

        :returns: Deferred of :class:`executions.ProbeResult`.
        """
        probing = self._client.load_report().addTimeout(
            PROBE_TIMEOUT_S, self._daemon.reactor
        )
        return probing.addCallbacks(
            lambda report: executions.ProbeResult.ALIVE, _failed_probe_result
        )

    def check_engine(self):
        """Do nothing: a plain service has no weights to check."""


def _failed_probe_result(failure):
    """Return the result of a probe that failed."""
    if failure.check(defer.TimeoutError, errors.ConnectTimedOut):
        return executions.ProbeResult.SILENT
    return executions.ProbeResult.CRASHED
