"""Steps for spreading configurations and for endpoints that leave."""

import dataclasses

import behave

from bench import fleet as fleets
from cicadaplank.messages import types
from cicadaplank.table import deltas, records, status
from cicadaplank.world import contracts
from features.steps import table as table_steps

ROW = "row-000"


def change(context, label="changed"):
    """Accept a change and note the accepted content."""
    fleet = context.fleet
    held = table_steps.current_table(fleet)
    operator = table_steps.accepted(fleet, label, fleets.change(held, label))
    context.version = operator.outcome.version
    context.configuration = fleet.service.configurations()[-1]
    return operator


def begin(context, fault):
    """Inject a fault into the processes and the links between them."""
    fleet = context.fleet
    agents = context.agents
    pollers = fleet.pollers()
    if fault.startswith("the death of every poller"):
        for name in pollers:
            fleet.kill(name)
            if "replacement" in fault:
                fleet.after(1.0, fleet.replace, name)
    elif fault.startswith("a pause of every"):
        duration_s = float(fault.split()[-2])
        for name in agents if "agent" in fault else pollers:
            fleet.pause(name, duration_s)
    elif fault == "no way from any poller to the table service":
        fleet.unplugged.update(pollers)
    elif fault == "a partition of two data centres from the platform":
        fleet.cut("dc1", fleets.PLATFORM)
        fleet.cut("dc2", fleets.PLATFORM)
    elif fault.startswith("a partition of one data centre"):
        fleet.isolate("dc2")
        fleet.after(4.0, fleet.heal)
    elif fault == "a partition between the data centres":
        for one, other in (("dc0", "dc1"), ("dc1", "dc2"), ("dc0", "dc2")):
            fleet.cut(one, other)
    elif fault == "an outage of the table service for 3 s":
        table_steps.outage(fleet, 3.0)
    elif fault.startswith("a restart of every"):
        for name in agents if "agent" in fault else context.entries:
            fleet.kill(name)
            fleet.after(0.3, fleet.replace, name)
    elif fault == "the loss of half of all messages":
        fleet.loss = 0.5
    elif fault == "clocks that differ":
        for position, name in enumerate(list(fleet.processes)):
            if position % 2:
                clock = {"clock_offset_s": 1000.0 * position, "rate": 1.005}
                fleet.kill(name)
                fleet.replace(name, **clock)
        fleet.run(5.0)
    elif fault == "a lost answer":
        fleet.service.faults = ["lost_answer"]
    else:
        assert fault in ("no fault", "a race with another operator"), fault


@behave.given("a large table deployment of {count:d} data centres")
def step_large(context, count):
    listed = fleets.instances(count, 20, 40)
    context.fleet = fleets.Fleet(listed, table_steps.SEED)
    context.fleet.start()
    agents = [i.name for i in listed if i.role == "agent"]
    table_steps.accepted(context.fleet, "first", fleets.table(2, agents))
    context.fleet.run(5.0)


@behave.given("a table deployment of {count:d} data centres with {rows:d} rows")
def step_rows(context, count, rows):
    table_steps.start_fleet(context, count, rows)


@behave.given("a second and a third version in force")
def step_versions(context):
    fleet = context.fleet
    context.snapshot = fleet.service.snapshot()
    change(context, "second")
    change(context, "third")
    assert fleet.run_until(lambda: table_steps.everywhere(fleet, 3), 8) is not None


@behave.when("a change is accepted and there is {fault}")
def step_change(context, fault):
    begin(context, fault)
    change(context)


@behave.then(
    "the accepted change is in force at every running process within {limit:g} s"
)
def step_everywhere(context, limit):
    fleet, wanted = context.fleet, context.configuration
    waited_s = fleet.run_until(
        lambda: (
            all(p.distribution.configuration == wanted for p in fleet.running())
            and len(fleet.running()) >= 9
        ),
        limit,
    )
    assert waited_s is not None, fleet.status_reports("dc0")


@behave.then("no process went back to an older version")
def step_no_revert(context):
    context.fleet.run(10.0)
    assert not context.reverts, context.reverts
    assert table_steps.everywhere(context.fleet, context.version)


