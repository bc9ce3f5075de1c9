"""Work of an agent: attempts from entry instances, run on its engine or service."""

import collections

from twisted.internet import defer

from cicadaplank.agent import executions
from cicadaplank.external import engines, errors, services
from cicadaplank.messages import types
from cicadaplank.requests import routing

# Wait for an answer to the question whether the engine is still there.
PROBE_TIMEOUT_S = 1.0
# Status of an engine that has not loaded the row.
STATUS_NO_MODEL = 404


class Work:
    """Task that owns the attempts in progress at one agent.

    :param daemon: :class:`cicadaplank.agent.process.AgentDaemon`.
    :param backend: :class:`EngineBackend` or :class:`ServiceBackend`.
    """

    def __init__(self, daemon, backend):
        self._daemon = daemon
        self._backend = backend
        self.executions = executions.Executions(self._check)
        self.counts = collections.Counter()
        self._connections = {}
        self._calls = {}
        self._digests = {}
        self._timer = None

    @property
    def load(self):
        """Attempts in progress."""
        return len(self.executions)

    def handlers(self):
        """Return the handlers of the actions of this task's decision objects."""
        return {
            executions.Reply: self._reply,
            executions.CallEngine: self._call,
            executions.CancelEngine: self._cancel,
            executions.ProbeEngine: self._probe,
            executions.Drained: lambda action: None,
        }

    def message(self, connection, message):
        """Take a message of an entry instance.

        :param connection: :class:`cicadaplank.links.streams.PeerConnection`.
        :param message: one of :mod:`cicadaplank.messages.types`.
        """
        now_s = self._daemon.now_s
        if isinstance(message, types.Work):
            self._connections[message.attempt] = connection
            self._daemon.draining.offered(message.attempt, now_s)
            taken = self.executions.work(connection.name, message, now_s)
            self._carry_out(taken)
        elif isinstance(message, types.WorkCancel):
            taken = self.executions.cancel(connection.name, message.attempt, now_s)
            self._carry_out(taken)

    def connection_ended(self, connection):
        """Cancel the attempts of an entry instance whose connection has ended."""
        now_s = self._daemon.now_s
        self._carry_out(self.executions.entry_lost(connection.name, now_s))

    def drain(self):
        """Take no new work."""
        limit_s = self._daemon.settings.drain_limit_s
        self._carry_out(self.executions.drain(limit_s, self._daemon.now_s))

    def tick(self):
        """End work whose deadline has passed."""
        self._carry_out(self.executions.tick(self._daemon.now_s))

    def _carry_out(self, taken):
        self._daemon.carry_out(taken)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due_s = self.executions.next_tick_s()
        if due_s is not None:
            delay_s = max(0.0, due_s - self._daemon.now_s)
            self._timer = self._daemon.reactor.callLater(delay_s, self.tick)

    def _check(self, work, now_s):
        """Return the :class:`executions.Grant` for a piece of work."""
        daemon = self._daemon
        table = daemon.configuration.table
        if not daemon.distribution.ready(now_s):
            return executions.Grant(
                False, "no configuration is known yet", "", False, 1
            )
        if not table.grants(work.row, daemon.name, work.client, now_s):
            return executions.Grant(False, "the table does not grant the work")
        return self._backend.grant(work)

    def _reply(self, action):
        message = action.message
        connection = self._connections.get(message.attempt)
        if connection is not None:
            connection.send(message)
        final = (types.WorkEnd, types.WorkRefused, types.WorkFailed)
        if isinstance(message, final):
            self.counts[type(message).__name__] += 1
            self._forget(message.attempt)

    def _forget(self, attempt):
        self._connections.pop(attempt, None)
        digest = self._digests.pop(attempt, None)
        if digest is not None:
            self._backend.ended(digest)
        now_s = self._daemon.now_s
        self._daemon.carry_out(self._daemon.draining.finished(attempt, now_s))

    def _call(self, action):
        work, digest = action.work, action.manifest_digest
        self._digests[work.attempt] = (work.row, digest)
        self._backend.started((work.row, digest))
        call = self._backend.call(self, work, digest, action.timeout_s)
        self._calls[work.attempt] = call
        call.addErrback(self._failed, work)
        call.addErrback(self._daemon.report_failure)
        call.addBoth(lambda _: self._calls.pop(work.attempt, None))

    def _cancel(self, action):
        call = self._calls.pop(action.attempt, None)
        if call is not None:
            call.cancel()
        self._forget(action.attempt)

    def _failed(self, failure, work):
        failure.trap(errors.PlatformError, defer.CancelledError)
        if failure.check(defer.CancelledError):
            return None
        error, attempt, now_s = failure.value, work.attempt, self._daemon.now_s
        if isinstance(error, errors.Refused):
            taken = self.executions.engine_rejected(
                attempt, error.status, error.reason, now_s
            )
        elif isinstance(error, errors.Unavailable):
            taken = self.executions.engine_failed(attempt, False, error.reason, now_s)
            self._backend.suspect()
        else:
            taken = self.executions.engine_lost(attempt, error.reason, now_s)
        self._carry_out(taken)
        return None

    def _probe(self, action):
        """Find out whether the engine died or only one answer was lost."""

        def probed(alive):
            if not alive:
                self.counts["engine_crashes"] += 1
                self._backend.suspect()
            self._carry_out(self.executions.engine_probed(alive, self._daemon.now_s))

        self._backend.is_alive().addCallback(probed).addErrback(
            self._daemon.report_failure
        )

    # What a backend reports about a call.

    def opened(self, attempt, status, echoed, digest, offset):
        """Take the start of an answer; see ``Executions.engine_headers``."""
        taken = self.executions.engine_headers(
            attempt, status, echoed, digest, offset, self._daemon.now_s
        )
        self._carry_out(taken)

    def received(self, attempt, data):
        """Take a part of an answer."""
        taken = self.executions.engine_data(attempt, data, self._daemon.now_s)
        self._carry_out(taken)

    def token_received(self, event):
        """Take one token of a stream.

        :param event: :class:`cicadaplank.external.engines.StreamEvent`.
        """
        taken = self.executions.engine_token(
            event.attempt, event.attempt, event.offset, event.data, self._daemon.now_s
        )
        self._carry_out(taken)

    def ended(self, attempt, total):
        """Take the end of an answer that is complete."""
        taken = self.executions.engine_end(attempt, self._daemon.now_s, total)
        self._carry_out(taken)


