"""Search for the manifest of a named version, at the origin and among peers.

The origin takes few connections and may be down, so only a few agents of each data
centre, the seeds, ask it as soon as a version is named. The other agents ask the seeds
of their data centre first, then further peers, and the origin at staggered times.
"""

import collections
import dataclasses

from cicadaplank.world import backoff, rendezvous

# Agents of each data centre that ask the origin at once.
SEEDS_PER_DATA_CENTRE = 2
PEERS_PER_ROUND = 2
# Time from one round of requests to peers to the next; it doubles up to the maximum.
ROUND_INTERVAL_S = 0.3
MAX_ROUND_INTERVAL_S = 1.2
# Time that peers have before the first agent that is no seed asks the origin, and from
# each agent to the next one in the order that all of them compute.
ORIGIN_DELAY_S = 0.6
ORIGIN_SPACING_S = 0.05
# The same spacing when a manifest is in doubt, as several agents may doubt it at once.
DOUBT_SPACING_S = 0.01
# Bounds of the delay after a failed request to the origin.
ORIGIN_RETRY_S = 0.4
MAX_ORIGIN_RETRY_S = 1.0
# Number of connections lost after a request, from which a peer is not asked any more.
# An agent of a build that does not know the message closes the connection.
MAX_LOSSES = 2
# Limits on the versions that peers wait for, and on the peers that wait for each.
MAX_WAITED_VERSIONS = 4
MAX_WAITERS = 64


@dataclasses.dataclass(frozen=True)
class AskOrigin:
    """Action: ask the origin for the manifest.

    The I/O layer reports a failure with :meth:`ManifestSearch.origin_failed`.
    """


@dataclasses.dataclass(frozen=True)
class AskPeer:
    """Action: ask a peer for the manifest.

    :param peer: name of the agent.
    """

    peer: str


def version_key(model, version):
    """Return the key by which agents are ranked for a version.

    :param model: model name.
    :param version: version number.
    """
    return f"{model}/{version}"


class ManifestSearch:
    """Chooses whom one agent asks for a manifest, and when, until the search ends.

    :param name: name of this agent.
    :param key: key of the version, see :func:`version_key`.
    :param data_centres: dict from the name of each agent to its data centre.
    :param rng: :class:`random.Random`.
    :param now_s: current time in seconds.
    :param asks_peers: whether peers are asked. They are not when the manifest that they
        sent is in doubt; then all agents ask the origin, one soon after the other.
    """

    def __init__(self, name, key, data_centres, rng, now_s, asks_peers=True):
        self._name = name
        self._key = key
        self.asks_peers = asks_peers
        self._started_s = now_s
        self._backoff = backoff.Backoff(ORIGIN_RETRY_S, MAX_ORIGIN_RETRY_S, rng)
        self._origin_retry_s = now_s
        self._is_asking_origin = False
        self._has_origin_failed = False
        self._round_interval_s = ROUND_INTERVAL_S
        self._asked = collections.Counter()
        self._lost = collections.Counter()
        self._peers = ()
        self._place(data_centres)
        self._round_s = now_s + (ROUND_INTERVAL_S if self._is_seed else 0.0)

    def _place(self, data_centres):
        data_centres = {**data_centres}
        data_centres.setdefault(self._name, "")
        own = data_centres[self._name]
        ranked = rendezvous.ranked(self._key, data_centres)
        by_data_centre = collections.defaultdict(list)
        for name in ranked:
            by_data_centre[data_centres[name]].append(name)
        seeds = {
            name
            for names in by_data_centre.values()
            for name in names[:SEEDS_PER_DATA_CENTRE]
        }
        self._is_seed = self._name in seeds
        rank = [name for name in ranked if name not in seeds]
        self._origin_delay_s = 0.0
        if not self._is_seed:
            position = rank.index(self._name)
            self._origin_delay_s = (
                ORIGIN_DELAY_S + position * ORIGIN_SPACING_S
                if self.asks_peers
                else position * DOUBT_SPACING_S
            )

        def order(name):
            # Seeds come first. Among equals each agent has an order of its own, so that
            # requests spread over the peers.
            is_remote = data_centres[name] != own
            return name not in seeds, is_remote, rendezvous.weight(self._name, name)

        self._peers = tuple(sorted(data_centres.keys() - {self._name}, key=order))

    def agents_changed(self, data_centres):
        """Handle a change of the list of agents.

        :param data_centres: dict from the name of each agent to its data centre.
        """
        self._place(data_centres)
        for counted in (self._asked, self._lost):
            for name in counted.keys() - set(self._peers):
                del counted[name]

    def origin_failed(self, now_s):
        """Handle a request to the origin that failed.

        :param now_s: current time in seconds.
        """
        self._is_asking_origin = False
        self._origin_retry_s = now_s + self._backoff.next_s()
        if not self._has_origin_failed:
            self._has_origin_failed = True
            self._round_s = min(self._round_s, now_s)

    def peer_lost(self, peer):
        """Handle a connection to a peer that was lost or could not be opened.

        :param peer: name of the agent.
        """
        if self._asked[peer]:
            self._lost[peer] += 1

    def _origin_s(self):
        return max(self._origin_retry_s, self._started_s + self._origin_delay_s)

    def wake_s(self):
        """Return the time in seconds at which :meth:`tick` is due, or None."""
        times = []
        if not self._is_asking_origin:
            times.append(self._origin_s())
        if self.asks_peers and self._peers:
            times.append(self._round_s)
        return min(times, default=None)

    def tick(self, now_s):
        """Return the requests that are due.

        :param now_s: current time in seconds.
        :returns: tuple of :class:`AskOrigin` and :class:`AskPeer`.
        """
        actions = []
        if not self._is_asking_origin and now_s >= self._origin_s():
            self._is_asking_origin = True
            actions.append(AskOrigin())
        if self.asks_peers and self._peers and now_s >= self._round_s:
            self._round_s = now_s + self._round_interval_s
            self._round_interval_s = min(
                2 * self._round_interval_s, MAX_ROUND_INTERVAL_S
            )
            actions += self._next_round()
        return tuple(actions)

    def _next_round(self):
        usable = [name for name in self._peers if self._lost[name] < MAX_LOSSES]
        # Sorting is stable: peers that were asked equally often keep their order.
        usable.sort(key=lambda name: self._asked[name])
        chosen = usable[:PEERS_PER_ROUND]
        self._asked.update(chosen)
        return [AskPeer(name) for name in chosen]


class Waiters:
    """Peers that asked for a manifest before this agent had it; bounded."""

    def __init__(self):
        self._peers = {}

    def add(self, model, version, peer):
        """Note a request of a peer.

        :param model: model name.
        :param version: version number.
        :param peer: name of the agent.
        :returns: False when there is no room for it.
        """
        key = (model, version)
        if key not in self._peers:
            while len(self._peers) >= MAX_WAITED_VERSIONS:
                # Of several versions, agents still want the newest ones.
                oldest = min(self._peers, key=lambda known: known[1])
                if oldest[1] > version:
                    return False
                del self._peers[oldest]
            self._peers[key] = {}
        peers = self._peers[key]
        if peer not in peers and len(peers) >= MAX_WAITERS:
            return False
        peers[peer] = True
        return True

    def take(self, model, version):
        """Remove and return the peers that wait for a manifest.

        :param model: model name.
        :param version: version number.
        :returns: list of names, in the order of the requests.
        """
        return list(self._peers.pop((model, version), ()))
