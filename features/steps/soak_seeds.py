"""Steps that play seeds of the soak."""

import behave

from soak import __main__ as soak_command
from soak import fleet


@behave.when("the soak plays seed {seed:d} with {faults:d} faults in {length_s:d} s")
def step_play(context, seed, faults, length_s):
    arguments = soak_command.regressions().get(seed, soak_command.FAULTS)
    context.outcome = fleet.play(seed, length_s, faults, **arguments)


@behave.when("the soak plays the planned work of seed {seed:d} in {length_s:d} s")
def step_play_planned(context, seed, length_s):
    context.outcome = fleet.play(seed, length_s, 0, **soak_command.PLANNED_ONLY)


@behave.then("nothing that must hold was violated in at least {count:d} requests")
def step_violations(context, count):
    outcome = context.outcome
    assert not outcome.violations, "\n".join(outcome.violations[:10])
    assert outcome.requests >= count, outcome.requests
