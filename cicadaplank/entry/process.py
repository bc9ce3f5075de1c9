"""Entry process: HTTP routes, choice of endpoints to connect to, metrics, status."""

import re

from cicadaplank.daemons import base
from cicadaplank.entry import frontend, serving
from cicadaplank.members import draining
from cicadaplank.reports import metrics
from cicadaplank.world import rendezvous

# An entry instance keeps connections to at most this many endpoints of a row in its own
# data centre, and to this many elsewhere. The other endpoints send it no load reports,
# so they get none of its requests.
WATCHED_LOCAL = 32
WATCHED_REMOTE = 16
DIAL_INTERVAL_S = 1.0
SILENT_STATES = ("suspected", "gone")
# Attempts at an agent end after this silence on its connection: it reports every 2 s
# and may be paused for 2 s.
SILENCE_LIMIT_S = 4.3
# Time between two ticks that counts as silence of the agents; in a longer one this
# process was paused and has not read what they sent.
MAX_TICK_GAP_S = 0.5
SERVICE_PATH = re.compile(r"^/services/([^/]+)(/.*)?$")
SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
# Outcome in the metrics by outcome or error code of a request; any other code counts as
# a failure of the system.
METRIC_OUTCOMES = {
    "answered": metrics.Outcome.ANSWERED,
    "cancelled": metrics.Outcome.CANCELLED,
    "limited": metrics.Outcome.LIMITED,
    "overload": metrics.Outcome.SHED,
    "no_row": metrics.Outcome.INVALID,
    "not_granted": metrics.Outcome.INVALID,
    "key_reused": metrics.Outcome.INVALID,
    "crashes": metrics.Outcome.INVALID,
}
CORRECT_REQUEST_ADVICE = "Correct the request; it was not run."


