"""Steps for the distribution of weights."""

import collections
import dataclasses
import random

import behave

from bench import swarm
from cicadaplank.weights import (
    effects,
    manifests,
    ownership,
    transfers,
)

SEED = 7
CHUNK_BYTES = 64
# One chunk takes 0.1 s on a machine's link, so half of a copy takes a few seconds.
LINK_BYTES_PER_S = 640.0
HALF_WAY_S = 2.5
HEAL_S = 20.0
# Every fault ends by HEAL_S; an agent that still lacks chunks by then is stuck.
LIMIT_S = 180.0
TOKEN = 7


def build_network(context, memory_chunks=200):
    """Return a network with the instances of the scenario and its model."""
    conditions = swarm.Conditions(
        LINK_BYTES_PER_S, LINK_BYTES_PER_S, 2 * LINK_BYTES_PER_S
    )
    memory_bytes = memory_chunks * CHUNK_BYTES
    seed = getattr(context, "seed", SEED)
    network = swarm.Network(context.instances, conditions, seed, memory_bytes)
    network.publish(context.manifest, context.data)
    return network


def wanted(network, manifest, row="model", holders=None, prefer="time"):
    """Return the row entry for a manifest."""
    names = tuple(holders or network.instances)
    return transfers.WantedVersion(manifest.digest, row, names, prefer)


def begin(context, prefer="time"):
    """Accept the model for every agent and start them."""
    network = context.network
    network.accept((wanted(network, context.manifest, prefer=prefer),))
    network.start()
    return network


def finish(context, done=None):
    """Run until the copies are complete and remember whether they were."""
    context.finished = context.network.run(LIMIT_S, done)


def run_to(network, time_s):
    """Run the network up to a time."""
    network.run(time_s, lambda: False)


def names_of(network):
    """Return the names of the instances in order."""
    return sorted(network.instances)


def an_owner(context):
    """Return an instance that owns chunks in the first region, with their digests."""
    region = context.instances[0].region
    owners = ownership.Ownership((i.name, i.region) for i in context.instances)
    digests = context.manifest.chunk_digests
    placement = ownership.Placement(owners, digests, region)
    owned = {}
    for index, digest in enumerate(digests):
        owned.setdefault(placement.candidates(region, index)[0], []).append(digest)
    name = max(sorted(owned), key=lambda name: len(owned[name]))
    return name, owned[name]


def sending_agent(network):
    """Return an agent whose link is in the middle of a chunk."""
    return next(
        name
        for name in names_of(network)
        if network.up[name].free_s > network.now_s + 0.01
    )


@behave.given(
    "a swarm of {count:d} agents in {regions:d} {unit} with a model of {n:d} chunks"
)
def step_swarm(context, count, regions, unit, n):
    centres = 2 if regions == 1 else 1
    context.instances = swarm.deployment(count, regions, centres)
    context.manifest, context.data = swarm.model(n, CHUNK_BYTES, SEED)
    context.network = build_network(context)


@behave.given("the swarm is built from seed {seed:d}")
def step_seed(context, seed):
    context.seed = seed
    count = len(context.manifest.chunk_digests)
    context.manifest, context.data = swarm.model(count, CHUNK_BYTES, seed)
    context.network = build_network(context)


@behave.given("the swarm is limited to memory for {count:d} chunks")
def step_memory(context, count):
    context.network = build_network(context, count)


def _nothing(context, network):
    finish(context)


def _source_dies(context, network):
    run_to(network, HALF_WAY_S)
    victim = sending_agent(network)
    network.kill(victim)
    digest = context.manifest.digest
    others = {(name, digest) for name in network.agents}
    finish(context, lambda: others <= set(network.completed_s))
    if context.finished:
        network.start((victim,))
        finish(context)


def _owner_dies(context, network):
    run_to(network, 0.01)
    victim, _ = an_owner(context)
    network.kill(victim)
    digest = context.manifest.digest
    others = {(name, digest) for name in network.agents}
    finish(context, lambda: others <= set(network.completed_s))
    if context.finished:
        network.start((victim,))
        finish(context)


