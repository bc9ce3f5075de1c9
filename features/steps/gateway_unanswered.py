"""Steps for requests that end with their connection before they were started."""

import behave
from twisted.internet import error

from features.steps import gateway as gateway_steps

SECOND = b"attempt-2"


def send_two(world):
    """Send two requests at once, and return the endpoint's connection of the first."""
    first = world.request(body=b"call")
    second = world.request(body=b"next").replace(gateway_steps.ATTEMPT, SECOND)
    world.client.dataReceived(first + second)
    return world.accept_call()


@behave.when("a caller sends two requests at once and {end}")
def step_two(context, end):
    world = context.world
    protocol, _ = send_two(world)
    if end == "the caller closes":
        gateway_steps.lose(world.client, error.ConnectionDone())
    elif end == "the caller resets":
        gateway_steps.lose(world.client, error.ConnectionLost())
    else:
        assert end == "the first one's stream breaks", end
        event = gateway_steps.chunk(gateway_steps.event(1))
        protocol.dataReceived(gateway_steps.stream_head() + event)
        gateway_steps.reset(protocol)
        assert world.client_transport.aborted
        gateway_steps.lose(world.client, error.ConnectionAborted())


@behave.then("the log names the second request as unanswered, ended by {cause}")
def step_logged(context, cause):
    (line,) = context.log.of("request_unanswered")
    assert line == {"request": SECOND.decode(), "cause": cause}, line
    page = context.metrics.render()[0].decode()
    assert f'requests_unanswered_total{{cause="{cause}"' in page.replace(
        "cicadaplank_", ""
    ), page
