"""The entry process."""

import re

from cicadaplank.daemons import base
from cicadaplank.entry import frontend, serving
from cicadaplank.members import draining
from cicadaplank.reports import metrics
from cicadaplank.world import rendezvous

# An entry instance watches this many endpoints of a row in its own data centre, and
# this many elsewhere; the load of the others is not known, and they get no requests.
WATCHED_LOCAL = 32
WATCHED_REMOTE = 16
DIAL_INTERVAL_S = 1.0
SILENT_STATES = ("suspected", "gone")
SERVICE_PATH = re.compile(r"^/services/([^/]+)(/.*)?$")
SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
# Outcomes of the metrics; every other code is a failure of the system.
OUTCOMES = {
    "answered": metrics.Outcome.ANSWERED,
    "cancelled": metrics.Outcome.CANCELLED,
    "limited": metrics.Outcome.LIMITED,
    "overload": metrics.Outcome.SHED,
    "no_row": metrics.Outcome.INVALID,
    "not_granted": metrics.Outcome.INVALID,
    "key_reused": metrics.Outcome.INVALID,
    "crashes": metrics.Outcome.INVALID,
}
CORRECT_IT = "Correct the request; it was not run."


class EntryDaemon(base.Daemon):
    """Entry process: callers' HTTP, limits, admission, routing and retries.

    :param reactor: Twisted reactor.
    :param settings: :class:`cicadaplank.world.settings.Settings`.
    """

    def __init__(self, reactor, settings):
        super().__init__(reactor, settings)
        self.serving = serving.Serving(self, self._observe)
        self.handlers.update(self.serving.handlers())
        self.handlers[draining.Accept] = lambda action: None
        self.handlers[draining.Refuse] = lambda action: None
        self.handlers[draining.Abort] = lambda action: self.serving.stop()
        self.entry_names = ()
        self.watched = ()
        self._next_dial_s = 0.0
        for path in frontend.MODEL_PATHS:
            self._route(path, ["POST"], self._model_handler(path))
        self._route("/services/<path:rest>", SERVICE_METHODS, self._service)

    def _route(self, path, methods, handler):
        self.app.route(path, methods=methods, endpoint=path)(handler)

    def _model_handler(self, path):
        def handle(request):
            return self._take(request, frontend.read_model_call, request, path)

        return handle

    def _service(self, request, rest):
        path = request.uri.partition(b"?")[0].decode("ascii", "replace")
        match = SERVICE_PATH.match(path)
        name, below = match.group(1), match.group(2) or "/"
        return self._take(request, frontend.read_service_call, request, name, below)

    def _take(self, request, read, *arguments):
        try:
            call = read(*arguments)
        except frontend.BadRequest as error:
            self.serving.counts[f"rejected_{error.code}"] += 1
            answer = frontend.error_answer(
                "", error.code, error.status, f"{error}.", CORRECT_IT
            )
            frontend.write_answer(request, answer)
        else:
            self.serving.take(request, call)
        # The answer is written when it is known; klein must not end the response.
        return request.notifyFinish().addErrback(lambda failure: None)

    def _observe(self, opened, verdict, outcome):
        elapsed_s = self.now_s - opened.arrived_s
        self.serving.counts[f"verdict_{verdict.value}"] += 1
        self.metrics.add_request(
            opened.call.client,
            self._half_of(opened.endpoint),
            verdict,
            OUTCOMES.get(outcome, metrics.Outcome.FAILED),
        )
        self.events.log(
            "request",
            row=opened.call.row,
            client=opened.call.client,
            verdict=verdict.value,
            outcome=outcome,
            tokens=opened.tokens,
            elapsed_s=elapsed_s,
        )

    def observe_tokens(self, opened, tokens, now_s):
        """Count the latency of tokens that go to a caller now.

        :param opened: :class:`cicadaplank.entry.serving.Open`.
        :param tokens: number of tokens in this part.
        :param now_s: current time in seconds.
        """
        client, half = opened.call.client, self._half_of(opened.endpoint)
        if opened.last_token_s is None:
            self.metrics.add_first_token(client, half, now_s - opened.arrived_s)
            return
        between_s = (now_s - opened.last_token_s) / tokens
        for _ in range(tokens):
            self.metrics.add_between_tokens(client, half, between_s)

    def _half_of(self, endpoint):
        """Return the half that an endpoint belongs to, or empty."""
        for half, names in self.configuration.table.halves:
            if endpoint in names:
                return half
        return ""

    def peer_message_received(self, connection, message):
        """Take a message of an agent or another entry instance."""
        self.serving.message(connection, message)

    def peer_connected(self, connection):
        """Let the limits know that an entry instance may have restarted."""
        if connection.hello.role == "entry":
            self.serving.entry_connected(connection.peer)

    def connection_ended(self, connection):
        """Take the end of a connection; attempts on it may have run."""
        if connection.hello.role == "agent":
            self.serving.endpoint_lost(connection.peer, "the connection was lost")

    def configuration_changed(self, configuration):
        """Pass a configuration on and watch the endpoints that it names."""
        now_s = self.now_s
        self.carry_out(self.serving.router.configuration_accepted(configuration, now_s))
        self.carry_out(self.serving.limits.configuration_accepted(configuration, now_s))
        self._choose_watched()
        self.serving.start_all_waiting()

    def members_changed(self, view):
        """Pass the members on and drop endpoints that are silent."""
        now_s = self.now_s
        instances = base.usable_instances(view)
        self.carry_out(self.serving.router.instances_listed(instances, now_s))
        self.entry_names = tuple(
            name for name in base.usable_entry_names(view) if name != self.name
        )
        self.carry_out(self.serving.limits.entries_listed(self.entry_names, now_s))
        for member in view.members:
            if member.instance.role == "agent" and member.state in SILENT_STATES:
                name = member.instance.name
                self.serving.endpoint_lost(name, f"the endpoint is {member.state}")
        self._choose_watched()

    def _choose_watched(self):
        """Choose the endpoints of each row that this entry instance watches."""
        usable = {each.name: each for each in base.usable_instances(self.view)}
        watched = set()
        for row in self.configuration.table.rows:
            names = self.configuration.table.holders(row.name)
            names = [name for name in names if name in usable]
            local = [n for n in names if usable[n].data_centre == self._data_centre]
            remote = [n for n in names if usable[n].data_centre != self._data_centre]
            key = f"watch/{self.name}/{row.name}"
            watched.update(rendezvous.ranked(key, local)[:WATCHED_LOCAL])
            watched.update(rendezvous.ranked(key, remote)[:WATCHED_REMOTE])
        self.watched = tuple(sorted(watched))

    @property
    def _data_centre(self):
        return self.settings.data_centre

    def tick(self):
        """Let time pass and connect to the watched endpoints."""
        self.serving.tick()
        now_s = self.now_s
        if now_s < self._next_dial_s:
            return
        self._next_dial_s = now_s + DIAL_INTERVAL_S
        for name in self.watched:
            instance = self.peers.get(name)
            if instance is not None and self.hub.connection(name) is None:
                self.hub.dial(instance)

    def update_metrics(self):
        """Set the gauges that show the state of the entry instance."""
        super().update_metrics()
        gauge = self.metrics.set_gauge
        gauge("queued_requests", len(self.serving.admission))
        for state, count in self.serving.dispatcher.states().items():
            gauge("requests_in_state", count, state=state)
        for source in (self.serving.counts, self.serving.router.counts):
            for name, value in source.items():
                gauge("request_counter", value, counter=name)
        for source in (self.serving.admission.counts, self.serving.limits.counts):
            for name, value in source.items():
                gauge("admission_counter", value, counter=name)

    def status(self):
        """Return what ``/status`` shows."""
        return {
            **super().status(),
            "open_requests": self.serving.open_count,
            "queued": len(self.serving.admission),
            "states": self.serving.dispatcher.states(),
            "dropped_responses": self.serving.dispatcher.dropped_responses,
            "endpoints": self.serving.router.states(),
            "hints": self.serving.router.hints(),
            "watched": list(self.watched),
            "counts": dict(self.serving.counts),
        }
