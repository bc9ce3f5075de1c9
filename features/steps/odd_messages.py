"""Steps for messages of peers with odd values."""

import dataclasses
import json
import struct

import behave
from twisted.internet import testing

from cicadaplank.links import streams
from cicadaplank.messages import codec, types
from features import entries

PEER = "10.0.0.9"
REPORT = types.GatewayReport({"x": 1}, {"op": [0, 1]}, 0.1, {"m": [[2, 1.0]]}, 0.5, 1.0)


def send(context, message):
    frame = codec.encode(codec.Envelope(PEER, 0, message))
    context.connection.dataReceived(struct.pack("!I", len(frame)) + frame)


@behave.given("an entry process that is connected to a peer")
def step_connected(context):
    context.clock = testing.MemoryReactorClock()
    context.entry = entries.Entry(context.clock, "10.0.0.1")
    hub = context.entry.process.peers._hub = context.entry.process.hub
    context.connection = streams.PeerConnection(hub)
    transport = testing.StringTransport()
    transport.setTcpNoDelay = lambda enabled: None
    transport.abortConnection = transport.loseConnection
    context.connection.makeConnection(transport)
    send(context, types.Hello("entry", "r", "a", 0))


@behave.when("the peer sends a report with {field} as {value}, and then a good one")
def step_odd_report(context, field, value):
    send(context, dataclasses.replace(REPORT, **{field: json.loads(value)}))
    context.clock.advance(0.2)
    context.entry.process.peers.store_age_s(context.clock.seconds())
    send(context, REPORT)


@behave.when("the peer sends a message that raises an error, and then a good report")
def step_raising(context):
    gateway = context.entry.process.gateway
    merge = gateway.merge_crash
    gateway.merge_crash = None
    send(context, types.CrashReport("x", 1.0, [], []))
    gateway.merge_crash = merge
    send(context, REPORT)


@behave.then("the good one is taken, and the connection and the process go on")
def step_go_on(context):
    process = context.entry.process
    assert not context.connection.transport.disconnecting
    assert process.peers._reports[PEER][0] == REPORT
    context.clock.advance(0.2)
    age_s = process.peers.store_age_s(context.clock.seconds())
    assert 0.0 <= age_s < 10.0, age_s


@behave.then("the error is logged with the end of its traceback and counted")
def step_error_logged(context):
    (line,) = context.entry.log.of("message_failed")
    assert line["message"] == "CrashReport", line
    assert "TypeError" in line["detail"], line
    assert context.entry.process.hub.counters["messages_failed"] == 1
