"""Steps for calls that a newer configuration overtakes."""

import dataclasses

import behave
from twisted.internet import error

from cicadaplank.gateway import endpoints, routes
from features.steps import gateway

OTHER_SERVICE = "other"
OTHER_HOST = "10.0.1.1"


@behave.given("a second service with an endpoint")
def step_second_service(context):
    world = context.world
    world.listed["z"] = endpoints.Endpoint(
        "z", OTHER_SERVICE, OTHER_HOST, 80, "a", 1, False, {}
    )
    world.gateway.set_endpoints(world.listed, False)


def sent_hosts(world):
    """Return the hosts that were sent the call of the scenario."""
    return [host for host, _, transport in world.sent if b"call" in transport.value()]


@behave.when("a caller's call is {phase}")
def step_phase(context, phase):
    world = context.world
    context.first_client = None
    if phase == "waiting":
        world.client.dataReceived(world.request(body=b"first"))
        world.accept()
        context.first_client = world.client
        world.connect()
    world.client.dataReceived(world.request(body=b"call"))
    context.protocol = None
    if "sent" in phase or "streaming" in phase:
        context.protocol, _ = world.accept()
    if "streaming" in phase:
        head = gateway.stream_head() + gateway.chunk(gateway.event(1))
        context.protocol.dataReceived(head)


@behave.when("nobody confirms the configuration")
def step_unconfirmed(context):
    context.world.gateway.is_current = lambda: False


@behave.when("a newer configuration {change}")
def step_configuration(context, change):
    world = context.world
    old = world.configuration
    changes = {"version": old.version + 1}
    services = {OTHER_SERVICE: routes.Service(OTHER_SERVICE, 96, False, "")}
    changes["services"] = old.services | services
    if change == "takes its key away":
        changes["accounts"] = {"key-2": routes.Account("account-2", None)}
    elif change == "drops its route":
        changes["routes"] = ()
    elif change == "moves its route to the other service":
        shares = (routes.Share(OTHER_SERVICE, 1),)
        changes["routes"] = (dataclasses.replace(old.routes[0], shares=shares),)
    elif change == "takes the weight of its service away":
        idle = [dataclasses.replace(s, weight=0.0) for s in old.routes[0].shares]
        shares = (*idle, routes.Share(OTHER_SERVICE, 1.0))
        changes["routes"] = (dataclasses.replace(old.routes[0], shares=shares),)
    else:
        assert change == "changes another key", change
        changes["accounts"] = {
            **old.accounts,
            "key-2": routes.Account("account-2", None),
        }
    world.gateway.set_configuration(dataclasses.replace(old, **changes))
    if context.protocol is not None:
        gateway.lose(context.protocol, error.ConnectionLost())
    world.run(0.1)


def proceed(world, context):
    """Let the endpoints take connections, and the first call end."""
    for _ in range(3):
        if context.first_client is not None and world.sent:
            world.sent[0][1].dataReceived(gateway.answer())
            context.first_client = None
        world.run(0.1)
        while world.has_dial:
            world.accept()


@behave.then("the call is answered {status:d} and {sending}")
def step_answered(context, status, sending):
    world = context.world
    proceed(world, context)
    sends = 0 if sending == "never sent" else 1
    assert len(sent_hosts(world)) == sends, sent_hosts(world)
    got = world.client_transport.value()
    assert gateway.status_of(got) == status, got
    assert world.gateway.open_calls == 0, world.gateway.open_calls


@behave.then("the call is broken off and not repeated")
def step_broken_off(context):
    world = context.world
    proceed(world, context)
    assert len(sent_hosts(world)) == 1, sent_hosts(world)
    assert world.client_transport.aborted


@behave.then("the call is sent to the {service} service")
def step_sent_to(context, service):
    world = context.world
    proceed(world, context)
    expected = OTHER_HOST if service == "other" else "10.0.0.1"
    assert sent_hosts(world) == [expected], sent_hosts(world)


@behave.then("the call is repeated at the other service")
def step_repeated(context):
    world = context.world
    proceed(world, context)
    hosts = sent_hosts(world)
    assert len(hosts) == 2 and hosts[0] != OTHER_HOST, hosts
    assert hosts[1] == OTHER_HOST, hosts
