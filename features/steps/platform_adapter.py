"""Steps for the adapter to the users' platform."""

import base64
import copy
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import types

import behave
from twisted.internet import defer, error, testing
from twisted.python import failure

from cicadaplank.external import errors
from cicadaplank.gateway import positions, records, sync
from cicadaplank.platform import __main__ as commands
from cicadaplank.platform import client, rows, settings, store
from features.steps import gateway as gateway_steps

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SERVER = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "warmup_left_ms": 0,
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
}
ROUTE = {
    "name": "r",
    "hostname": "Host.example",
    "prefix": "/x/",
    "route_type": "idempotent",
    "timeout_ms": 6000,
    "goal_ms": 404,
    "priority": 1,
    "service": "s",
    "max_attempts": 2,
    "public": False,
    "sticky": True,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s", "health_path": "/h", "max_conns": 264}],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1}],
}
WIRE_NAMES = re.compile(
    r"rows-(tx|get|feed|parts)|stage-(put|get)|x-attempt-id|x-prefix-hash"
    r"|x-token-counts|x-expect-(instance|version)|x-server-(load|signature)"
    r"|x-not-executed|route_type|goal_ms|max_conns|hostname|api_keys|non_idempotent",
    re.IGNORECASE,
)


def table_of(values):
    held = records.RecordTable()
    held.replace(
        [records.Record(key, 1, value) for key, value in values.items()],
        positions.Position(0, 1),
    )
    return held


def configuration(**changes):
    value = {**copy.deepcopy(CONFIGURATION), **changes}
    return rows.RowDecoder().configuration(
        table_of({"config": json.dumps(value).encode()})
    )


@behave.given("rows of servers of which one has {row}")
def step_rows(context, row):
    value = dict(SERVER)
    if row == "the state draining":
        value["state"] = "draining"
    elif row == "an unknown state":
        value["state"] = "dreaming"
    elif row == "an unknown service":
        value["service"] = "other"
    elif row == "no address":
        del value["address"]
    elif row == "a port that is no number":
        value["address"] = "10.0.0.1:http"
    elif row == "a zone of another type":
        value["zone"] = 7
    elif row == "a start that is a text":
        value["born"] = "1792322763233"
    elif row == "a start that is true":
        value["born"] = True
    elif row == "a start with a fraction":
        value["born"] = 1792322763233.5
    elif row == "fields that are unknown":
        value["mood"] = ["good"]
    raw = json.dumps(value).encode()
    if row == "bytes that cannot be read":
        raw = b"\xff\xfe{"
    if row == "a list in place of fields":
        raw = b"[1, 2]"
    held = table_of({"it": raw, "other": json.dumps(SERVER).encode()})
    context.found, context.unreadable = rows.RowDecoder().endpoints(
        held, configuration()
    )


@behave.then("it is {use} and the other row is used")
def step_use(context, use):
    found = context.found.get("it")
    assert "other" in context.found
    assert (found is None) == (use == "not used"), found
    if found is not None:
        assert found.is_draining == (use == "leaving")
        assert (found.host, found.port) == ("10.128.0.9", 8080)
        assert found.weights == {"m": 1}


@behave.given(
    "a configuration with a route of type {route_type} that is resumable: {resumable}"
)
def step_route(context, route_type, resumable):
    route = {**ROUTE, "route_type": route_type, "resumable": resumable == "yes"}
    context.route = configuration(routes=[route]).routes[0]


@behave.then('its calls repeat "{repeat}"')
def step_repeat(context, repeat):
    assert context.route.retry_policy.value == repeat, context.route.retry_policy
    assert context.route.host == "host.example"
    assert (context.route.timeout_s, context.route.objective_s) == (6.0, 0.404)


@behave.given(
    "a configuration whose route and client account may be served in {listed}"
)
def step_allowed_regions(context, listed):
    limit = {"allowed_regions": json.loads(listed)}
    changes = {
        "routes": [{**ROUTE, **limit}],
        "tenants": [{**CONFIGURATION["tenants"][0], **limit}],
    }
    try:
        context.found = configuration(**changes)
    except ValueError:
        context.found = None


@behave.then("their calls may be served in {allowed}")
def step_allowed(context, allowed):
    if allowed == "unknown":
        assert context.found is None
        return
    wanted = None if allowed == "any" else set(allowed.split())
    assert context.found.routes[0].regions == wanted
    assert context.found.accounts["k"].regions == wanted


@behave.given(
    'a row of a server in the data centre "{zone}" while only "a" has a region'
)
def step_server_zone(context, zone):
    held = table_of({"it": json.dumps({**SERVER, "zone": zone}).encode()})
    found, _ = rows.RowDecoder({"a": "r1"}).endpoints(held, configuration())
    context.region = found["it"].region


@behave.then('its region is "{region}"')
def step_region(context, region):
    assert (context.region or "none") == region


