"""Steps for membership."""

import behave

from bench import fleet as fleets
from cicadaplank.messages import types

SEED = 5
# TCP and IP headers of a message's segment and of its acknowledgement.
HEADER_BYTES = 2 * 52


def states(context, name, data_centre=None):
    """Return how each running process sees an instance."""
    found = {}
    for process in context.fleet.running():
        if process.name == name:
            continue
        if data_centre in (None, process.data_centre):
            views = {m.instance.name: m for m in process.membership.view.members}
            found[process.name] = views.get(name)
    return found


def all_see(context, name, state, data_centre=None):
    """Tell whether every running process sees an instance in a state."""
    return all(
        view is not None and view.state == state
        for view in states(context, name, data_centre).values()
    )


def all_usable(context, name):
    """Tell whether every running process sees an instance as usable."""
    found = states(context, name).values()
    return all(view is not None and view.usable for view in found)


@behave.given(
    "a member deployment of {zones:d} data centres with {count:d} instances each"
)
def step_deployment(context, zones, count):
    listed = fleets.instances(zones, zones, zones * (count - 1))
    fleet = context.fleet = fleets.Fleet(listed, SEED, list_lag_s=30.0)
    fleet.start()
    fleet.run(5.0)
    context.name = "dc0-agent-001"
    context.process = fleet.processes[context.name]


def others(context, count):
    """Return some other instances of the data centre of the one concerned."""
    names = [p.name for p in context.fleet.running() if p.data_centre == "dc0"]
    names.remove(context.name)
    return names[:count]


def inject(context, fault):
    """Inject a fault around the instance concerned."""
    fleet = context.fleet
    if fault.startswith("the death of"):
        for name in others(context, 7):
            fleet.kill(name)
    elif fault.startswith("a pause of"):
        for name in others(context, 5):
            fleet.pause(name, 4.0)
    elif fault == "a partition from the platform":
        fleet.cut("dc0", fleets.PLATFORM)
    elif fault == "a partition between the data centres":
        fleet.cut("dc0", "dc1")
    elif fault == "an outage of the table service":
        fleet.service.down = True
    elif fault == "clocks that differ":
        for position, name in enumerate(others(context, 20)):
            fleet.kill(name)
            fleet.replace(name, clock_offset_s=977.0 * position, rate=1.005)
        fleet.run(5.0)
    else:
        assert fault in ("no fault", "an exit right after it"), fault


@behave.when("an instance dies during {fault}")
def step_dies(context, fault):
    inject(context, fault)
    context.fleet.kill(context.name)


@behave.then(
    "every running instance of its data centre holds it as gone within {limit:g} s"
)
def step_gone(context, limit):
    fleet = context.fleet
    waited_s = fleet.run_until(
        lambda: all_see(context, context.name, "gone", "dc0"), limit
    )
    assert waited_s is not None, states(context, context.name, "dc0")


@behave.then("the platform's list still has it")
def step_listed(context):
    names = [entry.instance.name for entry in context.fleet.listed]
    assert context.name in names


@behave.then("no running instance is held as gone")
def step_none_gone(context):
    context.fleet.run(6.0)
    for process in context.fleet.running():
        found = states(context, process.name)
        gone = [name for name, view in found.items() if not view.usable]
        assert not gone, (process.name, gone)


@behave.when("an instance is paused for {pause:g} s")
def step_paused(context, pause):
    context.fleet.pause(context.name, pause)
    context.fleet.run(pause - 0.01)
    context.meanwhile = states(context, context.name, "dc0")
    context.fleet.run(0.02)


@behave.then("it is held {result} by its peers meanwhile")
def step_meanwhile(context, result):
    wanted = result == "usable"
    found = {name: view.usable for name, view in context.meanwhile.items()}
    assert set(found.values()) == {wanted}, found


@behave.then("every instance holds it as usable within {limit:g} s after the {event}")
def step_usable(context, limit, event):
    fleet = context.fleet
    waited_s = fleet.run_until(lambda: all_usable(context, context.name), limit)
    assert waited_s is not None, states(context, context.name)
    fleet.run(5.0)
    assert all_usable(context, context.name)


@behave.then("it holds every other instance as usable")
def step_holds(context):
    views = context.process.membership.view.members
    assert all(view.usable for view in views), views


@behave.when("one instance loses its network for {duration:g} s")
def step_muted(context, duration):
    fleet = context.fleet
    fleet.muted.add(context.name)
    fleet.run(duration)
    context.meanwhile = states(context, context.name, "dc0")
    context.own_view = context.process.membership.view.members
    fleet.muted.clear()


@behave.then("it held every other instance as usable meanwhile")
def step_held(context):
    unusable = [view for view in context.own_view if not view.usable]
    assert not unusable, unusable


@behave.when("an instance announces its stop during {fault}")
def step_leaves(context, fault):
    fleet = context.fleet
    context.name = next(n for n in fleet.pollers() if n.startswith("dc0"))
    context.process = fleet.processes[context.name]
    inject(context, fault)
    process = context.process
    process.carry_out(process.membership.leave(process.clock()))
    if fault == "an exit right after it":
        fleet.kill(context.name)