def _links_stall(context, network):
    names = names_of(network)
    run_to(network, HALF_WAY_S)
    network.stall(names[0], names[1])
    network.stall(names[2], names[3])
    finish(context)


def _corrupt_chunks(context, network):
    network.conditions.corrupt_share = 0.1
    finish(context)


def _corrupt_origin(context, network):
    network.conditions.origin = "corrupt"
    run_to(network, HEAL_S)
    network.conditions.origin = "up"
    finish(context)


def _liar(context, network):
    name = an_owner(context)[0]
    network.liars[name] = b"\xff" * 6
    network.no_origin.add(name)
    finish(context)


def _mute_liar(context, network):
    name = an_owner(context)[0]
    network.mute.add(name)
    network.liars[name] = b"\xff" * 6
    others = {(n, context.manifest.digest) for n in network.agents if n != name}
    finish(context, lambda: others <= set(network.completed_s))
    network.mute.clear()
    network.liars.clear()
    if context.finished:
        finish(context)


def _origin_state(state):
    def fault(context, network):
        network.conditions.origin = state
        run_to(network, HEAL_S)
        network.conditions.origin = "up"
        finish(context)

    return fault


def _origin_limited(context, network):
    network.conditions.origin = "limited"
    finish(context)


def _store_down(context, network):
    network.conditions.store = "down"
    run_to(network, HEAL_S)
    network.conditions.store = "up"
    finish(context)


def _restart(context, network):
    run_to(network, HALF_WAY_S)
    network.kill(names_of(network)[3], replace_after_s=0.0)
    finish(context)


def _partition_half_way(context, network):
    run_to(network, HALF_WAY_S)
    _partition_from_start(context, network)


def _partition_early(context, network):
    # It heals at several times after those outside hold every chunk, so that some
    # agents inside are about to ask the origin again.
    cut = context.instances[1].data_centre
    outside = {
        (instance.name, context.manifest.digest)
        for instance in context.instances
        if instance.data_centre != cut
    }
    context.sent_after = []
    for delay in range(12):
        network = context.network = build_network(context)
        begin(context)
        run_to(network, HALF_WAY_S / 2)
        network.partition(cut)
        assert network.run(LIMIT_S, lambda: outside <= set(context.network.completed_s))
        run_to(network, network.now_s + 0.5 * delay)
        before = network.origin_chunks
        network.heal()
        finish(context)
        context.sent_after.append(network.origin_chunks - before)


def _partition_from_start(context, network):
    network.partition(context.instances[1].data_centre)
    run_to(network, HEAL_S)
    context.complete_before = {name for name, _ in network.completed_s}
    network.heal()
    finish(context)


def _many_die(context, network):
    for number, name in enumerate(names_of(network)[::2]):
        run_to(network, 0.5 + 0.6 * number)
        network.kill(name, replace_after_s=1.0)
    finish(context)


def _one_corrupts(context, network):
    context.corrupting = an_owner(context)[0]
    network.corrupting.add(context.corrupting)
    finish(context)


def _slow_link(context, network):
    context.slow = an_owner(context)[0]
    run_to(network, 0.001)
    network.up[context.slow].bytes_per_s /= 4
    finish(context)


FAULTS = {
    "nothing fails": _nothing,
    "a source dies in the middle of a chunk": _source_dies,
    "an owner dies before it has its chunks": _owner_dies,
    "two links stall without closing": _links_stall,
    "one chunk in ten arrives corrupted": _corrupt_chunks,
    "the origin sends corrupt chunks for a while": _corrupt_origin,
    "a peer claims chunks that it does not have": _liar,
    "a peer claims every chunk and never answers": _mute_liar,
    "the origin is down before the first copy": _origin_state("down"),
    "the origin never answers before the first copy": _origin_state("silent"),
    "the origin refuses beyond 4 chunks in progress": _origin_limited,
    "the object store is down at first": _store_down,
    "an agent restarts with nothing": _restart,
    "a data centre is partitioned off and healed": _partition_half_way,
    "a data centre is cut off early and healed": _partition_early,
    "a data centre is partitioned off from the start": _partition_from_start,
    "every second agent dies and is replaced": _many_die,
    "one agent corrupts all that it sends": _one_corrupts,
    "one link is four times slower": _slow_link,
}


