"""In-memory message queue with shaped links that drives the decision objects.

Nothing here is part of the product: agents are :class:`transfers.Transfers` objects,
their messages and chunks pass through one event queue with simulated time. A byte of
simulated weights stands for ``SCALE`` bytes on a link. The bench and the scenarios use
it; faults are methods of :class:`Network`.
"""

import dataclasses
import heapq
import itertools
import math
import random

from cicadaplank.messages import types
from cicadaplank.weights import chunks, effects, manifests, transfers
from cicadaplank.world import machines

SCALE = 1024
HOP_S = 0.001
REGION_HOP_S = 0.002
# Shortest distance between two ticks of an agent.
MIN_TICK_S = 1e-4


# Flows share a link in turns of this size, as packets in socket buffers do.
SEGMENT_BYTES = 64


class Pipe:
    """One direction of a link that sends one chunk after the other.

    :param bytes_per_s: rate.
    """

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.free_s = 0.0

    def send(self, size_bytes, now_s):
        """Return when the last byte has left."""
        self.free_s = max(now_s, self.free_s) + size_bytes / self.bytes_per_s
        return self.free_s

    def pass_small(self, size_bytes, chunk_bytes, now_s):
        """Send a request or a response between the chunks.

        It waits for one segment of each chunk on the link.

        :returns: seconds until its last byte has left.
        """
        backlog_bytes = max(0.0, self.free_s - now_s) * self.bytes_per_s
        flows = math.ceil(backlog_bytes / chunk_bytes)
        wait_bytes = min(backlog_bytes, flows * SEGMENT_BYTES)
        self.send(size_bytes, now_s)
        return (wait_bytes + size_bytes) / self.bytes_per_s


@dataclasses.dataclass
class Conditions:
    """What the links and the platform do.

    :param machine_bytes_per_s: link of each machine, each direction.
    :param region_bytes_per_s: link between any two regions, each direction.
    :param origin_bytes_per_s: link of the origin.
    :param corrupt_share: share of chunks between agents that arrive corrupted.
    :param origin: ``up``, ``down`` (refuses), ``silent`` (never answers), ``limited``
        (429 beyond ``origin_limit`` chunks in progress) or ``corrupt``.
    :param store: ``up`` or ``down``; gives manifests.
    """

    machine_bytes_per_s: float
    region_bytes_per_s: float
    origin_bytes_per_s: float
    corrupt_share: float = 0.0
    origin: str = "up"
    origin_limit: int = 4
    store: str = "up"


