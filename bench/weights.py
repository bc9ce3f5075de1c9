"""Distribution of weights: time to N replicas and bytes sent from the origin.

Decision objects over an in-memory message queue with shaped links (``bench.swarm``) are
used for every N; there are no processes and no sockets, and the time that an agent's
code takes counts as zero. A model of 128 MiB is copied over machine links of 100 Mbit/s
(a copy takes 10.7 s), an origin with twice that, and 14 Mbit/s between regions.

The bound is one copy over a machine's link plus log2 N chunks.
"""

import collections
import math
import random
import statistics

from bench import swarm
from cicadaplank.weights import manifests, transfers

KIB = 1024
MODEL_BYTES = 128 * KIB * KIB // swarm.SCALE
MACHINE_BYTES_PER_S = 12.5e6 / swarm.SCALE
REGION_BYTES_PER_S = 1.75e6 / swarm.SCALE
CHUNK_BYTES = manifests.DEFAULT_CHUNK_BYTES // swarm.SCALE
CHUNK_SIZES_KIB = (256, 512, 1024)
LIMIT_S = 3600.0
CORRUPT_SHARE = 0.01
REPLACE_AFTER_S = 1.0
PAUSE_AFTER_S = 1.0
# Longer than both stall time-outs, so that each value of ``prefer`` fetches again.
PAUSE_S = 9.0
# Live requests of one machine, and what each takes.
REQUESTS_PER_S = 5.0
REQUEST_BYTES = 4
RESPONSE_BYTES = 16
SERVICE_S = (0.2, 0.6)
LATENCY_WINDOW = 50