@behave.given(
    'rows of evacuations of "{first}" and, with a value that cannot be read, of'
    ' "{second}"'
)
def step_evacuation_rows(context, first, second):
    values = {f"evacuate/{first}": b"{}", f"evacuate/{second}": b"\xff"}
    held = table_of({**values, "config": b"{}", "version/m": b"{}"})
    context.evacuated = rows.RowDecoder().evacuated(held)


@behave.then('the evacuated data centres are "{names}"')
def step_evacuated_rows(context, names):
    assert sorted(context.evacuated) == names.split(", "), context.evacuated


@behave.given("a configuration without services")
def step_no_services(context):
    value = {k: v for k, v in CONFIGURATION.items() if k != "services"}
    context.held = table_of({"config": json.dumps(value).encode()})


@behave.then("it is rejected with an error that names op/config")
def step_rejected(context):
    try:
        rows.RowDecoder().configuration(context.held)
    except ValueError as fault:
        assert "op/config" in str(fault)
    else:
        raise AssertionError("the configuration was taken")


def call_for_changes(context):
    """Begin a call for changes and return the connection of the store's side."""
    context.reactor = testing.MemoryReactorClock()
    held = store.Store(client.Client(context.reactor, "10.0.0.1:80"))
    context.outcome = []
    call = defer.ensureDeferred(held.changes("op", positions.Position(0, 5), 1.0))
    call.addBoth(context.outcome.append)
    return context.reactor.tcpClients[0][2]


def connected(factory):
    protocol = factory.buildProtocol(None)
    protocol.makeConnection(gateway_steps.Transport())
    return protocol


def store_answer(status, body):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


@behave.given("a store that answers {status:d} to a call for changes")
def step_store_answers(context, status):
    row = {"table": "op", "part": "", "key": "config", "ver": 6}
    row["value"] = base64.b64encode(b"value").decode()
    body = json.dumps({"rows": [row], "ver": 6, "now_ms": 1}).encode()
    protocol = connected(call_for_changes(context))
    protocol.dataReceived(store_answer(status, body if status == 200 else b"{}"))


@behave.given("a store whose connection {fault}")
def step_store_fault(context, fault):
    factory = call_for_changes(context)
    if fault == "cannot be opened":
        factory.clientConnectionFailed(
            None, failure.Failure(error.ConnectionRefusedError())
        )
        return
    protocol = connected(factory)
    if fault == "is reset":
        gateway_steps.reset(protocol)
    elif fault == "goes silent":
        context.reactor.advance(2.0)
    elif fault == "gives an answer cut short":
        protocol.dataReceived(store_answer(200, b"{}" * 20)[:-5])
        gateway_steps.end(protocol)
    else:
        protocol.dataReceived(store_answer(200, b"<html>"))


@behave.then("the call ends as {ends}")
def step_call_ends(context, ends):
    (outcome,) = context.outcome
    kind = {
        "changes": sync.Changes,
        "history lost": sync.HistoryLostError,
        "unavailable": errors.Unavailable,
        "refused": errors.Refused,
        "answer lost": errors.AnswerLost,
    }[ends]
    value = outcome.value if isinstance(outcome, failure.Failure) else outcome
    assert type(value) is kind, value
    if ends == "changes":
        assert value.records == (records.Record("config", 6, b"value"),), value


DOCUMENT = {
    "name": "edge-1",
    "host": "10.1.0.40",
    "region": "norte",
    "data_centre": "norte-a",
    "regions": {"norte-a": "norte"},
    "listen": {"front": "10.1.0.40:8005", "ready": "10.1.0.40:8002"},
    "ports": [7700, 7715],
    "metrics_port": 9400,
    "seeds": ["10.1.0.40:8000"],
    "store": "10.200.1.7:8007",
    "link_mbps": 4.7,
    "engine": {"address": "10.1.0.43:8001", "service": "s"},
    "bounds": {
        "retry_ratio": 0.2,
        "retry_slack": 100,
        "retry_window_s": 10,
        "version_ms": 8000,
        "grace_s": 8,
    },
}
FAULTS = {
    "nothing wrong": {},
    "an unknown field": {"mood": 1},
    "no front address": {"listen.front": None},
    "a port that is no number": {"listen.ready": "10.1.0.40:http"},
    "a negative ratio": {"bounds.retry_ratio": -1},
    "no ports": {"ports": []},
    "no metrics port": {"metrics_port": 0},
    "no name and no grace": {"name": "", "bounds.grace_s": None},
    "no engine": {"engine": {}},
    "a text as link": {"link_mbps": "fast"},
}


@behave.given("settings of an {role} with {fault}")
def step_settings(context, role, fault):
    document = copy.deepcopy(DOCUMENT)
    for path, value in FAULTS[fault].items():
        *parents, name = path.split(".")
        place = document
        for parent in parents:
            place = place[parent]
        place[name] = value
    context.document = document
    reader = {"entry": settings.entry, "agent": settings.agent}[role]
    try:
        context.faults = []
        context.read = reader(document)
    except settings.SettingsError as found:
        context.faults = found.faults