class EntryDaemon(base.Daemon):
    """Process that admits callers' HTTP requests and routes them to endpoints.

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
        # Seconds for which this process has run, and the value of it at which each
        # agent was last heard.
        self._awake_s = 0.0
        self._heard_s = {}
        self._last_tick_s = self.now_s
        self._next_dial_s = 0.0
        for path in frontend.MODEL_PATHS:
            self._add_route(path, ["POST"], self._create_model_handler(path))
        self._add_route("/services/<path:rest>", SERVICE_METHODS, self._handle_service)

    @property
    def unfinished(self):
        """Number of callers' requests whose response is not complete."""
        return self.serving.open_count

    def _add_route(self, path, methods, handler):
        self.app.route(path, methods=methods, endpoint=path)(handler)

    def _create_model_handler(self, path):
        def handle(request):
            return self._handle_call(request, frontend.read_model_call, request, path)

        return handle

    def _handle_service(self, request, rest):
        path = request.uri.partition(b"?")[0].decode("ascii", "replace")
        match = SERVICE_PATH.match(path)
        name, subpath = match.group(1), match.group(2) or "/"
        return self._handle_call(
            request, frontend.read_service_call, request, name, subpath
        )

    def _handle_call(self, request, parse_call, *arguments):
        try:
            call = parse_call(*arguments)
        except frontend.BadRequest as error:
            self.serving.counts[f"rejected_{error.code}"] += 1
            answer = frontend.error_answer(
                "", error.code, error.status, f"{error}.", CORRECT_REQUEST_ADVICE
            )
            frontend.write_answer(request, answer)
        else:
            self.serving.accept_request(request, call)
        # Fires when the response has ended, so that klein does not end it earlier.
        return request.notifyFinish().addErrback(lambda failure: None)

    def _observe(self, open_request, verdict, outcome):
        elapsed_s = self.now_s - open_request.arrived_s
        self.serving.counts[f"verdict_{verdict.value}"] += 1
        self.metrics.add_request(
            open_request.call.client,
            self._find_half(open_request.endpoint),
            verdict,
            METRIC_OUTCOMES.get(outcome, metrics.Outcome.FAILED),
        )
        self.events.log(
            "request",
            row=open_request.call.row,
            client=open_request.call.client,
            verdict=verdict.value,
            outcome=outcome,
            tokens=open_request.tokens,
            elapsed_s=elapsed_s,
        )

    def observe_tokens(self, open_request, tokens, now_s):
        """Record the latency of tokens that are sent to a caller now.

        The first part counts as time to first token, from arrival. The time since the
        previous part is divided evenly over the tokens of a later one.

        :param open_request: :class:`cicadaplank.entry.serving.OpenRequest`, before the
            tokens are added to it.
        :param tokens: number of tokens in this part, at least 1.
        :param now_s: current time in seconds.
        """
        client, half = open_request.call.client, self._find_half(open_request.endpoint)
        if open_request.last_token_s is None:
            self.metrics.add_first_token(client, half, now_s - open_request.arrived_s)
            return
        interval_s = (now_s - open_request.last_token_s) / tokens
        for _ in range(tokens):
            self.metrics.add_between_tokens(client, half, interval_s)

    def _find_half(self, endpoint):
        """Return the half of the table that names an endpoint, or an empty text."""
        for half, names in self.configuration.table.halves:
            if endpoint in names:
                return half
        return ""

    def peer_message_received(self, connection, message):
        """Handle a message from an agent or another entry instance."""
        if connection.hello.role == "agent":
            self._heard_s[connection.peer] = self._awake_s
        self.serving.message(connection, message)

    def peer_connected(self, connection):
        """Tell the limits about an entry instance, which may have restarted."""
        if connection.hello.role == "entry":
            self.serving.entry_connected(connection.peer)

    def connection_ended(self, connection):
        """End the attempts on a closed connection to an agent; they may have run."""
        if connection.hello.role == "agent":
            if self.hub.connection(connection.peer) is None:
                self._heard_s.pop(connection.peer, None)
            self.serving.connection_lost(connection)

    def configuration_changed(self, configuration):
        """Apply a configuration to routing and limits and choose watched endpoints."""
        now_s = self.now_s
        self.carry_out(self.serving.router.configuration_accepted(configuration, now_s))
        self.carry_out(self.serving.limits.configuration_accepted(configuration, now_s))
        self._update_watched()
        self.serving.start_waiting_of_all_rows()

    def members_changed(self, view):
        """Update routing and limits from the members.

        An agent is silent when membership takes it as ``suspected`` or ``gone``. It
        gets no work; its attempts go on, see ``SILENCE_LIMIT_S``.
        """
        now_s = self.now_s
        instances = base.usable_instances(view)
        self.carry_out(self.serving.router.instances_listed(instances, now_s))
        self.entry_names = tuple(
            name for name in base.usable_entry_names(view) if name != self.name
        )
        self.carry_out(self.serving.limits.entries_listed(self.entry_names, now_s))
        for member in view.members:
            if member.instance.role == "agent" and member.state in SILENT_STATES:
                self.serving.endpoint_silent(member.instance.name)
        self._update_watched()

    def _update_watched(self):
        """Choose the endpoints of each row that this entry instance connects to.

        Rendezvous hashing spreads the entry instances evenly over the endpoints.
        """
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
        """Apply time limits, and connect to the watched endpoints once a second."""
        self.serving.tick()
        now_s = self.now_s
        self._check_silence(now_s)
        if now_s < self._next_dial_s:
            return
        self._next_dial_s = now_s + DIAL_INTERVAL_S
        for name in self.watched:
            instance = self.peers.get(name)
            if instance is not None and self.hub.connection(name) is None:
                self.hub.dial(instance)

    def action_failed(self, action):
        """End the request of an action that could not be carried out."""
        self.serving.action_failed(action)

    def _check_silence(self, now_s):
        """End the attempts at agents that have been silent for too long."""
        self._awake_s += min(now_s - self._last_tick_s, MAX_TICK_GAP_S)
        self._last_tick_s = now_s
        for name, heard_s in list(self._heard_s.items()):
            if self._awake_s - heard_s >= SILENCE_LIMIT_S:
                self._heard_s[name] = self._awake_s
                self.serving.endpoint_lost(name, "the endpoint is silent")

    def update_metrics(self):
        """Set the gauges of queues, request states and counters."""
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
        """Return the document of ``/status``, as JSON values."""
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
