"""Steps for the planned stop of a process."""

import random

import behave

from cicadaplank.members import draining
from cicadaplank.messages import types
from cicadaplank.requests import routing, verdicts
from cicadaplank.world import contracts, machines

SEED = 7
STEP_S = 0.1
REQUEST_S = 2.0
STOP_S = 5.0
DRAIN_LIMIT_S = 10.0
NAMES = ("a", "b", "c")


class Agent:
    """An endpoint with its planned stop, and its work with the time of its end."""

    def __init__(self, name):
        self.name = name
        self.draining = draining.Draining(draining.StopLimits(DRAIN_LIMIT_S))
        self.work = {}
        self.paused_until_s = 0.0
        self.inbox = []
        self.exited_s = None
        self.killed = False


class Fleet:
    """Entry instances and agents that exchange messages with one step of latency."""

    def __init__(self):
        self.now_s = 0.0
        self.agents = {name: Agent(name) for name in NAMES}
        row = contracts.Row(
            "drafts",
            "service",
            "1",
            holders=NAMES,
            limits=(contracts.ClientLimit("*", 100.0),),
        )
        configuration = contracts.Configuration(1, "change", contracts.Table((row,)))
        instances = [
            machines.Instance(name, "agent", "127.0.0.1", 1, "north", "dc1")
            for name in NAMES
        ]
        self.routers = {}
        for number in range(2):
            router = routing.Router("north", "dc1", random.Random(SEED + number))
            router.instances_listed(instances, 0.0)
            router.configuration_accepted(configuration, 0.0)
            self.routers[number] = router
        self.tried = {}
        self.outcomes = {}
        self.in_doubt = []
        self.at_stop = set()
        self.accepted_late = []
        self.sent_late = 0
        self.cut = None
        self.announcements_lost = 0
        self.step = 0

    def reachable(self, entry, name):
        """Tell whether messages pass between an entry instance and an agent."""
        return not (self.cut == entry and name == "a")

    def report(self, agent):
        """Send the state of an agent to every entry instance that can be reached."""
        state = "ready" if agent.draining.state == "serving" else "leaving"
        report = types.EndpointReport({"drafts": "1"}, len(agent.work), 50, state)
        for entry, router in self.routers.items():
            if self.reachable(entry, agent.name):
                router.endpoint_reported(agent.name, report, self.now_s)

    def send(self, entry, work):
        """Choose an endpoint for work and send it there."""
        tried = self.tried.setdefault(work, frozenset())
        query = routing.RoutingQuery("drafts", "portal", tried=tried)
        chosen = self.routers[entry].choose(query, self.now_s, self.now_s)
        assert isinstance(chosen, routing.EndpointChoice), chosen
        self.tried[work] = tried | {chosen.endpoint}
        self.routers[entry].dispatched(work, chosen.endpoint, "", self.now_s)
        agent = self.agents[chosen.endpoint]
        self.sent_late += chosen.endpoint == "a" and self.now_s > STOP_S
        agent.inbox.append((entry, work))

    def end(self, entry, work, outcome):
        """Tell an entry instance the outcome of its work."""
        if entry not in self.routers:
            return
        self.routers[entry].finished(work, outcome, self.now_s)
        if outcome is routing.Outcome.ANSWERED:
            self.outcomes[work] = outcome
        elif outcome is routing.Outcome.LEAVING:
            self.send(entry, work)
        else:
            self.in_doubt.append(work)

    def apply(self, agent, actions):
        """Carry out the actions of a planned stop."""
        for action in actions:
            if isinstance(action, draining.Announce):
                if self.announcements_lost:
                    self.announcements_lost -= 1
                    continue
                self.report(agent)
            elif isinstance(action, draining.Abort):
                entry, _ = agent.work.pop(action.work)
                self.end(entry, action.work, routing.Outcome.FAILED)
            elif isinstance(action, draining.Exit):
                agent.exited_s = self.now_s

    def run_agent(self, agent):
        """Let an agent read its messages, finish work and look at its limits."""
        if self.now_s < agent.paused_until_s:
            return
        stop = agent.draining
        # The timer of a process that was paused runs before its sockets are read.
        self.apply(agent, stop.tick(self.now_s))
        inbox = [item for item in agent.inbox if self.reachable(item[0], agent.name)]
        agent.inbox = [item for item in agent.inbox if item not in inbox]
        for entry, work in inbox:
            gone = agent.killed or agent.exited_s is not None
            if gone or entry not in self.routers:
                self.end(entry, work, routing.Outcome.FAILED)
                continue
            (action,) = stop.offered(work, self.now_s)
            if isinstance(action, draining.Refuse):
                self.end(entry, work, routing.Outcome.LEAVING)
                continue
            stop.started(work)
            agent.work[work] = (entry, self.now_s + REQUEST_S)
            if agent.name == "a" and self.now_s > STOP_S:
                self.accepted_late.append(work)
        for work, (entry, end_s) in list(agent.work.items()):
            gone = entry not in self.routers
            if gone or (self.now_s >= end_s and self.reachable(entry, agent.name)):
                del agent.work[work]
                stop.finished(work)
                self.end(entry, work, routing.Outcome.ANSWERED)

    def kill(self, name):
        """End an agent at once; its work in progress fails."""
        agent = self.agents[name]
        agent.killed = True
        for router in self.routers.values():
            router.endpoint_lost(name, self.now_s)
        for work, (entry, _) in agent.work.items():
            if entry in self.routers:
                self.routers[entry].finished(work, routing.Outcome.FAILED, self.now_s)
        agent.work.clear()

    def advance(self, until_s):
        """Run all processes up to a time, with a request at each entry every step."""
        while self.now_s < until_s:
            self.step += 1
            self.now_s = round(self.step * STEP_S, 3)
            for agent in self.agents.values():
                # While it drains, only the announcements tell the state.
                serving = agent.draining.state == "serving" and not agent.killed
                if self.step % 10 == 1 and serving:
                    self.report(agent)
            for agent in self.agents.values():
                self.run_agent(agent)
            for entry in self.routers:
                self.send(entry, f"{entry}/{self.step}")


