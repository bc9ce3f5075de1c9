"""Steps for the entry process on the platform, as a real process."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import behave

from cicadaplank.reports import events
from features import odd_rows
from standins import rowstore

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SERVICE = "s"
LIMIT_S = 20.0


def free_port():
    with socket.socket() as sock:
        sock.bind((rowstore.LOOPBACK, 0))
        return sock.getsockname()[1]


def wait_for(condition, what):
    deadline_s = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < deadline_s, what
        time.sleep(0.02)


def configuration(version, prefix):
    route = {
        "name": "r",
        "hostname": "host.example",
        "prefix": prefix,
        "route_type": "idempotent",
        "timeout_ms": 5000,
        "goal_ms": 4000,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": SERVICE, "health_path": "/h", "max_conns": 20}],
        "limits": {},
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"]}],
    }


def ask(address, method, path, body=None, timeout_s=LIMIT_S):
    """Send one request and return ``(status, body)``."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    headers = {
        "Host": "host.example",
        "Authorization": "Bearer key-1",
        "X-Attempt-Id": "attempt-1",
    }
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


@behave.given("a store with a configuration and a back end that needs 0.5 s")
def step_stand_ins(context):
    context.store = rowstore.RowStore()
    context.back_end = rowstore.BackEnd(0.5)
    context.cleanups += [context.store.stop, context.back_end.stop]
    context.store.put("op", "config", configuration(1, "/old/"))
    server = {"service": SERVICE, "address": context.back_end.address}
    server |= {"zone": "a", "slots": 4, "state": "ready", "seq": 1}
    context.store.put("servers", "i-1", server)


@behave.given("rows of the store that are nested deeply, too large and out of range")
def step_odd_rows(context):
    for number, (field, value) in enumerate(
        [
            ("models", "nested 100000 deep"),
            ("slots", "1e999"),
            ("models.0.version", "400 digits"),
            ("address", '"10.128.0.9:99999"'),
            ("zone", "a lone surrogate"),
        ]
    ):
        write_odd_row(context, f"odd-{number}", field, value)


def write_odd_row(context, key, field, value):
    literal = odd_rows.literal_of(value)
    server = {**odd_rows.SERVER, "service": SERVICE}
    context.store.put("servers", key, odd_rows.replaced(server, field, literal))


@behave.when("another odd row is written, and a named version")
def step_odd_later(context):
    write_odd_row(context, "odd-later", "warmup_left_ms", "1e999")
    context.store.put("op", "version/odd", b'{"version": 1e999}')
    context.store.put("op", "version/m", {"model": "m", "version": 3})


@behave.then("it logs the version and follows the store without an error")
def step_follows(context):
    for text in ("key=odd-later", "key=version/odd", "model=m version=3"):
        wait_for(lambda text=text: text in context.log.read_text(), text)
    text = context.log.read_text()
    for event in ("change_failed", "unexpected_error", "store_lost"):
        assert f"event={event}" not in text, text


def settings_document(context):
    """Return settings that both roles can read."""
    first = free_port()
    context.metrics_port = free_port()
    return {
        "name": "edge-1",
        "host": rowstore.LOOPBACK,
        "region": "r",
        "data_centre": "a",
        "regions": {"a": "r"},
        "listen": {"front": context.front, "ready": context.ready},
        "ports": [first, first],
        "metrics_port": context.metrics_port,
        "link_mbps": 4.7,
        "engine": {"address": context.back_end.address, "service": SERVICE},
        "seeds": [],
        "store": context.store.address,
        "bounds": {
            "retry_ratio": 0.2,
            "retry_slack": 100,
            "retry_window_s": 10,
            "version_ms": 8000,
            "grace_s": 8,
        },
        **getattr(context, "machine", {}),
    }


