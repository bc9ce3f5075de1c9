"""Steps for clients that nobody controls at the ports of an entry and of an agent."""

import socket
import threading
import time

import behave

from cicadaplank.messages import types
from features import crowds, port_crowds
from features.steps import platform_process, system_crowds

LIMIT_S = 30.0
PEER = "10.128.0.77"
ECHO = types.ReportEcho(0.0, 0.0)


def _address(context, port):
    host = platform_process.rowstore.LOOPBACK
    if port == "readiness":
        return context.ready
    if port == "metrics":
        return f"{host}:{context.metrics_port}"
    return f"{host}:{context.document['ports'][0]}"


@behave.when("{count:d} strangers each send {form} to the {port} port")
def step_crowd(context, count, form, port):
    is_over = threading.Event()
    watch = threading.Thread(
        target=system_crowds._watch_descriptors, args=(context, is_over)
    )
    watch.start()
    try:
        crowd = port_crowds.PortCrowd(_address(context, port), form, count)
        context.cleanups.append(crowd.close)
        crowd.send()
        crowds.wait_until_idle(context.process.pid)
        context.crowd = crowd
    finally:
        is_over.set()
        watch.join()


def _page(context, port, path):
    """Return status and body of a page, and try again for some time."""
    deadline_s = time.monotonic() + LIMIT_S
    answer = None
    while time.monotonic() < deadline_s:
        try:
            answer = platform_process.ask(_address(context, port), "GET", path)
        except OSError as fault:
            answer = None, str(fault)
        if answer[0] == 200:
            break
    return answer


@behave.then("its {port} page is answered while the crowd stays")
def step_page(context, port):
    path = "/v1/readyz" if port == "readiness" else "/metrics"
    status, body = _page(context, port, path)
    assert status == 200, (status, body[-500:])


@behave.then("a message of a real peer is taken when the crowd has left")
def step_peer(context):
    context.crowd.close()
    host, _, port = _address(context, "peer").rpartition(":")
    deadline_s = time.monotonic() + LIMIT_S
    while time.monotonic() < deadline_s:
        try:
            with socket.create_connection((host, int(port)), LIMIT_S) as sock:
                sock.settimeout(LIMIT_S)
                assert sock.recv(4), "closed without a hello"
                sock.sendall(port_crowds.hello(PEER) + port_crowds.framed(PEER, ECHO))
                if _has_taken_echo(context):
                    return
        except OSError:
            continue
    raise AssertionError(context.log.read_text()[-2000:])


def _has_taken_echo(context):
    _, body = _page(context, "metrics", "/metrics")
    return any(
        line.startswith(b"cicadaplank_peer_bytes_received{") and b"ReportEcho" in line
        for line in body.splitlines()
    )


@behave.then("the process still runs")
def step_runs(context):
    assert context.process.poll() is None, context.log.read_text()[-2000:]