@behave.then("reading them {outcome}")
def step_read(context, outcome):
    named = [fault.partition(":")[0] for fault in context.faults]
    wanted = []
    if outcome != "succeeds":
        wanted = outcome.removeprefix("names ").split(", ")
    assert sorted(named) == sorted(wanted), context.faults


@behave.when("the file is checked from the command line")
def step_command(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        path.write_text(json.dumps(context.document))
        command = [sys.executable, "-m", "cicadaplank", "settings", "check", str(path)]
        context.done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=30
        )


@behave.then('the exit code is {code:d} and the output names "{named}"')
def step_code(context, code, named):
    assert context.done.returncode == code, context.done.stderr
    assert named in context.done.stdout + context.done.stderr


@behave.given("the template in deploy filled for an edge and a side machine")
def step_template(context):
    template = (ROOT / "deploy" / "settings.json").read_text()
    common = {
        "node": "n-1",
        "ip": "10.1.0.40",
        "region": "norte",
        "zone": "norte-a",
        "zones": {"norte-a": "norte"},
        "port_range": [7700, 7715],
        "seeds": [],
        "platform": {"address": "10.200.1.7:8007"},
        "limits": {"link_mbps": 4.7},
        "bounds": DOCUMENT["bounds"],
    }
    front = {"front": "10.1.0.40:8005", "ready": "10.1.0.40:8002"}
    machines = {
        "entry": {**common, "listen": front},
        "agent": {**common, "listen": {}, "app": "10.1.0.43:8001", "service": "s"},
    }
    context.documents = {}
    for role, fields in machines.items():

        def value(match, fields=fields):
            place = fields
            for name in match.group(1).split("."):
                place = place.get(name) if isinstance(place, dict) else None
            return json.dumps(place)

        text = re.sub(r"\{\{([a-z_.]+)\|json\}\}", value, template)
        context.documents[role] = json.loads(text)


@behave.then("both roles take their settings")
def step_both(context):
    entry = settings.entry(context.documents["entry"])
    agent = settings.agent(context.documents["agent"])
    assert entry.front.port == 8005
    assert agent.link_bytes_per_s == 4.7 * 125_000
    assert settings.read_store_address(context.documents["agent"]) == "10.200.1.7:8007"


@behave.then("no source file outside the adapter holds a name of the platform's wire")
def step_names(context):
    package = ROOT / "cicadaplank"
    found = [
        str(path.relative_to(ROOT))
        for path in package.rglob("*.py")
        if package / "platform" not in path.parents
        and WIRE_NAMES.search(path.read_text())
    ]
    assert not found, found


@behave.when("a call is sent to {what}")
def step_call_sent(context, what):
    context.reactor = testing.MemoryReactorClock()
    make = client.Client if what == "the store" else client.origin_client
    made = make(context.reactor, "10.0.0.1:80")
    made.call("GET", "/x").addErrback(lambda failure: None)


@behave.then("its connection has to open in {time_s:f} s")
def step_opens_in(context, time_s):
    timeout_s = context.reactor.tcpClients[0][3]
    assert timeout_s == time_s, timeout_s


@behave.when("it is answered")
def step_answered(context):
    factory = context.reactor.tcpClients[0][2]
    context.connection = factory.buildProtocol(None)
    transport = testing.StringTransport()
    transport.setTcpNoDelay = lambda enabled: None
    context.connection.makeConnection(transport)
    context.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\n{}"
    )


@behave.then("its connection is kept for the next call: {kept}")
def step_kept(context, kept):
    is_kept = not context.connection.transport.disconnecting
    assert is_kept == (kept == "yes"), is_kept


# Prints how SIGHUP is handled when the first larger module of the program is loaded.
PROBE = """
import runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name in ("fire", "cicadaplank.gateway"):
            print(signal.getsignal(signal.SIGHUP).name)
            sys.exit()

sys.meta_path.insert(0, Finder())
sys.argv = ["platform", "check", "entry"]
runpy.run_module("cicadaplank.platform", run_name="__main__")
"""


@behave.when("the program of the platform loads its modules")
def step_load_program(context):
    done = subprocess.run(
        [sys.executable, "-c", PROBE], capture_output=True, text=True, cwd=ROOT
    )
    context.handling = done.stdout.strip()
    assert context.handling, done.stderr


@behave.then("a signal for changed settings does not end it")
def step_signal_ignored(context):
    assert context.handling == "SIG_IGN", context.handling


@behave.given("a machine with {clocks} that was suspended for {suspended_s:f} s")
def step_suspended(context, clocks, suspended_s):
    context.clocks = types.SimpleNamespace(monotonic=lambda: 0.0)
    if clocks == "a clock that counts suspension":
        context.clocks.CLOCK_BOOTTIME = 7
        context.clocks.clock_gettime = {7: suspended_s}.get


@behave.then("the clock of a process has counted {counted_s:f} s")
def step_counted(context, counted_s):
    assert commands.steady_clock(context.clocks)() == counted_s
