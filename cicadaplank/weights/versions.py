"""A wanted version on this instance: its copy, its neighbours and its owners."""

import collections

from cicadaplank.weights import copies, ownership

# Neighbours chosen by this instance, most of them in its own data centre.
LOCAL_NEIGHBOURS = 6
OTHER_NEIGHBOURS = 2
# Neighbours at most, with those that chose this instance.
MAX_NEIGHBOURS = 32
# Candidates of other regions that are watched while a copy makes no progress.
MAX_FALLBACK = 16
# Owners that hold a copy up are slow when they are at most this part of all owners.
STRAGGLER_SHARE = 0.34
# A chunk that a peer refused or did not send is not expected from it for this time.
DENIED_S = 10.0


class Version:
    """A wanted version and what is known about it.

    :param wanted: :class:`cicadaplank.weights.transfers.Wanted`.
    :param me: this instance.
    :param origin_region: region that takes chunks from the origin, or None to divide
        them over all regions. The others take them from it.
    :param now_s: current time in seconds.
    """

    def __init__(self, wanted, me, origin_region, now_s):
        self.wanted = wanted
        # Names of all rows that name this version, and those told that it is complete.
        self.rows = (wanted.row,)
        self.reported = set()
        self.me = me
        self.origin_region = origin_region
        self.manifest = None
        self.copy = None
        self.complete = False
        self.neighbours = set()
        # Owners of this region that are watched, and candidates of other regions.
        self.near_upstream = set()
        self.upstream = set()
        self.subscribers = set()
        self.manifest_waiters = []
        self.manifest_retry_s = now_s
        self.manifest_asked = False
        self.progress_s = now_s
        self.straggling_s = None
        self.announced_s = now_s
        self.announce_due = False
        self.reviewed_s = now_s
        self.rechecked_s = float("-inf")
        self.taken_over = 0
        # When a chunk map of a peer last came and was last asked for.
        self.heard_s = {}
        self.probed_s = {}
        self._ownership = None
        self._placement = None
        # Chunks by the candidates of this region that come before this instance.
        self._turns = {}
        self._home = 0
        self._denied = {}

    def place(self, instances):
        """Compute the owners among the holders that are known instances.

        :param instances: dict from name to instance.
        """
        names = {n for n in self.wanted.holders if n in instances} | {self.me.name}
        self._ownership = ownership.Ownership(
            (name, instances[name].region) for name in names
        )
        for name in self.neighbours - names:
            self.drop_neighbour(name)
        for known in (self.heard_s, self.probed_s, self._denied):
            for name in known.keys() - names:
                del known[name]
        if self.copy:
            self._place_chunks()

    def begin(self, store, now_s):
        """Start the copy; memory for it is reserved.

        :param store: :class:`cicadaplank.weights.chunks.ChunkStore`.
        :param now_s: current time in seconds.
        """
        self.copy = copies.Copy(self.manifest, store)
        self.progress_s = now_s
        self.announce_due = True
        self._place_chunks()

    def _place_chunks(self):
        me = self.me
        self._turns = collections.defaultdict(int)
        self._home = 0
        old = self.upstream | self.near_upstream
        self.near_upstream = set()
        self.upstream = set()
        self.taken_over = 0
        self._placement = ownership.Placement(
            self._ownership, self.manifest.chunk_digests, self.origin_region
        )
        for index in range(len(self.manifest.chunk_digests)):
            home_region = self._placement.home_region(index)
            if me.region == home_region:
                self._home |= 1 << index
            before = self._placement.before(me.name, me.region, index)
            self._turns[before] |= 1 << index
            if len(before) > 1:
                continue
            # The next in the ranking watches the owner. Both watch the chunk's owner
            # in its home region, from which it comes into this one, and a second
            # holder there in case the owner's link is slow.
            self.near_upstream.update(before)
            if me.region != home_region:
                names = self._placement.candidates(home_region, index)
                self.upstream.update(names[: len(before) + 2])
        for name in old - self.watched:
            self.copy.drop_map(name)

    @property
    def home(self):
        """Return the chunks that this region takes from the origin."""
        return self._home

    @property
    def near(self):
        """Return the peers of this region that chunks are requested from."""
        return self.neighbours | self.near_upstream

    @property
    def watched(self):
        """Return all peers whose chunk maps count."""
        return self.neighbours | self.near_upstream | self.upstream

    def drop_neighbour(self, name):
        """Give up a neighbour; what it holds is no longer visible.

        :param name: instance name.
        """
        self.neighbours.discard(name)
        if self.copy and name not in self.watched:
            self.copy.drop_map(name)
            self.heard_s.pop(name, None)

    @property
    def region_size(self):
        """Return the number of holders in this region."""
        return self._ownership.size(self.me.region)

    def candidates_before_me(self, digest):
        """Return the candidates of this region before this instance for a digest."""
        return self._ownership.before(self.me.name, self.me.region, digest)

    def remote_candidates(self, index):
        """Return candidates of other regions, those of the home region first.

        :param index: position of the chunk.
        :returns: list of instance names.
        """
        regions = [r for r in self._placement.regions if r != self.me.region]
        home_region = self._placement.home_region(index)
        regions.sort(key=lambda region: region != home_region)
        return [n for r in regions for n in self._placement.candidates(r, index)]

    def watch_other_regions(self, bits):
        """Watch holders of other regions for chunks that do not come any other way.

        :param bits: set of chunks.
        """
        for index in copies.indexes(bits):
            if len(self.upstream) >= MAX_FALLBACK:
                return
            self.upstream.update(self.remote_candidates(index)[:MAX_FALLBACK])

    def choose_neighbours(self, instances, usable, rng):
        """Fill the set of neighbours at random, favouring the local data centre.

        :param instances: dict from name to instance.
        :param usable: function that tells whether a name may be chosen.
        :param rng: :class:`random.Random`.
        """
        me = self.me
        pools = {True: [], False: []}
        for name in self.wanted.holders:
            instance = instances.get(name)
            if instance and name != me.name and instance.region == me.region:
                pools[instance.data_centre == me.data_centre].append(name)
        for local, limit in ((True, LOCAL_NEIGHBOURS), (False, OTHER_NEIGHBOURS)):
            held = sum(1 for name in pools[local] if name in self.neighbours)
            free = [n for n in pools[local] if n not in self.neighbours and usable(n)]
            if held < limit and free:
                chosen = rng.sample(free, min(limit - held, len(free)))
                self.neighbours.update(chosen)

    def choose_others(self, instances, rng):
        """Choose neighbours in other data centres, also silent ones, to ask again.

        :param instances: dict from name to instance.
        :param rng: :class:`random.Random`.
        :returns: list of at most ``OTHER_NEIGHBOURS`` names.
        """
        me = self.me
        others = [
            name
            for name in self.wanted.holders
            if name in instances
            and instances[name].region == me.region
            and instances[name].data_centre != me.data_centre
        ]
        chosen = rng.sample(others, min(OTHER_NEIGHBOURS, len(others)))
        self.neighbours.update(chosen)
        return chosen

    def map_received(self, peer, bits, now_s):
        """Take in the chunk map of a peer.

        :param peer: instance name.
        :param bits: set of chunks.
        :param now_s: current time in seconds.
        """
        self.heard_s[peer] = now_s
        if self.copy is None:
            return
        near = peer in self.neighbours or peer in self.near_upstream
        if not near and peer not in self.upstream:
            return
        if bits & self.copy.full == self.copy.full:
            # A complete peer needs no more maps.
            self.subscribers.discard(peer)
        denied, until_s = self._denied.get(peer, (0, 0.0))
        if denied and now_s < until_s:
            bits &= ~denied
        else:
            self._denied.pop(peer, None)
        if self.copy.set_map(peer, bits, near):
            self.progress_s = now_s

    def deny(self, peer, digest, now_s):
        """Stop expecting a chunk from a peer for a while.

        :param peer: instance name.
        :param digest: chunk digest.
        :param now_s: current time in seconds.
        """
        mask = self.copy.mask(digest) if self.copy else 0
        if mask:
            denied, _ = self._denied.get(peer, (0, 0.0))
            self._denied[peer] = (denied | mask, now_s + DENIED_S)
            self.copy.set_map(peer, self.copy.held_by(peer) & ~mask)

    def peer_lost(self, peer):
        """Forget what a peer said.

        :param peer: instance name.
        """
        self.subscribers.discard(peer)
        self.heard_s.pop(peer, None)
        self._denied.pop(peer, None)
        if self.copy:
            self.copy.drop_map(peer)

    def hidden(self):
        """Return the missing chunks that no peer of this region holds."""
        return self.copy.missing & ~self.copy.in_flight & ~self.copy.visible

    def own_turn(self):
        """Return the chunks that this instance owns or has taken over."""
        return self._turns.get((), 0) | self.taken_over

    def _stragglers(self, hidden, now_s):
        """Return the owners that hold the copy up after all others are done.

        :param hidden: set of chunks.
        :param now_s: current time in seconds.
        """
        owners = {before[0] for before in self._turns if before}
        late = {b[0] for b, bits in self._turns.items() if b and hidden & bits}
        if not late or len(late) > STRAGGLER_SHARE * len(owners):
            self.straggling_s = None
            return frozenset()
        if self.straggling_s is None:
            self.straggling_s = now_s
        return late

    def review_turns(self, is_idle, patience_s, now_s):
        """Take over the chunks whose owners do not bring them.

        :param is_idle: function that tells whether a candidate brings nothing.
        :param patience_s: seconds without progress for each rank.
        :param now_s: current time in seconds.
        """
        hidden = self.hidden()
        self.taken_over = 0
        stragglers = self._stragglers(hidden, now_s)
        for before, bits in self._turns.items():
            if not before or not hidden & bits:
                continue
            waited = now_s - self.progress_s > patience_s * len(before)
            late = before[0] in stragglers and (
                now_s - self.straggling_s > patience_s * len(before)
            )
            if waited or late or all(is_idle(name) for name in before):
                self.taken_over |= bits
