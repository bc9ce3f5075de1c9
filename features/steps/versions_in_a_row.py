"""Steps for versions of weights that are named one after the other."""

import dataclasses
import random

import behave

from bench import swarm
from cicadaplank.gateway import named_versions
from cicadaplank.replicas import process
from cicadaplank.weights import next_version, transfers

ALLOWED_S = 9.7
PIECES = 48
# Pieces of the replay are smaller than those of the data, and links slower by as much.
SCALE = 768
PIECE_BYTES = 49_152 // SCALE
LINK_BYTES_PER_S = 0.8 * 4.7e6 / 8 / SCALE
ORIGIN_BYTES_PER_S = 9e6 / 8 / SCALE
COPY_BYTES = PIECES * PIECE_BYTES
STEP_S = 0.15
LOAD_S = 0.4
LIMIT_S = 60.0
FIRST_COPY_S = 2.5
SEED = 3


def candidates(missing, unsourced, is_at_origin=True):
    """Return versions 2 and 3 with the shares of each that are missing."""
    until_s = named_versions.serves_until_s(2.0, ALLOWED_S)
    return [
        next_version.Candidate(
            version,
            until,
            int(COPY_BYTES * missing[version - 2]),
            int(COPY_BYTES * unsourced[version - 2]),
            is_at_origin or version == 3,
        )
        for version, until in ((2, until_s), (3, float("inf")))
    ]


PIECE = 1 / PIECES
SITUATIONS = {
    "version 2 has just begun": ((0.9, 1.0), (0.9, 1.0)),
    "version 2 is nearly complete": ((0.2, 1.0), (0.1, 1.0)),
    "version 2 is complete": ((0.0, 1.0), (0.0, 1.0)),
    "both versions are complete": ((0.0, 0.0), (0.0, 0.0)),
    "version 2 is at other agents": ((0.6, 1.0), (0.0, 1.0)),
    "a piece of each is nowhere": ((0.5, 0.5), (PIECE, PIECE)),
    "half of each is nowhere": ((0.5, 0.5), (0.5, 0.5)),
    "version 2 lacks a piece": ((PIECE, 1.0), (PIECE, 1.0)),
}


@behave.given("an engine that serves version 1 while versions 2 and 3 are named")
def step_named(context):
    context.served_until_s = named_versions.serves_until_s(0.0, ALLOWED_S)


@behave.when("version {held}")
@behave.when("a piece {held}")
@behave.when("both {held}")
@behave.when("half {held}")
def step_held(context, held):
    name = context.scenario.steps[1].name
    situation, _, origin = name.partition(" and the origin ")
    context.is_origin_up = origin != "is down"
    missing, unsourced = SITUATIONS[situation]
    is_at_origin = origin != "has it no more"
    context.candidates = candidates(missing, unsourced, is_at_origin)


@behave.then("the agent completes version {chosen:d} next at {now_s:f} s")
def step_chosen(context, chosen, now_s):
    sources = next_version.Sources(LINK_BYTES_PER_S, context.is_origin_up, ALLOWED_S)
    got = next_version.choose(
        context.candidates, context.served_until_s, sources, now_s
    )
    assert got == chosen, got


@behave.then(
    "a saving of {small:f} s does not change the version, and one of {large:f} s does"
)
def step_saving(context, small, large):
    sources = next_version.Sources(LINK_BYTES_PER_S, True, ALLOWED_S)
    for saving_s, chosen in ((small, 3), (large, 2)):
        copy_s = next_version.COPY_FACTOR * COPY_BYTES / LINK_BYTES_PER_S
        found = candidates((0.0, saving_s / copy_s), (0.0, 0.0))
        now_s = context.served_until_s
        got = next_version.choose(found, now_s, sources, now_s, 3)
        assert got == chosen, (saving_s, got)


class Server:
    """Weights of one server of the replay, and its time without permitted ones.

    :ivar next: version that its agent completes next, or None.
    """

    def __init__(self):
        self.served, self.next = 1, None
        self.loading, self.ready_s = None, 0.0
        self.without_s = 0.0
        self.served_s = {}