def bad_message(context, kind):
    """Return a message that must change nothing."""
    first, second, third = context.fleet.service.configurations()
    forward = deltas.compute(second.table, third.table)
    later = dataclasses.replace(third, version=9, change_id="never")
    if kind == "older":
        return types.ConfigurationReply(2, "second", second.to_json())
    if kind == "repeated":
        return types.ConfigurationReply(3, "third", third.to_json())
    if kind == "of the same version with other content":
        text = dataclasses.replace(second, version=3).to_json()
        return types.ConfigurationReply(3, "third", text)
    if kind == "malformed":
        return types.ConfigurationReply(9, "never", later.to_json()[:-9])
    if kind == "a number without content":
        return types.ConfigurationReply(9, "never", "")
    base, text, version = 3, forward, 9
    digest = records.digest(later.to_json())
    if kind == "a difference to an older version":
        base, version = 1, 2
        text = deltas.compute(first.table, second.table)
        digest = records.digest(second.to_json())
    elif kind == "a difference that was sent again":
        base, version, digest = 2, 3, records.digest(third.to_json())
    elif kind == "a difference from an unknown version":
        base = 8
    elif kind == "a difference with a wrong digest":
        digest = "0" * 64
    elif kind == "a malformed difference":
        text = '{"changed":[{"name":"row-000","priority":"high"}]}'
    else:
        raise AssertionError(kind)
    return types.ConfigurationDelta(version, "never", base, digest, text)


@behave.when("a process gets a configuration that is {kind}")
def step_bad(context, kind):
    fleet = context.fleet
    context.process, peer = fleet.processes["dc0-agent-000"], "dc0-entry-001"
    message, now_s = bad_message(context, kind), context.process.clock()
    decision = context.process.distribution
    claimed = max(message.version, 3)
    context.process.carry_out(decision.version_received(peer, claimed, now_s))
    context.process.carry_out(decision.message(peer, message, now_s))
    fleet.run(3.0)


@behave.then("it still has version 3 with the accepted content")
def step_still_third(context):
    decision = context.process.distribution
    assert decision.configuration == context.configuration
    assert not context.reverts, context.reverts
    report = decision.status(context.process.clock(), "ready")
    assert (report.known_version, report.behind_s) == (3, 0.0), report


@behave.then("a further change is in force at every running process within {limit:g} s")
def step_further(context, limit):
    change(context, "fourth")
    step_everywhere(context, limit)


@behave.when("two processes are replaced during {fault}")
def step_replaced(context, fault):
    fleet = context.fleet
    if "outage" in fault:
        fleet.service.down = True
    if "restore" in fault:
        fleet.service.restore(context.snapshot)
    names = fleet.pollers()[:2]
    for name in names:
        fleet.kill(name)
    if "no peer answers" in fault:
        fleet.loss = 1.0
        if "at once" in fault:
            fleet.after(1.2, setattr, fleet, "loss", 0.0)
    context.replaced = [fleet.replace(name) for name in names]


@behave.then("the new processes are ready with version {version:d} within {limit:g} s")
def step_ready(context, version, limit):
    fleet, replaced = context.fleet, context.replaced
    assert fleet.run_until(lambda: all(p.ready_s for p in replaced), limit) is not None
    fleet.run(5.0)
    for process in replaced:
        before = [c.version for at_s, c in process.in_force if at_s <= process.ready_s]
        assert before[-1] == version, before
        assert process.distribution.version == version


@behave.then("the new processes are not ready within {limit:g} s")
def step_not_ready(context, limit):
    context.fleet.run(limit)
    for process in context.replaced:
        assert process.ready_s is None, process.ready_s
        assert process.distribution.version == 0


@behave.when("the table service loses its newest versions and {detail}")
def step_loses(context, detail):
    fleet = context.fleet
    fleet.service.restore({} if detail == "everything is lost" else context.snapshot)
    if detail.startswith("every process but one"):
        kept = {p.data_centre: p.name for p in fleet.running()}
        for name in set(fleet.processes) - set(kept.values()):
            fleet.kill(name)
            fleet.after(0.1, fleet.replace, name)
    elif detail.startswith("another version 3"):
        for label in ("other second", "other third"):
            held = table_steps.current_table(fleet)
            table_steps.accepted(fleet, label, fleets.change(held, label))
    fleet.run(10.0)


@behave.then("an alert {kind} is raised in every data centre")
def step_alert(context, kind):
    raised = {
        p.data_centre
        for p in context.fleet.processes.values()
        if kind in [alert.kind for alert in p.alerts]
    }
    assert raised == {"dc0", "dc1", "dc2"}, raised
    for process in context.fleet.processes.values():
        kinds = [alert.kind for alert in process.alerts]
        assert kinds.count(kind) <= 3, kinds


@behave.then("every process still has version 3 with the accepted content")
def step_all_third(context):
    for process in context.fleet.running():
        held = process.distribution.configuration
        assert held == context.configuration, (process.name, held.version)
    assert not context.reverts, context.reverts


