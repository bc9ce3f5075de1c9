"""What must hold, checked from what callers and servers saw."""

import collections
import dataclasses

# How clients use connections whose sending side they close behind a request.
HALF_CLOSED = "half-closed"
# Statuses which say that a request that may not be repeated was not run.
REFUSALS = (408, 421, 429, 503)
# A server that is marked as leaving gets nothing new after this time.
DRAIN_S = 3.0
RETRY_SHARE, RETRY_ALLOWANCE = 0.2, 100
# A link may hold a request back for 2.5 s.
GONE_S = 3.0
# A server that has named a limit gets in any window no more than this share of what the
# limit allows, and a few further requests.
LIMIT_WINDOW_S, LIMIT_SHARE, LIMIT_ALLOWANCE = 4.0, 1.5, 5
CONTACT_S, TOLD_S = 3.0, 0.5
# A part that has crashed this many servers is not sent more often than allowed later
# than this.
JUDGED_CRASH, POISON_S, MAX_LATE_POISON = 5, 3.0, 3


@dataclasses.dataclass(frozen=True)
class Seen:
    """One request as its client saw it.

    :param request: identifier.
    :param kind: ``once``, ``free`` or ``stream``.
    :param entry: number of the entry process.
    :param life: how often that process was started before.
    :param status: status of the answer, 0 for none.
    :param body: bytes of the answer.
    :param events: events that were asked for.
    :param is_whole: whether the answer was complete.
    :param version: configuration whose path was asked for.
    :param sent_s: steady time of the sending.
    :param ended_s: steady time of the end.
    :param key: API key.
    :param leaving: server whose answer came with the word that it leaves, or empty.
    :param limited: server whose answer came with a limit, or empty.
    :param written_s: steady time at which its last byte was sent, None if it was not.
    :param deadline_s: time that its client allowed it.
    :param manner: how the client used the connection.
    :param behind: request that was sent before it on its connection without waiting for
        the answer, or empty.
    :param is_droppable: whether its route is dropped and added again.
    """

    request: str
    kind: str
    entry: int
    life: int
    status: int
    body: bytes
    events: int
    is_whole: bool
    version: int
    sent_s: float
    ended_s: float
    key: str = "key-1"
    leaving: str = ""
    limited: str = ""
    written_s: float | None = None
    deadline_s: float = 4.0
    manner: str = ""
    behind: str = ""
    is_droppable: bool = False

    @property
    def has_ended_sending(self):
        """Whether its client closed the sending side behind it.

        An entry cannot tell such a client from one that has closed its connection.
        """
        return self.manner.endswith(HALF_CLOSED)

    @property
    def needs_weights(self):
        """Whether it is a call of a model."""
        return self.kind == "stream"


def _answers(seen):
    for each in seen:
        if each.status != 200 or not each.is_whole:
            continue
        expected = f"answer to {each.request}".encode()
        if each.events:
            expected = b"".join(
                f"id: {n}\ndata: {each.request} {n}\n\n".encode()
                for n in range(1, each.events + 1)
            )
        if each.body != expected:
            kind = "streams in order" if each.events else "own whole answer"
            yield f"{kind}: {each.request} got {each.body[-80:]!r}"


def _streams(seen):
    """Check the events that came, also of streams that broke off."""
    for each in seen:
        if not each.events or each.status != 200 or each.is_whole:
            continue
        came = each.body.split(b"\n\n")[:-1]
        for number, event in enumerate(came, 1):
            if event != f"id: {number}\ndata: {each.request} {number}".encode():
                yield f"streams in order: {each.request} got {event!r} as {number}"
                break


def _refusals(seen, runs):
    for each in seen:
        is_refused = each.status == 503 and b"not run" in each.body
        if each.kind == "once":
            is_refused = each.status in REFUSALS
        if is_refused and runs[each.request]:
            yield f"truthful refusal: {each.request} was run, but got {each.body!r}"


def _once(seen, runs):
    for each in seen:
        if each.kind == "once" and runs[each.request] > 1:
            yield f"at most once: {each.request} was run {runs[each.request]} times"


def _configurations(seen):
    """Check that a process never goes back to an older configuration."""
    newest = collections.defaultdict(list)
    versioned = [each for each in seen if not each.is_droppable]
    for each in sorted(versioned, key=lambda each: each.ended_s):
        if each.status == 200:
            newest[each.entry, each.life].append((each.ended_s, each.version))
        if each.status != 404:
            continue
        known = newest[each.entry, each.life]
        later = [v for at_s, v in known if at_s < each.sent_s and v >= each.version]
        if later:
            yield (
                f"configuration never older: entry {each.entry} served version "
                f"{max(later)} and then did not know version {each.version}"
            )


def _revocations(seen, after, revoked):
    """Check that a revoked key is never valid again, and nowhere once faults ended."""
    for each in after:
        if each.key in revoked and each.status == 200:
            yield f"revoked keys: entry {each.entry} took {each.key} after the faults"
    known = collections.defaultdict(list)
    for each in sorted(seen, key=lambda each: each.ended_s):
        place = each.entry, each.life, each.key
        if each.status == 401:
            known[place].append(each.ended_s)
        elif each.status == 200 and any(at_s < each.sent_s for at_s in known[place]):
            yield f"revoked keys: entry {each.entry} took {each.key} again"


def _gone(ledger, left):
    """Check that nothing is sent on long after its client left."""
    left_s = {each.request: each.left_s for each in left}
    late = [
        arrival.at_s - left_s[arrival.request]
        for arrival in ledger.arrivals
        if arrival.at_s > left_s.get(arrival.request, float("inf")) + GONE_S
    ]
    if late:
        yield f"clients that left: {len(late)} requests up to {max(late):.1f} s later"


