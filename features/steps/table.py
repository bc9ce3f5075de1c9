"""Steps for accepting, planning and spreading the table."""

import dataclasses
import random

import behave

from bench import fleet as fleets
from cicadaplank.table import acceptance, plan, records
from cicadaplank.world import contracts, machines

SEED = 7
IN_FORCE_LIMIT_S = 8.0


def start_fleet(context, data_centres, rows=4, seed=SEED):
    """Start a deployment with version 1 in force and every process ready."""
    listed = fleets.instances(data_centres, 2 * data_centres, 4 * data_centres, 3)
    fleet = context.fleet = fleets.Fleet(listed, seed)
    context.agents = [i.name for i in listed if i.role == "agent"]
    context.entries = [i.name for i in listed if i.role == "entry"]
    context.highest = {}
    context.reverts = []
    fleet.observers.append(lambda *seen: watch_versions(context, *seen))
    fleet.start()
    accepted(fleet, "first", fleets.table(rows, context.agents))
    ready = fleet.run_until(lambda: all(p.ready_s for p in fleet.running()), 10)
    assert ready is not None, "the deployment did not become ready"
    fleet.run(2.0)


def watch_versions(context, process, configuration):
    """Note a process in which the version goes down."""
    before = context.highest.get(process, 0)
    if configuration.version < before:
        context.reverts.append((process.name, before, configuration.version))
    context.highest[process] = configuration.version


def accepted(fleet, change_id, table):
    """Accept a table and wait for the outcome."""
    operator = fleet.accept(change_id, table)
    assert fleet.run_until(lambda: operator.outcome, 40) is not None
    assert isinstance(operator.outcome, acceptance.Accepted), operator.outcome
    return operator


def current_table(fleet):
    """Return the table that is recorded as current."""
    return fleet.service.configurations()[-1].table


def change_row(table, position, label):
    """Return the table with another version in one row."""
    rows = list(table.rows)
    rows[position] = dataclasses.replace(
        rows[position], version=label, manifest_digest=records.digest(label)
    )
    return dataclasses.replace(table, rows=tuple(rows))


def outage(fleet, duration_s):
    """Let the table service refuse connections for a time."""
    fleet.service.down = True

    def end():
        fleet.service.down = False

    fleet.after(duration_s, end)


def inject(context, fault):
    """Inject a fault of the table service before an acceptance."""
    fleet = context.fleet
    lost = {
        "a lost answer": ["lost_answer"],
        "a lost request": ["lost_request"],
        "a transaction that takes effect late": ["late"],
        "two late transactions": ["late", "late"],
    }
    first, _, rest = fault.partition(" and an outage")
    if first in lost:
        fleet.service.faults = lost[first]
        if fault != first:
            duration_s = 60.0 if "60" in rest else 3.0
            fleet.after(0.2, outage, fleet, duration_s)
    elif fault.startswith("an outage of"):
        outage(fleet, float(fault.split()[3]))
    elif fault == "slow answers":
        fleet.service.extra_latency_s = 0.4
    elif fault.startswith("a partition of the operator"):
        fleet.cut("dc0", fleets.PLATFORM)
        fleet.after(3.0, fleet.heal)
    elif fault == "a restart of every entry instance":
        for name in context.entries:
            fleet.kill(name)
            fleet.after(0.5, fleet.replace, name)
    else:
        assert fault == "no fault", fault


def everywhere(fleet, version):
    """Tell whether every running process has at least this version in force."""
    return all(p.distribution.version >= version for p in fleet.running())


@behave.given("a table deployment of {count:d} data centres")
def step_deployment(context, count):
    start_fleet(context, count)


@behave.when("an operator accepts a change during {fault}")
def step_accept(context, fault):
    fleet = context.fleet
    inject(context, fault)
    context.proposed = fleets.change(current_table(fleet), "changed")
    context.operator = fleet.accept("change", context.proposed, base=1)
    assert fleet.run_until(lambda: context.operator.outcome, 40) is not None


@behave.then("the operator is told that it was accepted")
def step_told_accepted(context):
    assert isinstance(context.operator.outcome, acceptance.Accepted), (
        context.operator.outcome
    )


@behave.then("the operator is told that it was not accepted")
def step_told_not_accepted(context):
    assert isinstance(context.operator.outcome, acceptance.NotAccepted), (
        context.operator.outcome
    )


@behave.then("the operator is told that it may have been accepted")
def step_told_unknown(context):
    assert isinstance(context.operator.outcome, acceptance.OutcomeUnknown), (
        context.operator.outcome
    )