@behave.given("a fleet of 3 endpoints with 2 entry instances under steady requests")
def step_fleet(context):
    context.fleet = Fleet()
    context.fleet.advance(STOP_S)


@behave.when('the fleet stops endpoint "a" as planned while {fault}')
def step_stop(context, fault):
    fleet = context.fleet
    agent = fleet.agents["a"]
    fleet.at_stop = set(agent.work)
    assert fleet.at_stop
    if fault == "the announcement is lost":
        fleet.announcements_lost = 2
    fleet.apply(agent, agent.draining.stop_requested(fleet.now_s))
    if fault == "an entry instance is killed":
        fleet.at_stop = {work for work in fleet.at_stop if work.startswith("0/")}
        del fleet.routers[1]
    elif fault.startswith("a partition cuts off one entry"):
        fleet.cut = 1
        fleet.advance(STOP_S + 5.0)
        fleet.cut = None
    elif fault == "the endpoint is paused for 20 s":
        agent.paused_until_s = STOP_S + 20.0
    elif fault == "the endpoint is paused twice":
        agent.paused_until_s = STOP_S + 0.5
        fleet.advance(STOP_S + 0.5)
        agent.paused_until_s = STOP_S + 15.0
    elif fault == "two operators stop it":
        fleet.advance(STOP_S + 0.5)
        fleet.apply(agent, agent.draining.stop_requested(fleet.now_s))
    elif fault == "a second endpoint is killed":
        fleet.kill("b")
    else:
        # The stop has no step that the table service takes part in.
        assert fault in (
            "nothing fails",
            "the table service is down",
            "the announcement is lost",
        ), fault
    fleet.advance(STOP_S + 40.0)