@behave.when("the table service is watched for {duration:g} s during {fault}")
def step_watch(context, duration, fault):
    fleet = context.fleet
    if fault == "an outage":
        fleet.service.down = True
    elif fault == "slow answers":
        fleet.service.extra_latency_s = 3.0
    elif fault == "the death of every poller":
        kill_pollers(fleet)
    fleet.run(5.0)
    sent = sum(fleet.requests.values())
    fleet.requests.clear()
    fleet.run(duration)
    # Accepting the first table took two requests.
    context.sent = sent + sum(fleet.requests.values()) - 2
    context.rates = [count / duration for count in fleet.requests.values()]


def kill_pollers(fleet):
    """End every poller without notice."""
    for name in fleet.pollers():
        fleet.kill(name)


@behave.then("it gets at most {limit:g} requests a second in each data centre")
def step_rate(context, limit):
    assert len(context.rates) == 2, context.rates
    assert 0.5 < min(context.rates) and max(context.rates) <= limit, context.rates
    processes = [*context.fleet.processes.values(), *context.fleet.ended]
    decisions = {p.distribution for p in processes}
    counted = sum(d.reads + d.failed_reads for d in decisions)
    # Requests that are still on their way have not been counted.
    assert 0 <= context.sent - counted <= 30, (context.sent, counted)


@behave.when("every poller dies together")
def step_die(context):
    kill_pollers(context.fleet)
    context.died_s = context.fleet.now_s


@behave.then("each data centre polls again within {limit:g} s")
def step_polls(context, limit):
    fleet = context.fleet
    fleet.run(0.5)
    fleet.requests.clear()
    waited_s = fleet.run_until(lambda: len(fleet.requests) == 2, limit - 0.5)
    assert waited_s is not None, fleet.requests
    for _ in range(3):
        fleet.requests.clear()
        fleet.run(limit)
        assert len(fleet.requests) == 2, "polling stopped again"


@behave.when("one row changes")
def step_one_row(context):
    context.fleet.bytes_by_type.clear()
    change(context)
    context.fleet.run(8.0)


@behave.then("configurations take less than {limit:g} kB for each process")
def step_small(context, limit):
    sent = context.fleet.bytes_by_type
    total = sent["ConfigurationDelta"] + sent["ConfigurationReply"]
    assert total < limit * 1000 * len(context.fleet.processes), dict(sent)
    assert sent["ConfigurationDelta"], dict(sent)
    assert table_steps.everywhere(context.fleet, context.version)


@behave.when("every row changes")
def step_every_row(context):
    fleet = context.fleet
    held = table_steps.current_table(fleet)
    rows = [
        dataclasses.replace(
            row, name=f"new-{row.name}", manifest_digest=records.digest(row.name)
        )
        for row in held.rows
    ]
    fleet.bytes_by_type.clear()
    table = dataclasses.replace(held, rows=tuple(rows))
    context.version = table_steps.accepted(fleet, "all", table).outcome.version
    context.configuration = fleet.service.configurations()[-1]
    fleet.run(8.0)


@behave.then("the larger change is sent as whole configurations")
def step_whole(context):
    sent = context.fleet.bytes_by_type
    assert sent["ConfigurationReply"] and not sent["ConfigurationDelta"], dict(sent)


@behave.then("every process has the recorded content")
def step_content(context):
    for process in context.fleet.running():
        assert process.distribution.configuration == context.configuration


@behave.when("an operator asks for the status after {fault}")
def step_status(context, fault):
    fleet = context.fleet
    victim = next(p.name for p in fleet.running() if p.data_centre == "dc2")
    if fault == "a partition of dc2":
        fleet.isolate("dc2")
    elif fault == "a partition of dc2 and the platform":
        fleet.cut("dc2", fleets.PLATFORM)
    elif fault == "a pause of an instance of dc2":
        fleet.processes[victim].paused = True
    change(context)
    fleet.run(15.0)
    if fault == "a pause of an instance of dc2":
        fleet.processes[victim].paused = False
    elif fault == "the death of an instance of dc2":
        fleet.kill(victim)
    elif fault == "a new instance of dc2":
        fleet.loss = 1.0
        fleet.kill(victim)
        fleet.replace(victim)
    context.victim = victim
    reports = fleet.status_reports("dc0")
    found = status.summarise(fleet.instances.values(), reports)
    context.status = {entry.data_centre: entry for entry in found}


