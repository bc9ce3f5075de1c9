"""A store in memory whose rows a scenario writes, and processes that follow it."""

import base64
import json
import types as plain_types

from twisted.internet import defer, testing

from cicadaplank.external import errors
from cicadaplank.gateway import process
from cicadaplank.messages import codec, types
from cicadaplank.platform import headers, rows, store
from cicadaplank.replicas import process as replicas
from features import entries
from features.steps import replicas as replicas_steps

ME, ENGINE_SERVICE, MODEL = "10.0.0.1", "s", "m"
STEP_S = 0.05
# Stands in documents for text that ``json`` does not write.
PLACEHOLDER = "@literal@"
SERVER = {
    "service": ENGINE_SERVICE,
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "warmup_left_ms": 0,
    "models": [{"name": MODEL, "version": 1, "adapters": []}],
    "born": 1792322763233,
    "seq": 4,
}
ROUTE = {
    "name": "r",
    "hostname": "host.example",
    "prefix": "/x/",
    "route_type": "idempotent",
    "timeout_ms": 6000,
    "goal_ms": 404,
    "priority": 1,
    "service": ENGINE_SERVICE,
    "max_attempts": 2,
    "public": False,
    "sticky": True,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": ENGINE_SERVICE,
            "max_conns": 264,
            "engine": {"models": [{"name": MODEL}]},
            "origin": "10.128.0.1:80",
        }
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1}],
}
NAMED = {"model": MODEL, "version": 3}
INSTANCE = ["10.0.0.2", "entry", "10.0.0.2", 7700, "r", "a"]


def encoded(document):
    """Return a document as bytes."""
    return json.dumps(document).encode()


def literal_of(described):
    """Return the JSON text of a value that the tables of scenarios describe."""
    named = {
        "400 digits": "9" * 400,
        "5000 digits": "9" * 5000,
        "nested 100000 deep": "[" * 100_000 + "]" * 100_000,
        "objects 100000 deep": '{"a":' * 100_000 + "1" + "}" * 100_000,
        "a lone surrogate": '"\\ud800"',
        "a text with NUL": '"a\\u0000b"',
        "a text of 400 letters": json.dumps("a" * 400),
        "an address with a port of 30 digits": json.dumps("10.128.0.9:" + "9" * 30),
        "an address with Arabic-Indic digits": json.dumps("10.128.0.9:\u0668\u0660"),
        "an address with a host of 400 letters": json.dumps("a" * 400 + ":80"),
        "an address with NUL": '"10.128.0.9\\u0000:80"',
        "an address with a lone surrogate": '"\\ud800:80"',
    }
    return named.get(described, described)


def replaced(document, path, literal):
    """Return the bytes of a document in which one value is other JSON text.

    :param path: keys and indices of the value, divided by dots.
    :param literal: JSON text.
    """
    changed = json.loads(json.dumps(document))
    place = changed
    *parents, last = path.split(".")
    for name in parents:
        place = place[int(name) if isinstance(place, list) else name]
    place[int(last) if isinstance(place, list) else last] = PLACEHOLDER
    return json.dumps(changed).replace(json.dumps(PLACEHOLDER), literal).encode()


class StoreClient:
    """Stands in for the HTTP client of the store.

    :param reactor: stepped reactor.
    :ivar reads: number of calls for changes.
    """

    def __init__(self, reactor):
        self.reads = 0
        self.version = 0
        self._reactor = reactor
        self._rows = {}
        self._waiting = []

    def put(self, table, key, value, changes=None):
        """Write one row of bytes; ``changes`` replace fields of the row."""
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        row["value"] = base64.b64encode(value).decode()
        self._rows[table, key] = (self.version, {**row, **(changes or {})})
        waiting, self._waiting = self._waiting, []
        for answer, query in waiting:
            self._answer(answer, query)

    def json(self, method, path, query=None, body=None, **limits):
        """Answer a call."""
        answer = self.json_with_headers(method, path, query, body, **limits)
        return answer.addCallback(lambda found: (found[0], found[2]))

    def json_with_headers(self, method, path, query=None, body=None, **limits):
        """Answer a call."""
        answer = defer.Deferred()
        if path == "/v1/rows-feed":
            self.reads += 1
        self._answer(answer, dict(query, is_feed=path == "/v1/rows-feed"))
        return answer

    def _answer(self, answer, query):
        after = query["after"] if query["is_feed"] else -1
        found = [
            row
            for (table, _), (version, row) in sorted(self._rows.items())
            if table == query["table"] and version > after
        ]
        if query["is_feed"] and not found:
            waiting = (answer, query)
            self._waiting.append(waiting)
            wait_s = query["wait_ms"] / 1000.0
            self._reactor.callLater(wait_s, self._end_wait, waiting)
            return
        answer.callback((200, [], {"rows": found, "ver": self.version}))

    def _end_wait(self, waiting):
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            waiting[0].callback((200, [], {"rows": [], "ver": self.version}))

    @property
    def polled_tables(self):
        """Names of the tables for whose changes a call waits."""
        return {query["table"] for _, query in self._waiting}


