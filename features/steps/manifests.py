"""Steps for the distribution of manifests over many agents."""

import collections
import dataclasses
import random
import types as plain_types

import behave
from twisted.internet import defer, task

from cicadaplank.external import errors
from cicadaplank.messages import types
from cicadaplank.replicas import manifest_search, process
from cicadaplank.weights import manifests
from features.steps import replicas

MODEL = replicas.MODEL
SERVICE = replicas.SETTINGS.service
REGIONS = {"a": "r-a", "b": "r-b", "c": "r-c"}
STEP_S = 0.005
# Delay of a message within a data centre, and to another one.
LOCAL_DELAY_S = 0.002
REMOTE_DELAY_S = 0.04
# A piece takes 84 ms on a machine's link and 44 ms on the origin's.
PIECE_BYTES = 1000
PIECE_COUNT = 48
MACHINE_BYTES_PER_S = PIECE_BYTES / 0.084
ORIGIN_PIECE_S = 0.044
CONNECT_TIMEOUT_S = 1.0
ACCEPT_S = 0.001


class CrowdedOrigin:
    """An origin whose accept queue is short, and which goes down for some time.

    :param clock: Twisted clock.
    :param queue_length: number of connections that wait to be accepted at most.
    """

    def __init__(self, clock, queue_length):
        self.clock = clock
        self.queue_length = queue_length
        self.down_s = (float("inf"), float("inf"))
        self.cut = set()
        self.pieces = [bytes([number]) * PIECE_BYTES for number in range(PIECE_COUNT)]
        self.spoils = set()
        # Host that is served at once while the others wait for ``queue_s`` at first.
        self.first = None
        self.queue_s = 0.0
        # Connections that are being opened, and the largest number of them, by call.
        self.dials = collections.Counter()
        self.most_dials = collections.Counter()
        self.sent = {}
        self.sends = 0
        self.manifests_sent = collections.Counter()
        self._waiting = 0
        self._accepted_s = 0.0
        self._link_free_s = 0.0

    def is_down(self):
        """Tell whether the origin takes no connection now."""
        return self.down_s[0] <= self.clock.seconds() < self.down_s[1]

    async def _sleep(self, delay_s):
        await task.deferLater(self.clock, delay_s, lambda: None)

    async def _connect(self, host, call):
        is_up = not self.is_down()
        if is_up:
            self.dials[call] += 1
            self.most_dials[call] = max(self.most_dials[call], self.dials[call])
        try:
            if not is_up or host in self.cut or self._waiting >= self.queue_length:
                await self._sleep(CONNECT_TIMEOUT_S)
                raise errors.Unavailable("no connection: timeout")
            self._waiting += 1
            now_s = self.clock.seconds()
            self._accepted_s = max(self._accepted_s, now_s) + ACCEPT_S
            await self._sleep(self._accepted_s - now_s)
            self._waiting -= 1
        finally:
            if is_up:
                self.dials[call] -= 1

    def manifest_of(self, version):
        """Return the manifest of a version."""
        digests = [manifests.chunk_digest(data) for data in self.pieces]
        return manifests.from_digests(
            MODEL, str(version), PIECE_BYTES, digests
        ).unwrap()

    async def manifest(self, host, model, version):
        """Send the manifest, wrong to hosts in ``spoils``."""
        await self._connect(host, "manifest")
        if self.first not in (None, host):
            await self._sleep(max(0.0, self.queue_s - self.clock.seconds()))
        self.manifests_sent[host] += 1
        found = self.manifest_of(version)
        if host in self.spoils:
            self.spoils.discard(host)
            digests = ("0" * 64, *found.chunk_digests[1:])
            return manifests.from_digests(
                MODEL, str(version), PIECE_BYTES, digests
            ).unwrap()
        return found

    async def piece(self, host, model, version, number):
        """Send a piece over the link."""
        await self._connect(host, "piece")
        now_s = self.clock.seconds()
        self._link_free_s = max(self._link_free_s, now_s) + ORIGIN_PIECE_S
        await self._sleep(self._link_free_s - now_s)
        if self.is_down():
            raise errors.AnswerLost("connection lost")
        self.sends += 1
        self.sent.setdefault(number, self.clock.seconds())
        return self.pieces[number]


@dataclasses.dataclass(frozen=True)
class OriginClient:
    """Client of one host at an origin."""

    origin: CrowdedOrigin
    host: str

    def manifest(self, model, version):
        """Return the coroutine of the call."""
        return self.origin.manifest(self.host, model, version)

    def piece(self, model, version, number):
        """Return the coroutine of the call."""
        return self.origin.piece(self.host, model, version, number)


class Mesh:
    """Agents that exchange messages with delays, in memory."""

    def __init__(self, clock):
        self.clock = clock
        self.agents = {}
        self.data_centres = {}
        self.cut = set()
        self.old_builds = set()
        self.link_free_s = collections.Counter()
        self.requests = collections.Counter()
        self.lost = collections.Counter()

    def is_open(self, one, other):
        """Tell whether two hosts reach each other."""
        return one not in self.cut and other not in self.cut

    def delay_s(self, one, other):
        """Return the delay of a message."""
        near = self.data_centres[one] == self.data_centres[other]
        return LOCAL_DELAY_S if near else REMOTE_DELAY_S


