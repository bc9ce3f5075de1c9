"""Distributed rate limits of clients and halves over all entry instances.

Entry instances report their demand to each other. Each enforces a part of every limit
that follows its part of the demand, with token buckets.
"""

import collections
import dataclasses
import math

from cicadaplank.messages import types
from cicadaplank.world import contracts, rendezvous

MAX_KEYS = 4_096
MAX_KEYS_PER_REPORT = 64
MIN_REPORTED_PER_S = 0.01
MAX_PEERS = 512
DROP_INTERVAL_S = 1.0
# Number of entry instances above which they are divided into groups. Reports are sent
# within a group only, and each group has a fixed part of every limit: with reports
# between all, the cost at each entry instance grows with their number.
MAX_PEERS_PER_GROUP = 24
# With more peers than this, reports are sent less often, to bound their bytes a second.
PEERS_AT_FULL_RATE = 8
REPORT_INTERVAL_S = 1.0
# A change of demand is reported before the interval ends, but not more often than this.
MIN_REPORT_INTERVAL_S = 0.1
CHANGE_TO_REPORT = 0.1
# A change is reported only when it exceeds this many standard deviations of the
# estimate; otherwise random variation would cause a report at most ticks.
CHANGE_DEVIATIONS = 0.7
# A peer whose report is overdue by half an interval is taken as partitioned and counted
# with an equal part. Streams lose no report, so that the time-out can be short; until
# it expires, both sides of a partition may use the part that the other one had.
SILENT_AFTER_INTERVALS = 1.5
# Demand is the rate over a window of slots that ends now. The older part of the window
# is dropped when the newer part differs from it by more than ``NOISE_DEVIATIONS``
# standard deviations of a Poisson count plus ``NOISE_REQUESTS``.
SLOT_S = 0.05
MAX_SLOTS = 64
NOISE_DEVIATIONS = 3.0
NOISE_REQUESTS = 2.0
# Share of a limit that is always divided evenly, so that an entry instance without
# demand has a part for its first request.
EVEN_SHARE = 0.005
BURST_S = 1.0
# Random arrivals of a small client need a burst of a few requests at each entry
# instance. The sum of these bursts is bounded, because with many entry instances it
# would let a client exceed its limit.
MIN_BURST = 4.0
MAX_MIN_BURSTS = 28.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
# The retry times of rejected requests are scheduled one after the other at the allowed
# rate, up to this time.
MAX_RETRY_SCHEDULE_S = 10.0


@dataclasses.dataclass(frozen=True)
class Admitted:
    """Decision: the request is within the limits."""


@dataclasses.dataclass(frozen=True)
class Rejected:
    """Decision: the request is rejected; it has not run.

    :param reason: ``not_granted`` by the table; over the limit of the client on
        ``requests`` or of the ``half``; over a limit on ``tokens``; ``busy``, when too
        many clients are active; or ``starting``, before the first list of entry
        instances.
    :param retry_after_s: seconds after which to retry; 0 when retrying cannot help.
    """

    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class SendDemand:
    """Action: send a demand report to other entry instances.

    :param peers: tuple of instance names.
    :param report: :class:`cicadaplank.messages.types.DemandReport`.
    """

    peers: tuple
    report: types.DemandReport


class _Bucket:
    """Token bucket with a variable rate, whose level may become negative.

    :ivar scheduled_retries: rejected requests whose scheduled retry is still to come.
    """

    def __init__(self, now_s):
        self.rate_per_s = 0.0
        self.level = 0.0
        self.scheduled_retries = 0.0
        self.updated_s = now_s

    def refill(self, rate_per_s, min_burst, now_s):
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        self.level += elapsed_s * self.rate_per_s
        self.scheduled_retries = max(
            0.0, self.scheduled_retries - elapsed_s * self.rate_per_s
        )
        self.rate_per_s = rate_per_s
        self.level = min(self.level, max(min_burst, rate_per_s * BURST_S))