class Hub(entries.Hub):
    """Encodes what is sent, as a connection does."""

    def send(self, name, message):
        """Keep a message as a frame."""
        self.send_all([name], message)

    def update_metrics(self, metrics):
        """Set no metric."""


class Follower:
    """A process without sockets that follows the store in memory.

    :param role: ``entry`` or ``agent``.
    """

    def __init__(self, role):
        self.role = role
        self.reactor = testing.MemoryReactorClock()
        self.client = StoreClient(self.reactor)
        self.store = store.Store(self.client)
        self.log = entries.Log()
        make = self._entry if role == "entry" else self._agent
        self.process = make()
        self.process.events.log = self.log.log
        if role == "entry":
            self.hub = self.process.hub = self.process.peers._hub = Hub()

    def _entry(self):
        address = process.Address(ME, 1)
        settings = process.Settings(
            name=ME,
            region="r",
            data_centre="a",
            front=address,
            ready=address,
            ready_path="/ready",
            peer=address,
            metrics=address,
            seeds=(),
            bounds=entries.BOUNDS,
            grace_s=8,
        )
        registry = store.InstanceRegistry(self.store)
        return process.EntryProcess(
            self.reactor,
            settings,
            self.store,
            rows.RowDecoder(),
            registry,
            headers.PlatformDialect(),
            None,
        )

    def _agent(self):
        settings = replicas_steps.SETTINGS
        self.origins = []
        return replicas.AgentProcess(
            self.reactor,
            settings,
            self.store,
            rows.RowDecoder(),
            store.InstanceRegistry(self.store),
            replicas_steps.Engine(""),
            self._origin_at,
            lambda: settings,
        )

    def _origin_at(self, address):
        self.origins.append(address)
        return plain_types.SimpleNamespace(manifest=self._no_manifest)

    async def _no_manifest(self, model, version):
        raise errors.AnswerLost("connection lost")

    def start(self):
        """Write good rows and follow the tables."""
        self.client.put("op", "config", encoded(CONFIGURATION))
        self.client.put("op", f"version/{MODEL}", encoded(NAMED))
        self.client.put("servers", "i-1", encoded(SERVER))
        self.process.operator.start()
        self.process.listed.start()
        self.run(0.5)

    def run(self, duration_s):
        """Let time pass."""
        for _ in range(round(duration_s / STEP_S)):
            self.reactor.advance(STEP_S)

    @property
    def endpoints(self):
        """Endpoints that are in use: names at an entry, hosts at an agent."""
        if self.role == "entry":
            return set(self.process.gateway.endpoints.names())
        return set(self.process._data_centres) - {self.process.settings.host}

    @property
    def configuration(self):
        """Version of the configuration in force."""
        if self.role == "entry":
            return self.process.gateway.configuration_version
        return self.process._configuration_version

    def named(self, model):
        """Version of a model that is wanted, 0 for none."""
        if self.role == "entry":
            known = self.process.gateway.weights_requirement._models.get(model)
            return known.newest_read if known else 0
        copy = self.process._newest_copy
        is_wanted = copy is not None and copy.target.model == model
        return copy.target.version if is_wanted else 0

    def check_passed_on(self):
        """Check that what was taken over can be sent, and calls can be made."""
        if self.role == "agent":
            return
        for table in ("op", "servers"):
            request = types.RecordRequest(table, [-1, -1])
            self.process.message_received(
                self.hub.connection("10.0.0.9"),
                plain_types.SimpleNamespace(message=request),
            )
            reply = codec.decode(self.hub.sent[-1]).message
            assert isinstance(reply, types.RecordReply), reply
        if self.process.gateway.route_index is not None:
            notice = self.process._build_notice()
            frame = codec.encode(codec.Envelope(ME, 0, notice))
            assert codec.decode(frame).message == notice
        for state in self.process.gateway.endpoints.all():
            found = state.endpoint
            parts = found.host.split(".")
            assert [str(int(part)) for part in parts] == parts, found
            assert len(parts) == 4 and all(int(part) < 256 for part in parts), found
            assert 1 <= found.port <= 65535, found
            assert found.slots >= 1 and 0.0 <= found.warm_up_s < 1e6, found

    def check_followed(self):
        """Check that no error left the decoder or stopped a follower."""
        for event in ("store_lost", "change_failed", "unexpected_error"):
            assert not self.log.of(event), self.log.of(event)
        polled = self.client.polled_tables
        assert polled == {"op", "servers"}, polled
