"""Steps for what is kept of calls that have ended."""

import gc
import weakref

import behave

from features.steps import gateway as gateway_steps


@behave.when("a call is answered on a new connection that stays open")
def step_answered(context):
    world = context.world
    world.client.dataReceived(world.request(body=b"call"))
    context.endpoint, _ = world.accept()
    (call,) = world.gateway._calls
    (attempt,) = call._attempts
    context.kept = [weakref.ref(call), weakref.ref(attempt)]
    del call, attempt
    context.endpoint.dataReceived(gateway_steps.answer())
    assert world.client_transport.value().endswith(gateway_steps.BODY)
    assert not world.gateway._calls


@behave.then("nothing of the call is kept")
def step_nothing_kept(context):
    gc.collect()
    kept = [reference() for reference in context.kept]
    assert kept == [None, None], kept
