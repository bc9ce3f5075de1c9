"""Steps for the load command."""

import behave

from cicadaplank.weights import (
    activation,
)

TOKEN = 7


class Engine:
    """Activation under test with the actions that it returned."""

    def __init__(self):
        self.machine = activation.Activation("model")
        self.now_s = 0.0
        self.actions = []

    def call(self, method, *args):
        """Call an event method with the current time."""
        self.actions += getattr(self.machine, method)(*args, self.now_s)

    def work(self, method, digest):
        """Call a method about a request in progress."""
        self.actions += getattr(self.machine, method)(digest)

    def wait(self, duration_s):
        """Let time pass, in steps of 0.1 s."""
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += 0.1
            self.call("tick")

    def of(self, kind):
        """Return the actions of a kind."""
        return [action for action in self.actions if isinstance(action, kind)]

    def prepare(self):
        """Want a version, have its chunks and the lease."""
        self.call("version_wanted", "d1", True)
        self.call("lease_changed", TOKEN)

    def load(self):
        """Go on until the load command is sent."""
        self.prepare()
        self.call("engine_reported", "", False)

    def make_ready(self):
        """Go on until the engine reported the wanted version."""
        self.load()
        self.call("command_accepted", TOKEN)
        self.call("engine_reported", "d1", False)
        assert self.machine.serving == "d1"


@behave.given("an activation that lacks {lacking}")
def step_lacking(context, lacking):
    context.engine = Engine()
    if lacking != "a wanted row":
        context.engine.call("version_wanted", "d1", lacking != "the chunks")
    if lacking != "the lease":
        context.engine.call("lease_changed", TOKEN)


@behave.given("an activation that has sent its load command")
def step_sent(context):
    context.engine = Engine()
    context.engine.load()
    (command,) = context.engine.of(activation.SendLoad)
    assert command == activation.SendLoad("model", "d1", TOKEN)


@behave.given("an activation that is ready")
def step_is_ready(context):
    context.engine = Engine()
    context.engine.make_ready()


@behave.given("an activation with everything but the engine's report")
def step_unreported(context):
    context.engine = Engine()
    context.engine.prepare()


@behave.when(
    "the activation gets {duration:d} s of time and reports of an empty engine"
)
def step_time_reports(context, duration):
    context.engine.actions.clear()
    for _ in range(duration):
        context.engine.wait(1)
        context.engine.call("engine_reported", "", False)


@behave.when("the activation gets {duration:d} s of time")
def step_time(context, duration):
    context.engine.actions.clear()
    context.engine.wait(duration)


@behave.when("the activation hears {event}")
def step_hears(context, event):
    engine = context.engine
    engine.actions.clear()
    if event == "that the engine refused the command":
        engine.call("command_failed", TOKEN)
    elif event in ("that the engine crashed while loading", "that the engine crashed"):
        engine.call("engine_crashed")
    elif event == "another digest after the command":
        engine.call("command_accepted", TOKEN)
        engine.call("engine_reported", "d0", False)
    elif event == "no digest after the command":
        engine.call("command_accepted", TOKEN)
        engine.call("engine_reported", "", False)
    elif event == "nothing for 700 s":
        engine.wait(700)
    elif event == "that the engine still loads for 700 s":
        engine.call("command_accepted", TOKEN)
        for _ in range(70):
            engine.wait(10)
            engine.call("engine_reported", "d1", True)
    elif event == "another digest on a check":
        engine.wait(6)
        engine.call("engine_reported", "d0", False)
    elif event == "the wanted digest":
        engine.call("engine_reported", "d1", False)


@behave.then("the activation sent no load command")
def step_no_command(context):
    assert not context.engine.of(activation.SendLoad)


@behave.then("the activation is not ready")
def step_not_ready(context):
    engine = context.engine
    assert engine.machine.serving == "", engine.machine.serving
    assert engine.machine.state != "ready"
    changes = engine.of(activation.ReadinessChanged)
    assert not changes or changes[-1].manifest_digest == "", changes


@behave.then("the activation repeats the load command later")
def step_repeats(context):
    engine = context.engine
    engine.actions.clear()
    for _ in range(20):
        engine.wait(0.5)
        if engine.machine.state == "inspecting":
            engine.call("engine_reported", "", False)
    assert engine.of(activation.SendLoad), engine.machine.state
    engine.call("command_accepted", TOKEN)
    engine.call("engine_reported", "d1", False)
    assert engine.machine.serving == "d1"


@behave.then("the activation has read back the engine")
def step_read_back(context):
    assert context.engine.of(activation.ReadEngine)