@behave.then("the change is recorded as exactly one version")
def step_recorded_once(context):
    context.fleet.run(4.0)
    found = context.fleet.service.configurations()
    versions = [c.version for c in found if c.change_id == "change"]
    assert versions == [context.operator.outcome.version], versions


@behave.then("the change is in force everywhere within {limit:g} s")
def step_in_force(context, limit):
    fleet = context.fleet
    version = context.operator.outcome.version
    left_s = context.operator.outcome_s + limit - fleet.now_s
    waited_s = fleet.run_until(lambda: everywhere(fleet, version), left_s)
    assert waited_s is not None, fleet.status_reports("dc0")
    for process in fleet.running():
        assert process.distribution.configuration.table == contracts.parse_table(
            contracts.to_document(context.proposed)
        )
    assert not context.reverts, context.reverts


@behave.then("repeating the same change is accepted as exactly one version")
def step_repeat(context):
    fleet = context.fleet
    fleet.run(40.0)
    before = [c.change_id for c in fleet.service.configurations()]
    if isinstance(context.operator.outcome, acceptance.NotAccepted):
        assert "change" not in before, before
    context.operator = fleet.accept("change", context.proposed, base=1)
    assert fleet.run_until(lambda: context.operator.outcome, 40) is not None
    step_told_accepted(context)
    step_recorded_once(context)


@behave.when("two operators change different rows at the same time during {fault}")
def step_race(context, fault):
    fleet = context.fleet
    inject(context, fault)
    held = current_table(fleet)
    context.operators = []
    for position in (0, 1):
        table = change_row(held, position, f"by-{position}")
        context.operators.append(
            fleet.accept(f"race-{position}", table, 1, f"dc{position}")
        )
    finished = fleet.run_until(
        lambda: all(operator.outcome for operator in context.operators), 40
    )
    assert finished is not None


@behave.then("exactly one of them is told that it was accepted")
def step_one_wins(context):
    outcomes = [operator.outcome for operator in context.operators]
    winners = [o for o in outcomes if isinstance(o, acceptance.Accepted)]
    losers = [o for o in outcomes if isinstance(o, acceptance.Conflicted)]
    assert len(winners) == len(losers) == 1, outcomes
    context.winner, context.loser = winners[0], losers[0]
    context.fleet.run(4.0)
    recorded = [c.change_id for c in context.fleet.service.configurations()]
    assert recorded == ["first", winners[0].change_id], recorded


@behave.then("the other one is shown the difference made by the winner")
def step_shown(context):
    winning_row = f"row-00{context.winner.change_id[-1]}"
    assert context.loser.theirs.row_names() == {winning_row}, context.loser
    assert len(context.loser.mine.row_names()) == 2, context.loser.mine


@behave.then("the other one's change can be accepted on top with nothing lost")
def step_on_top(context):
    fleet = context.fleet
    position = 1 - int(context.winner.change_id[-1])
    merged = change_row(context.loser.current.table, position, f"by-{position}")
    context.proposed = merged
    context.operator = fleet.accept("again", merged, context.loser.current.version)
    assert fleet.run_until(lambda: context.operator.outcome, 40) is not None
    step_told_accepted(context)
    step_in_force(context, IN_FORCE_LIMIT_S)
    versions = {row.version for row in current_table(fleet).rows}
    assert {"by-0", "by-1"} <= versions, versions


@behave.when("an operator accepts two changes and rolls the last one back")
def step_rollback(context):
    fleet = context.fleet
    for label in ("second", "third"):
        accepted(fleet, label, fleets.change(current_table(fleet), label))
    read = fleet.service.read(acceptance.history_keys(3))
    old = acceptance.parse_history(read)[1]
    decision = acceptance.rollback("back", 3, old, random.Random(SEED))
    context.operator = fleets.Operator(fleet, "dc0", decision)
    context.operator.start()
    assert fleet.run_until(lambda: context.operator.outcome, 10) is not None


@behave.then(
    "the history shows {count:d} versions and the newest has the content of "
    "version {old:d}"
)
def step_history(context, count, old):
    read = context.fleet.service.read(acceptance.history_keys(count))
    history = acceptance.parse_history(read)
    assert [c.version for c in history] == list(range(count, 0, -1)), history
    assert history[0].table == history[count - old].table
    assert history[0].table != history[1].table


@behave.then("the newest version is in force everywhere within {limit:g} s")
def step_newest(context, limit):
    fleet = context.fleet
    version = fleet.service.current().version
    assert fleet.run_until(lambda: everywhere(fleet, version), limit) is not None
    assert not context.reverts, context.reverts


