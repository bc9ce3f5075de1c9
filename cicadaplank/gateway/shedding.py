"""Order of waiting calls, and choice of the one to turn away, in an overload.

Load pattern: for seconds, more calls arrive than can start, of several priorities and
with prompts of very different length. Served in order of arrival, all of them become
late. By priority first, and within one priority by Moore's rule, the calls that cannot
all be in time lose those with the most work: this loses the fewest of them.
"""

import heapq

# Of this number of starts, one goes to the call of the most urgent priority that has
# waited longest, so that calls with much work are not passed over without end.
STARTS_PER_OLDEST = 16
# Calls whose expected wait exceeds their limit by this factor are turned away at once.
WAIT_MARGIN = 1.5


def _in_time(queued_calls, now_s, starts_per_s):
    """Return the calls of one priority that can all start in time.

    The calls that are left out have the most work (Moore, 1968). A call delays the next
    one in proportion to its work.

    :param queued_calls: list of :class:`cicadaplank.gateway.waiting.QueuedCall`.
    :param now_s: current time in seconds.
    :param starts_per_s: calls of mean work that start in a second, 0 when unknown.
    :returns: list in the order of the times by which they have to start.
    """
    due = [each for each in queued_calls if each.start_by_s > now_s]
    due.sort(key=lambda each: each.start_by_s)
    mean_s = sum(each.work_s for each in due) / max(1, len(due))
    if not starts_per_s or not mean_s:
        return due
    per_work = 1.0 / (mean_s * starts_per_s)
    start_s, by_work, left_out = now_s, [], set()
    for number, each in enumerate(due):
        heapq.heappush(by_work, (-each.work_s, number))
        if start_s > each.start_by_s:
            work_s, largest = heapq.heappop(by_work)
            left_out.add(largest)
            start_s += work_s * per_work
        start_s += each.work_s * per_work
    return [each for number, each in enumerate(due) if number not in left_out]


def order(queued_calls, now_s, starts_per_s, starts):
    """Return the waiting calls in the order in which they are to start.

    :param queued_calls: list of :class:`cicadaplank.gateway.waiting.QueuedCall` in
        order of arrival.
    :param now_s: current time in seconds.
    :param starts_per_s: calls that start in a second, 0 when unknown.
    :param starts: number of calls that have started so far.
    """
    by_priority = {}
    for each in queued_calls:
        by_priority.setdefault(each.priority, []).append(each)
    ordered = []
    for _, group in sorted(by_priority.items()):
        first = _in_time(group, now_s, starts_per_s)
        chosen = {id(each) for each in first}
        ordered += first + [each for each in group if id(each) not in chosen]
    if ordered and starts % STARTS_PER_OLDEST == STARTS_PER_OLDEST - 1:
        oldest = by_priority[ordered[0].priority][0]
        ordered.remove(oldest)
        ordered.insert(0, oldest)
    return ordered


def victim(queued_calls, arriving):
    """Return the waiting call that gives its place to a more urgent one.

    :param queued_calls: list of :class:`cicadaplank.gateway.waiting.QueuedCall`.
    :param arriving: :class:`cicadaplank.gateway.waiting.QueuedCall` that has no place.
    :returns: the least urgent call, of several the one with the most work, or None when
        none is less urgent and certainly has not run.
    """
    candidates = [
        each
        for each in queued_calls
        if each.priority > arriving.priority and each.may_be_refused
    ]
    return max(candidates, key=lambda c: (c.priority, c.work_s), default=None)


def unservable(ordered, now_s, starts_per_s):
    """Return the calls that would wait beyond their limit.

    :param ordered: waiting calls in the order in which they are to start.
    :param now_s: current time in seconds.
    :param starts_per_s: calls that start in a second, 0 when unknown.
    """
    if not starts_per_s:
        return []
    found, ahead = [], 0
    for queued_call in ordered:
        wait_s = WAIT_MARGIN * (ahead + 1) / starts_per_s
        if queued_call.may_be_refused and now_s + wait_s > queued_call.wait_until_s:
            found.append(queued_call)
        else:
            ahead += 1
    return found