def build(
    count,
    seed,
    regions=1,
    chunk_bytes=CHUNK_BYTES,
    prefer="time",
    alone=False,
    start=True,
):
    """Return a network in which every instance wants the model.

    :param count: number of instances.
    :param seed: integer.
    :param regions: number of regions.
    :param chunk_bytes: scaled size of a chunk.
    :param prefer: ``time`` or ``origin_bytes``.
    :param alone: True for the baseline, in which no instance knows another holder.
    :param start: False to leave the agents out.
    :returns: :class:`swarm.Network` and the manifest.
    """
    manifest, data = swarm.model(MODEL_BYTES // chunk_bytes, chunk_bytes, seed)
    conditions = swarm.Conditions(
        MACHINE_BYTES_PER_S, REGION_BYTES_PER_S, 2 * MACHINE_BYTES_PER_S
    )
    instances = swarm.deployment(count, regions)
    network = swarm.Network(instances, conditions, seed, 2 * MODEL_BYTES)
    network.publish(manifest, data)
    names = tuple(network.instances)
    for name in names:
        holders = (name,) if alone else names
        wanted = transfers.WantedVersion(manifest.digest, "model", holders, prefer)
        network.accept((wanted,), (name,))
    if start:
        network.start()
    return network, manifest


def bound_s(count, chunk_bytes=CHUNK_BYTES):
    """Return the lower bound of the time to ``count`` replicas in seconds."""
    copy_s = MODEL_BYTES / MACHINE_BYTES_PER_S
    return copy_s + math.log2(count) * chunk_bytes / MACHINE_BYTES_PER_S


def finish(network):
    """Run to the end.

    :returns: simulated seconds.
    :raises ValueError: when a copy is missing at the limit, or is wrong.
    """
    if not network.run(LIMIT_S) or network.partial:
        raise ValueError(f"copies are missing or wrong after {LIMIT_S} s")
    return network.now_s


def origin_copies(network, manifest):
    """Return how many copies the origin sent."""
    return network.origin_chunks / len(manifest.chunk_digests)


def measure_sizes(seed, results):
    """Measure the time to 16, 64 and 256 replicas in one region."""
    for count in (16, 64, 256):
        network, manifest = build(count, seed)
        ratio = finish(network) / bound_s(count)
        results[f"weights.time_over_bound_N{count}"] = ratio
        results[f"weights.origin_copies_N{count}"] = origin_copies(network, manifest)


def measure_baseline(seed, results):
    """Measure the time when each instance pulls from the origin."""
    network, manifest = build(64, seed, alone=True)
    results["weights.baseline_time_over_bound_N64"] = finish(network) / bound_s(64)
    copies = origin_copies(network, manifest)
    results["weights.baseline_origin_copies_N64"] = copies


def measure_regions(seed, results):
    """Measure the crossings of links between three regions."""
    regions = 3
    network, manifest = build(48, seed, regions)
    time_s = finish(network)
    chunks = len(manifest.chunk_digests)
    crossings = network.crossings / (chunks * (regions - 1))
    results["weights.crossings_per_chunk"] = crossings
    results["weights.origin_copies_3_regions"] = origin_copies(network, manifest)
    slowest_s = MODEL_BYTES / REGION_BYTES_PER_S
    results["weights.time_over_region_link_3_regions"] = time_s / slowest_s


def inject_faults(network, seed, until_share):
    """Kill and replace 1 machine in 8, stall two links, damage 1 chunk in 100.

    :param network: :class:`swarm.Network` before its run.
    :param seed: integer.
    :param until_share: the kills are spread over this share of one copy's time.
    """
    rng = random.Random(seed)
    names = sorted(network.instances)
    victims = rng.sample(names, len(names) // 8)
    window_s = until_share * MODEL_BYTES / MACHINE_BYTES_PER_S
    for number, name in enumerate(victims):
        time_s = window_s * (number + 1) / len(victims)
        network.at(time_s, network.kill, name, REPLACE_AFTER_S)
    others = [name for name in names if name not in victims]
    for _ in range(2):
        a, b = rng.sample(others, 2)
        network.at(window_s / 2, network.stall, a, b)
    network.conditions.corrupt_share = CORRUPT_SHARE


def measure_faults(seed, results):
    """Measure the time to 64 replicas with faults.

    A machine that starts at time t cannot have its copy before t plus one copy. The
    kills of the first run are spread over the first third of a copy, so that the goal
    can be met. In the second they are spread over the whole copy, and the time of each
    machine counts from its own start.
    """
    network, manifest = build(64, seed)
    inject_faults(network, seed, 1 / 3)
    time_s = finish(network)
    results["weights.time_over_bound_N64_faulty"] = time_s / bound_s(64)
    copies = origin_copies(network, manifest)
    results["weights.origin_copies_N64_faulty"] = copies
    network, manifest = build(64, seed)
    inject_faults(network, seed, 1.0)
    finish(network)
    durations_s = [
        end_s - network.started_s[name]
        for (name, _), end_s in network.completed_s.items()
    ]
    results["weights.machine_time_over_bound_N64_late_kills"] = max(
        durations_s
    ) / bound_s(64)


def measure_prefer(seed, results):
    """Measure both values of ``prefer`` while 1 machine in 8 is paused.

    The time is that of the machines that are not paused; the others cannot have their
    copies earlier than the pause allows.
    """
    for prefer, key in (("time", "time"), ("origin_bytes", "origin")):
        network, manifest = build(64, seed, prefer=prefer)
        names = sorted(network.instances)
        paused = random.Random(seed).sample(names, len(names) // 8)
        for name in paused:
            network.at(PAUSE_AFTER_S, network.pause, name, PAUSE_S)
        others = {(name, manifest.digest) for name in names if name not in paused}
        finish_some(network, others)
        ratio = network.now_s / bound_s(64)
        results[f"weights.prefer_{key}_time_over_bound"] = ratio
        finish(network)
        copies = origin_copies(network, manifest)
        results[f"weights.prefer_{key}_origin_copies"] = copies


def finish_some(network, copies):
    """Run until these copies are complete.

    :param network: :class:`swarm.Network`.
    :param copies: set of ``(instance name, manifest digest)``.
    :raises ValueError: when one is missing at the limit.
    """
    if not network.run(LIMIT_S, lambda: copies <= network.completed_s.keys()):
        raise ValueError(f"copies are missing after {LIMIT_S} s")


def measure_chunk_sizes(seed, results):
    """Measure the time to 64 replicas for several chunk sizes."""
    for size_kib in CHUNK_SIZES_KIB:
        chunk_bytes = size_kib * KIB // swarm.SCALE
        network, _ = build(64, seed, chunk_bytes=chunk_bytes)
        copy_s = MODEL_BYTES / MACHINE_BYTES_PER_S
        share = finish(network) / copy_s
        results[f"weights.time_over_copy_N64_chunk_{size_kib}_kib"] = share


class Requests:
    """Live requests at every machine, on the same links as the chunks.

    :param network: :class:`swarm.Network`.
    :param seed: integer; the same seed gives the same requests.
    """

    def __init__(self, network, seed):
        self.network = network
        self.latencies_s = []
        self._recent = {
            name: collections.deque(maxlen=LATENCY_WINDOW) for name in network.instances
        }
        self._ideal_s = (
            statistics.mean(SERVICE_S)
            + (REQUEST_BYTES + RESPONSE_BYTES) / MACHINE_BYTES_PER_S
        )
        for number, name in enumerate(sorted(network.instances)):
            rng = random.Random(seed * 1000 + number)
            network.at(rng.expovariate(REQUESTS_PER_S), self._arrive, name, rng)
            network.at(1.0, self._report, name)

    def _arrive(self, name, rng):
        network = self.network
        now_s = network.now_s
        network.at(now_s + rng.expovariate(REQUESTS_PER_S), self._arrive, name, rng)
        service_s = rng.uniform(*SERVICE_S)
        in_s = network.down[name].pass_small(REQUEST_BYTES, CHUNK_BYTES, now_s)
        network.at(now_s + in_s + service_s, self._answer, name, now_s)

    def _answer(self, name, start_s):
        now_s = self.network.now_s
        out_s = self.network.up[name].pass_small(RESPONSE_BYTES, CHUNK_BYTES, now_s)
        self.latencies_s.append(now_s + out_s - start_s)
        self._recent[name].append(self.latencies_s[-1])

    def _report(self, name):
        """Tell the agent how its requests fare, as its edge does every second."""
        network = self.network
        recent = self._recent[name]
        if len(recent) >= LATENCY_WINDOW // 2:
            ratio = statistics.mean(recent) / self._ideal_s
            network.event(name, "request_latency", ratio)
        network.at(network.now_s + 1.0, self._report, name)


def measure_requests(seed, results):
    """Measure the latency of live requests with and without a distribution."""
    network, _ = build(64, seed)
    during = Requests(network, seed)
    time_s = finish(network)
    results["weights.time_over_bound_N64_with_requests"] = time_s / bound_s(64)
    idle, _ = build(64, seed, start=False)
    without = Requests(idle, seed)
    idle.run(time_s, lambda: False)
    for key, value in (
        ("request_latency_ratio", lambda latencies: percentile(latencies, 0.95)),
        ("request_latency_ratio_mean", statistics.mean),
    ):
        ratio = value(during.latencies_s) / value(without.latencies_s)
        results[f"weights.{key}"] = ratio


def percentile(values, share):
    """Return the value that a share of the values does not exceed."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def run(seed):
    """Run all measurements.

    :param seed: integer.
    :returns: dict from key to number.
    """
    results = {}
    measure_sizes(seed, results)
    measure_baseline(seed, results)
    measure_regions(seed, results)
    measure_faults(seed, results)
    measure_prefer(seed, results)
    measure_chunk_sizes(seed, results)
    measure_requests(seed, results)
    return results
