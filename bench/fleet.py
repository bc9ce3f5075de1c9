"""A deployment in memory: the decision objects of each process, joined by messages.

Time, message sizes, latencies and the platform's table service are modelled; there are
no sockets. Scenarios and measurements share it.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from cicadaplank.members import membership
from cicadaplank.messages import actions, codec
from cicadaplank.table import acceptance, distribution, records
from cicadaplank.world import contracts, links, machines

TICK_S = 0.1
REQUEST_TIMEOUT_S = 1.0
LOCAL_LATENCY_S = 0.0005
DATA_CENTRE_LATENCY_S = 0.001
REGION_LATENCY_S = 0.002
REGION_BYTES_PER_S = 14e6 / 8
FRAME_PREFIX_BYTES = 4
PLATFORM = "platform"


class TableService:
    """The platform's table service with its faults.

    ``down`` refuses connections. ``faults`` apply to the next transactions, one each:
    ``lost_answer`` (takes effect), ``lost_request`` (no effect) or ``late`` (takes
    effect after the client's timeout); the client sees the same in all three cases.
    """

    def __init__(self):
        self.down = False
        self.faults = []
        self.extra_latency_s = 0.0
        self.reads = 0
        self.writes = 0
        self._records = {}
        self._revision = 0

    def read(self, keys):
        """Return the records of the keys."""
        self.reads += 1
        found = [records.Record(k, *self._records[k]) for k in keys if self.has(k)]
        return records.RecordsRead(tuple(found))

    def has(self, key):
        """Tell whether the key is recorded."""
        return key in self._records

    def transact(self, request):
        """Carry out a transaction."""
        self.writes += 1
        for key, expected in request.conditions:
            if self._records.get(key, ("", 0))[1] != expected:
                return records.Conflict()
        self._revision += 1
        for key, value in request.puts:
            self._records[key] = (value, self._revision)
        return records.Committed()

    def snapshot(self):
        """Return a copy of all records."""
        return dict(self._records)

    def restore(self, snapshot):
        """Go back to an earlier copy."""
        self._records = dict(snapshot)
        self._revision += 1000

    def configurations(self):
        """Return every recorded configuration, the oldest first."""
        return [
            contracts.parse_configuration(value)
            for key, (value, _) in sorted(self._records.items())
            if key.startswith(records.VERSION_PREFIX)
        ]

    def current(self):
        """Return the content of ``table/current``."""
        key = records.CURRENT_KEY
        value, revision = self._records.get(key, ("", 0))
        return records.parse_current(records.Record(key, value, revision))


class Process:
    """The edge of one process, without sockets."""

    def __init__(self, fleet, instance, incarnation, clock_offset_s=0.0, rate=1.0):
        rng = random.Random(f"{fleet.seed}/{instance.name}/{incarnation}")
        self.fleet = fleet
        self.instance = instance
        self.name = instance.name
        self.data_centre = instance.data_centre
        self.clock_offset_s = clock_offset_s
        self.clock_rate = rate
        self.alive = True
        self.paused = False
        self.held_events = []
        self.membership = membership.Membership(instance, incarnation, rng)
        self.distribution = distribution.Distribution(self.name, rng)
        self.alerts = []
        self.rejected_peers = []
        self.in_force = []
        self.ready_s = None
        self.sent_bytes = self.received_bytes = 0
        self.sent = self.received = 0

    def clock(self):
        """Return the process's own monotonic time in seconds."""
        return self.clock_offset_s + self.fleet.now_s * self.clock_rate

    def start(self):
        """Start both decision objects."""
        now_s = self.clock()
        self.carry_out(self.membership.start(now_s))
        self.carry_out(self.distribution.start(now_s))
        self.fleet.after(self.fleet.rng.uniform(0, TICK_S), self.tick)

    def tick(self):
        """Let time pass in both decision objects."""
        if not self.alive:
            return
        self.fleet.after(TICK_S, self.tick)
        if self.paused:
            return
        now_s = self.clock()
        self.membership.poll_age_s = self.distribution.poll_age_s(now_s)
        self.carry_out(self.membership.tick(now_s))
        self.carry_out(self.distribution.tick(now_s))
        if self.ready_s is None and self.distribution.ready(now_s):
            self.ready_s = self.fleet.now_s
            self.membership.ready(now_s)

    def receive(self, frame):
        """Take one frame of a peer."""
        if not self.alive:
            return
        if self.paused:
            self.held_events.append((self.receive, frame))
            return
        self.received_bytes += len(frame) + FRAME_PREFIX_BYTES
        self.received += 1
        envelope = codec.decode(frame)
        peer, message, now_s = envelope.sender, envelope.message, self.clock()
        self.membership.poll_age_s = self.distribution.poll_age_s(now_s)
        self.carry_out(self.membership.heard(peer, now_s))
        self.carry_out(
            self.distribution.version_received(peer, envelope.table_version, now_s)
        )
        self.carry_out(self.membership.message(peer, message, now_s))
        self.carry_out(self.distribution.message(peer, message, now_s))

    def answered(self, event):
        """Take a result of the table service."""
        if not self.alive:
            return
        if self.paused:
            self.held_events.append((self.answered, event))
            return
        self.carry_out(self.distribution.answered(event, self.clock()))

    def resume(self):
        """Continue after a pause; what arrived meanwhile is handled first."""
        if not self.paused:
            return
        self.paused = False
        held, self.held_events = self.held_events, []
        for handler, event in held:
            handler(event)

    def carry_out(self, found):
        """Carry out actions in order."""
        for action in found:
            self._carry_out(action)

    def _carry_out(self, action):
        now_s = self.clock()
        if isinstance(action, actions.Send):
            self.fleet.send(self, action.peer, action.message)
        elif isinstance(action, distribution.AnnounceVersion):
            self.membership.poll_age_s = self.distribution.poll_age_s(now_s)
            self.carry_out(self.membership.announce(now_s))
        elif isinstance(action, records.ReadKeys):
            if self.name in self.fleet.unplugged:
                unreached = records.Unavailable("unreachable")
                self.fleet.after(REQUEST_TIMEOUT_S, self.answered, unreached)
                return
            self.fleet.request(self.data_centre, action, self.answered)
        elif isinstance(action, membership.MembersChanged):
            self.carry_out(self.distribution.view_changed(action.view, now_s))
        elif isinstance(action, membership.ReadInstances):
            if self.fleet.connected(self.data_centre, PLATFORM):
                listed = self.fleet.listed
                self.carry_out(self.membership.listed(listed, now_s))
        elif isinstance(action, distribution.ApplyConfiguration):
            self.in_force.append((self.fleet.now_s, action.configuration))
            self.fleet.in_force(self, action.configuration)
        elif isinstance(action, actions.Alert):
            self.alerts.append(action)
        elif isinstance(action, membership.RejectPeer):
            self.rejected_peers.append(action.peer)
        else:
            raise TypeError(action)


class Operator:
    """The edge of one acceptance."""

    def __init__(self, fleet, data_centre, decision):
        self.fleet = fleet
        self.data_centre = data_centre
        self.decision = decision
        self.outcome = None
        self.outcome_s = None
        self.alerts = []

    def start(self):
        """Send the acceptance."""
        self._carry_out(self.decision.start(self.fleet.now_s))
        self.fleet.after(TICK_S, self._tick)

    def _tick(self):
        if self.outcome is None:
            self._carry_out(self.decision.tick(self.fleet.now_s))
            self.fleet.after(TICK_S, self._tick)

    def _answered(self, event):
        self._carry_out(self.decision.answered(event, self.fleet.now_s))

    def _carry_out(self, found):
        for action in found:
            if isinstance(action, acceptance.Finished):
                self.outcome, self.outcome_s = action.outcome, self.fleet.now_s
            elif isinstance(action, actions.Alert):
                self.alerts.append(action)
            else:
                self.fleet.request(self.data_centre, action, self._answered)


class Fleet:
    """All processes of a deployment and what joins them.

    :param instances: tuple of :class:`cicadaplank.world.machines.Instance`.
    :param seed: seed of every random choice.
    :param list_lag_s: time after which the platform's list shows a change.
    """

    def __init__(self, instances, seed, list_lag_s=30.0):
        self.seed = seed
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.list_lag_s = list_lag_s
        self.service = TableService()
        self.listed = tuple(
            membership.InstanceListEntry(instance) for instance in instances
        )
        self.instances = {instance.name: instance for instance in instances}
        self.regions = {i.data_centre: i.region for i in instances}
        self.cuts = set()
        self.processes = {}
        self.ended = []
        self.first_in_force_s = {}
        self.observers = []
        self.requests = collections.Counter()
        self.loss = 0.0
        self.unplugged = set()
        self.muted = set()
        self.bytes_by_type = collections.Counter()
        self._links = {}
        self._events = []
        self._order = itertools.count()
        self._incarnation = 0

    def start(self, clocks=None):
        """Start every process.

        :param clocks: dict from name to arguments of :class:`Process`'s clock.
        """
        for name in self.instances:
            self.start_process(name, **(clocks or {}).get(name, {}))

    def start_process(self, name, **clock):
        """Start a process, or its replacement under the same name."""
        self._incarnation += 1
        process = Process(self, self.instances[name], self._incarnation, **clock)
        self.processes[name] = process
        process.start()
        return process

    def kill(self, name):
        """End a process without notice; the platform's list lags."""
        process = self.processes[name]
        process.alive = False
        self.ended.append(process)
        self.after(self.list_lag_s, self._unlist, name)

    def _unlist(self, name):
        if not self.processes[name].alive:
            self.listed = tuple(e for e in self.listed if e.instance.name != name)

    def pause(self, name, duration_s):
        """Suspend a process for a time; what arrives waits."""
        process = self.processes[name]
        process.paused = True
        self.after(duration_s, process.resume)

    def pollers(self):
        """Return the names of all processes that poll the table service."""
        return [p.name for p in self.running() if p.name in p.membership.view.pollers]

    def replace(self, name, **clock):
        """Start a replacement under the same name and address."""
        process = self.start_process(name, **clock)
        if all(entry.instance.name != name for entry in self.listed):
            self.listed += (membership.InstanceListEntry(self.instances[name]),)
        return process

    def after(self, delay_s, handler, *values):
        """Call a handler later."""
        event = (self.now_s + delay_s, next(self._order), handler, values)
        heapq.heappush(self._events, event)

    def run(self, duration_s):
        """Let simulated time pass."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, handler, values = heapq.heappop(self._events)
            handler(*values)
        self.now_s = end_s

    def run_until(self, condition, limit_s):
        """Let time pass until a condition holds.

        :returns: seconds that passed, or None when the limit was reached.
        """
        start_s = self.now_s
        while self.now_s < start_s + limit_s:
            if condition():
                return self.now_s - start_s
            self.run(0.02)
        return self.now_s - start_s if condition() else None

    def cut(self, one, other):
        """Partition two data centres, or one and the platform."""
        self.cuts.add(frozenset((one, other)))

    def isolate(self, data_centre):
        """Partition a data centre from everything else."""
        for other in (*self.regions, PLATFORM):
            if other != data_centre:
                self.cut(data_centre, other)

    def heal(self):
        """End every partition."""
        self.cuts.clear()

    def connected(self, one, other):
        """Tell whether two places reach each other."""
        return frozenset((one, other)) not in self.cuts

    def latency_s(self, one, other):
        """Return the one-way latency between two data centres."""
        if one == other:
            return LOCAL_LATENCY_S
        same = self.regions.get(one) == self.regions.get(other)
        return DATA_CENTRE_LATENCY_S if same else REGION_LATENCY_S

    def send(self, sender, peer, message):
        """Deliver a message, or lose it to a partition or a dead process."""
        version = sender.distribution.version
        frame = codec.encode(codec.Envelope(sender.name, version, message))
        sender.sent_bytes += len(frame) + FRAME_PREFIX_BYTES
        sender.sent += 1
        self.bytes_by_type[type(message).__name__] += len(frame)
        receiver = self.processes.get(peer)
        if receiver is None or not self.connected(
            sender.data_centre, receiver.data_centre
        ):
            return
        if self.muted & {sender.name, peer, frozenset((sender.name, peer))}:
            return
        if self.loss and self.rng.random() < self.loss:
            return
        one, other = sender.data_centre, receiver.data_centre
        delay_s = self.latency_s(one, other)
        if self.regions[one] != self.regions[other]:
            delay_s += self._link(one, other).reserve(len(frame), self.now_s)
        self.after(delay_s, receiver.receive, frame)

    def _link(self, one, other):
        key = self.regions[one], self.regions[other]
        if key not in self._links:
            self._links[key] = links.TokenBucket(REGION_BYTES_PER_S, 65536, self.now_s)
        return self._links[key]

    def request(self, data_centre, request, answered):
        """Carry a request to the table service and its result back."""
        self.requests[data_centre] += 1
        delay_s = REGION_LATENCY_S + self.service.extra_latency_s
        self.after(delay_s, self._serve, data_centre, request, answered)

    def _serve(self, data_centre, request, answered):
        lost = records.Unavailable("no answer")
        if isinstance(request, records.Transact):
            lost = records.AnswerLost()
        if not self.connected(data_centre, PLATFORM):
            # The connection cannot be opened, so nothing was sent.
            unreached = records.Unavailable("unreachable")
            self.after(REQUEST_TIMEOUT_S, answered, unreached)
            return
        if self.service.down:
            refused = records.Unavailable("connection refused")
            self.after(REGION_LATENCY_S, answered, refused)
            return
        if isinstance(request, records.ReadKeys):
            result = self.service.read(request.keys)
            self.after(REGION_LATENCY_S, answered, result)
            return
        fault = self.service.faults.pop(0) if self.service.faults else ""
        if fault == "late":
            delay_s = REQUEST_TIMEOUT_S + self.rng.uniform(0.0, 2.0)
            self.after(delay_s, self.service.transact, request)
        elif fault != "lost_request":
            result = self.service.transact(request)
        if fault:
            self.after(REQUEST_TIMEOUT_S, answered, lost)
        else:
            self.after(REGION_LATENCY_S, answered, result)

    def accept(self, change_id, table, base=None, data_centre=None, known=None):
        """Let an operator accept a table.

        :param change_id: identifier of the change.
        :param table: proposed table.
        :param base: version planned against; the one of the service by default.
        :param data_centre: where the operator is; the first by default.
        :param known: highest configuration that the operator's instance holds.
        :returns: :class:`Operator`, already started.
        """
        if base is None:
            base = self.service.current().version
        decision = acceptance.Acceptance(
            change_id,
            base,
            table,
            random.Random(f"{self.seed}/{change_id}"),
            known or contracts.EMPTY,
        )
        operator = Operator(self, data_centre or next(iter(self.regions)), decision)
        operator.start()
        return operator

    def in_force(self, process, configuration):
        """Tell every observer that a process enforces a configuration."""
        for observer in self.observers:
            observer(process, configuration)

    def running(self):
        """Return the processes that are neither dead nor paused."""
        return [p for p in self.processes.values() if p.alive and not p.paused]

    def status_reports(self, data_centre):
        """Return the status replies that an operator in a data centre gets."""
        return {
            p.name: p.distribution.status(p.clock(), p.membership.state)
            for p in self.running()
            if self.connected(data_centre, p.data_centre)
        }


def instances(data_centres, entries, agents, regions=2):
    """Return the instances of a deployment, spread evenly.

    :param data_centres: number of data centres.
    :param entries: number of entry instances.
    :param agents: number of agents.
    :param regions: number of regions.
    :returns: tuple of :class:`cicadaplank.world.machines.Instance`.
    """
    found = []
    for role, count in (("entry", entries), ("agent", agents)):
        for position in range(count):
            place = position % data_centres
            region = f"region-{place % regions}"
            name = f"dc{place}-{role}-{position // data_centres:03d}"
            port = 10_000 + len(found)
            found.append(
                machines.Instance(
                    name, role, "127.0.0.1", port, region, f"dc{place}", "north"
                )
            )
    return tuple(found)


def table(rows, agent_names, label="", clients=10):
    """Return a table of realistic size.

    :param rows: number of rows.
    :param agent_names: names of the agents, which are divided among the rows.
    :param label: version name of the first row, to tell tables apart.
    :param clients: number of limits of each row.
    :returns: :class:`cicadaplank.world.contracts.Table`.
    """
    limits = tuple(
        contracts.ClientLimit(f"client-{i:02d}", 100.0 + i, 40_000.0)
        for i in range(clients)
    )
    found = []
    for position in range(rows):
        version = label if position == 0 and label else "2026-11"
        holders = tuple(agent_names[position::rows]) or tuple(agent_names[:1])
        found.append(
            contracts.Row(
                f"row-{position:03d}",
                "model",
                version,
                records.digest(f"{position}/{version}"),
                8 << 30,
                holders=holders,
                limits=limits,
            )
        )
    return contracts.Table(tuple(found), (("north", tuple(agent_names)),))


def change(held, label):
    """Return a table with another version in its first row."""
    first = dataclasses.replace(
        held.rows[0], version=label, manifest_digest=records.digest(label)
    )
    return dataclasses.replace(held, rows=(first, *held.rows[1:]))


class NewWork:
    """Tries to start work at one endpoint and notes when it last succeeded.

    An entry sends when its own configuration and clock grant the work, and the agent
    takes it when its own do too.

    :param fleet: :class:`Fleet`.
    :param row: row name.
    :param agent: name of the agent.
    :param entries: names of the entries that try.
    :param unix_offsets: dict from process name to seconds that its Unix clock is ahead.
    """

    INTERVAL_S = 0.05

    def __init__(self, fleet, row, agent, entries, unix_offsets=None):
        self.fleet = fleet
        self.row = row
        self.agent = agent
        self.entries = entries
        self.unix_offsets = unix_offsets or {}
        self.last_s = None
        self.times_s = []
        self.ended = False
        self._try()

    def end(self, start_s, window_s):
        """Stop, and return how long after a time the last work of a window started.

        :param start_s: time from which there should be no new work.
        :param window_s: length of the window in seconds.
        :returns: seconds, 0 when no work started in the window.
        """
        self.ended = True
        end_s = start_s + window_s
        late = [at_s for at_s in self.times_s if start_s < at_s < end_s]
        return max(late, default=start_s) - start_s

    def _try(self):
        if self.ended:
            return
        self.fleet.after(self.INTERVAL_S, self._try)
        agent = self.fleet.processes[self.agent]
        if not agent.alive or agent.paused or not self._grants(agent):
            return
        for name in self.entries:
            entry = self.fleet.processes[name]
            member = next(
                (
                    m
                    for m in entry.membership.view.members
                    if m.instance.name == self.agent
                ),
                None,
            )
            reachable = self.fleet.connected(entry.data_centre, agent.data_centre)
            usable = member is not None and member.usable
            if entry.alive and reachable and usable and self._grants(entry):
                self.last_s = self.fleet.now_s
                self.times_s.append(self.last_s)
                return

    def _grants(self, process):
        unix_s = self.fleet.now_s + self.unix_offsets.get(process.name, 0.0)
        held = process.distribution.configuration.table
        leaving = process.membership.state == "leaving"
        return not leaving and held.grants(self.row, self.agent, "client-00", unix_s)
