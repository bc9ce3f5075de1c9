"""Steps for requests that were sent ahead on a connection of a stopping process."""

import behave

from features.steps import gateway as gateway_steps
from features.steps import gateway_grace

SHORT_WORK_S = 1.0


@behave.when(
    "it is stopped, and {after_s:g} s later two requests come {behind}, the first for "
    "{work_s:g} s"
)
def step_two(context, after_s, behind, work_s):
    world = context.world
    world.stop()
    world.run_until(after_s)
    data = world.request(body=b"call")
    if behind == "together":
        world.client.dataReceived(data + data)
    else:
        world.client.dataReceived(data)
        world.run_until(after_s + 0.1)
        world.client.dataReceived(data)
    refused = world.client_transport.value().count(b" 503 ")
    for duration_s in (work_s, SHORT_WORK_S)[refused:]:
        world.run(gateway_steps.STEP_S)
        if world.has_call:
            world.work(duration_s)
    world.run_until(gateway_grace.GRACE_S)


@behave.then("each of the two has a whole answer or a refusal")
def step_both(context):
    got = context.world.client_transport.value()
    whole = got.count(gateway_steps.BODY) + got.count(b"0\r\n\r\n")
    refused = got.count(b" 503 ")
    assert whole + refused == 2, got
    assert not context.world.client_transport.aborted
