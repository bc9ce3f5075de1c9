"""What must hold, checked from what callers and servers saw."""

import collections
import dataclasses

# A server that is marked as leaving gets nothing new after this time.
DRAIN_S = 3.0
RETRY_SHARE, RETRY_ALLOWANCE = 0.2, 100


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
        if each.status == 503 and b"not run" in each.body and runs[each.request]:
            yield f"truthful refusal: {each.request} was run, but got {each.body!r}"


def _once(seen, runs):
    for each in seen:
        if each.kind == "once" and runs[each.request] > 1:
            yield f"at most once: {each.request} was run {runs[each.request]} times"


def _configurations(seen):
    """Check that a process never goes back to an older configuration."""
    newest = collections.defaultdict(list)
    for each in sorted(seen, key=lambda each: each.ended_s):
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


def _leaving(ledger, drained):
    for arrival in ledger.arrivals:
        since_s = drained.get(arrival.server)
        if since_s is not None and arrival.at_s > since_s + DRAIN_S:
            late_s = arrival.at_s - since_s
            yield f"no work to leaving servers: {arrival.server} {late_s:.1f} s after"


def _budget(seen, ledger):
    arrived = collections.Counter(a.request for a in ledger.arrivals)
    repeats = sum(count - 1 for count in arrived.values())
    allowed = RETRY_SHARE * len(seen) + RETRY_ALLOWANCE
    if repeats > allowed:
        yield f"retry budget: {repeats} repeats of {len(seen)} requests"


def _served(seen):
    """Check that requests are answered once every fault has ended."""
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


def violations(seen, after, ledger, drained):
    """Return what did not hold, as texts that begin with the property.

    :param seen: list of :class:`Seen` during the faults.
    :param after: the same, after their end.
    :param ledger: :class:`soak.servers.Ledger`.
    :param drained: dict from server to the time at which its row said it leaves.
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
        *_budget(every, ledger),
        *_served(after),
    ]