@dataclasses.dataclass(frozen=True)
class MeshConnection:
    """One direction between two agents of a mesh."""

    mesh: Mesh
    local: str
    peer: str
    hello = types.Hello("agent", "", "", 0)
    # Time for which a chunk arrives on an idle link.
    frame_receive_s = PIECE_BYTES / MACHINE_BYTES_PER_S

    def send(self, message, done=None):
        """Deliver a message after its delay, chunks at the rate of the link."""
        mesh = self.mesh
        if not mesh.is_open(self.local, self.peer):
            return False
        now_s, left_s = mesh.clock.seconds(), mesh.clock.seconds()
        if isinstance(message, types.ChunkReply):
            left_s = max(now_s, mesh.link_free_s[self.local])
            left_s += PIECE_BYTES / MACHINE_BYTES_PER_S
            mesh.link_free_s[self.local] = left_s
        if isinstance(message, types.VersionManifestRequest):
            mesh.requests[self.peer] += 1
        if done is not None:
            mesh.clock.callLater(left_s - now_s, done)
        delay_s = left_s - now_s + mesh.delay_s(self.local, self.peer)
        mesh.clock.callLater(delay_s, self._deliver, message)
        return True

    def _deliver(self, message):
        mesh = self.mesh
        back = MeshConnection(mesh, self.peer, self.local)
        if self.peer in mesh.old_builds and isinstance(
            message, (types.VersionManifestRequest, types.VersionManifestReply)
        ):
            # The codec of an old build rejects the frame, which closes the connection.
            mesh.lost[self.local, self.peer] += 1
            mesh.agents[self.local].connection_lost(self)
            mesh.agents[self.peer].connection_lost(back)
            return
        envelope = plain_types.SimpleNamespace(message=message)
        mesh.agents[self.peer].message_received(back, envelope)


@dataclasses.dataclass(frozen=True)
class MeshHub:
    """Hub of one agent of a mesh."""

    mesh: Mesh
    local: str
    pacer: plain_types.SimpleNamespace = dataclasses.field(
        default_factory=plain_types.SimpleNamespace
    )

    def connection(self, name):
        """Return no connection, so that every message is sent after a dial."""
        return None

    def dial(self, instance):
        """Return a Deferred of a connection, or of None when the peer is cut off."""
        if not self.mesh.is_open(self.local, instance.name):
            return task.deferLater(self.mesh.clock, CONNECT_TIMEOUT_S, lambda: None)
        return defer.succeed(MeshConnection(self.mesh, self.local, instance.name))


@behave.given(
    "{count:d} agents in 3 data centres, and an origin that queues {queue:d} dials"
)
def step_fleet(context, count, queue):
    clock = context.clock = task.Clock()
    origin = context.origin = CrowdedOrigin(clock, queue)
    mesh = context.mesh = Mesh(clock)
    for number in range(count):
        host, data_centre = f"10.0.0.{number + 1}", "abc"[number % 3]
        settings = dataclasses.replace(
            replicas.SETTINGS,
            name=host,
            host=host,
            region=REGIONS[data_centre],
            data_centre=data_centre,
            regions=REGIONS,
            link_bytes_per_s=MACHINE_BYTES_PER_S,
        )
        made = replicas.agent(
            "", origin=OriginClient(origin, host), clock=clock, settings=settings
        )
        made.hub = MeshHub(mesh, host)
        made._rng.seed(number)
        mesh.agents[host], mesh.data_centres[host] = made, data_centre
    context.served = set(mesh.agents)


def seeds_of(mesh, data_centre):
    """Return the agents of a data centre that ask the origin first."""
    key = manifest_search.version_key(MODEL, 2)
    names = [name for name, own in mesh.data_centres.items() if own == data_centre]
    ranked = manifest_search.rendezvous.ranked(key, names)
    return ranked[: manifest_search.SEEDS_PER_DATA_CENTRE]


@behave.given("in the fleet {trouble}")
def step_fleet_trouble(context, trouble):
    mesh, origin = context.mesh, context.origin
    if trouble == "3 in 10 agents are cut off":
        mesh.cut = set(random.Random(5).sample(sorted(mesh.agents), 15))
        origin.cut |= mesh.cut
        context.served -= mesh.cut
    elif trouble == "a data centre and two other agents are cut off":
        mesh.cut = {f"10.0.0.{number}" for number in range(1, 51, 3)}
        mesh.cut |= {"10.0.0.2", "10.0.0.3"}
        origin.cut |= mesh.cut
        context.served -= mesh.cut
    elif trouble == "the first agents of a data centre are cut off":
        mesh.cut = set(seeds_of(mesh, "b"))
        origin.cut |= mesh.cut
        context.served -= mesh.cut
    elif trouble == "only one data centre reaches the origin":
        origin.cut |= {n for n, own in mesh.data_centres.items() if own != "a"}
    elif trouble == "agents of a data centre run an old build":
        mesh.old_builds = {n for n, own in mesh.data_centres.items() if own == "c"}
        context.served -= mesh.old_builds
    elif trouble == "the origin sent wrong digests to a first agent of each":
        origin.spoils = {seeds_of(mesh, own)[0] for own in "abc"}
    elif trouble == "only one agent is answered at first, and with wrong digests":
        origin.first = seeds_of(mesh, "a")[0]
        origin.spoils = {origin.first}
        origin.queue_s = 1.0
    else:
        assert trouble == "nothing fails", trouble


