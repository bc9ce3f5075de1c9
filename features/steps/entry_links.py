"""Steps for the connections of agents to entry instances."""

import collections

import behave

from cicadaplank.replicas import entry_links
from cicadaplank.world import machines

STEP_S = 0.5


def entry(name, data_centre):
    return machines.Instance(name, "entry", name, 1, data_centre, data_centre)


class Agent:
    """An agent's choice of connections, with dials that succeed or fail at once."""

    def __init__(self, name, data_centre, instances):
        self.data_centre = data_centre
        self.links = entry_links.EntryLinks(name, data_centre)
        self.links.instances_changed(instances)
        self.connected = {}
        self.dials = collections.Counter()

    def run(self, from_s, duration_s, unreachable=(), silent=()):
        """Let time pass."""
        now_s = from_s
        while now_s < from_s + duration_s:
            for name in self.connected:
                if name not in silent:
                    self.links.heard(name, now_s)
            dialled, closed = self.links.update(set(self.connected), now_s)
            for name in closed:
                del self.connected[name]
                self.links.failed(name, now_s)
            for instance in dialled:
                self.dials[instance.name] += 1
                if instance.name in unreachable:
                    self.links.failed(instance.name, now_s)
                else:
                    self.connected[instance.name] = instance
            now_s += STEP_S

    def count(self, is_local):
        """Return the number of connections within or outside its data centre."""
        return sum(
            (instance.data_centre == self.data_centre) == is_local
            for instance in self.connected.values()
        )


@behave.given(
    "{agents:d} agents and {entries:d} entry instances in {data_centres:d} data centres"
)
def step_fleet(context, agents, entries, data_centres):
    instances = [
        entry(f"entry-{number}", f"dc-{number % data_centres}")
        for number in range(entries)
    ]
    context.agents = [
        Agent(f"agent-{number}", f"dc-{number % data_centres}", instances)
        for number in range(agents)
    ]


@behave.when("every dial succeeds for {duration_s:d} s")
def step_fleet_runs(context, duration_s):
    for agent in context.agents:
        agent.run(0.0, duration_s)


@behave.then(
    "each agent has {count:d} connections, {local:d} of them in its data centre"
)
def step_fleet_connections(context, count, local):
    for agent in context.agents:
        assert (len(agent.connected), agent.count(True)) == (count, local)


@behave.then("each agent dialled {count:d} times")
def step_fleet_dials(context, count):
    assert {sum(agent.dials.values()) for agent in context.agents} == {count}


@behave.given('an agent that knows entry instances "{names}"')
def step_agent(context, names):
    instances = [
        entry(name, "own" if name.startswith("l") else "other")
        for name in names.split()
    ]
    context.agent = Agent("agent", "own", instances)
    context.now_s = 0.0


@behave.when("the agent runs for {duration_s:d} s while {trouble}")
def step_trouble(context, duration_s, trouble):
    names = {
        "nothing fails": "",
        "there are few": "",
        "l1 and l2 cannot be dialled": "l1 l2",
        "all local ones cannot be dialled": "l1 l2 l3",
        "all others cannot be dialled": "o1 o2 o3",
        "l1 is silent": "l1",
    }[trouble].split()
    silent = names if trouble.endswith("silent") else ()
    unreachable = () if silent else names
    context.agent.run(context.now_s, duration_s, unreachable, silent)
    context.now_s += duration_s


@behave.then(
    "the agent is connected to {local:d} local and {other:d} other entry instances"
)
def step_connected(context, local, other):
    agent = context.agent
    assert (agent.count(True), agent.count(False)) == (local, other), agent.connected


@behave.then("no entry instance was dialled more than {limit:d} times")
def step_dials(context, limit):
    assert max(context.agent.dials.values()) <= limit, context.agent.dials