@behave.then("every instance of its data centre holds it as leaving within {limit:g} s")
def step_leaving(context, limit):
    fleet = context.fleet
    waited_s = fleet.run_until(
        lambda: all_see(context, context.name, "leaving", "dc0"), limit
    )
    assert waited_s is not None, states(context, context.name, "dc0")


@behave.then("no other instance holds it as usable within {limit:g} s")
def step_leaving_everywhere(context, limit):
    fleet = context.fleet

    def known():
        found = states(context, context.name).values()
        return not any(view.usable for view in found)

    assert fleet.run_until(known, limit) is not None, states(context, context.name)


@behave.when(
    "the link between an instance and one of its listeners breaks for {duration:g} s"
)
def step_link(context, duration):
    fleet = context.fleet
    other = context.process.membership.targets[-1]
    fleet.muted.add(frozenset((context.name, other)))
    context.unusable = []

    def check():
        for name in (context.name, other):
            for seen_by, view in states(context, name).items():
                if not view.usable:
                    context.unusable.append((fleet.now_s, seen_by, name))
        return False

    fleet.run_until(check, duration)


@behave.when("a notice says that a running instance is gone")
def step_wrong_notice(context):
    fleet = context.fleet
    incarnation = context.process.membership.incarnation
    notice = types.MemberNotices({context.name: [incarnation, 9, "gone"]})
    unaware = next(
        fleet.processes[name]
        for name in others(context, 20)
        if name not in context.process.membership.targets
    )
    unaware.carry_out(unaware.membership.message("peer", notice, unaware.clock()))
    fleet.run(0.05)
    assert not all_usable(context, context.name)


@behave.then("both were held usable everywhere all the time")
def step_both(context):
    assert not context.unusable, context.unusable[:3]


@behave.then("it polls the table service no more")
def step_no_poll(context):
    context.fleet.run(6.0)
    for process in context.fleet.running():
        if process.data_centre == "dc0":
            assert context.name not in process.membership.view.pollers


@behave.when("an instance is replaced while its former process {former}")
def step_replaced(context, former):
    fleet, process = context.fleet, context.process
    if former == "is dead":
        fleet.kill(context.name)
    else:
        process.paused = True
        if "leaving" in former:
            process.membership.state = "leaving"
    fleet.run(4.0)
    context.replacement = fleet.replace(context.name)


@behave.then(
    "every instance of its data centre holds the replacement as usable within "
    "{limit:g} s"
)
def step_replacement(context, limit):
    wanted = context.replacement.membership.incarnation

    def known():
        found = states(context, context.name, "dc0").values()
        return all(view.usable and view.incarnation == wanted for view in found)

    assert context.fleet.run_until(known, limit) is not None


@behave.then("the former process is rejected when it {event}")
def step_rejected(context, event):
    fleet = context.fleet
    if event == "wakes":
        context.process.resume()
    fleet.run(5.0)
    rejections = [n for p in fleet.running() for n in p.rejected_peers]
    assert set(rejections) == ({context.name} if event == "wakes" else set())
    assert all_usable(context, context.name)
    wanted = context.replacement.membership.incarnation
    for view in states(context, context.name, "dc0").values():
        assert view.incarnation == wanted, view


@behave.then(
    "each instance sends heartbeats to at most {limit:d} peers and is heard by as many"
)
def step_bounded(context, limit):
    heard = {}
    for process in context.fleet.running():
        targets = process.membership.targets
        assert len(set(targets)) == len(targets) <= limit, targets
        for name in targets:
            heard[name] = heard.get(name, 0) + 1
    expected = {len(p.membership.targets) for p in context.fleet.running()}
    assert set(heard.values()) == expected and len(expected) == 1, heard


@behave.then("news cross the data centre in at most {limit:d} hops")
def step_hops(context, limit):
    processes = context.fleet.processes
    for start in processes.values():
        reached, frontier = {start.name}, {start.name}
        for _ in range(limit):
            frontier = {
                name for n in frontier for name in processes[n].membership.targets
            } - reached
            reached |= frontier
        local = {
            p.name for p in processes.values() if p.data_centre == start.data_centre
        }
        assert reached == local, local - reached


@behave.when("{count:d} instances of a data centre die together")
def step_rack(context, count):
    fleet = context.fleet
    for name in others(context, 20)[-count:]:
        fleet.kill(name)


@behave.then("no instance sends or receives more than {limit:d} bytes a second")
def step_traffic(context, limit):
    fleet = context.fleet
    # The whole reaction to the deaths lies in these 10 seconds.
    before = {
        p: (p.sent_bytes, p.received_bytes, p.sent, p.received) for p in fleet.running()
    }
    fleet.run(10.0)
    for process, counts in before.items():
        sent, received = process.sent_bytes, process.received_bytes
        headers = (
            process.sent + process.received - counts[2] - counts[3]
        ) * HEADER_BYTES
        total = sent - counts[0] + received - counts[1] + headers
        assert total / 10.0 <= limit, (process.name, total / 10.0)


@behave.then("no instance knows it {delay:g} s later")
def step_forgotten(context, delay):
    context.fleet.run(delay)
    assert set(states(context, context.name).values()) == {None}