class Replay:
    """Agents that exchange pieces and decide, and servers that load.

    :param count: number of servers.
    :param regions: number of regions.
    """

    def __init__(self, count, regions):
        self.instances = swarm.deployment(count, regions, 1)
        conditions = swarm.Conditions(
            LINK_BYTES_PER_S, 4 * LINK_BYTES_PER_S, ORIGIN_BYTES_PER_S
        )
        limits = dataclasses.replace(process.TRANSFER_LIMITS)
        memory_bytes = 3 * COPY_BYTES
        self.network = swarm.Network(
            self.instances, conditions, SEED, memory_bytes, limits
        )
        self.network.origin_region = None
        self.network.region_pipes = {}
        self.servers = {instance.name: Server() for instance in self.instances}
        self.manifests, self.named_s = {}, {}

    def name_version(self, version):
        """Name a version."""
        manifest, data = swarm.model(PIECES, PIECE_BYTES, 100 + version)
        self.network.publish(manifest, data)
        self.manifests[version] = manifest
        self.named_s[version] = self.network.now_s

    def until_s(self, version):
        """Return the time until which a version may serve."""
        newer = [at_s for v, at_s in self.named_s.items() if v > version]
        if not newer:
            return float("inf")
        return named_versions.serves_until_s(min(newer), ALLOWED_S)

    def decide(self, name):
        """Let an agent choose what it completes next."""
        network, server = self.network, self.servers[name]
        agent = network.agents.get(name)
        wanted = [v for v in sorted(self.manifests) if v > server.served]
        if agent is None or not wanted:
            return
        found = [self.candidate(agent, version, wanted) for version in wanted]
        sources = next_version.Sources(LINK_BYTES_PER_S, agent.is_origin_up, ALLOWED_S)
        server.next = next_version.choose(
            found, self.until_s(server.served), sources, network.now_s, server.next
        )
        order = sorted(wanted, key=lambda v: (v != server.next, -v))
        at_origin = next_version.origin_order(found)
        rows = tuple(
            transfers.WantedVersion(
                self.manifests[version].digest,
                "model",
                tuple(network.instances),
                "time",
                position,
                version in at_origin,
                at_origin.index(version) if version in at_origin else 0,
            )
            for position, version in enumerate(order)
        )
        if network.wanted.get(name) != rows:
            network.accept(rows, (name,))

    def candidate(self, agent, version, wanted):
        """Return the candidate that an agent sees."""
        supply = agent.supply(self.manifests[version].digest)
        missing, unsourced = COPY_BYTES, COPY_BYTES
        if supply:
            missing, unsourced = supply.missing_bytes, supply.unsourced_bytes
        return next_version.Candidate(
            version, self.until_s(version), missing, unsourced, version in wanted[-2:]
        )

    def serve(self, name):
        """Load what is complete, and count the time without permitted weights."""
        now_s, server = self.network.now_s, self.servers[name]
        if server.loading and now_s >= server.ready_s:
            server.served, server.loading = server.loading, None
            server.served_s[server.served] = now_s
        if now_s >= self.until_s(server.served):
            server.without_s += STEP_S
        if server.loading or server.next is None or server.next <= server.served:
            return
        key = (name, self.manifests[server.next].digest)
        if key in self.network.completed_s:
            server.loading, server.ready_s = server.next, now_s + LOAD_S

    def run(self, until_s):
        """Let time pass."""
        while self.network.now_s < until_s:
            for name in self.servers:
                self.decide(name)
                self.serve(name)
            next_s = min(until_s, self.network.now_s + STEP_S)
            self.network.run(next_s, lambda: False)

    def kill_some(self):
        """Kill a fifth of the agents, which start again with nothing."""
        names = sorted(self.servers)
        for name in random.Random(SEED).sample(names, len(names) // 5):
            self.network.kill(name, replace_after_s=0.5)


@behave.given("{count:d} servers in {regions:d} regions that serve version 1")
def step_servers(context, count, regions):
    context.replay = Replay(count, regions)
    context.replay.network.start()


@behave.when(
    "versions are named at {named} s, the origin is down from {down} to {up} s "
    "and {fault}"
)
def step_replay(context, named, down, up, fault):
    replay, network = context.replay, context.replay.network
    events = [(float(at), 0, version) for version, at in enumerate(named.split(), 2)]
    if down != "none":
        events += [(float(down), 1, "down"), (float(up), 1, "up")]
    if fault != "nothing else":
        events.append((FIRST_COPY_S, 2, fault))
    for at_s, kind, value in sorted(events):
        replay.run(at_s)
        if kind == 0:
            replay.name_version(value)
        elif kind == 1:
            network.conditions.origin = value
        elif value == "pieces rot":
            network.conditions.corrupt_share = 0.05
        elif value == "agents killed":
            replay.kill_some()
    replay.run(LIMIT_S)


@behave.then("no server is without permitted weights for more than {limit:f} s")
def step_gap(context, limit):
    worst = max(server.without_s for server in context.replay.servers.values())

    assert worst <= limit + STEP_S, worst


@behave.then("every server serves version {version:d} while it may")
def step_serves(context, version):
    replay = context.replay
    late = {
        name: server.served_s.get(version)
        for name, server in replay.servers.items()
        if server.served_s.get(version, LIMIT_S) >= replay.until_s(version)
    }
    assert not late, late


@behave.then("every server loads the newest version whole")
def step_newest(context):
    replay = context.replay
    newest = max(replay.manifests)
    served = {name: server.served for name, server in replay.servers.items()}
    assert set(served.values()) == {newest}, served
    assert not replay.network.partial, replay.network.partial[:3]
