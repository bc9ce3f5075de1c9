"""Steps for evacuated data centres."""

import behave
from twisted.internet import testing

from features import entries
from features.steps import gateway, gateway_homes


@behave.when('the data centres "{names}" are evacuated')
def step_evacuated(context, names):
    evacuated = frozenset() if names == "none" else frozenset(names.split())
    context.world.gateway.set_evacuated(evacuated)


def evacuate(context):
    context.world.gateway.set_evacuated(frozenset({"a"}))


@behave.when('"a" is evacuated while a call {way}')
def step_evacuate_way(context, way):
    world = context.world
    if way == "arrives":
        evacuate(context)
        gateway_homes.begin(context, "arrives")
    elif way in ("is dialled at x", "waits for a free slot"):
        gateway_homes.begin(context, way)
        evacuate(context)
    else:
        gateway_homes.begin(context, way, before_end=lambda: evacuate(context))
    world.run(gateway.STEP_S)


@behave.given('an entry process that has read an evacuation of "{name}"')
def step_process(context, name):
    context.entry = entries.Entry(testing.MemoryReactorClock(), "10.0.0.1")
    read(context, {name})
    assert context.entry.process.gateway.evacuated == {name}


def read(context, names):
    context.entry.evacuated = frozenset(names)
    context.entry.process._operator_changed({"evacuations"})


@behave.when("the row of the evacuation {event}")
def step_row(context, event):
    process = context.entry.process
    if event == "is written for another data centre too":
        read(context, {"b", "c"})
        return
    if "restored" in event:
        process.operator.availability.record_restore(process.reactor.seconds())
    read(context, set())
    if "5.0 s ago" in event:
        process.reactor.advance(5.0)


@behave.then("evacuated is: {evacuated}")
def step_in_force(context, evacuated):
    wanted = set() if evacuated == "nothing" else set(evacuated.split(", "))
    found = context.entry.process.gateway.evacuated
    assert found == wanted, found
