"""Steps for instances that stop serving, as their configuration may be too old."""

import dataclasses
import re

import behave
from twisted.internet import task

from cicadaplank.gateway import admittance, staleness
from features import entries
from features.steps import gateway, gateway_hops

STEP_S = 0.05


class Driven:
    """A guard and what its instance would know at each time.

    :param in_force_s: seconds within which a configuration has to be in force.
    """

    def __init__(self, in_force_s):
        self.guard = staleness.StaleGuard(in_force_s, 0.0)
        self.now_s = 0.0
        self.confirmed_s = 0.0
        self.is_behind = False
        self.spans = []

    def update(self):
        """Decide, and note the spans in which the instance has stopped."""
        self.guard.update(self.now_s, self.now_s - self.confirmed_s, self.is_behind)
        if bool(self.guard.reason) != bool(self.spans and len(self.spans[-1]) == 1):
            if self.guard.reason:
                self.spans.append([self.now_s])
            else:
                self.spans[-1].append(self.now_s)

    def run(self, duration_s, is_confirmed=False):
        """Let time pass."""
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            if is_confirmed:
                self.confirmed_s = self.now_s
            self.update()

    def freeze(self, duration_s):
        """Let time pass without updates."""
        self.now_s += duration_s
        self.update()


@behave.given(
    "an instance whose configuration has to be in force within {in_force_s:f} s"
)
def step_guard(context, in_force_s):
    context.driven = Driven(in_force_s)
    context.driven.run(2.0, is_confirmed=True)


def arrive(driven):
    """Let newer records be known of, and arrive 0.3 s later."""
    driven.is_behind = True
    driven.run(0.3)
    driven.is_behind = False
    driven.run(0.05, is_confirmed=True)


@behave.when("{situation} happens to it")
def step_situation(context, situation):
    driven = context.driven
    context.began_s = driven.now_s
    if "freeze" in situation:
        driven.freeze(5.0)
        context.began_s = driven.now_s
        if "confirmation" in situation:
            driven.run(0.05)
            driven.run(0.05, is_confirmed=True)
        driven.is_behind = "newer records" in situation
        driven.run(6.0)
    elif "event loop" in situation:
        for _ in range(10):
            driven.freeze(0.8)
            driven.run(0.2, is_confirmed=True)
    elif "do not arrive" in situation:
        driven.is_behind = True
        driven.run(6.0)
    elif "again and again" in situation:
        for _ in range(20):
            arrive(driven)
    else:
        driven.run(6.0)
        if "returns" in situation:
            arrive(driven)
            driven.run(2.0, is_confirmed=True)


@behave.then("it goes on serving")
def step_serves(context):
    assert not context.driven.spans, context.driven.spans


@behave.then("it stops after {least_s:f} to {most_s:f} s")
def step_stops_after(context, least_s, most_s):
    (span,) = context.driven.spans
    after_s = span[0] - context.began_s
    assert least_s <= after_s <= most_s, after_s
    assert len(span) == 1, span


@behave.then("it stops and serves again in {within_s:f} s")
def step_serves_again(context, within_s):
    ((from_s, until_s),) = context.driven.spans
    assert from_s == context.began_s, (from_s, context.began_s)
    assert until_s - from_s <= within_s + 0.01, until_s - from_s


@behave.then("it stops and does not serve again")
def step_stays(context):
    (span,) = context.driven.spans
    assert span == [context.began_s], span


def lose_all_news(world):
    """Write a change while one instance gets neither answers nor records."""
    world.entry("b-00").client.failed_dials = 1000
    world.entry("b-00").client.lost_answers = 1000
    world.no_records_to = "b-00"
    world.store.write()


def cut_off(world):
    """Cut a data centre off from the store and the others, and write a change."""
    for entry in world.entries:
        if entry.data_centre == "a":
            entry.client.failed_dials = entry.client.lost_answers = 1000
    world.cut = "a"
    world.run(0.2)
    world.store.write()


OWN_TROUBLES = {
    "one instance gets neither answers nor records": lose_all_news,
    "a data centre is cut off while a change is written": cut_off,
}


@behave.when("they go through: {trouble}")
def step_troubles(context, trouble):
    found = OWN_TROUBLES.get(trouble) or gateway_hops.TROUBLES[trouble]
    context.stopped = set()
    for seed in range(3):
        world = gateway_hops.World(context.layout, seed)
        world.run(gateway_hops.SETTLED_S + world.rng.random())
        # Guards that stopped while instances start are of no interest.
        for entry in world.entries:
            entry.has_stopped = False
        found(world)
        world.run(4.0)
        context.stopped |= {e.name for e in world.entries if e.has_stopped}


@behave.then("{names} stop serving")
def step_stopped(context, names):
    expected = set() if names == "none" else set(re.split(", ?", names))
    assert context.stopped == expected, context.stopped


@behave.when("the instance stops serving")
def step_stop(context):
    context.world.gateway.stop_reason = lambda: staleness.MISSING
    context.world.gateway.check_calls()
    protocol = getattr(context, "protocol", None)
    if protocol is not None:
        protocol.dataReceived(gateway.answer())


@behave.then("it has stopped serving for now and is not ready")
def step_frozen_stopped(context):
    process = context.process
    assert process.gateway.stop_reason() == staleness.WOKEN
    assert not process.is_ready


@behave.when("it is frozen for {duration_s:d} s")
def step_frozen(context, duration_s):
    context.process.gateway._calls.clear()
    context.process._tick()
    assert not context.process.gateway.stop_reason()
    context.reactor.rightNow += duration_s


@behave.given(
    "an entry process whose configuration has to be in force within {in_force_s:f} s"
)
def step_process(context, in_force_s):
    context.clock = task.Clock()
    context.entry = entries.Entry(context.clock, "10.0.0.1")
    process = context.entry.process
    process._settings_changed(
        dataclasses.replace(process.settings, in_force_s=in_force_s)
    )


@behave.when("the store has last answered {age_s:f} s ago")
def step_last_answer(context, age_s):
    context.entry.hear_store()
    for _ in range(round(age_s / STEP_S)):
        context.clock.advance(STEP_S)


@behave.then("a request that its configuration denies is {answer}")
def step_denied(context, answer):
    expected = {"denied": 404, "told that it has not run": 503}[answer]
    denied = admittance.Denied(404, admittance.NO_ROUTE)
    found = context.entry.process.gateway._if_current(denied).status
    assert found == expected, f"{found}, expected {expected}"