@behave.when("the activation enters the phase in which {phase}")
def step_phase(context, phase):
    engine = context.engine
    if phase == "the lease is lost":
        engine.call("lease_changed", None)
    elif phase == "chunks of a new version are missing":
        engine.call("version_wanted", "d2", False)
    else:
        engine.call("version_wanted", "d2", True)
        engine.call("engine_reported", "d1", False)
        if phase == "a load command failed":
            engine.call("command_failed", TOKEN)
            engine.now_s = engine.machine.wake_s
            engine.call("tick")
            engine.call("command_failed", TOKEN)
    assert engine.machine.serving == "d1"


@behave.then("the activation reads the engine within {limit:d} s")
def step_reads_within(context, limit):
    context.engine.actions.clear()
    context.engine.wait(limit)
    assert context.engine.of(activation.ReadEngine), context.engine.machine.state


@behave.then("the activation stops being ready when another digest is reported")
def step_other_digest(context):
    engine = context.engine
    engine.call("engine_reported", "d0", False)
    assert engine.machine.serving == "", engine.machine.state
    changes = engine.of(activation.ReadinessChanged)
    assert changes[-1] == activation.ReadinessChanged("model", ""), changes


@behave.when("the activation gets a new lease")
def step_new_lease(context):
    engine = context.engine
    engine.call("lease_changed", None)
    engine.actions.clear()
    engine.call("lease_changed", TOKEN + 1)


@behave.then("the activation reads the engine before it sends a command again")
def step_reads_first(context):
    engine = context.engine
    assert engine.of(activation.ReadEngine) and not engine.of(activation.SendLoad)
    engine.call("engine_reported", "", False)
    assert engine.of(activation.SendLoad)[-1].fencing_token == TOKEN + 1


@behave.then("the activation ignores the old answers")
def step_old_answers(context):
    engine = context.engine
    for answer in ("command_accepted", "command_failed"):
        engine.call(answer, TOKEN)
        assert engine.machine.state == "loading", (answer, engine.machine.state)


@behave.then("the activation is ready and sent no load command")
def step_ready_unsent(context):
    assert context.engine.machine.serving == "d1"
    assert context.engine.machine.state == "ready"
    step_no_command(context)


@behave.given("the activation has {count:d} requests in progress on it")
def step_work(context, count):
    for _ in range(count):
        context.engine.work("work_started", "d1")


@behave.when("the activation is switched to a new version")
def step_switch(context):
    engine = context.engine
    engine.call("version_wanted", "d2", True)
    assert engine.machine.serving == "d1", "new requests lost the old version early"
    engine.call("engine_reported", "d1", False)
    engine.call("command_accepted", TOKEN)
    engine.call("engine_reported", "d2", False)
    assert engine.machine.serving == "d2"


@behave.then(
    "the old version of the activation is dropped only after both requests ended"
)
def step_dropped_after(context):
    engine = context.engine
    for remaining in (1, 0):
        assert not engine.of(activation.SendUnload), remaining
        engine.work("work_ended", "d1")
    unload = engine.of(activation.SendUnload)
    assert unload == [activation.SendUnload("model", "d1", TOKEN)], unload


@behave.when("the activation is told of a new version in the middle of it")
def step_new_version(context):
    context.engine.call("version_wanted", "d2", False)


@behave.then("the activation is not ready after the old version was reported")
def step_old_reported(context):
    engine = context.engine
    engine.call("command_accepted", TOKEN)
    engine.call("engine_reported", "d1", False)
    step_not_ready(context)


@behave.then("the activation loads the new version once its chunks are complete")
def step_loads_new(context):
    engine = context.engine
    engine.actions.clear()
    engine.call("chunks_complete", "d1")
    assert engine.machine.state == "incomplete", engine.machine.state
    engine.call("chunks_complete", "d2")
    engine.call("engine_reported", "d1", False)
    commands = engine.of(activation.SendLoad)
    assert [command.manifest_digest for command in commands] == ["d2"], commands


@behave.when("the activation fails {count:d} times")
def step_fails(context, count):
    engine = context.engine
    context.waits_s = []
    for _ in range(count):
        engine.call("command_failed", TOKEN)
        context.waits_s.append(engine.machine.wake_s - engine.now_s)
        engine.now_s = engine.machine.wake_s
        engine.call("tick")
        engine.call("engine_reported", "", False)


@behave.then("the activation waited longer each time up to its limit")
def step_spaced(context):
    waits_s = context.waits_s
    assert waits_s == sorted(waits_s) and waits_s[0] < waits_s[1], waits_s
    assert waits_s[-1] == activation.MAX_BACK_OFF_S, waits_s