@behave.then("the status of dc2 shows {wanted}")
def step_status_shows(context, wanted):
    found, victim = context.status["dc2"], context.victim
    assert found.partitioned == (wanted == "a partition"), found
    assert found.reaches_table_service == (
        "no poll" not in wanted and not found.partitioned
    ), found
    if wanted.startswith("version"):
        assert found.version == int(wanted.split()[1]), found
    if "lagging" in wanted:
        (lag,) = found.lagging
        assert (lag.instance, lag.version) == (victim, 1), found
        assert 13.0 < lag.behind_s < 16.0, found
    elif wanted.endswith("not ready"):
        assert found.not_ready == (victim,), found
    else:
        assert not found.lagging and not found.not_ready, found
    unreachable = {"a partition": 6, "version 2 and an unreachable instance": 1}
    assert len(found.unreachable) == unreachable.get(wanted, 0), found
    for name in ("dc0", "dc1"):
        entry = context.status[name]
        assert (entry.version, entry.lagging, entry.unreachable) == (2, (), ()), entry


@behave.given("new work that reaches an endpoint")
def step_work(context):
    fleet = context.fleet
    # A poller would be hit by the faults of pollers itself.
    holders = table_steps.current_table(fleet).holders(ROW)
    context.endpoint = next(name for name in holders if name not in fleet.pollers())
    context.unix_offsets = {}
    context.work = fleets.NewWork(
        fleet, ROW, context.endpoint, context.entries, context.unix_offsets
    )
    fleet.run(1.0)
    assert context.work.last_s is not None


@behave.when("its row is accepted without the endpoint and there is {fault}")
def step_removed(context, fault):
    fleet = context.fleet
    begin(context, fault)
    held = table_steps.current_table(fleet)
    row = held.row(ROW)
    holders = tuple(name for name in row.holders if name != context.endpoint)
    changed = dataclasses.replace(row, holders=holders)
    rows = tuple(changed if r.name == ROW else r for r in held.rows)
    table = dataclasses.replace(held, rows=rows)
    version = fleet.service.current().version
    # The last work before the change shows that the endpoint was used until then.
    assert fleet.now_s - context.work.last_s < 6.0
    operator = fleet.accept("leave", table, version)
    if fault == "a race with another operator":
        other = table_steps.change_row(held, 1, "other")
        fleet.accept("other", other, version, "dc1")
    assert fleet.run_until(lambda: operator.outcome, 20) is not None
    if type(operator.outcome).__name__ == "Conflicted":
        operator = fleet.accept("again", table, operator.outcome.current.version)
        assert fleet.run_until(lambda: operator.outcome, 20) is not None
    context.accepted_s = operator.outcome_s
    fleet.run(20.0)


@behave.then(
    "the endpoint gets no new work later than {limit:g} s after the acceptance"
)
def step_no_work(context, limit):
    assert context.work.last_s <= context.accepted_s + limit, (
        context.work.last_s - context.accepted_s
    )


@behave.given("a leaving time in {delay:g} s that is in force everywhere")
def step_leaving(context, delay):
    fleet = context.fleet
    context.before_leaving = fleet.service.snapshot()
    context.leaving_s = fleet.now_s + delay
    held = table_steps.current_table(fleet)
    leaving = contracts.Leaving(context.endpoint, context.leaving_s)
    changed = dataclasses.replace(held.row(ROW), leaving=(leaving,))
    rows = tuple(changed if r.name == ROW else r for r in held.rows)
    table = dataclasses.replace(held, rows=rows)
    version = table_steps.accepted(fleet, "leaving", table).outcome.version
    waited_s = fleet.run_until(lambda: table_steps.everywhere(fleet, version), 8)
    assert waited_s is not None


@behave.when("the leaving time passes during {fault}")
def step_passes(context, fault):
    fleet = context.fleet
    home = fleet.processes[context.endpoint].data_centre
    if "outage" in fault:
        fleet.service.down = True
    if fault.startswith("a restart"):
        restarted = [context.endpoint] if "endpoint" in fault else context.entries
        for name in restarted:
            fleet.kill(name)
            fleet.after(0.2, fleet.replace, name)
    elif fault == "a partition of the endpoint's data centre":
        fleet.isolate(home)
    elif fault == "a partition of every data centre":
        for name in list(fleet.regions):
            fleet.isolate(name)
    elif fault.startswith("Unix clocks"):
        for position, name in enumerate(fleet.processes):
            context.unix_offsets[name] = 0.25 if position % 2 else -0.25
    elif fault == "an older table service":
        fleet.service.restore(context.before_leaving)
    assert fleet.now_s < context.leaving_s - 1.0
    fleet.run(20.0)


@behave.then(
    "the endpoint gets no new work later than {limit:g} s after the leaving time"
)
def step_no_work_after(context, limit):
    late_s = context.work.last_s - context.leaving_s
    assert -1.0 < late_s <= limit, late_s