class _Demand:
    """Estimate of a request rate that filters random variation and follows changes.

    The window is adaptive, as in A. Bifet and R. Gavalda, "Learning from time-changing
    data with adaptive windowing", 2007, here for Poisson counts.
    """

    def __init__(self, now_s):
        self.per_s = 0.0
        # Pairs of request count and width in slots, the newest first. Widths double
        # with age, so that the window takes little memory and time to check.
        self._parts = []
        self._open_count = 0
        self._open_slot_end_s = now_s + SLOT_S

    @property
    def idle(self):
        return not self._open_count and self.per_s <= 0

    def count(self, now_s):
        self.advance(now_s)
        self._open_count += 1

    def advance(self, now_s):
        """Close the slots that have ended and update the estimate of the rate."""
        if now_s < self._open_slot_end_s:
            return
        ended = int((now_s - self._open_slot_end_s) / SLOT_S) + 1
        self._open_slot_end_s += ended * SLOT_S
        for _ in range(min(ended, MAX_SLOTS)):
            self._parts.insert(0, (self._open_count, 1))
            self._open_count = 0
            self._merge_parts()
            self._drop_outdated_parts()
        width = sum(width for _, width in self._parts)
        self.per_s = sum(count for count, _ in self._parts) / (width * SLOT_S)

    def _merge_parts(self):
        """Merge the two older of three parts of equal width; bound the window."""
        parts = self._parts
        position = 0
        while position + 2 < len(parts):
            first, second, third = parts[position : position + 3]
            if first[1] == third[1]:
                merged = (second[0] + third[0], second[1] + third[1])
                parts[position + 1 : position + 3] = [merged]
            position += 1
        if sum(width for _, width in parts) > MAX_SLOTS:
            parts.pop()

    def _drop_outdated_parts(self):
        """Drop the older parts when the rate has changed significantly since then."""
        count = sum(count for count, _ in self._parts)
        width = sum(width for _, width in self._parts)
        newer_count = newer_width = 0
        for position, part in enumerate(self._parts[:-1], 1):
            newer_count += part[0]
            newer_width += part[1]
            older_per_slot = (count - newer_count) / (width - newer_width)
            expected = older_per_slot * newer_width
            max_deviation = NOISE_DEVIATIONS * math.sqrt(expected) + NOISE_REQUESTS
            if abs(newer_count - expected) > max_deviation:
                del self._parts[position:]
                return


class _KeyState:
    """Demand and token buckets of one row and client, or of one row and half."""

    def __init__(self, burst, now_s):
        self.demand = _Demand(now_s)
        self.reported_per_s = 0.0
        self.requests = _Bucket(now_s)
        self.requests.level = burst
        self.tokens = _Bucket(now_s)
        self.tokens.level = 1.0

    @property
    def changed(self):
        """Tell whether the demand differs significantly from the last reported one."""
        change = abs(self.demand.per_s - self.reported_per_s)
        higher_per_s = max(self.demand.per_s, self.reported_per_s)
        max_deviation = CHANGE_DEVIATIONS * math.sqrt(
            higher_per_s / (MAX_SLOTS * SLOT_S)
        )
        return change > max(CHANGE_TO_REPORT * self.reported_per_s, max_deviation, 0.1)


class _Peer:
    """Last report of another entry instance."""

    def __init__(self):
        self.demands = {}
        self.heard_s = None


