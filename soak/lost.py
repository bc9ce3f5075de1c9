"""Checks that no request that was read ends without its answer or a refusal."""

import dataclasses

from soak import checks, timeliness

# A request has been read when this time has passed since its last byte was sent.
READ_S = 0.2
# New connections are accepted for this time after the signal to stop. Work on requests
# sent by then may be cut in the last sixth of the grace period.
ACCEPTING_S, WORK_SHARE = 3.0, 5 / 6
# Tolerance of a deadline, and time after it when a request counts as unanswered.
EARLY_S, OVERDUE_S = 0.05, 1.0
# Statuses that are neither an answer of a server nor a promise.
FAILURES = (502, 504)


@dataclasses.dataclass(frozen=True)
class Stops:
    """Planned stops of entry processes.

    :param signalled_s: dict from the number of an entry and its life to the steady time
        of the signal.
    :param grace_s: time that a stop may take.
    """

    signalled_s: dict
    grace_s: float

    def may_cut(self, each, ledger):
        """Tell whether a stop may cut the work on a request.

        :param each: :class:`soak.checks.Seen`.
        :param ledger: :class:`soak.servers.Ledger`.
        """
        stop_s = self.signalled_s.get((each.entry, each.life))
        if stop_s is None or each.written_s > stop_s + ACCEPTING_S:
            return False
        work_until_s = ledger.ended_s.get(each.request, float("-inf"))
        return work_until_s > stop_s + WORK_SHARE * self.grace_s


def _fault(each, has_arrived):
    """Return how a request was lost, or an empty text."""
    if each.written_s is None or each.life < 0:
        return ""
    waited_s = each.ended_s - each.written_s
    is_overdue = waited_s >= each.deadline_s - EARLY_S
    if not each.status and waited_s >= each.deadline_s + OVERDUE_S:
        return "unanswered"
    if is_overdue:
        return ""
    if each.status in FAILURES:
        return "cut"
    if each.status:
        return "" if each.is_whole else "answer without its end"
    return "no answer" if has_arrived or waited_s > READ_S else ""


def violations(seen, ledger, stops, disturbances):
    """Check requests whose entry and servers were sound and not disturbed.

    Planned work, changes of the configuration and a server's silence are no
    disturbances. Without an arrival, any server may be the one to which the request was
    sent. An answer that its server has broken off ends the connection, and with it the
    requests that were sent behind its own.

    :param seen: list of :class:`soak.checks.Seen`.
    :param ledger: :class:`soak.servers.Ledger`.
    :param stops: :class:`Stops`.
    :param disturbances: :class:`soak.timeliness.Disturbances`.
    :returns: texts of what did not hold.
    """
    reached = {}
    for arrival in ledger.arrivals:
        reached.setdefault(arrival.request, set()).add(arrival.server)
    servers = disturbances.names()
    broken = {e.request for e in seen if e.request in ledger.failed and not e.is_whole}
    found = []
    for each in seen:
        arrived = reached.get(each.request, set())
        names = {timeliness.STORE, timeliness.entry_name(each.entry)}
        names |= arrived or servers
        last_s = disturbances.last_s(names, each.ended_s, counts_planned=False)
        if each.sent_s - last_s < timeliness.CONTACT_S:
            continue
        if each.request in ledger.failed:
            continue
        ledger.count("requests judged for a loss")
        fault = _fault(each, bool(arrived))
        for situation in _situations(each, fault, stops):
            ledger.count(situation)
        if not fault:
            continue
        if each.behind in broken and not each.status:
            ledger.count("requests behind an answer that its server broke off")
            continue
        if stops.may_cut(each, ledger):
            ledger.count("cuts that the rules allow")
            continue
        if each.has_ended_sending:
            # Its client counts as one that has left (GONE).
            ledger.count(f"{each.kind} half-closed: {fault}")
            continue
        found.append(f"lost: {fault}: {_describe(each, arrived, stops)}")
    return found


def _situations(each, fault, stops):
    stop_s = stops.signalled_s.get((each.entry, each.life))
    if each.written_s is None:
        return
    if stop_s is not None and each.written_s > stop_s:
        yield "requests in stops"
        if each.status in checks.REFUSALS:
            yield "refusals in stops"
    if not each.status and not fault:
        yield "requests that crossed a close"


def _describe(each, arrived, stops):
    stop_s = stops.signalled_s.get((each.entry, each.life))
    times_s = each.sent_s, each.written_s, each.ended_s
    since = "start" if stop_s is None else "signal"
    zero_s = each.sent_s if stop_s is None else stop_s
    times = ", ".join(f"{at_s - zero_s:.2f}" for at_s in times_s)
    return (
        f"{each.request} ({each.kind} {each.manner}) at entry {each.entry}, begun, "
        f"written and ended {times} s after its {since}, at {sorted(arrived)}: "
        f"{each.status} {each.body[-60:]!r}"
    )
