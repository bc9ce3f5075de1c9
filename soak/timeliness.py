"""Checks of when changes are in force, at entries that nothing disturbs."""

import contextlib
import dataclasses
import threading
import time

from soak import checks

# An entry counts when nothing has disturbed it or the store for this time.
CONTACT_S = 3.0
# Times after the acknowledgement of a change within which it is in force.
IN_FORCE_S = 2.0
WEIGHTS_ALLOWED_S = 4.0
STORE = "store"


def entry_name(number):
    """Return the name under which an entry is disturbed."""
    return f"entry-{number}"


class Disturbances:
    """Times at which the store, an entry or the link of a server was disturbed."""

    def __init__(self):
        self._spans = []
        self._lock = threading.Lock()

    def record(self, name, since_s, until_s=float("inf"), is_planned=False):
        """Record that something is disturbed.

        :param name: :data:`STORE`, an entry by :func:`entry_name`, or a server name.
        :param since_s: steady time.
        :param until_s: steady time.
        :param is_planned: whether that is planned work, such as a stop.
        :returns: list of these, whose third one may be set later.
        """
        span = [name, since_s, until_s, is_planned]
        with self._lock:
            self._spans.append(span)
        return span

    @contextlib.contextmanager
    def during(self, name, is_planned=False):
        """Record the time that the body of a ``with`` statement takes.

        :param name: as for :meth:`record`.
        :param is_planned: as for :meth:`record`.
        """
        span = self.record(name, time.monotonic(), is_planned=is_planned)
        try:
            yield
        finally:
            span[2] = time.monotonic()

    def names(self):
        """Return the names of all that was ever disturbed."""
        return {name for name, *_ in list(self._spans)}

    def last_s(self, names, at_s, counts_planned=True):
        """Return the latest time until ``at_s`` at which something was disturbed.

        :param names: set of names.
        :param at_s: steady time.
        :param counts_planned: whether planned work counts.
        """
        ends_s = [
            min(until_s, at_s)
            for name, since_s, until_s, is_planned in list(self._spans)
            if name in names and since_s <= at_s and (counts_planned or not is_planned)
        ]
        return max(ends_s, default=float("-inf"))


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes that the store acknowledged.

    :param versions: list of pairs of a version of the configuration and the steady time
        of its acknowledgement.
    :param revoked: the same with API keys that were removed.
    :param weights: the same with versions of the weights.
    :param leaving: the same with servers that were marked as leaving.
    """

    versions: list = dataclasses.field(default_factory=list)
    revoked: list = dataclasses.field(default_factory=list)
    weights: list = dataclasses.field(default_factory=list)
    leaving: list = dataclasses.field(default_factory=list)


def _in_force(changes, at_s):
    return {value for value, acked_s in changes if at_s - acked_s > IN_FORCE_S}


def configurations(seen, changes, disturbances):
    """Check that acknowledged changes of the configuration are in force in time.

    :param seen: list of :class:`soak.checks.Seen`.
    :param changes: :class:`Changes`.
    :param disturbances: :class:`Disturbances`.
    :returns: texts of what did not hold.
    """
    found = []
    for each in seen:
        if each.life < 0 or each.status not in (200, 401, 404):
            continue
        names = {STORE, entry_name(each.entry)}
        if each.sent_s - disturbances.last_s(names, each.ended_s) < CONTACT_S:
            continue
        place = f"change in force: entry {each.entry}, {each.request}"
        known = max(_in_force(changes.versions, each.sent_s), default=0)
        removed = {key for key, _ in changes.revoked}
        if each.status == 404 and each.version <= known and not each.is_droppable:
            found.append(f"{place}: 404 for version {each.version} of {known}")
        if each.status == 401 and each.key not in removed:
            found.append(f"{place}: 401 for {each.key}")
        if each.status == 200 and each.key in _in_force(changes.revoked, each.sent_s):
            found.append(f"{place}: took {each.key}")
    return found


def weights(seen, ledger, changes, disturbances):
    """Check that no call begins on weights later than they are allowed.

    The allowed time counts in one stretch in which neither the store nor the link of
    the server was disturbed.

    :param seen: list of :class:`soak.checks.Seen`.
    :param ledger: :class:`soak.servers.Ledger`.
    :param changes: :class:`Changes`.
    :param disturbances: :class:`Disturbances`.
    :returns: texts of what did not hold.
    """
    by_request = {each.request: each for each in seen if each.needs_weights}
    found = []
    for arrival in ledger.arrivals:
        each = by_request.get(arrival.request)
        if each is None or each.life < 0 or not arrival.ran:
            continue
        entry = entry_name(each.entry)
        if arrival.at_s - disturbances.last_s({entry}, arrival.at_s) < CONTACT_S:
            continue
        calm_s = disturbances.last_s({STORE, arrival.server}, arrival.at_s)
        for version, acked_s in changes.weights:
            late_s = arrival.at_s - max(acked_s, calm_s) - WEIGHTS_ALLOWED_S
            if version > arrival.weights and late_s > 0.0:
                found.append(
                    f"weights: entry {each.entry} let {each.request} begin on version "
                    f"{arrival.weights} {late_s:.3f} s after {version} was required"
                )
                break
    return found


def leaving(seen, ledger, changes, disturbances):
    """Check that servers that were marked as leaving get no new work.

    :param seen: list of :class:`soak.checks.Seen`.
    :param ledger: :class:`soak.servers.Ledger`.
    :param changes: :class:`Changes`.
    :param disturbances: :class:`Disturbances`.
    :returns: texts of what did not hold.
    """
    by_request = {each.request: each for each in seen}
    since_s = dict(changes.leaving)
    found = []
    for arrival in ledger.arrivals:
        each = by_request.get(arrival.request)
        late_s = arrival.at_s - since_s.get(arrival.server, float("inf"))
        if each is None or arrival.is_misdirected or late_s <= checks.DRAIN_S:
            continue
        names = {STORE, entry_name(each.entry), arrival.server}
        if arrival.at_s - disturbances.last_s(names, arrival.at_s) >= CONTACT_S:
            found.append(
                f"leaving in force: entry {each.entry} sent {each.request} to "
                f"{arrival.server} {late_s:.3f} s after it was marked"
            )
    return found