@behave.when("the {role} process is started")
def step_start(context, role):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.front = f"{rowstore.LOOPBACK}:{free_port()}"
    context.ready = f"{rowstore.LOOPBACK}:{free_port()}"
    context.document = settings_document(context)
    context.settings = pathlib.Path(folder.name) / "settings.json"
    context.settings.write_text(json.dumps(context.document))
    context.log = pathlib.Path(folder.name) / "log.txt"
    with context.log.open("w") as log:
        context.process = subprocess.Popen(
            [sys.executable, "-m", "cicadaplank.platform", role],
            cwd=ROOT,
            env={**os.environ, "CICADAPLANK_SETTINGS": str(context.settings)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    context.cleanups.append(lambda: stop(context.process))


@behave.then('it logs "{event}"')
def step_logs(context, event):
    wait_for(lambda: f"event={event}" in context.log.read_text(), event)


@behave.when("its settings {change} and it gets SIGHUP")
def step_hup(context, change):
    context.document["bounds"]["version_ms"] = 9000 if change == "change" else "soon"
    context.settings.write_text(json.dumps(context.document))
    context.process.send_signal(signal.SIGHUP)


@behave.then("it runs on until it gets SIGTERM")
def step_runs_on(context):
    assert context.process.poll() is None, context.log.read_text()
    context.process.send_signal(signal.SIGTERM)
    assert context.process.wait(LIMIT_S) == 0, context.log.read_text()


def stop(process):
    if process.poll() is None:
        process.kill()
    process.wait()


def is_ready(context):
    try:
        return ask(context.ready, "GET", "/v1/readyz")[0] == 200
    except OSError:
        return False


@behave.then("it becomes ready")
def step_ready(context):
    wait_for(lambda: is_ready(context), context.log.read_text())


@behave.then("a call is answered by the back end with its tenant and instance")
def step_answered(context):
    assert ask(context.front, "POST", "/old/1", b"one") == (200, b"answer to one")
    seen = context.back_end.seen[-1]
    assert seen["X-Tenant"] == "tenant-1", seen
    assert seen["X-Expect-Instance"] == "i-1", seen
    assert 0 < int(seen["X-Deadline-Ms"]) <= 5000, seen
    assert "Authorization" not in seen, seen


@behave.when("the configuration moves the route to another path")
def step_move(context):
    context.store.put("op", "config", configuration(2, "/new/"))
    wait_for(
        lambda: ask(context.front, "POST", "/new/1", b"x")[0] == 200,
        "the new path was not served",
    )


@behave.then("calls to the new path are answered and calls to the old one get 404")
def step_moved(context):
    assert ask(context.front, "POST", "/new/1", b"two") == (200, b"answer to two")
    assert ask(context.front, "POST", "/old/1", b"x")[0] == 404


@behave.when("the store goes down")
def step_down(context):
    context.store.is_down = True
    context.store.put("op", "other", {})
    wait_for(lambda: "event=store_lost" in context.log.read_text(), "no store_lost")


@behave.then("calls to the new path are still answered")
def step_still(context):
    assert ask(context.front, "POST", "/new/1", b"three")[1] == b"answer to three"


@behave.then("the metrics page shows")
def step_metrics(context):
    address = f"{rowstore.LOOPBACK}:{context.metrics_port}"
    status, body = ask(address, "GET", "/metrics")
    assert status == 200, status
    lines = body.decode().splitlines()
    for row in context.table:
        labels = [label.strip() for label in row["labels"].split(",")]
        values = [
            float(line.rpartition(" ")[2])
            for line in lines
            if line.startswith(f"cicadaplank_{row['name']}{{")
            and all(label in line for label in labels)
        ]
        assert values, (row["name"], body.decode())
        assert max(values) >= float(row["at least"]), (row["name"], values)


@behave.when("the process gets SIGTERM during a call")
def step_term(context):
    context.answers = []
    count = len(context.back_end.seen)

    def call():
        context.answers.append(ask(context.front, "POST", "/new/1", b"last"))

    context.caller = threading.Thread(target=call)
    context.caller.start()
    wait_for(lambda: len(context.back_end.seen) > count, "the call did not arrive")
    context.process.send_signal(signal.SIGTERM)
    context.stopped_s = time.monotonic()


@behave.then("it is not ready at once")
def step_not_ready(context):
    wait_for(lambda: "event=stopping" in context.log.read_text(), "no stopping")
    assert not is_ready(context)


@behave.then("the call is answered in full")
def step_full(context):
    context.caller.join(LIMIT_S)
    assert context.answers == [(200, b"answer to last")], context.answers


@behave.then("the process exits with 0 within 8 s")
def step_exit(context):
    assert context.process.wait(LIMIT_S) == 0, context.log.read_text()
    assert time.monotonic() - context.stopped_s < 8.0


@behave.then("every line that it wrote can be read as key=value pairs")
def step_log_lines(context):
    lines = context.log.read_text().splitlines()
    named = {events.parse_fields(line)["event"] for line in lines}
    expected = {"started", "configuration_in_force", "stopping", "stopped"}
    assert expected <= named, named