@behave.when("an operator accepts a table with {damage}")
def step_bad_table(context, damage):
    held = current_table(context.fleet)
    row = held.rows[0]
    if damage == "an unknown half":
        row = dataclasses.replace(row, holders=("half:nowhere",))
    elif damage == "a row without digest":
        row = dataclasses.replace(row, manifest_digest="")
    else:
        limit = contracts.ClientLimit("x" * 200, 1.0)
        names = [limit.client + str(position) for position in range(12_000)]
        limits = [dataclasses.replace(limit, client=name) for name in names]
        row = dataclasses.replace(row, limits=tuple(limits))
    table = dataclasses.replace(held, rows=(row, *held.rows[1:]))
    context.operator = context.fleet.accept("bad", table, base=1)
    context.fleet.run(1.0)


@behave.then("the operator is told that it was not accepted because of {reason}")
def step_told_why(context, reason):
    step_told_not_accepted(context)
    assert reason in context.operator.outcome.reason, context.operator.outcome


@behave.then("the table service still has version {version:d}")
def step_still(context, version):
    context.fleet.run(4.0)
    assert context.fleet.service.current().version == version


@behave.when(
    "the table service is restored to version {old:d} after version {new:d} was in "
    "force"
)
def step_restore(context, old, new):
    fleet = context.fleet
    for version in range(2, new + 1):
        if version == old + 1:
            context.snapshot = fleet.service.snapshot()
        accepted(
            fleet, f"v{version}", fleets.change(current_table(fleet), str(version))
        )
    assert fleet.run_until(lambda: everywhere(fleet, new), IN_FORCE_LIMIT_S)
    context.proposed = current_table(fleet)
    fleet.service.restore(context.snapshot)
    fleet.run(3.0)


@behave.when("an operator accepts a change that was planned against version {base:d}")
def step_accept_on(context, base):
    fleet = context.fleet
    known = fleet.running()[0].distribution.configuration
    context.proposed = fleets.change(known.table, "after restore")
    context.operator = fleet.accept("change", context.proposed, base, known=known)
    assert fleet.run_until(lambda: context.operator.outcome, 40) is not None


@behave.then("the recorded versions include {version:d}")
def step_include(context, version):
    found = [c.version for c in context.fleet.service.configurations()]
    assert version in found, found
    assert len(found) == len(set(found)), found


def planned_row(name, **values):
    """Return a valid row with one holder."""
    first = contracts.Row(
        name,
        "model",
        "1",
        "d" * 64,
        100,
        holders=("one",),
        limits=(contracts.ClientLimit("*", 5.0),),
    )
    return dataclasses.replace(first, **values)


@behave.given("a planned table with {fault}")
def step_planned(context, fault):
    row = planned_row("kept")
    old = contracts.Table((row, planned_row("old")))
    rows = {
        "a row without holders": planned_row("kept", holders=()),
        "a holder that is not listed": planned_row("kept", holders=("one", "nobody")),
        "a leaving time for every holder": planned_row(
            "kept", leaving=(contracts.Leaving("one", 5.0),)
        ),
        "more weights than memory": planned_row("kept", size_bytes=1001),
        "limits above what its holders can do": planned_row(
            "kept", limits=(contracts.ClientLimit("a", 6.0), *row.limits)
        ),
    }
    new = contracts.Table((rows.get(fault, row),))
    if fault.startswith("an adapter"):
        adapter = planned_row("adapter", kind="adapter", base="kept", holders=("two",))
        new = contracts.Table((row, adapter))
    elif fault.startswith("a new row"):
        limits = (*row.limits, contracts.ClientLimit("a", 1.0))
        kept = dataclasses.replace(row, limits=limits)
        new = contracts.Table((kept, planned_row("new")), (("south", ("one",)),))
    listed = [
        machines.Instance(name, "agent", "127.0.0.1", 1, "r", "d")
        for name in ("one", "two")
    ]
    capacities = [plan.Capacity(name, 1000, 10.0) for name in ("one", "two")]
    context.plan = plan.plan(old, new, listed, capacities)


@behave.then("the plan warns of {kind}")
def step_warns(context, kind):
    found = {warning.kind.value for warning in context.plan.warnings}
    assert found == (set() if kind == "nothing" else {kind}), context.plan.warnings


@behave.then("the plan shows these lines")
def step_lines(context):
    lines = context.plan.difference.lines()
    wanted = [row["line"] for row in context.table]
    assert len(lines) == len(wanted), lines
    for line, start in zip(lines, wanted, strict=True):
        assert line.startswith(start), (line, start)