def name_version(context):
    """Tell every agent of version 2."""
    mesh = context.mesh
    hosts = {SERVICE: dict(mesh.data_centres)}
    notice = types.WeightsNotice(
        1, [0, 1], {MODEL: 2}, [MODEL], "10.1.0.1:80", {}, hosts, {}
    )
    for made in mesh.agents.values():
        made._apply_notice(notice)


def run(context, until_s):
    """Let time pass, and keep when agents have the manifest and their copy."""
    mesh, clock = context.mesh, context.clock
    while clock.seconds() < until_s:
        clock.advance(STEP_S)
        for name, made in mesh.agents.items():
            copy = made._newest_copy
            if copy.manifest is not None:
                context.known_s.setdefault(name, clock.seconds())
            if copy.is_complete:
                context.complete_s.setdefault(name, clock.seconds())


@behave.when(
    "a version is named, the origin fails after {down_s:f} s, and {until_s:f} s pass"
)
def step_named_down(context, down_s, until_s):
    context.known_s, context.complete_s = {}, {}
    context.origin.down_s = (down_s, down_s + 6.0)
    name_version(context)
    run(context, until_s)


@behave.then("every agent that can get the manifest has it after {limit_s:f} s")
def step_manifest_known(context, limit_s):
    late = sorted(
        (context.known_s.get(name, float("inf")), name) for name in context.served
    )
    assert late[-1][0] <= limit_s, (
        sum(known_s > limit_s for known_s, _ in late),
        late[-1],
    )


@behave.then("at no time more than {limit:d} agents connect for the {call}")
def step_most_dials(context, limit, call):
    assert context.origin.most_dials[call] <= limit, context.origin.most_dials


@behave.then("no agent lost more than {limit:d} connections to the same peer")
def step_lost(context, limit):
    lost = context.mesh.lost
    assert lost and max(lost.values()) <= limit, lost


@behave.then("every agent has the right manifest")
def step_right_manifest(context):
    right = context.origin.manifest_of(2).digest
    wrong = [
        name
        for name, made in context.mesh.agents.items()
        if getattr(made._newest_copy.manifest, "digest", None) != right
    ]
    assert not wrong, wrong


@behave.then("no agent asked the origin for the manifest more than twice")
def step_asked_twice(context):
    asked = context.origin.manifests_sent
    assert max(asked.values()) <= 2, asked


@behave.then("all {count:d} pieces have left the origin after {limit_s:f} s")
def step_pieces_sent(context, count, limit_s):
    sent_s = sorted(context.origin.sent.values())
    assert len(sent_s) == count and sent_s[-1] <= limit_s, (len(sent_s), sent_s[-1])


@behave.then("every agent that is not cut off has its copy after {limit_s:f} s")
def step_copies_complete(context, limit_s):
    late = sorted(
        (context.complete_s.get(name, float("inf")), name) for name in context.served
    )
    assert late[-1][0] <= limit_s, (
        sum(complete_s > limit_s for complete_s, _ in late),
        late[-1],
    )


@behave.then("the origin sent at most {limit:d} pieces")
def step_sends(context, limit):
    assert context.origin.sends <= limit, context.origin.sends


@behave.given("an agent that requested a piece of a manifest")
def step_piece_requested(context):
    context.agent = replicas.agent("")
    target = replicas.TARGET
    context.copy = process._Copy(target, replicas.NAMED)
    context.piece = b"piece" * 10
    context.copy.manifest = manifests.from_digests(
        target.model, "2", 50, [manifests.chunk_digest(context.piece)]
    ).unwrap()


@behave.when("another manifest replaces it and the piece arrives")
def step_piece_after_replacement(context):
    digest = manifests.chunk_digest(context.piece)
    context.copy.manifest = manifests.from_digests(
        replicas.TARGET.model, "2", 50, [manifests.chunk_digest(b"other")]
    ).unwrap()
    context.taken = []
    transfers = context.agent.transfers
    transfers.origin_replied = lambda *reply: context.taken.append(reply) or ()
    context.agent._piece_received(context.copy, digest, 0, context.piece, 0.0)


@behave.then("the agent has taken the piece")
def step_piece_taken(context):
    assert [data for _, data, _ in context.taken] == [context.piece]