class EngineBackend:
    """Runs work on an engine.

    :param daemon: :class:`cicadaplank.agent.process.AgentDaemon`.
    :param client: :class:`cicadaplank.external.engines.Engines`.
    :param weights: :class:`cicadaplank.agent.weights.Weights`.
    :param cached: :class:`cicadaplank.agent.caches.Caches`.
    """

    def __init__(self, daemon, client, weights, cached):
        self._daemon = daemon
        self._client = client
        self._weights = weights
        self._caches = cached

    def grant(self, work):
        """Return whether the engine serves the row."""
        digest = self._weights.serving(work.row)
        if not digest:
            return executions.Grant(False, "the endpoint is not ready", "", False, 1.0)
        resumes = self._daemon.settings.endpoint.resumes_streams
        return executions.Grant(True, "", digest, resumes)

    def started(self, key):
        """Count work on a version, which keeps it loaded."""
        self._weights.work_started(*key)

    def ended(self, key):
        """Count the end of work on a version."""
        self._weights.work_ended(*key)

    def call(self, work_task, work, digest, timeout_s):
        """Send a completion to the engine.

        :returns: Deferred.
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
        began_s = self._daemon.now_s

        def opened(digest):
            self._weights.answer_started(self._daemon.now_s - began_s)
            work_task.opened(attempt, 200, attempt, digest, completion.offset)

        def received(event):
            work_task.token_received(event)

        try:
            end = await self._client.complete(completion, received, opened)
        except errors.Refused as error:
            if error.status != STATUS_NO_MODEL:
                raise
            # The agent believed the row to be loaded: the engine has restarted.
            raise errors.Unavailable(error.reason) from error
        self._caches.served(prefix, end.prefix_block, self._daemon.now_s)
        if not completion.stream:
            work_task.received(attempt, end.body)
        total = end.total if completion.stream else len(end.body)
        work_task.ended(attempt, total)

    def is_alive(self):
        """Return a Deferred with True when the engine answers and kept its state."""
        probing = self._client.state().addTimeout(PROBE_TIMEOUT_S, self._daemon.reactor)
        probing.addCallback(self._kept_state)
        return probing.addErrback(lambda failure: False)

    def _kept_state(self, state):
        rows = self._weights.serving_rows()
        return all(state.model(row) is not None for row in rows)

    def suspect(self):
        """Check the engine soon, after a call that failed."""
        self._weights.check_engine()


class ServiceBackend:
    """Runs work on a plain service.

    :param daemon: :class:`cicadaplank.agent.process.AgentDaemon`.
    :param client: :class:`cicadaplank.external.services.Services`.
    """

    def __init__(self, daemon, client):
        self._daemon = daemon
        self._client = client

    def grant(self, work):
        """Return whether the service is that of the row."""
        if work.row != self._daemon.settings.endpoint.row:
            return executions.Grant(False, "the endpoint is another service")
        return executions.Grant(True)

    def started(self, key):
        """Nothing depends on work at a plain service."""

    def ended(self, key):
        """Nothing depends on work at a plain service."""

    def call(self, work_task, work, digest, timeout_s):
        """Send a call to the service.

        :returns: Deferred.
        """
        call = services.ServiceCall(
            work.attempt, work.method, work.path, work.body, work.once_key, timeout_s
        )
        return defer.Deferred.fromCoroutine(self._call(work_task, call))

    async def _call(self, work_task, call):
        end = await self._client.call(call)
        work_task.opened(call.attempt, end.status, end.attempt, "", 0)
        work_task.received(call.attempt, end.body)
        work_task.ended(call.attempt, len(end.body))

    def is_alive(self):
        """Return a Deferred with True when the service answers."""
        probing = self._client.load().addTimeout(PROBE_TIMEOUT_S, self._daemon.reactor)
        return probing.addCallbacks(lambda report: True, lambda failure: False)

    def suspect(self):
        """A plain service has no state to check."""