@behave.when("the swarm distributes the model and {fault}")
def step_distribute(context, fault):
    network = begin(context)
    FAULTS[fault](context, network)


@behave.when("the swarm distributes the model")
def step_distribute_all(context):
    begin(context)
    finish(context)
    assert context.finished


@behave.when("the swarm distributes the model to half of its agents")
def step_distribute_half(context):
    network = context.network
    context.half = tuple(names_of(network)[::2])
    entry = wanted(network, context.manifest, holders=context.half)
    network.accept((entry,), context.half)
    network.start()
    finish(context)
    assert context.finished


@behave.when("the swarm loses {loss} and the row names all agents")
def step_lose(context, loss):
    network = context.network
    if loss in ("the origin", "both"):
        network.conditions.origin = "down"
    if loss in ("the object store", "both"):
        network.conditions.store = "down"
    network.accept((wanted(network, context.manifest),))
    finish(context)


@behave.when("the swarm loses the origin and the whole first region is replaced")
def step_region_replaced(context):
    network = context.network
    network.conditions.origin = "down"
    region = context.instances[0].region
    for instance in context.instances:
        if instance.region == region:
            network.kill(instance.name, replace_after_s=1.0)
    finish(context)


@behave.when("the swarm prefers {prefer} and an owner falls silent")
def step_prefer(context, prefer):
    context.silent, context.silent_chunks = an_owner(context)
    network = begin(context, prefer)
    network.no_origin.add(context.silent)
    for name in names_of(network):
        network.stall(name, context.silent)
    run_to(network, 30.0)


@behave.then("the chunks of that owner are fetched again after {least:d} to {most:d} s")
def step_fetched_again(context, least, most):
    times = [
        time_s
        for time_s, name, digest in context.network.origin_log
        if name != context.silent and digest in context.silent_chunks
    ]
    assert times, "nobody fetched the chunks of the silent owner"
    assert least <= min(times) <= most, min(times)


@behave.then("every agent of the swarm holds the whole model")
def step_whole(context):
    network = context.network
    digest = context.manifest.digest
    lacking = [n for n in names_of(network) if (n, digest) not in network.completed_s]
    assert not lacking, f"incomplete after {LIMIT_S} s: {lacking}"
    for name, agent in network.agents.items():
        data = b"".join(agent.store.read(context.manifest))
        assert data == b"".join(
            context.data[d] for d in context.manifest.chunk_digests
        ), name


@behave.then("no agent of the swarm reported a partial copy")
def step_no_partial(context):
    assert not context.network.partial, context.network.partial[:3]


@behave.then(
    "every agent of the swarm outside the partition was complete before it healed"
)
def step_outside_complete(context):
    cut = context.instances[1].data_centre
    outside = {i.name for i in context.instances if i.data_centre != cut}
    late = sorted(outside - context.complete_before)
    assert not late, f"incomplete after {HEAL_S} s: {late}"


@behave.then("some agent of the swarm excluded only the corrupting one")
def step_excluded(context):
    excluded = excluded_peers(context.network)
    assert excluded == {context.corrupting}, excluded


@behave.then("no agent of the swarm is excluded")
def step_none_excluded(context):
    assert not excluded_peers(context.network), excluded_peers(context.network)


def excluded_peers(network):
    """Return the names of the peers that some agent excluded."""
    actions = (action for _, _, action in network.seen)
    return {a.peer for a in actions if isinstance(a, effects.PeerExcluded)}


@behave.then("the origin of the swarm sent at most {copies:f} copies")
def step_origin_copies(context, copies):
    sent = context.network.origin_chunks / len(context.manifest.chunk_digests)
    assert context.finished
    assert sent <= copies, f"the origin sent {sent:.2f} copies"