class RateLimiter:
    """Rate limiter of one entry instance, which enforces its part of every limit.

    The I/O layer passes in the accepted configurations, the list of entry instances and
    the ``DemandReport`` messages of the others. It calls :meth:`check_request` for each
    new request, :meth:`tokens_generated` when tokens arrive and :meth:`tick` every
    ``MIN_REPORT_INTERVAL_S``. A limit whose client is ``half:NAME`` applies to all
    requests for the row that arrive at the entry instances of that half.

    :param name: instance name of this entry.
    :param now_s: current time in seconds.
    """

    def __init__(self, name, now_s):
        self.name = name
        self.counts = collections.Counter()
        self.configuration = contracts.EMPTY
        self._own_half = ""
        self._members_of_half = {}
        self._listed = False
        self._names = {name}
        self._peers = {}
        self._keys = {}
        self._rows = {}
        self._last_report_s = now_s
        self._last_drop_s = -math.inf
        self._report_due = True

    def entries_listed(self, names, now_s):
        """Replace the list of entry instances and form the groups anew.

        :param names: iterable of the names of all entry instances, with or without
            this one.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        others = sorted(set(names) - {self.name})
        self.counts["peers_rejected"] += max(0, len(others) - MAX_PEERS)
        self._names = {self.name, *others[:MAX_PEERS]}
        groups = math.ceil(len(self._names) / MAX_PEERS_PER_GROUP)
        own = _group_of(self.name, groups)
        self._peers = {
            name: self._peers.get(name) or _Peer()
            for name in others[:MAX_PEERS]
            if _group_of(name, groups) == own
        }
        self._listed = True
        return ()

    def configuration_accepted(self, configuration, now_s):
        """Use a newly accepted configuration; ignore one that is not newer.

        :param configuration: :class:`cicadaplank.world.contracts.Configuration`.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        if configuration.version <= self.configuration.version:
            return ()
        self.configuration = configuration
        table = configuration.table
        self._rows = {row.name: row for row in table.rows}
        self._members_of_half = {half: set(names) for half, names in table.halves}
        halves = [half for half, names in table.halves if self.name in names]
        self._own_half = halves[0] if halves else ""
        return ()

    def peer_connected(self, peer, now_s):
        """Record a new connection to an entry instance, which may have restarted.

        The next :meth:`tick` reports the demand, so that a restarted entry instance
        does not have to wait for the end of the interval.

        :param peer: instance name.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        self._report_due = True
        return ()

    def demand_reported(self, peer, report, now_s):
        """Store the demand reported by another entry instance.

        :param peer: instance name; one that the list does not contain yet, because it
            lags, is added until the next list.
        :param report: :class:`cicadaplank.messages.types.DemandReport`.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        if peer == self.name:
            return ()
        state = self._peers.get(peer)
        if state is None:
            if len(self._names) >= MAX_PEERS:
                self.counts["peers_rejected"] += 1
                return ()
            self._names.add(peer)
            state = self._peers[peer] = _Peer()
        demands = list(report.demands.items())[:MAX_KEYS_PER_REPORT]
        self.counts["demands_ignored"] += len(report.demands) - len(demands)
        state.demands = {
            key: float(rate)
            for key, rate in demands
            if isinstance(rate, (int, float)) and 0 <= rate < math.inf
        }
        state.heard_s = now_s
        return ()

    def check_request(self, row, client, now_s):
        """Count a request as demand and decide whether the limits allow it.

        :param row: row name.
        :param client: client name.
        :param now_s: current time in seconds.
        :returns: :class:`Admitted` or :class:`Rejected`.
        """
        if not self._listed:
            # While the number of entry instances is unknown, this one would take the
            # whole limit.
            self.counts["rejected_starting"] += 1
            return Rejected("starting", MIN_RETRY_AFTER_S)
        declared = self._rows.get(row)
        limit = declared.limit_for(client) if declared else None
        if limit is None or client.startswith(contracts.HALF_PREFIX):
            self.counts["rejected_not_granted"] += 1
            return Rejected("not_granted", 0.0)
        checks = [(f"{row}/{client}", limit, "requests")]
        half_name = contracts.HALF_PREFIX + self._own_half
        for other in declared.limits:
            if self._own_half and other.client == half_name:
                checks.append((f"{row}/{half_name}", other, "half"))
        states = [self._key_state(key, now_s) for key, _, _ in checks]
        if None in states:
            return Rejected("busy", MAX_RETRY_AFTER_S)
        for state in states:
            state.demand.count(now_s)
        for state, (key, each, reason) in zip(states, checks, strict=True):
            rejected = self._check(state, key, each, reason, now_s)
            if rejected is not None:
                self.counts[f"rejected_{rejected.reason}"] += 1
                return rejected
        for state in states:
            state.requests.level -= 1.0
        self.counts["admitted"] += 1
        return Admitted()

    def _check(self, state, key, limit, reason, now_s):
        """Refill the buckets of a limit; return :class:`Rejected` when over it."""
        if limit.requests_per_s <= 0:
            return Rejected(reason, MAX_RETRY_AFTER_S)
        rate_per_s = self.rate_per_s(key, limit.requests_per_s, now_s)
        state.requests.refill(rate_per_s, self._min_burst(), now_s)
        if state.requests.level < 1.0:
            return Rejected(reason, self._scheduled_retry_s(state.requests, limit))
        if not limit.tokens_per_s:
            return None
        part = rate_per_s / limit.requests_per_s
        state.tokens.refill(limit.tokens_per_s * part, 1.0, now_s)
        if state.tokens.level > 0:
            return None
        wait_s = -state.tokens.level / (limit.tokens_per_s * part)
        return Rejected("tokens", _bounded_retry_after_s(wait_s))

    def tokens_generated(self, row, client, tokens, now_s):
        """Charge generated tokens; a negative level delays later requests.

        :param row: row name.
        :param client: client name.
        :param tokens: number of tokens.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        for name in (client, contracts.HALF_PREFIX + self._own_half):
            state = self._keys.get(f"{row}/{name}")
            if state is not None:
                state.tokens.level -= tokens
        return ()

    def tick(self, now_s):
        """Report the demand when the interval has ended or the demand has changed.

        :param now_s: current time in seconds.
        :returns: tuple of :class:`SendDemand`.
        """
        since_s = now_s - self._last_report_s
        if since_s < MIN_REPORT_INTERVAL_S * self._interval_factor:
            return ()
        for state in self._keys.values():
            state.demand.advance(now_s)
        due = self._report_due or since_s >= REPORT_INTERVAL_S * self._interval_factor
        if not due and not self._changed():
            return ()
        self._last_report_s = now_s
        self._report_due = False
        demands = {}
        by_demand = sorted(self._keys.items(), key=lambda item: -item[1].demand.per_s)
        for key, state in by_demand:
            state.reported_per_s = 0.0
            if state.demand.per_s < MIN_REPORTED_PER_S:
                continue
            if len(demands) >= MAX_KEYS_PER_REPORT:
                self.counts["demands_unreported"] += 1
                continue
            demands[key] = state.reported_per_s = round(state.demand.per_s, 2)
        return (SendDemand(tuple(self._peers), types.DemandReport(demands)),)

    def rate_per_s(self, key, limit_per_s, now_s):
        """Return the part of a limit that this entry instance may use.

        Peers without a recent report are counted with an equal part each, so that both
        sides of a partition together stay within the limit. The rest is divided in
        proportion to demand, and what exceeds the demand is divided evenly.

        :param key: ``row/client`` or ``row/half:NAME``.
        :param limit_per_s: limit over all entry instances, in units a second.
        :param now_s: current time in seconds.
        :returns: units a second.
        """
        silent_after_s = (
            SILENT_AFTER_INTERVALS * REPORT_INTERVAL_S * self._interval_factor
        )
        peers, count = self._peers_sharing(key)
        live = [
            peer.demands.get(key, 0.0)
            for peer in peers
            if peer.heard_s is not None and now_s - peer.heard_s <= silent_after_s
        ]
        group = len(live) + 1
        available_per_s = limit_per_s * group / max(group, count)
        own = self._keys[key].reported_per_s if key in self._keys else 0.0
        total = own + sum(live)
        even_per_s = max(EVEN_SHARE * available_per_s, available_per_s - total)
        by_demand = own / total if total > 0 else 0.0
        return even_per_s / group + (available_per_s - even_per_s) * by_demand

    def _peers_sharing(self, key):
        """Return the peers of this group that share a limit, and the number of sharers.

        The number counts the entry instances of all groups. A limit of a half is shared
        by the entry instances of that half only.
        """
        name = key.rpartition("/")[2]
        if not name.startswith(contracts.HALF_PREFIX):
            return self._peers.values(), len(self._names)
        members = self._members_of_half.get(name[len(contracts.HALF_PREFIX) :], set())
        peers = [peer for name, peer in self._peers.items() if name in members]
        return peers, len(members & self._names)

    @property
    def _interval_factor(self):
        return max(1.0, len(self._peers) / PEERS_AT_FULL_RATE)

    def _changed(self):
        return any(state.changed for state in self._keys.values())

    def _key_state(self, key, now_s):
        if key not in self._keys:
            if len(self._keys) >= MAX_KEYS:
                self._drop_idle_keys(now_s)
            if len(self._keys) >= MAX_KEYS:
                self.counts["keys_rejected"] += 1
                return None
            self._keys[key] = _KeyState(self._min_burst(), now_s)
        return self._keys[key]

    def _drop_idle_keys(self, now_s):
        """Drop keys without demand, except those with a negative token level."""
        if now_s - self._last_drop_s < DROP_INTERVAL_S:
            return
        self._last_drop_s = now_s
        for key, state in list(self._keys.items()):
            state.demand.advance(now_s)
            if state.demand.idle and state.tokens.level >= 0:
                del self._keys[key]

    def _min_burst(self):
        return max(1.0, min(MIN_BURST, MAX_MIN_BURSTS / len(self._names)))

    def _scheduled_retry_s(self, bucket, limit):
        """Return the seconds until the next free retry time after earlier rejections.

        An equal part of the limit is the least rate assumed: rejected requests count as
        demand, which raises the part of this entry instance at least that far by then.
        """
        equal_per_s = limit.requests_per_s / len(self._names)
        expected_per_s = max(bucket.rate_per_s, equal_per_s)
        max_retries = max(1.0, expected_per_s * MAX_RETRY_SCHEDULE_S)
        bucket.scheduled_retries = min(max_retries, bucket.scheduled_retries + 1.0)
        return _bounded_retry_after_s(bucket.scheduled_retries / expected_per_s)


def _group_of(name, groups):
    """Return the number of an entry instance's group, the same in every process."""
    return rendezvous.weight("limits", name) % groups


def _bounded_retry_after_s(wait_s):
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
