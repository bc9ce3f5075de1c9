"""Steps that play seeds of the soak."""

import behave

from soak import __main__ as soak_command
from soak import fleet


@behave.when("the soak plays seed {seed:d} with {faults:d} faults in {length_s:d} s")
def step_play(context, seed, faults, length_s):
    arguments = soak_command.regressions().get(seed, soak_command.ALL_EVENTS)
    context.outcome = fleet.play(seed, length_s, faults, **arguments)


@behave.then("nothing that must hold was violated in at least {count:d} requests")
def step_violations(context, count):
    outcome = context.outcome
    assert not outcome.violations, "\n".join(outcome.violations[:10])
    assert outcome.requests >= count, outcome.requests