def _poisoned(ledger, crashes_s):
    """Check that a part which crashes servers is not sent on for long."""
    if len(crashes_s) < JUDGED_CRASH:
        return
    bound_s = sorted(crashes_s)[JUDGED_CRASH - 1] + POISON_S
    late = [a for a in ledger.arrivals if a.is_bad and a.at_s > bound_s]
    if len(late) > MAX_LATE_POISON:
        yield f"blocked parts: {len(late)} sends, {len(crashes_s)} crashes"


def _leaving(ledger, drained):
    for arrival in ledger.arrivals:
        since_s = drained.get(arrival.server)
        if since_s is not None and arrival.at_s > since_s + DRAIN_S:
            late_s = arrival.at_s - since_s
            yield f"no work to leaving servers: {arrival.server} {late_s:.1f} s after"


def _said_to_leave(seen, ledger):
    """Check that an entry obeys the word of a server that it has passed on."""
    by_request = {each.request: each for each in seen}
    told_s = {}
    for each in seen:
        place = each.leaving, each.entry, each.life
        told_s[place] = min(told_s.get(place, float("inf")), each.ended_s)
    for arrival in ledger.arrivals:
        each = by_request.get(arrival.request)
        if each is None or arrival.is_misdirected:
            continue
        place = arrival.server, each.entry, each.life
        late_s = each.sent_s - told_s.get(place, float("inf"))
        if late_s > DRAIN_S:
            yield f"words of servers: {arrival.server} got work {late_s:.1f} s later"


@dataclasses.dataclass(frozen=True)
class Limit:
    """A span in which a server named a limit.

    :param server: server name.
    :param limit_per_s: requests per second from all entries together.
    :param since_s: steady time at which it began.
    :param until_s: steady time at which it ended.
    """

    server: str
    limit_per_s: float
    since_s: float
    until_s: float


def limits(spans, seen, ledger):
    """Check that servers get no more than their limit from entries that they told.

    An entry process counts half a second after it has passed such an answer on, and not
    any more once it was restarted.

    :param spans: list of :class:`Limit`.
    :param seen: list of :class:`Seen`.
    :param ledger: :class:`soak.servers.Ledger`.
    :returns: texts of what did not hold.
    """
    by_request = {each.request: each for each in seen}
    found = []
    for span in spans:
        told_s = {}
        for each in seen:
            if each.limited == span.server and each.ended_s >= span.since_s:
                place = each.entry, each.life
                told_s[place] = min(told_s.get(place, float("inf")), each.ended_s)
        times_s = []
        for arrival in ledger.arrivals:
            each = by_request.get(arrival.request)
            is_there = arrival.server == span.server and not arrival.is_misdirected
            if each is None or not is_there or arrival.at_s > span.until_s:
                continue
            since_s = told_s.get((each.entry, each.life), float("inf")) + TOLD_S
            if arrival.at_s > max(since_s, span.since_s + CONTACT_S):
                times_s.append(arrival.at_s)
        allowed = LIMIT_SHARE * LIMIT_WINDOW_S * span.limit_per_s + LIMIT_ALLOWANCE
        for first_s in times_s:
            count = sum(1 for t in times_s if first_s <= t <= first_s + LIMIT_WINDOW_S)
            if count > allowed:
                found.append(
                    f"limits: {span.server} got {count} requests in "
                    f"{LIMIT_WINDOW_S:.0f} s at {span.limit_per_s} a second"
                )
                break
    return found


def _budget(seen, ledger):
    arrived = collections.Counter(a.request for a in ledger.arrivals)
    repeats = sum(count - 1 for count in arrived.values())
    allowed = RETRY_SHARE * len(seen) + RETRY_ALLOWANCE
    if repeats > allowed:
        yield f"retry budget: {repeats} repeats of {len(seen)} requests"


def _served(seen, revoked):
    """Check that requests are answered once every fault has ended."""
    seen = [e for e in seen if e.key not in revoked and not e.has_ended_sending]
    answered = sum(1 for each in seen if each.status == 200 and each.is_whole)
    if answered < 0.9 * len(seen):
        others = collections.Counter(
            (each.kind, each.status, each.body[:40])
            for each in seen
            if each.status != 200 or not each.is_whole
        )
        yield (
            f"service returns: {answered} of {len(seen)} answered after the faults; "
            f"most others: {others.most_common(2)}"
        )


@dataclasses.dataclass(frozen=True)
class Extras:
    """What the additional events did.

    :param revoked: set of the revoked keys.
    :param left: list of :class:`soak.extras.Left`.
    :param crashes_s: list of the steady times at which servers crashed.
    """

    revoked: set
    left: list
    crashes_s: list


def violations(seen, after, ledger, drained, extras):
    """Return what did not hold, as texts that begin with the property.

    :param seen: list of :class:`Seen` during the faults.
    :param after: the same, after their end.
    :param ledger: :class:`soak.servers.Ledger`.
    :param drained: dict from server to the time at which its row said it leaves.
    :param extras: :class:`Extras`.
    """
    runs = ledger.runs()
    every = [*seen, *after]
    return [
        *_answers(every),
        *_streams(every),
        *_refusals(every, runs),
        *_once(every, runs),
        *_configurations(every),
        *_leaving(ledger, drained),
        *_said_to_leave(every, ledger),
        *_budget(every, ledger),
        *_revocations(every, after, extras.revoked),
        *_gone(ledger, extras.left),
        *_poisoned(ledger, extras.crashes_s),
        *_served(after, extras.revoked),
    ]
