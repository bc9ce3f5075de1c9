"""Steps for the planned stop of an entry process."""

import types

import behave
from twisted.internet import testing

from cicadaplank.gateway import gateway, process
from cicadaplank.platform import headers
from cicadaplank.world import machines

BOUNDS = gateway.Bounds(0.2, 100, 10, 8.0)


class Port:
    """Listening port that tells whether it still listens."""

    is_open = True

    def stopListening(self):
        """Stop listening."""
        self.is_open = False


@behave.given("an entry process with a call in progress")
def step_process(context):
    address = process.Address("127.0.0.1", 1)
    settings = process.Settings(
        name="edge-1",
        region="r",
        data_centre="a",
        front=address,
        ready=address,
        ready_path="/ready",
        peer=address,
        metrics=address,
        seeds=(),
        bounds=BOUNDS,
        grace_s=8,
    )
    meaning = types.SimpleNamespace(operator_table="op", endpoint_table="servers")
    context.reactor = testing.MemoryReactorClock()
    context.process = process.EntryProcess(
        context.reactor, settings, None, meaning, None, headers.PlatformDialect(), None
    )
    context.port = context.process._front = Port()
    context.call = object()
    context.process.gateway._calls[context.call] = None
    context.process.gateway.draining.offered(context.call, context.reactor.seconds())


@behave.when("it gets the stop signal")
def step_signal(context):
    context.process.stop()


@behave.when("44 other instances are registered and none of them reports")
def step_registered(context):
    names = [f"10.0.0.{number}" for number in range(2, 46)]
    context.process.peers.add_instances(
        machines.Instance(name, "entry", name, 1, "r", "a") for name in names
    )
    # The list of instances has been read.
    context.process._registry_reads.finished()
    context.process.gateway._calls.clear()
    context.process.gateway.budget("s")
    context.process._tick()


@behave.then("its part of the common repeats is one of 45")
def step_part(context):
    assert context.process.gateway.budget("s").members == 45


@behave.when("1000 instances report a call, and their connections end")
def step_peers_end(context):
    for number in range(1000):
        name = f"10.0.{number // 250}.{number % 250}"
        context.process.gateway.set_peer_loads(name, {"e": 1})
        hello = types.SimpleNamespace(role="entry")
        connection = types.SimpleNamespace(peer=name, hello=hello)
        context.process.connection_lost(connection)


@behave.then("it keeps no report of them")
def step_no_reports(context):
    assert not context.process.gateway._peer_loads


@behave.then("it is not ready, and takes connections for 3 s and none after that")
def step_connections(context):
    assert not context.process.is_ready
    context.reactor.advance(2.9)
    assert context.port.is_open
    context.reactor.advance(0.2)
    assert not context.port.is_open


@behave.then("it goes on until the call has ended")
def step_goes_on(context):
    context.reactor.pump([0.1] * 20)
    assert not context.reactor.hasStopped
    context.process.gateway._calls.clear()
    context.process.gateway.draining.finished(context.call)
    context.reactor.pump([0.1] * 4)
    assert context.reactor.hasStopped