@behave.then(
    "each agent of the swarm asked the failing origin at most {most:d} times in 20 s"
)
def step_asked_less(context, most):
    # Two chunks at a time, and 0.5 s + 1 s + 2 s + ... between the failures.
    asked = collections.Counter(
        name for time_s, name, _ in context.network.origin_log if time_s < HEAL_S
    )
    assert asked
    assert max(asked.values()) <= most, asked.most_common(3)


@behave.then(
    "the origin of the swarm sent at most {copies:f} copies after the partition"
)
def step_origin_after(context, copies):
    limit = copies * len(context.manifest.chunk_digests)
    assert max(context.sent_after) <= limit, f"{context.sent_after} chunks"


@behave.then("each link of the swarm into a region carried at most {copies:f} copies")
def step_crossings(context, copies):
    regions = {instance.region for instance in context.instances}
    count = (len(regions) - 1) * len(context.manifest.chunk_digests)
    share = context.network.crossings / count
    assert share <= copies, f"each chunk crossed {share:.2f} times"


@behave.then("no agent of the swarm asked the origin too early")
def step_not_early(context):
    network = context.network
    assert context.finished and network.refused_429
    assert not network.early_after_429, network.early_after_429


def second_model(count, version="v2", name="model"):
    """Return a manifest and chunks that share nothing with the model."""
    return swarm.model(count, CHUNK_BYTES, SEED + 1, name, version)


def _beside(name):
    def change(context, network):
        manifest, data = second_model(16, name=name)
        network.publish(manifest, data)
        entries = (wanted(network, context.manifest), wanted(network, manifest, name))
        network.accept(entries)
        network.start()
        return entries

    return change


def _replaced(context, network):
    begin(context)
    run_to(network, HALF_WAY_S / 2)
    manifest, data = second_model(32)
    network.publish(manifest, data)
    entries = (wanted(network, manifest),)
    network.accept(entries)
    return entries


def _withdrawn(context, network):
    begin(context)
    run_to(network, HALF_WAY_S / 2)
    network.accept(())
    run_to(network, network.now_s + 1.0)
    context.origin_before = network.origin_chunks
    run_to(network, network.now_s + 10.0)
    assert network.origin_chunks == context.origin_before, "fetched a withdrawn row"
    return ()


def _fewer(context, network):
    begin(context)
    run_to(network, HALF_WAY_S / 2)
    kept = tuple(names_of(network)[:5])
    entry = wanted(network, context.manifest, holders=kept)
    network.accept((), names_of(network)[5:])
    network.accept((entry,), kept)
    return (entry,)


def _two_rows(context, network):
    entries = (
        wanted(network, context.manifest, "first"),
        wanted(network, context.manifest, "second"),
    )
    network.accept(entries)
    network.start()
    return entries


def _urgent(context, network):
    begin(context)
    run_to(network, HALF_WAY_S / 2)
    manifest, data = second_model(16, name="adapter")
    network.publish(manifest, data)
    urgent = dataclasses.replace(wanted(network, manifest, "adapter"), priority=0)
    context.adapter = manifest
    entries = (wanted(network, context.manifest), urgent)
    network.accept(entries)
    return entries


CHANGES = {
    "a second version beside the first": _beside("model"),
    "an adapter beside the model": _beside("adapter"),
    "a new version in the middle of the copy": _replaced,
    "a withdrawn row in the middle of the copy": _withdrawn,
    "fewer holders in the middle of the copy": _fewer,
    "the same version in two rows": _two_rows,
    "an urgent adapter during the copy": _urgent,
}


@behave.when("the swarm takes on {change}")
def step_change(context, change):
    context.entries = CHANGES[change](context, context.network)
    context.finished = context.network.run(LIMIT_S)


