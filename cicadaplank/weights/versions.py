"""State of one wanted version: its copy, its peers and the chunks to fetch first.

Neighbours are peers of the same region, chosen at random, that exchange chunks.
:mod:`cicadaplank.weights.ownership` explains owners, predecessors and home regions.
"""

import collections

from cicadaplank.weights import copies, ownership

# Neighbours that this instance chooses in its own data centre and in other data centres
# of its region.
LOCAL_NEIGHBOURS = 6
OTHER_NEIGHBOURS = 2
# Limit on neighbours, including the peers that chose this instance.
MAX_NEIGHBOURS = 32
# While a copy makes no progress, sources in other regions are added until there are at
# least this many.
MAX_FALLBACK_SOURCES = 16
# Owners with missing chunks count as stragglers when they are at most this share of all
# owners.
STRAGGLER_SHARE = 0.34
# Number of predecessors of which a candidate in a chunk's home region monitors all.
HOME_MONITORED = 3
# Time for which a chunk is not requested from a peer that refused or did not send it.
DENIED_S = 10.0


class Version:
    """A wanted version and the state of its distribution on this instance.

    Sets of chunks are integers, as in :mod:`cicadaplank.weights.copies`.

    :param wanted: :class:`cicadaplank.weights.transfers.WantedVersion`.
    :param local_instance: this instance.
    :param origin_region: region whose instances fetch chunks from the origin and from
        which the other regions copy them, or None to divide the chunks over all
        regions.
    :param now_s: current time in seconds.
    """

    def __init__(self, wanted, local_instance, origin_region, now_s):
        self.wanted = wanted
        # Names of all rows that name this version, and of those for which its
        # completion has been reported.
        self.rows = (wanted.row,)
        self.reported = set()
        self.local_instance = local_instance
        self.origin_region = origin_region
        self.manifest = None
        self.copy = None
        self.complete = False
        self.neighbours = set()
        # Owners of this region, and candidates of other regions, from which this
        # instance gets chunk maps beside those of its neighbours.
        self.region_owners = set()
        self.remote_sources = set()
        self.subscribers = set()
        self.manifest_waiters = []
        self.manifest_retry_s = now_s
        self.manifest_requested = False
        self.progress_s = now_s
        self.copy_started_s = now_s
        self.stragglers_since_s = None
        self.announced_s = now_s
        self.announce_due = False
        self.reviewed_s = now_s
        self.rechecked_s = float("-inf")
        self.taken_over = 0
        # Set of chunks of other home regions that this region fetches from the origin.
        self.orphaned = 0
        # Time at which the last chunk map of a peer arrived, and was last asked for.
        self.last_map_s = {}
        self.last_probe_s = {}
        self._ownership = None
        self._placement = None
        # Sets of chunks by their predecessors, a tuple of instance names; empty for the
        # chunks that this instance owns.
        self._by_predecessors = {}
        self._origin_chunks = 0
        # Set of chunks that a peer does not provide, and the time until which none of
        # them is requested from it.
        self._denied = {}

    def update_placement(self, instances):
        """Recompute owners and candidates among the holders that are known instances.

        :param instances: dict from name to instance.
        """
        names = {n for n in self.wanted.holders if n in instances} | {
            self.local_instance.name
        }
        self._ownership = ownership.Ownership(
            (name, instances[name].region) for name in names
        )
        for name in self.neighbours - names:
            self.drop_neighbour(name)
        for known in (self.last_map_s, self.last_probe_s, self._denied):
            for name in known.keys() - names:
                del known[name]
        if self.copy:
            self._place_chunks()

    def start_copy(self, store, now_s):
        """Start the copy; memory for it must have been reserved.

        :param store: :class:`cicadaplank.weights.chunks.ChunkStore`.
        :param now_s: current time in seconds.
        """
        self.copy = copies.Copy(self.manifest, store)
        self.progress_s = self.copy_started_s = now_s
        self.announce_due = True
        self._place_chunks()

    def _place_chunks(self):
        local_instance = self.local_instance
        self._by_predecessors = collections.defaultdict(int)
        self._origin_chunks = 0
        old = self.remote_sources | self.region_owners
        self.region_owners = set()
        self.remote_sources = set()
        self.taken_over = 0
        self.orphaned = 0
        self._placement = ownership.Placement(
            self._ownership, self.manifest.chunk_digests, self.origin_region
        )
        for index in range(len(self.manifest.chunk_digests)):
            home_region = self._placement.home_region(index)
            if local_instance.region == home_region:
                self._origin_chunks |= 1 << index
            predecessors = self._placement.predecessors(
                local_instance.name, local_instance.region, index
            )
            self._by_predecessors[predecessors] |= 1 << index
            limit = HOME_MONITORED if local_instance.region == home_region else 1
            if len(predecessors) > limit:
                continue
            # This instance is the owner, or the second candidate, which monitors the
            # owner. Both monitor the chunk's owner in its home region, from which this
            # region copies it, and another holder there in case that owner's link is
            # slow.
            self.region_owners.update(predecessors)
            if local_instance.region != home_region:
                names = self._placement.candidates(home_region, index)
                self.remote_sources.update(names[: len(predecessors) + 2])
        for name in old - self.watched:
            self.copy.drop_map(name)

    @property
    def origin_chunks(self):
        """Return the chunks that this region fetches from the origin."""
        return self._origin_chunks

    @property
    def region_sources(self):
        """Return the peers of this region from which chunks may be requested."""
        return self.neighbours | self.region_owners

    @property
    def watched(self):
        """Return all peers whose chunk maps are evaluated."""
        return self.neighbours | self.region_owners | self.remote_sources

    def drop_neighbour(self, name):
        """Remove a neighbour and, unless it is still monitored, its chunk map.

        :param name: instance name.
        """
        self.neighbours.discard(name)
        if self.copy and name not in self.watched:
            self.copy.drop_map(name)
            self.last_map_s.pop(name, None)

    @property
    def region_size(self):
        """Return the number of holders in this region."""
        return self._ownership.size(self.local_instance.region)

    def predecessors(self, digest):
        """Return the candidates of this region that rank before this instance.

        :param digest: digest by which the holders are ranked.
        """
        return self._ownership.predecessors(
            self.local_instance.name, self.local_instance.region, digest
        )

    def remote_candidates(self, index):
        """Return the candidates for a chunk in other regions, the home region first.

        :param index: position of the chunk.
        :returns: list of instance names.
        """
        regions = [
            r for r in self._placement.regions if r != self.local_instance.region
        ]
        home_region = self._placement.home_region(index)
        regions.sort(key=lambda region: region != home_region)
        return [n for r in regions for n in self._placement.candidates(r, index)]

    def add_remote_sources(self, bits):
        """Add holders of other regions as sources of chunks that have no other source.

        :param bits: set of chunks.
        """
        for index in copies.indexes(bits):
            if len(self.remote_sources) >= MAX_FALLBACK_SOURCES:
                return
            self.remote_sources.update(
                self.remote_candidates(index)[:MAX_FALLBACK_SOURCES]
            )

    def choose_neighbours(self, instances, usable, rng):
        """Fill the set of neighbours at random, favouring the local data centre.

        :param instances: dict from name to instance.
        :param usable: function from an instance name to whether it may be chosen.
        :param rng: :class:`random.Random`.
        """
        local_instance = self.local_instance
        pools = {True: [], False: []}
        for name in self.wanted.holders:
            instance = instances.get(name)
            if (
                instance
                and name != local_instance.name
                and instance.region == local_instance.region
            ):
                pools[instance.data_centre == local_instance.data_centre].append(name)
        for local, limit in ((True, LOCAL_NEIGHBOURS), (False, OTHER_NEIGHBOURS)):
            held = sum(1 for name in pools[local] if name in self.neighbours)
            free = [n for n in pools[local] if n not in self.neighbours and usable(n)]
            if held < limit and free:
                chosen = rng.sample(free, min(limit - held, len(free)))
                self.neighbours.update(chosen)

    def choose_other_neighbours(self, instances, rng):
        """Choose neighbours in other data centres at random, silent ones included.

        :param instances: dict from name to instance.
        :param rng: :class:`random.Random`.
        :returns: list of at most ``OTHER_NEIGHBOURS`` instance names.
        """
        local_instance = self.local_instance
        others = [
            name
            for name in self.wanted.holders
            if name in instances
            and instances[name].region == local_instance.region
            and instances[name].data_centre != local_instance.data_centre
        ]
        chosen = rng.sample(others, min(OTHER_NEIGHBOURS, len(others)))
        self.neighbours.update(chosen)
        return chosen

    def map_received(self, peer, bits, now_s):
        """Update what a peer holds from its chunk map.

        :param peer: instance name.
        :param bits: set of the chunks that the peer says it holds.
        :param now_s: current time in seconds.
        """
        self.last_map_s[peer] = now_s
        if self.copy is None:
            return
        in_region = peer in self.neighbours or peer in self.region_owners
        if not in_region and peer not in self.remote_sources:
            return
        if bits & self.copy.full == self.copy.full:
            # A peer that holds all chunks needs no chunk maps of others.
            self.subscribers.discard(peer)
        denied, until_s = self._denied.get(peer, (0, 0.0))
        if denied and now_s < until_s:
            bits &= ~denied
        else:
            self._denied.pop(peer, None)
        if self.copy.set_map(peer, bits, in_region):
            self.progress_s = now_s

    def deny(self, peer, digest, now_s):
        """Treat a chunk as not held by a peer for ``DENIED_S``.

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
        """Remove the state kept for a peer whose stream was lost.

        :param peer: instance name.
        """
        self.subscribers.discard(peer)
        self.last_map_s.pop(peer, None)
        self._denied.pop(peer, None)
        if self.copy:
            self.copy.drop_map(peer)

    def missing_in_region(self):
        """Return the missing chunks that are not in flight or held in this region."""
        return self.copy.missing & ~self.copy.in_flight & ~self.copy.held_in_region

    def assigned_chunks(self):
        """Return the chunks that this instance owns or has taken over."""
        return self._by_predecessors.get((), 0) | self.taken_over

    def update_orphaned(self, is_silent, stall_timeout_s):
        """Find the assigned chunks whose home region does not respond.

        The regions after the home region take its place one after the other, each
        ``stall_timeout_s`` later than the one before and watching its owners.

        :param is_silent: function from an instance name and a limit in seconds to
            whether that instance has not responded for longer.
        :param stall_timeout_s: silence allowed to the home region in seconds.
        """
        self.orphaned = 0
        foreign = self.assigned_chunks() & ~self._origin_chunks
        for index in copies.indexes(self.missing_in_region() & foreign):
            home_region = self._placement.home_region(index)
            names = self.remote_sources.intersection(
                self._placement.candidates(home_region, index)
            )
            if not names or not all(is_silent(n, stall_timeout_s) for n in names):
                continue
            before = self._regions_before(home_region)
            for region in before:
                if len(self.remote_sources) < MAX_FALLBACK_SOURCES:
                    owners = self._placement.candidates(region, index)[:2]
                    self.remote_sources.update(owners)
            limit_s = stall_timeout_s * (1 + len(before))
            if all(is_silent(name, limit_s) for name in names):
                self.orphaned |= 1 << index

    def _regions_before(self, home_region):
        """Return the regions between a home region and this one, in cyclic order."""
        regions = self._placement.regions
        start = regions.index(home_region) + 1
        order = regions[start:] + regions[:start]
        return order[: order.index(self.local_instance.region)]

    def _later_turns(self, spread_s, now_s):
        """Iterate over positions and turns at the origin that are still to come."""
        if now_s >= self.copy_started_s + spread_s:
            return
        for index in copies.indexes(self.assigned_chunks() & self._origin_chunks):
            turn_s = self.copy_started_s + spread_s * index / self.copy.count
            if turn_s > now_s:
                yield index, turn_s

    def chunks_before_turn(self, spread_s, now_s):
        """Return the assigned chunks that are not requested from the origin yet.

        All instances take their turns in the order of the chunks, so that they do not
        connect to the origin at the same time.

        :param spread_s: time from the first to the last turn in seconds.
        :param now_s: current time in seconds.
        """
        return sum(1 << index for index, _ in self._later_turns(spread_s, now_s))

    def next_turn_s(self, spread_s, now_s):
        """Return the time of the next turn of an assigned chunk, or None.

        :param spread_s: time from the first to the last turn in seconds.
        :param now_s: current time in seconds.
        """
        turns = (turn_s for _, turn_s in self._later_turns(spread_s, now_s))
        return min(turns, default=None)

    def _stragglers(self, missing, now_s):
        """Return the few owners that still delay the copy when all others are done.

        :param missing: set of the chunks that are missing in this region.
        :param now_s: current time in seconds.
        """
        owners = {ranked[0] for ranked in self._by_predecessors if ranked}
        late = {
            names[0]
            for names, bits in self._by_predecessors.items()
            if names and missing & bits
        }
        if not late or len(late) > STRAGGLER_SHARE * len(owners):
            self.stragglers_since_s = None
            return frozenset()
        if self.stragglers_since_s is None:
            self.stragglers_since_s = now_s
        return late

    def update_taken_over(self, is_unresponsive, stall_timeout_s, now_s):
        """Take over the missing chunks that their predecessors fail to provide.

        A chunk is taken over when the copy makes no progress or waits for stragglers
        for ``stall_timeout_s`` times the number of the chunk's predecessors, or when
        all of them are unresponsive.

        :param is_unresponsive: function from an instance name to whether that candidate
            has stopped responding.
        :param stall_timeout_s: seconds without progress allowed to each predecessor.
        :param now_s: current time in seconds.
        """
        missing = self.missing_in_region()
        self.taken_over = 0
        stragglers = self._stragglers(missing, now_s)
        for predecessors, bits in self._by_predecessors.items():
            if not predecessors or not missing & bits:
                continue
            waited = now_s - self.progress_s > stall_timeout_s * len(predecessors)
            late = predecessors[0] in stragglers and (
                now_s - self.stragglers_since_s > stall_timeout_s * len(predecessors)
            )
            if waited or late or all(is_unresponsive(name) for name in predecessors):
                self.taken_over |= bits