class Network:
    """Event queue, links, origin and agents of one run.

    :param instances: list of :class:`machines.Instance`; the origin is in the region
        of the first.
    :param conditions: :class:`Conditions`.
    :param seed: integer.
    :param memory_bytes: memory of each agent's chunk store.
    :param limits: :class:`transfers.TransferLimits` of the agents.
    """

    def __init__(self, instances, conditions, seed, memory_bytes, limits=None):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.conditions = conditions
        self.memory_bytes = memory_bytes
        self._limits = limits
        self.origin_region = instances[0].region
        self.instances = {instance.name: instance for instance in instances}
        self.catalogue = {}
        self.wanted = {}
        self._wanted_count = 0
        self.agents = {}
        self.region_pipes = {}
        self.up = {n: Pipe(conditions.machine_bytes_per_s) for n in self.instances}
        self.down = {n: Pipe(conditions.machine_bytes_per_s) for n in self.instances}
        self.stalled, self.cut, self.corrupting = set(), set(), set()
        self.liars = {}
        self.mute, self.no_origin = set(), set()
        self.partial = []
        self.origin_log = []
        self.completed_s, self.started_s = {}, {}
        self.seen = []
        self.origin_chunks = 0
        self.origin_busy = 0
        self.refused_429 = 0
        self.early_after_429 = 0
        self.store_reads = 0
        self.crossings = 0
        self.events = 0
        self._quiet_s = {}
        self._paused_s = {}
        self._origin_pipe = Pipe(conditions.origin_bytes_per_s)
        self._lives = dict.fromkeys(self.instances, 0)
        self._queue = []
        self._order = itertools.count()
        self._wake = {}

    # Operators.

    def publish(self, manifest, data):
        """Make a version available at the origin and the object store."""
        self.catalogue[manifest.digest] = (manifest, data)

    def accept(self, wanted, names=None):
        """Give the named instances, or all, these rows."""
        for name in names or self.instances:
            self._wanted_count += len(wanted) - len(self.wanted.get(name, ()))
            self.wanted[name] = tuple(wanted)
            if name in self.agents:
                self.at(self.now_s, self.event, name, "rows_changed", tuple(wanted))

    def start(self, names=None):
        """Start agents with empty stores."""
        conditions = self.conditions
        for name in names or self.instances:
            self._lives[name] += 1
            self.started_s[name] = self.now_s
            self.up[name] = Pipe(conditions.machine_bytes_per_s)
            self.down[name] = Pipe(conditions.machine_bytes_per_s)
            self.agents[name] = transfers.Transfers(
                self.instances[name],
                chunks.ChunkStore(self.memory_bytes),
                transfers.LinkRates(
                    conditions.machine_bytes_per_s, conditions.region_bytes_per_s
                ),
                self.origin_region,
                random.Random(self.rng.random()),
                self.now_s,
                self._limits,
            )
            instances = tuple(self.instances.values())
            self.at(self.now_s, self.event, name, "instances_changed", instances)
            wanted = self.wanted.get(name, ())
            self.at(self.now_s, self.event, name, "rows_changed", wanted)

    # Faults.

    def kill(self, name, replace_after_s=None):
        """Kill an agent; peers see its streams break."""
        self.agents.pop(name, None)
        self._lives[name] += 1
        self._wake.pop(name, None)
        for key in [key for key in self.completed_s if key[0] == name]:
            del self.completed_s[key]
        for peer in self.agents:
            self.at(self.now_s + HOP_S, self.event, peer, "peer_lost", name)
        if replace_after_s is not None:
            self.at(self.now_s + replace_after_s, self.start, (name,))

    def pause(self, name, duration_s):
        """Pause an agent's process; what happens meanwhile reaches it afterwards."""
        self._paused_s[name] = self.now_s + duration_s

    def stall(self, a, b):
        """Stall the link between two agents without closing it."""
        self.stalled |= {(a, b), (b, a)}

    def partition(self, data_centre):
        """Isolate a data centre from all others and from the platform."""
        self.cut.add(data_centre)

    def heal(self):
        """End all partitions and stalls."""
        self.cut.clear()
        self.stalled.clear()

    def _passes(self, a, b):
        if (a, b) in self.stalled:
            return False
        there, here = self.instances[a].data_centre, self.instances[b].data_centre
        return there == here or not {there, here} & self.cut

    # Events.

    def at(self, time_s, function, *args):
        """Call a function at a simulated time."""
        heapq.heappush(self._queue, (time_s, next(self._order), function, args))

    def event(self, name, method, *args):
        """Give an event to an agent that still runs."""
        agent = self.agents.get(name)
        if agent is None:
            return
        until_s = self._paused_s.get(name, 0.0)
        if until_s > self.now_s:
            self.at(until_s, self.event, name, method, *args)
            return
        for action in getattr(agent, method)(*args, self.now_s):
            self._do(name, action)
        wake_s = agent.wake_s()
        if wake_s is None:
            return
        wake_s = max(wake_s, self.now_s + MIN_TICK_S)
        if wake_s < self._wake.get(name, float("inf")) - MIN_TICK_S / 2:
            self._wake[name] = wake_s
            self.at(wake_s, self._tick, name, wake_s)

    def _tick(self, name, wake_s):
        if self._wake.get(name) == wake_s:
            del self._wake[name]
            self.event(name, "tick")

    def _do(self, name, action):
        if isinstance(action, effects.Send):
            self._send(name, action.peer, action.message)
        elif isinstance(action, effects.FetchChunk):
            self._fetch(name, action)
        elif isinstance(action, effects.FetchManifest):
            self._read_store(name, action.manifest_digest)
        else:
            self.seen.append((self.now_s, name, action))
            if isinstance(action, effects.CopyComplete):
                self._check_copy(name, action.manifest_digest)
                self.completed_s[name, action.manifest_digest] = self.now_s

    def _check_copy(self, name, digest):
        store = self.agents[name].store
        for chunk_digest, data in self.catalogue[digest][1].items():
            if store.get(chunk_digest) != data:
                self.partial.append((name, digest, chunk_digest))

    def _read_store(self, name, digest):
        self.store_reads += 1
        done_s = self.now_s + 2 * HOP_S
        if self.conditions.store == "up" and not self._isolated(name):
            text = self.catalogue[digest][0].to_json()
            self.at(done_s, self.event, name, "manifest_fetched", digest, text)
        else:
            self.at(done_s, self.event, name, "manifest_failed", digest, 0.0)

    def _isolated(self, name):
        return self.instances[name].data_centre in self.cut

    # Messages between agents.

    def _send(self, sender, receiver, message):
        if receiver not in self.agents:
            self.at(self.now_s + HOP_S, self.event, sender, "peer_lost", receiver)
            return
        if sender in self.mute and not isinstance(message, types.ChunkMap):
            return
        a, b = self.instances[sender], self.instances[receiver]
        hop_s = HOP_S if a.region == b.region else REGION_HOP_S
        message = self._falsified(sender, message)
        lives = (self._lives[sender], self._lives[receiver])
        arguments = (sender, receiver, lives, message)
        if not isinstance(message, types.ChunkReply):
            self.at(self.now_s + hop_s, self._deliver, *arguments)
            return
        size_bytes = len(message.data)
        left_s = self.up[sender].send(size_bytes, self.now_s)
        self.at(left_s, self.event, sender, "chunk_left", receiver, message.transfer)
        if a.region != b.region:
            left_s = self._cross(a.region, b.region, size_bytes, left_s)
        self.at(left_s + hop_s, self._receive, size_bytes, *arguments)

    def _falsified(self, sender, message):
        if isinstance(message, types.ChunkMap) and sender in self.liars:
            return dataclasses.replace(message, have=self.liars[sender])
        if not isinstance(message, types.ChunkReply):
            return message
        damaged = self.rng.random() < self.conditions.corrupt_share
        if sender in self.corrupting or damaged:
            wrong = bytes(len(message.data) - 1) + b"?"
            return dataclasses.replace(message, data=wrong)
        return message

    def _cross(self, source, target, size_bytes, now_s):
        self.crossings += 1
        rate = self.conditions.region_bytes_per_s
        pipe = self.region_pipes.setdefault((source, target), Pipe(rate))
        return pipe.send(size_bytes, now_s)

    def _receive(self, size_bytes, sender, receiver, lives, message):
        """Pass a chunk through the receiver's link, which it entered while sent."""
        pipe = self.down[receiver]
        done_s = pipe.send(size_bytes, self.now_s - size_bytes / pipe.bytes_per_s)
        arguments = (sender, receiver, lives, message)
        self.at(max(done_s, self.now_s), self._deliver, *arguments)

    def _deliver(self, sender, receiver, lives, message):
        if lives != (self._lives[sender], self._lives[receiver]):
            return
        if self._passes(sender, receiver):
            self.event(receiver, "message_received", sender, message)

    # The origin.

    def _fetch(self, name, action):
        digest = action.chunk_digest
        self.origin_log.append((self.now_s, name, digest))
        told_s, until_s = self._quiet_s.get(name, (0.0, 0.0))
        if told_s < self.now_s < until_s:
            self.early_after_429 += 1
        state = self.conditions.origin
        if state == "silent" or name in self.no_origin:
            return
        if state == "down" or self._isolated(name):
            self._fail(name, digest, 0.0)
            return
        if state == "limited" and self.origin_busy >= self.conditions.origin_limit:
            self.refused_429 += 1
            told_s = self.now_s + 2 * HOP_S
            self._quiet_s[name] = (told_s, told_s + 1.0)
            self._fail(name, digest, 1.0)
            return
        self.origin_chunks += 1
        self.origin_busy += 1
        left_s = self._origin_pipe.send(action.size_bytes, self.now_s + HOP_S)
        region = self.instances[name].region
        if region != self.origin_region:
            size_bytes = action.size_bytes
            left_s = self._cross(self.origin_region, region, size_bytes, left_s)
        self.at(left_s + HOP_S, self._arrive, name, self._lives[name], action)

    def _fail(self, name, digest, retry_after_s):
        arguments = (name, "origin_failed", digest, retry_after_s)
        self.at(self.now_s + 2 * HOP_S, self.event, *arguments)

    def _arrive(self, name, life, action):
        self.origin_busy -= 1
        if self._lives[name] != life:
            return
        if self.conditions.origin in ("down", "silent") or self._isolated(name):
            self._fail(name, action.chunk_digest, 0.0)
            return
        pipe = self.down[name]
        start_s = self.now_s - action.size_bytes / pipe.bytes_per_s
        done_s = max(self.now_s, pipe.send(action.size_bytes, start_s))
        data = self._origin_data(action)
        digest = action.chunk_digest
        self.at(done_s, self.event, name, "origin_replied", digest, data)

    def _origin_data(self, action):
        if self.conditions.origin == "corrupt":
            return bytes(action.size_bytes)
        for _, data in self.catalogue.values():
            if action.chunk_digest in data:
                return data[action.chunk_digest]
        raise ValueError(f"the origin has no chunk {action.chunk_digest}")

    # Time.

    def run(self, limit_s, until=None):
        """Run until a condition holds.

        :param limit_s: simulated time at which the run ends in any case.
        :param until: function without arguments; by default, every running agent has
            every version that it wants.
        :returns: True when the condition held before the limit.
        """
        until = until or self.all_complete
        while self._queue and not until():
            if self._queue[0][0] > limit_s:
                break
            self.now_s, _, function, args = heapq.heappop(self._queue)
            self.events += 1
            function(*args)
        if until():
            return True
        self.now_s = max(self.now_s, limit_s)
        return False

    def all_complete(self):
        """Tell whether every instance runs and has every version that it wants."""
        if len(self.agents) < len(self.instances):
            return False
        # The count rules out most calls; this is asked after every event.
        if len(self.completed_s) < self._wanted_count:
            return False
        return all(
            (name, entry.manifest_digest) in self.completed_s
            for name, entries in self.wanted.items()
            for entry in entries
        )


def deployment(count, regions=1, data_centres=2):
    """Return instances spread over regions and data centres."""
    instances = []
    for number in range(count):
        region = f"r{number % regions}"
        data_centre = f"{region}-d{number // regions % data_centres}"
        name = f"agent{number:04d}"
        instances.append(
            machines.Instance(name, "agent", "127.0.0.1", 0, region, data_centre)
        )
    return instances


def model(chunk_count, chunk_bytes, seed, name="model", version="v1"):
    """Return a manifest and its chunks with scaled sizes."""
    data = random.Random(seed).randbytes(chunk_count * chunk_bytes)
    return manifests.build(name, version, data, chunk_bytes)