@behave.when("the swarm replaces the model by a version that shares {count:d} chunks")
def step_shared(context, count):
    begin(context)
    finish(context)
    assert context.finished
    network = context.network
    shared = context.manifest.chunk_digests[:count]
    fresh = random.Random(SEED + 2).randbytes(
        (len(context.manifest.chunk_digests) - count) * CHUNK_BYTES
    )
    weights = b"".join(context.data[digest] for digest in shared) + fresh
    manifest, data = manifests.build("model", "v2", weights, CHUNK_BYTES)
    network.publish(manifest, data)
    context.entries = (wanted(network, manifest),)
    context.origin_before = network.origin_chunks
    network.accept(context.entries)
    finish(context)


@behave.then("the origin of the swarm sent only the {count:d} new chunks")
def step_only_new(context, count):
    sent = context.network.origin_chunks - context.origin_before
    assert sent == count, f"the origin sent {sent} chunks"


@behave.then("every agent of the swarm holds exactly what its rows name")
def step_holds_rows(context):
    network = context.network
    digests = {entry.manifest_digest for entry in context.entries}
    for name, agent in network.agents.items():
        named = {entry.manifest_digest for entry in network.wanted[name]}
        assert set(agent.store.manifests) == named <= digests, name
        for digest in named:
            assert (name, digest) in network.completed_s, f"{name} lacks {digest}"
            assert agent.store.is_complete(network.catalogue[digest][0]), name
        rows = {
            (action.row, action.manifest_digest)
            for _, who, action in network.seen
            if who == name and isinstance(action, effects.CopyComplete)
        }
        for entry in network.wanted[name]:
            assert (entry.row, entry.manifest_digest) in rows, f"{name}: {entry.row}"


@behave.when("the swarm fails to fit a second version")
def step_no_fit(context):
    network = begin(context)
    finish(context)
    assert context.finished
    manifest, data = second_model(32)
    network.publish(manifest, data)
    network.accept((wanted(network, context.manifest), wanted(network, manifest)))
    run_to(network, network.now_s + 30.0)


@behave.then("each agent of the swarm reports {count:d} chunks too little memory")
def step_too_small(context, count):
    reports = {
        name: action.missing_bytes
        for _, name, action in context.network.seen
        if isinstance(action, effects.MemoryTooSmall)
    }
    expected = dict.fromkeys(names_of(context.network), count * CHUNK_BYTES)
    assert reports == expected, reports


@behave.then("every agent of the swarm still holds the first version")
def step_still_first(context):
    for agent in context.network.agents.values():
        assert agent.store.is_complete(context.manifest)
        assert agent.store.held_bytes <= agent.store.limit_bytes


@behave.when("the swarm hears that live requests take twice as long")
def step_latency(context):
    held = []
    for ratio in (1.0, 2.0):
        context.network = build_network(context)
        network = begin(context)
        for step in range(8):
            run_to(network, 0.5 * (step + 1))
            for name in names_of(network):
                network.event(name, "request_latency", ratio)
        held.append(sum(a.store.held_bytes for a in network.agents.values()))
    context.held_bytes = held
    for step in range(60):
        run_to(network, 4.0 + 0.5 * step)
        for name in names_of(network):
            network.event(name, "request_latency", 1.0)
    finish(context)


@behave.then("the swarm sends at less than half its rate until they recover")
def step_slower(context):
    full, slowed = context.held_bytes
    assert slowed < full / 2, f"{slowed} bytes held, {full} without back-off"
    assert context.finished


@behave.then(
    "every agent of the swarm but the slow one finished within {copies:f} copies' time"
)
def step_not_slowed(context, copies):
    limit_s = copies * context.manifest.size_bytes / LINK_BYTES_PER_S
    times_s = {name: time for (name, _), time in context.network.completed_s.items()}
    times_s.pop(context.slow, None)
    assert len(times_s) == len(context.instances) - 1
    assert max(times_s.values()) <= limit_s, (max(times_s.values()), limit_s)


@behave.then("every agent of the swarm holds the adapter before the model")
def step_adapter_first(context):
    times_s = context.network.completed_s
    for name in names_of(context.network):
        adapter_s = times_s[name, context.adapter.digest]
        model_s = times_s[name, context.manifest.digest]
        assert adapter_s < model_s, f"{name}: {adapter_s} s, model {model_s} s"
