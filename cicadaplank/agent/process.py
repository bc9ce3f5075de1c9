"""Process of the agent role, which connects one engine or plain service to the fleet.

It owns the tasks for work, weights and the prefix cache, and the lease on the engine.
"""

from cicadaplank.agent import caches, weights, work
from cicadaplank.daemons import base
from cicadaplank.external import engines, errors, objects, origins, services
from cicadaplank.members import draining
from cicadaplank.messages import types
from cicadaplank.table import leases, records

# Interval of reports when nothing has changed; they also show entry instances that the
# agent is alive.
REPORT_INTERVAL_S = 2.0
MIN_REPORT_INTERVAL_S = 0.2


class AgentDaemon(base.Daemon):
    """Agent process beside one engine or plain service.

    :param reactor: Twisted reactor.
    :param settings: :class:`cicadaplank.world.settings.Settings`.
    """

    def __init__(self, reactor, settings):
        super().__init__(reactor, settings)
        self._is_engine = settings.endpoint.kind == "engine"
        self.weights = None
        self.caches = None
        self._engine = None
        self.lease = None
        self.work = None
        self._last_report = None
        self._last_report_s = 0.0
        self._watchers = {}
        self.handlers[draining.Accept] = lambda action: None
        self.handlers[draining.Refuse] = lambda action: None
        self.handlers[draining.Abort] = lambda action: self.work.abort(action)
        self._lease_handlers = {
            records.ReadKeys: self._call_table_for_lease,
            records.Transact: self._call_table_for_lease,
            leases.LeaseAcquired: lambda action: self._lease_taken(action.token),
            leases.LeaseLost: self._lease_lost,
            leases.ReadBackEngine: lambda action: self.weights.check_engine(),
            leases.RepeatCommand: lambda action: self.weights.check_engine(),
        }

    async def _start(self):
        await super()._start()
        client = self.client(self.settings.endpoint.url)
        if self._is_engine:
            self._start_engine(client)
        else:
            service = services.ServiceClient(client)
            self.work = work.Work(self, work.ServiceBackend(self, service))
        self.handlers.update(self.work.handlers())

    def _start_engine(self, client):
        platform = self.settings.platform
        engine = engines.EngineClient(client)
        self.weights = weights.Weights(
            self,
            engine,
            objects.ObjectStoreClient(self.client(platform.objects_url)),
            origins.OriginClient(self.client(platform.origin_url)),
        )
        self.handlers.update(self.weights.handlers())
        self._engine = engine
        self.caches = caches.PrefixCacheReporter(self.now_s)
        self.handlers[caches.ReadCacheEvents] = self._read_cache_events
        self.handlers[caches.SendReport] = self._send_cache_report
        for watcher in self._watchers:
            self.carry_out(self.caches.watcher_connected(watcher, self.now_s))
        backend = work.EngineBackend(self, engine, self.weights, self.caches)
        self.work = work.Work(self, backend)
        self.weights.members_changed(base.usable_instances(self.view))
        subject = f"engine/{self.name}"
        self.lease = leases.Lease(subject, self.name, self.incarnation, self.rng)
        self._carry_out_lease(self.lease.start(self.now_s))

    # Lease on the engine.

    def _carry_out_lease(self, actions):
        for action in actions:
            self._lease_handlers[type(action)](action)

    def _call_table_for_lease(self, action):
        self.call_table(action).addCallback(self._lease_answered)

    def _lease_answered(self, event):
        self._carry_out_lease(self.lease.answered(event, self.now_s))

    def _lease_taken(self, token):
        self.events.log("lease_taken", subject=self.lease.subject, token=token)
        self.weights.lease_changed(token)

    def _lease_lost(self, action):
        self.events.log("lease_lost", subject=self.lease.subject, reason=action.reason)
        self.weights.lease_changed(None)

    def token_refused(self, highest_token):
        """Handle the engine's refusal of this process's fencing token.

        :param highest_token: highest token that the engine has seen, 0 when unknown.
        """
        self._carry_out_lease(self.lease.token_refused(highest_token, self.now_s))

    # Peers, members and the table.

    def peer_message_received(self, connection, message):
        """Handle a message of an entry instance or another agent."""
        if self.work is None:
            return
        self.work.message(connection, message)
        if isinstance(message, types.ProgressRequest):
            connection.send(types.ProgressReply(self._weights_progress()))
        if self.weights is not None:
            self.weights.message(connection.peer, message)

    def peer_connected(self, connection):
        """Send the load and a cache snapshot to a new entry instance."""
        if connection.hello.role == "entry":
            self._watchers[connection.peer] = connection
            connection.send(self._endpoint_report())
            if self.caches is not None:
                actions = self.caches.watcher_connected(connection.peer, self.now_s)
                self.carry_out(actions)

    def connection_ended(self, connection):
        """Cancel the work of an entry instance, or drop an agent as chunk source."""
        if self._watchers.get(connection.peer) is connection:
            self._watcher_lost(connection.peer)
        if self.work is not None:
            self.work.connection_ended(connection)
        if self.weights is not None and connection.hello.role == "agent":
            self.weights.peer_lost(connection.peer)

    def _watcher_lost(self, peer):
        """Use another connection of the entry instance when there is one."""
        del self._watchers[peer]
        if self.caches is not None:
            self.caches.watcher_lost(peer)
        other = self.hub.connection(peer)
        if other is not None:
            self.peer_connected(other)

    def configuration_changed(self, configuration):
        """Apply a configuration to the weights and report the readiness."""
        if self.weights is not None:
            self.weights.configuration_changed(configuration)
        self.readiness_changed()

    def members_changed(self, view):
        """Pass the usable instances to the weights as sources."""
        if self.weights is not None:
            self.weights.members_changed(base.usable_instances(view))

    def _announce_leaving(self, action):
        super()._announce_leaving(action)
        self.readiness_changed()

    def closing(self):
        """Release the lease on the engine."""
        if self.lease is not None:
            self._carry_out_lease(self.lease.release(self.now_s))

    def action_failed(self, action):
        """Refuse work whose call could not be made."""
        self.work.action_failed(action)

    # Reports to entry instances.

    def readiness_changed(self):
        """Send a report to the entry instances at once."""
        self._send_report(self._endpoint_report())

    def _endpoint_report(self):
        capacity = self.settings.endpoint.capacity
        load = self.work.load if self.work else 0
        return types.EndpointReport(
            self._served_versions(), load, capacity, self._endpoint_state()
        )

    def _weights_progress(self):
        return self.weights.progress() if self.weights else {}

    def _endpoint_state(self):
        if self.draining.is_stopping:
            return "leaving"
        return "ready" if self.is_ready else "starting"

    def _served_versions(self):
        if self.weights is not None:
            return self.weights.serving_rows()
        row = self.configuration.table.row(self.settings.endpoint.row)
        return {row.name: row.version} if row else {}

    def _send_report(self, report):
        self._last_report, self._last_report_s = report, self.now_s
        for connection in self._watchers.values():
            connection.send(report)

    # Prefix cache of the engine.

    def _read_cache_events(self, action):
        reading = self._engine.cache_events(action.after, action.limit)
        reading.addCallbacks(self._cache_events_read, self._cache_events_failed)
        reading.addErrback(self.report_failure)

    def _cache_events_read(self, events):
        if not self.caches.events_read(events, self.now_s):
            # The engine may have restarted while idle, which loses its weights.
            self.weights.check_engine()

    def _cache_events_failed(self, failure):
        self.caches.read_failed(self.now_s)
        failure.trap(errors.PlatformError)

    def _send_cache_report(self, action):
        for watcher in action.watchers:
            connection = self._watchers.get(watcher)
            if connection is None or not connection.send(action.report):
                self.caches.undelivered(watcher)

    def tick(self):
        """Advance the tasks and send a report when one is due."""
        if self.work is None:
            return
        if self.weights is not None:
            self.weights.tick()
            self._carry_out_lease(self.lease.tick(self.now_s))
            self.caches.set_served_rows(self.weights.serving_rows())
            self.carry_out(self.caches.tick(self.now_s))
        report, since_s = self._endpoint_report(), self.now_s - self._last_report_s
        changed = report != self._last_report and since_s >= MIN_REPORT_INTERVAL_S
        if changed or since_s >= REPORT_INTERVAL_S:
            self._send_report(report)

    def update_metrics(self):
        """Set the gauges of the agent's tasks in addition to those of every process."""
        super().update_metrics()
        if self.work is None:
            return
        gauge = self.metrics.set_gauge
        for name, value in self.work.counts.items():
            gauge("work_counter", value, counter=name)
        if self.weights is None:
            return
        gauge("weights_held_bytes", self.weights.store.held_bytes)
        for name, value in {
            **self.weights.counts,
            **self.weights.transfers.counts,
        }.items():
            gauge("weights_counter", value, counter=name)
        for name, value in {**self.caches.counts, **self.caches.sizes}.items():
            gauge("cache_counter", value, counter=name)
        for row, progress in self.weights.progress().items():
            gauge("chunks_held", progress["chunks_held"], row=row)
            gauge("row_ready", int(progress["state"] == "ready"), row=row)

    def status(self):
        """Return the document for ``/status``."""
        document = super().status()
        if self.work is not None:
            document["load"] = self.work.load
            document["work"] = dict(self.work.counts)
            document["dropped_responses"] = self.work.executions.dropped_responses
        if self.weights is not None:
            document["weights"] = self.weights.status()
            document["lease"] = self.lease.state
            document["caches"] = {**self.caches.counts, **self.caches.sizes}
        return document
