"""Steps for the regions in which calls may be served."""

import dataclasses

import behave

from cicadaplank.gateway import calls, endpoints, routes
from features.steps import gateway

REGIONS = {"x": "r1", "y": "r2"}
CENTRES = {"x": "a", "y": "b"}
HOSTS = {"x": "10.0.0.1", "y": "10.0.0.2"}
OTHER_SERVICE = "others"
REFUSED = gateway.answer(503, b"", signed=False, extra=b"X-Not-Executed: 1\r\n")


def listed(name, service=gateway.SERVICE, slots=1, host=None):
    return endpoints.Endpoint(
        name,
        service,
        host or HOSTS[name],
        80,
        CENTRES[name],
        slots,
        False,
        {},
        region=REGIONS[name],
    )


def regions_of(text):
    return None if text == "any" else frozenset(text.split())


def configure(world, route_regions, account_regions, shares=None):
    """Put a newer configuration with allowed regions into force."""
    held = world.configuration
    route = dataclasses.replace(held.routes[0], regions=regions_of(route_regions))
    if shares is not None:
        route = dataclasses.replace(route, shares=shares)
    account = routes.Account("account-1", None, regions_of(account_regions))
    world.configuration = dataclasses.replace(
        held,
        version=held.version + 1,
        routes=(route,),
        accounts={gateway.KEY: account},
    )
    world.gateway.set_configuration(world.configuration)


def send(world):
    """Send a call on a connection of its own, and return that."""
    world.connect()
    world.client.dataReceived(world.request(body=b"call"))
    return world.client_transport


def hosts(world):
    """Take the waiting dials, and return the hosts of all calls in order of the dial.

    Connections on which no call came are left out.
    """
    while world.has_dial:
        world.accept()
    return [host for host, _, transport in world.sent if transport.value()]


def occupy(world, names):
    """Occupy the slots of some endpoints, and return their states."""
    states = [world.gateway.endpoints.get(name) for name in names]
    for state in states:
        state.call_started()
    return states


def free(world, state):
    state.call_ended()
    world.gateway.dispatch(gateway.SERVICE)


@behave.given("endpoints in two regions and a route that {kind}")
def step_world(context, kind):
    world = context.world = gateway.World(2, kind)
    world.gateway.set_endpoints({name: listed(name) for name in HOSTS}, False)
    # The data centre of x is preferred only while both have few calls.
    context.occupied = []


@behave.when('the route allows "{route}" and the client account "{account}"')
def step_configure(context, route, account):
    configure(context.world, route, account)


@behave.when("a regional call {way}")
def step_way(context, way):
    begin(context, way)


def begin(context, way, before_end=lambda: None):
    """Play a call until the moment that a scenario names.

    :param before_end: called when the call is at x, before x ends the attempt.
    """
    world = context.world
    if way == "waits for a free slot":
        context.occupied = occupy(world, ["x", "y"])
    elif way == "waits beside a free endpoint":
        context.occupied = occupy(world, ["x"])
    context.client = send(world)
    if way in ("arrives", "is dialled at x", "waits for a free slot"):
        return
    if way == "waits beside a free endpoint":
        world.run(0.1)
        assert not world.has_dial
        free(world, context.occupied[0])
        return
    protocol, _ = world.accept()
    before_end()
    if way == "is repeated after a reset":
        gateway.reset(protocol)
    elif way == "is repeated after a refusal":
        protocol.dataReceived(REFUSED)
    elif way in ("is at a silent endpoint", "is silent at x"):
        if way == "is silent at x":
            return
    else:
        events = gateway.chunk(gateway.event(1) + gateway.event(2))
        protocol.dataReceived(gateway.stream_head() + events)
        if way == "breaks off inside its stream":
            gateway.reset(protocol)
        else:
            assert way == "falls silent inside its stream", way
            world.run(calls.STREAM_STALL_TIMEOUT_S)
    world.run(calls.MIN_RESPONSE_TIMEOUT_S + 0.3)


@behave.then("it is sent to {name}")
def step_sent(context, name):
    assert hosts(context.world)[-1:] == [HOSTS[name]], hosts(context.world)


@behave.then("it was sent to x only")
def step_only(context):
    world = context.world
    hosts(world)
    world.run(0.6)
    assert hosts(world) == [HOSTS["x"]], hosts(world)


@behave.then("it waits for y")
def step_waits(context):
    world = context.world
    assert not hosts(world)
    free(world, context.occupied[0])
    assert not hosts(world)
    free(world, context.occupied[1])
    assert hosts(world) == [HOSTS["y"]], hosts(world)


@behave.then("it is refused at once")
def step_refused(context):
    assert not hosts(context.world)
    got = context.client.value()
    assert gateway.status_of(got) == 503 and b"Retry-After" in got, got


@behave.when('two calls wait, the first for "{region}" only')
def step_before(context, region):
    world = context.world
    context.occupied = occupy(world, ["x", "y"])
    accounts = {
        gateway.KEY: routes.Account("account-1", 0, frozenset({region})),
        "key-2": routes.Account("account-2", 1),
    }
    world.configuration = dataclasses.replace(
        world.configuration, version=2, accounts=accounts
    )
    world.gateway.set_configuration(world.configuration)
    send(world)
    world.connect()
    world.client.dataReceived(world.request(body=b"second", key="key-2"))


@behave.when("the endpoint y becomes free")
def step_free(context):
    free(context.world, context.occupied[1])


@behave.then("the second call is sent to y")
def step_second(context):
    world = context.world
    assert hosts(world) == [HOSTS["y"]], hosts(world)
    assert world.sent[-1][2].value().endswith(b"second")


@behave.when('the route is shared with a service whose endpoints are in region "r2"')
def step_shared(context):
    world = context.world
    other = listed("y", OTHER_SERVICE, 100)
    world.gateway.set_endpoints({"x": listed("x", slots=100), "y": other}, False)
    services = {
        name: routes.Service(name, 960, False, "")
        for name in (gateway.SERVICE, OTHER_SERVICE)
    }
    world.configuration = dataclasses.replace(world.configuration, services=services)
    context.shares = tuple(routes.Share(name, 1) for name in services)
    configure(world, "any", "any", context.shares)


@behave.then('{count:d} calls are all sent to the service in "r1"')
def step_all_sent(context, count):
    for _ in range(count):
        send(context.world)
    assert hosts(context.world) == [HOSTS["x"]] * count, hosts(context.world)
