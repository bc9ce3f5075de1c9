"""Permits for calls to endpoints that have named a limit for all entry instances.

Load pattern: an endpoint in need takes a few requests a second, fewer than there are
entry instances, and every instance has calls for it. With a fixed rate for each of
them, most of the limit would be unused, and coinciding calls would exceed it.

Each instance follows one other, or itself, for each limited run of an endpoint: the
issuer, which rendezvous hashing names among the instances that it is connected to. An
issuer issues permits at the part of the limit that its followers are of all instances
which may send calls. Every instance follows one issuer at a time, so the parts do not
exceed the limit, also when instances disagree about who is connected. A call is sent
only with a permit, which is valid for a short time.
"""

import collections
import dataclasses
import typing

from cicadaplank.messages import types
from cicadaplank.requests import warm_ups
from cicadaplank.world import rendezvous

# Share of the limit that is issued. The rest is a margin, since calls arrive at the
# endpoint some time after their permits were issued.
ISSUED_SHARE = 0.95
# Permits that were not issued are kept for this time, as they are issued in intervals.
BURST_S = 0.1
# An unused permit lapses after this time. It is returned when calls no longer wait for
# it; at most those of the longer time are issued again.
PERMIT_S = 0.1
MAX_RETURNED_S = 0.2
# Interval at which a wish for permits, and the following of an issuer, are repeated.
REQUEST_S = 1.0
FOLLOW_S = 2.0
# Time for which they count without being repeated.
MAX_REQUEST_AGE_S = 2.5
MAX_FOLLOWING_AGE_S = 5.0
# Limit on the permits that an instance asks for at once.
MAX_WANTED = 32


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A message for another entry instance.

    :param peer: name of the instance.
    :param message: :class:`types.PermitRequest` or :class:`types.PermitGrant`.
    """

    peer: str
    message: object


@dataclasses.dataclass(frozen=True)
class Permit:
    """Allows one call to be sent.

    :param share: :class:`Share` that it belongs to.
    :param until_s: time in seconds at which it lapses.
    """

    share: object
    until_s: float


class Allowance(typing.Protocol):
    """Decides whether calls may be sent to one run of an endpoint."""

    def has_room(self, now_s):
        """Tell whether a call may be sent now."""

    def take(self, now_s):
        """Return the :class:`Permit` of a call that is about to be sent, or None."""

    def honours(self, permit):
        """Tell whether a call with this permit, or None, may be sent."""

    def give_back(self, permit):
        """Take a permit back whose call was not sent."""

    def interval_s(self):
        """Return the expected time in seconds between permits, 0.0 without a limit."""


class Unlimited:
    """:class:`Allowance` of an endpoint that names no limit."""

    def has_room(self, now_s):
        """Return True: any number of calls may be sent."""
        return True

    def take(self, now_s):
        """Return None: no permit is needed."""

    def honours(self, permit):
        """Return True: no permit is needed."""
        return True

    def give_back(self, permit):
        """Drop the permit: the limit that it was for has ended."""

    def interval_s(self):
        """Return 0.0."""
        return 0.0


UNLIMITED = Unlimited()


class Pace:
    """Permits that become available at a rate; they accumulate for :data:`BURST_S`.

    Returned ones do not count for that: their time was before.
    """

    def __init__(self, now_s):
        self._rate_per_s = 0.0
        self._permits = 0.0
        self._returned = 0.0
        self._updated_s = now_s

    def set_rate(self, rate_per_s, now_s):
        """Change the rate from now on.

        :param rate_per_s: permits per second.
        :param now_s: current time in seconds.
        """
        self._accrue(now_s)
        self._rate_per_s = rate_per_s

    def _accrue(self, now_s):
        most = 1.0 + BURST_S * self._rate_per_s
        accrued = self._permits + self._rate_per_s * (now_s - self._updated_s)
        self._permits = min(most, accrued)
        self._updated_s = now_s

    def take(self, now_s):
        """Take a permit if one is available.

        :param now_s: current time in seconds.
        :returns: whether one was taken.
        """
        self._accrue(now_s)
        if self._returned >= 1.0:
            self._returned -= 1.0
            return True
        if self._permits < 1.0:
            return False
        self._permits -= 1.0
        return True

    def give_back(self, count):
        """Take back permits that were not used.

        :param count: number of permits.
        """
        most = 1.0 + MAX_RETURNED_S * self._rate_per_s
        self._returned = min(most, self._returned + count)


class Issuer:
    """Issues permits of one run to the instances that follow this one, in turn.

    Those where calls wait go first.

    :param now_s: current time in seconds.
    """

    def __init__(self, now_s):
        self._pace = Pace(now_s)
        # By name of the instance: time until which it follows; and in the order in
        # which permits are issued: the number that it wants, until when, and whether
        # calls wait.
        self._followers = {}
        self._wanted = collections.OrderedDict()

    def receive(self, peer, request, now_s):
        """Record what an instance wants.

        :param peer: name of the instance.
        :param request: :class:`types.PermitRequest`.
        :param now_s: current time in seconds.
        """
        self._pace.give_back(min(max(0, request.returned), MAX_WANTED))
        if not request.follows:
            self.drop(peer)
            return
        self._followers[peer] = now_s + MAX_FOLLOWING_AGE_S
        wanted = min(request.wanted, MAX_WANTED)
        if wanted > 0:
            until_s = now_s + MAX_REQUEST_AGE_S
            self._wanted[peer] = (wanted, until_s, request.is_waiting)
        else:
            self._wanted.pop(peer, None)

    def drop(self, peer):
        """Forget an instance that does not follow this one any more.

        :param peer: name of the instance.
        """
        self._followers.pop(peer, None)
        self._wanted.pop(peer, None)

    def issue(self, limit_per_s, instances, now_s):
        """Issue the permits that are available.

        :param limit_per_s: limit of the endpoint, requests per second.
        :param instances: number of instances that may send calls to it.
        :param now_s: current time in seconds.
        :returns: dict from name of the instance to its number of permits.
        """
        for peer, until_s in list(self._followers.items()):
            if until_s < now_s:
                self.drop(peer)
        part = len(self._followers) / max(1, instances)
        self._pace.set_rate(ISSUED_SHARE * limit_per_s * min(1.0, part), now_s)
        issued = collections.Counter()
        for peer, (_, until_s, _) in list(self._wanted.items()):
            if until_s < now_s:
                del self._wanted[peer]
        while self._wanted and self._pace.take(now_s):
            waiting = (p for p, (_, _, waits) in self._wanted.items() if waits)
            peer = next(waiting, None) or next(iter(self._wanted))
            wanted, until_s, is_waiting = self._wanted.pop(peer)
            issued[peer] += 1
            if wanted > 1:
                self._wanted[peer] = (wanted - 1, until_s, is_waiting)
        return issued

    def interval_s(self, rate_per_s):
        """Return the time in seconds between the permits of one instance.

        :param rate_per_s: permits per second once all that will follow do.
        """
        return max(1, len(self._wanted)) / rate_per_s


class Share:
    """:class:`Allowance` of a run with a limit: what this instance may send to it.

    :ivar limit_per_s: limit for all instances together, requests per second.
    :ivar named_per_s: limit that the endpoint itself has named, or None.
    :ivar named_s: time in seconds at which the endpoint named it.
    :ivar issuer: name of the instance that issues the permits, or None.
    :ivar is_waiting: whether calls wait for permits.
    """

    def __init__(self, limit_per_s, named_s):
        self.limit_per_s = limit_per_s
        self.named_per_s = None
        self.named_s = named_s
        self.issuer = None
        self.is_waiting = False
        self._wanted = 0
        self._permits = collections.deque()
        self._returned = 0
        # Permits that the issuer has been asked for and has not granted yet.
        self._asked = 0
        self._asked_s = float("-inf")
        self._asked_waiting = False
        self._interval_s = None
        # Least difference between the clocks here and at the issuer, in seconds.
        self._clock_offset_s = float("inf")

    def has_room(self, now_s):
        """Tell whether a permit is at hand.

        :param now_s: current time in seconds.
        """
        self._return_unused(now_s)
        return bool(self._permits)

    def _return_unused(self, now_s):
        while self._permits and self._permits[0].until_s < now_s:
            self._permits.popleft()
        # Only these: permits that lapse and are issued again would add up to a burst.
        while len(self._permits) > self._wanted:
            self._permits.popleft()
            self._returned += 1

    def take(self, now_s):
        """Return the oldest :class:`Permit`, or None when there is none.

        :param now_s: current time in seconds.
        """
        return self._permits.popleft() if self.has_room(now_s) else None

    def honours(self, permit):
        """Tell whether a call has a permit.

        :param permit: :class:`Permit` or None.
        """
        return permit is not None

    def give_back(self, permit):
        """Take a permit back whose call was not sent.

        :param permit: :class:`Permit`, which may be of an earlier limit.
        """
        if permit.share is self:
            self._permits.appendleft(permit)

    def interval_s(self):
        """Return the time in seconds between permits, as far as the issuer told it."""
        if self._interval_s is None:
            return 1.0 / (ISSUED_SHARE * self.limit_per_s)
        return self._interval_s

    def want(self, count, is_waiting):
        """Set how many permits can be used.

        :param count: number of calls.
        :param is_waiting: whether these calls wait.
        """
        self._wanted = min(count, MAX_WANTED)
        self.is_waiting = is_waiting

    def follow(self, issuer):
        """Follow an issuer from now on.

        :param issuer: name of an instance.
        """
        self.issuer = issuer
        self._asked_s = float("-inf")
        self._asked = 0
        self._clock_offset_s = float("inf")

    def grant(self, grant, now_s):
        """Add permits that the issuer has granted, unless they were long on the way.

        :param grant: :class:`types.PermitGrant`.
        :param now_s: current time in seconds.
        :returns: number of permits that were added.
        """
        self._asked = max(0, self._asked - grant.count)
        offset_s = now_s - grant.issued_s
        self._clock_offset_s = min(self._clock_offset_s, offset_s)
        delay_s = offset_s - self._clock_offset_s
        if delay_s >= PERMIT_S:
            return 0
        self._interval_s = grant.interval_s
        permit = Permit(self, now_s + PERMIT_S - delay_s)
        self._permits.extend([permit] * grant.count)
        return grant.count

    def request(self, now_s):
        """Return what to ask the issuer for when it is time to do so.

        :param now_s: current time in seconds.
        :returns: tuple of the permits that are wanted and those that are returned, or
            None when the issuer knows it.
        """
        self._return_unused(now_s)
        wanted = self._wanted - len(self._permits)
        period_s = REQUEST_S if wanted else FOLLOW_S
        is_changed = wanted > 2 * self._asked or (self._asked and not wanted)
        is_changed |= self.is_waiting and not self._asked_waiting
        if not (is_changed or self._returned) and now_s - self._asked_s < period_s:
            return None
        self._asked, self._asked_s = wanted, now_s
        self._asked_waiting = self.is_waiting
        returned, self._returned = self._returned, 0
        return wanted, returned


class LimitShares:
    """Shares of this instance in all limited runs, and the permits that it issues.

    :ivar name: name of this instance.
    :ivar counts: number of permits ``issued``, ``granted`` and ``late``, and of
        ``rejected`` messages.
    """

    def __init__(self):
        self.name = ""
        self.counts = collections.Counter()
        self._members = {"": ""}
        self._silent = 0
        self._shares = {}
        self._issuers = {}
        self._data_centres = {}
        # Name of the issuer by run, as long as the members stay the same.
        self._issuer_names = {}

    def set_members(self, members, silent):
        """Set the instances that may send calls.

        :param members: dict from name to data centre of this instance and those that
            it is connected to.
        :param silent: number of further instances that may run but are not connected.
        """
        self._silent = silent
        if members == self._members:
            return
        for name in self._members.keys() - members.keys():
            for issuer in self._issuers.values():
                issuer.drop(name)
        self._members = dict(members)
        self._issuer_names.clear()

    def __len__(self):
        return len(self._shares)

    def of(self, run):
        """Return the :class:`Allowance` of a run.

        :param run: key of one run of an endpoint.
        """
        return self._shares.get(run, UNLIMITED)

    def set_limit(self, run, data_centre, word, now_s, warm_up_per_s=None):
        """Set the limit of a run.

        :param run: key of one run of an endpoint.
        :param data_centre: data centre of the endpoint.
        :param word: :class:`cicadaplank.requests.announcements.Word` of the run.
        :param now_s: current time in seconds.
        :param warm_up_per_s: requests per second that it bears while it is cold, None
            when it is warm.
        :returns: the :class:`Allowance` of the run.
        """
        limit_per_s = warm_ups.lower(word.limit_per_s, warm_up_per_s)
        if limit_per_s is None:
            self.drop(run)
            return UNLIMITED
        share = self._shares.get(run)
        if share is None:
            share = self._shares[run] = Share(limit_per_s, word.limit_said_s)
            self._issuers[run] = Issuer(now_s)
            self._data_centres[run] = data_centre
        share.limit_per_s, share.named_s = limit_per_s, word.limit_said_s
        share.named_per_s = word.limit_per_s
        return share

    def drop(self, run):
        """Forget a run that has ended or names no limit.

        :param run: key of one run of an endpoint.
        """
        for held in self._shares, self._issuers, self._data_centres, self._issuer_names:
            held.pop(run, None)

    def _issuer_of(self, run):
        """Return the issuer of a run, one in the endpoint's data centre if there is."""
        name = self._issuer_names.get(run)
        if name is None:
            centre = self._data_centres[run]
            near = [name for name, its in self._members.items() if its == centre]
            key = "/".join(map(str, run))
            name = self._issuer_names[run] = rendezvous.owner(
                key, near or self._members
            )
        return name

    def issuer_names(self):
        """Return the names of the issuers that this instance follows, as a set."""
        return {share.issuer for share in self._shares.values()}

    def receive(self, peer, run, request, now_s):
        """Record the request of another instance for permits.

        :param peer: name of the instance.
        :param run: key of the run.
        :param request: :class:`types.PermitRequest`.
        :param now_s: current time in seconds.
        :returns: list of :class:`Outgoing`.
        """
        issuer = self._issuers.get(run)
        if issuer is None or peer not in self._members:
            self.counts["rejected"] += 1
            return []
        issuer.receive(peer, request, now_s)
        asked = {peer} if request.wanted > 0 else set()
        return self._issue(run, now_s, asked)

    def grant(self, peer, run, grant, now_s):
        """Add permits that another instance has granted.

        :param peer: name of the instance.
        :param run: key of the run.
        :param grant: :class:`types.PermitGrant`.
        :param now_s: current time in seconds.
        :returns: whether calls may be sent now.
        """
        share = self._shares.get(run)
        is_valid = 0 <= grant.count <= MAX_WANTED
        is_valid &= 0.0 < grant.interval_s < float("inf")
        if share is None or share.issuer != peer or not is_valid:
            self.counts["rejected"] += 1
            return False
        count = share.grant(grant, now_s)
        self.counts["granted"] += count
        self.counts["late"] += grant.count - count
        return count > 0

    def _issue(self, run, now_s, asked=frozenset()):
        """Issue permits, and tell those that asked when to expect more."""
        issuer, limit_per_s = self._issuers[run], self._shares[run].limit_per_s
        instances = len(self._members) + self._silent
        issued = issuer.issue(limit_per_s, instances, now_s)
        self.counts["issued"] += sum(issued.values())
        part = len(self._members) / instances
        interval_s = issuer.interval_s(ISSUED_SHARE * limit_per_s * part)
        sent = []
        for peer in sorted(issued.keys() | asked):
            grant = types.PermitGrant(run[0], run[-1], issued[peer], interval_s, now_s)
            if peer == self.name:
                self.grant(peer, run, grant, now_s)
            else:
                sent.append(Outgoing(peer, grant))
        return sent

    def tick(self, now_s):
        """Ask for permits and issue them.

        :param now_s: current time in seconds.
        :returns: list of :class:`Outgoing`.
        """
        sent = []
        for run, share in self._shares.items():
            previous, issuer = share.issuer, self._issuer_of(run)
            if issuer != previous:
                share.follow(issuer)
                sent += self._ask(run, previous, (0, 0), False, now_s)
            asked = share.request(now_s)
            if asked is not None:
                sent += self._ask(run, issuer, asked, True, now_s)
            sent += self._issue(run, now_s)
        return sent

    def _ask(self, run, issuer, asked, follows, now_s):
        if issuer not in self._members:
            return []
        wanted, returned = asked
        share = self._shares[run]
        is_named = share.named_per_s is not None
        named_age_s = now_s - share.named_s if is_named else 0.0
        request = types.PermitRequest(
            run[0],
            run[-1],
            self._shares[run].named_per_s or 0.0,
            named_age_s,
            wanted,
            self._shares[run].is_waiting,
            returned,
            follows,
        )
        if issuer == self.name:
            return self.receive(issuer, run, request, now_s)
        return [Outgoing(issuer, request)]