@behave.then("the fleet has answered every request in progress at the stop")
def step_all_answered(context):
    missing = context.fleet.at_stop - set(context.fleet.outcomes)
    assert not missing, sorted(missing)


@behave.then("the fleet left no sender in doubt about its work")
def step_no_doubt(context):
    assert not context.fleet.in_doubt, context.fleet.in_doubt


@behave.then('the fleet took no new work at endpoint "a" after the stop')
def step_no_new_work(context):
    assert not context.fleet.accepted_late, context.fleet.accepted_late


@behave.then('the fleet ended endpoint "a" within {limit:d} s')
def step_ended(context, limit):
    exited_s = context.fleet.agents["a"].exited_s
    assert exited_s is not None, "the endpoint has not exited"
    assert exited_s - STOP_S <= limit, exited_s - STOP_S


@behave.then('the fleet sent at most {count:d} requests to endpoint "a" after the stop')
def step_sent(context, count):
    assert context.fleet.sent_late <= count, context.fleet.sent_late


@behave.given("a planned stop with a limit of 10 s and work that has {progress}")
def step_planned(context, progress):
    context.stop = draining.Draining(draining.StopLimits(10.0))
    context.stop.offered("work", 0.0)
    if progress == "started":
        context.stop.started("work")
    context.stop.stop_requested(0.0)


@behave.given("a planned stop that finds nothing in progress")
def step_idle(context):
    context.stop = draining.Draining(draining.StopLimits(10.0))
    context.actions = context.stop.stop_requested(0.0)


@behave.when("the planned stop is offered work that was on its way")
def step_on_its_way(context):
    assert draining.Exit() not in context.actions, context.actions
    context.actions = context.stop.offered("late", 0.5)


@behave.then("the planned stop refuses it and exits after 1 s")
def step_refuses(context):
    assert context.actions == (draining.Refuse("late", "leaving"),), context.actions
    assert draining.Exit() in context.stop.tick(1.0)


@behave.when("the planned stop is requested again at 5 s")
def step_again(context):
    context.actions = context.stop.stop_requested(5.0)
    assert not context.actions, context.actions


@behave.when("the planned stop is at {end_s:g} s")
def step_at(context, end_s):
    now_s = 0.0
    context.announced = 0
    while now_s < end_s:
        now_s = min(end_s, now_s + 1.0)
        context.actions = context.stop.tick(now_s)
        context.announced += draining.Announce() in context.actions


@behave.then("the planned stop is still draining")
def step_still(context):
    assert context.stop.state == "draining", context.stop.state
    assert context.stop.in_progress == 1


@behave.then("the planned stop has repeated its announcement {count:d} times")
def step_repeated(context, count):
    assert context.announced == count, context.announced


@behave.then("the planned stop ends the work as {verdict} and exits")
def step_aborts(context, verdict):
    abort = draining.Abort("work", verdicts.Verdict[verdict])
    assert abort in context.actions, context.actions
    assert context.actions[-1] == draining.Exit(), context.actions
    assert context.stop.state == "stopped"


@behave.when("the planned stop is paused {count:d} times for {pause_s:d} s")
def step_pauses(context, count, pause_s):
    for number in range(1, count + 1):
        context.stop.tick(number * pause_s)


@behave.then("the planned stop has exited")
def step_exited(context):
    assert context.stop.state == "stopped", context.stop.state


@behave.given("a process that has accepted {count:d} pieces of work")
def step_accepted(context, count):
    context.stop = draining.Draining()
    for number in range(count):
        context.stop.offered(str(number), 0.0)


@behave.when("one more piece of work is offered")
def step_one_more(context):
    context.actions = context.stop.offered("one more", 0.0)


@behave.then("the process refuses it as busy and counts it")
def step_busy(context):
    assert context.actions == (draining.Refuse("one more", "busy", 1.0),)
    assert context.stop.counts["refused_busy"] == 1
