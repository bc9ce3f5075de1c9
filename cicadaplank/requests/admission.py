"""Priority queue of an entry instance with load shedding by time in the queue."""

import bisect
import collections
import dataclasses
import math

FIRST_TOKEN_OBJECTIVE_S = 0.88
MAX_QUEUED = 2_000
MAX_QUEUED_PER_ROW = 1_000
# More than ``MAX_QUEUED``, so that at the limit at least one row has an empty queue,
# which can be dropped.
MAX_ROWS = 2_048
# Until a first token has been observed, half of the objective is assumed for it.
INITIAL_FIRST_TOKEN_S = 0.44
MIN_WAIT_S = 0.05
# Number of waiting requests among which the router looks for one whose prefix is cached
# at an endpoint with a free slot, and how often the first of them may be passed over.
MAX_CANDIDATES = 8
MAX_PASSED_OVER = 8
# The expected time to first token is the moving average plus this many mean deviations,
# so that few of the dispatched requests miss the objective. ``FIRST_TOKEN_WEIGHT`` is
# the weight of a new observation in both averages.
FIRST_TOKEN_WEIGHT = 0.05
FIRST_TOKEN_DEVIATIONS = 1.0
RATE_TIME_CONSTANT_S = 2.0
# With fewer observed starts, or fewer requests ahead, the wait is not predicted: too
# few starts give no reliable rate.
MIN_STARTS = 8
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A queued request that waits for an endpoint.

    :param request: unique identifier.
    :param row: row name.
    :param client: client name.
    :param priority: 0 is most urgent.
    :param deadline_s: time, on the clock of ``now_s``, after which the caller has no
        use for the answer.
    """

    request: str
    row: str
    client: str
    priority: int
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class Shed:
    """Action: reject the request now as NOT_RUN, with ``Retry-After``.

    :param request: identifier.
    :param reason: ``queue_full``; ``displaced`` by a more urgent request;
        ``would_wait``, when the predicted wait misses the objective; ``waited``, when
        the wait did; or ``deadline``.
    :param retry_after_s: seconds after which to retry.
    """

    request: str
    reason: str
    retry_after_s: float


@dataclasses.dataclass
class _Entry:
    """A queued request, its sort key, and how often it was passed over."""

    waiting: QueuedRequest
    key: tuple
    queued_s: float
    passed_over: int = 0


class _RowQueue:
    """Queue and statistics of one row.

    :ivar order: sort keys of the requests, by priority and then by arrival.
    :ivar rate_per_s: rate of starts after a wait, with exponential decay.
    """

    def __init__(self, now_s):
        self.order = []
        self.mean_first_token_s = None
        self.first_token_deviation_s = 0.0
        self.starts = 0
        self.rate_per_s = 0.0
        self.updated_s = now_s

    def requests_ahead(self, priority):
        """Count the queued requests that a new one of this priority waits for."""
        return bisect.bisect_left(self.order, (priority + 1,))


class AdmissionQueue:
    """Admission queue of an entry instance, with one priority queue for each row.

    The I/O layer calls :meth:`submit` for each new request. While the router has an
    endpoint for one of the requests in :meth:`dispatch_candidates`
    (:meth:`cicadaplank.requests.routing.Router.choose_request`), it calls
    :meth:`started` and dispatches that request. It calls :meth:`tick` at
    :meth:`next_expiry_s`.

    :param objective_s: objective for the time to first token, in seconds.
    :param max_queued: largest number of queued requests over all rows.
    """

    def __init__(self, objective_s=FIRST_TOKEN_OBJECTIVE_S, max_queued=MAX_QUEUED):
        self.objective_s = objective_s
        self.max_queued = max_queued
        self.counts = collections.Counter()
        self._rows = {}
        self._entries = {}
        self._sequence = 0

    def __len__(self):
        return len(self._entries)

    def queued(self, row):
        """Return the number of queued requests of a row."""
        return len(self._rows[row].order) if row in self._rows else 0

    def rows_with_requests(self):
        """Return the names of the rows for which requests are queued, as a list."""
        return [name for name, queue in self._rows.items() if queue.order]

    def max_wait_s(self, row):
        """Return the time in the queue after which a request misses the objective.

        :param row: row name.
        :returns: objective less the expected time from dispatch to first token, in
            seconds; at least ``MIN_WAIT_S``.
        """
        queue = self._rows.get(row)
        if queue is None or queue.mean_first_token_s is None:
            expected_s = INITIAL_FIRST_TOKEN_S
        else:
            deviation_s = FIRST_TOKEN_DEVIATIONS * queue.first_token_deviation_s
            expected_s = queue.mean_first_token_s + deviation_s
        return max(MIN_WAIT_S, self.objective_s - expected_s)

    def submit(self, waiting, now_s):
        """Queue a request or reject it at once.

        :param waiting: :class:`QueuedRequest`.
        :param now_s: current time in seconds.
        :returns: :class:`Shed` for this request when it is rejected, or for a less
            urgent one that it displaces; else nothing.
        """
        queue = self._queue(waiting.row, now_s)
        reason = self._rejection(queue, waiting, now_s)
        if reason:
            return (self._shed(waiting, reason, now_s),)
        actions = ()
        full = len(self._entries) >= self.max_queued
        if full or len(queue.order) >= MAX_QUEUED_PER_ROW:
            last = self._least_urgent(None if full else waiting.row)
            if last is None or last.priority <= waiting.priority:
                return (self._shed(waiting, "queue_full", now_s),)
            self._remove(last.request)
            actions = (self._shed(last, "displaced", now_s),)
        self._sequence += 1
        key = (waiting.priority, self._sequence, waiting.request)
        bisect.insort(queue.order, key)
        self._entries[waiting.request] = _Entry(waiting, key, now_s)
        return actions

    def first(self, row, now_s):
        """Return the request of a row that is to be dispatched next.

        :param row: row name.
        :param now_s: current time in seconds.
        :returns: :class:`QueuedRequest`, or None when no request is waiting.
        """
        waiting = self.dispatch_candidates(row, now_s)
        return waiting[0] if waiting else None

    def dispatch_candidates(self, row, now_s):
        """Return the requests of a row from which the next one is to be dispatched.

        All have the most urgent priority present. The router prefers one whose prefix
        is cached at an endpoint with a free slot. When the first one was passed over
        ``MAX_PASSED_OVER`` times, it is the only one returned.

        :param row: row name.
        :param now_s: current time in seconds.
        :returns: tuple of at most ``MAX_CANDIDATES`` :class:`QueuedRequest` in queue
            order.
        """
        queue = self._rows.get(row)
        found = []
        for priority, _, request in queue.order if queue else ():
            entry = self._entries[request]
            if now_s >= self._expiry_s(entry.waiting, entry.queued_s):
                continue
            if found and priority != found[0].priority:
                break
            found.append(entry.waiting)
            if (
                len(found) == MAX_CANDIDATES
                or self._entries[found[0].request].passed_over >= MAX_PASSED_OVER
            ):
                break
        return tuple(found)

    def started(self, request, now_s):
        """Remove a request that is being dispatched, and update the rate of starts.

        :param request: identifier; unknown ones are ignored.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        entry = self._entries.get(request)
        if entry is None:
            return ()
        queue = self._rows[entry.waiting.row]
        for _, _, earlier in queue.order[: bisect.bisect_left(queue.order, entry.key)]:
            self._entries[earlier].passed_over += 1
        self._decay(queue, now_s)
        self._remove(request)
        self.counts["started"] += 1
        # A start without a wait reflects the demand, not the rate of freed slots.
        if now_s > entry.queued_s:
            queue.rate_per_s += 1 / RATE_TIME_CONSTANT_S
            queue.starts += 1
        return ()

    def withdrawn(self, request, now_s):
        """Remove a request whose caller has disconnected.

        :param request: identifier; unknown ones are ignored.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        if self._remove(request) is not None:
            self.counts["withdrawn"] += 1
        return ()

    def first_token_seen(self, row, elapsed_s, now_s):
        """Update the moving averages of the time from dispatch to first token.

        :param row: row name.
        :param elapsed_s: time from dispatch to first token in seconds.
        :param now_s: current time in seconds.
        :returns: no actions.
        """
        queue = self._queue(row, now_s)
        if queue.mean_first_token_s is None:
            queue.mean_first_token_s = elapsed_s
            queue.first_token_deviation_s = elapsed_s / 2
        error_s = elapsed_s - queue.mean_first_token_s
        queue.mean_first_token_s += FIRST_TOKEN_WEIGHT * error_s
        deviation_change_s = abs(error_s) - queue.first_token_deviation_s
        queue.first_token_deviation_s += FIRST_TOKEN_WEIGHT * deviation_change_s
        return ()

    def tick(self, now_s):
        """Shed the requests past their deadline or their wait limit.

        :param now_s: current time in seconds.
        :returns: tuple with a :class:`Shed` for each.
        """
        expired = [
            entry.waiting
            for entry in self._entries.values()
            if now_s >= self._expiry_s(entry.waiting, entry.queued_s)
        ]
        actions = []
        for waiting in expired:
            self._remove(waiting.request)
            reason = "deadline" if now_s >= waiting.deadline_s else "waited"
            actions.append(self._shed(waiting, reason, now_s))
        return tuple(actions)

    def next_expiry_s(self):
        """Return when :meth:`tick` is next needed in seconds, or None if never."""
        return min(
            (
                self._expiry_s(entry.waiting, entry.queued_s)
                for entry in self._entries.values()
            ),
            default=None,
        )

    def _expiry_s(self, waiting, queued_s):
        return min(waiting.deadline_s, queued_s + self.max_wait_s(waiting.row))

    def _queue(self, row, now_s):
        """Return the queue of a row; at the limit, a new one replaces an empty one."""
        if row not in self._rows:
            if len(self._rows) >= MAX_ROWS:
                empty = [name for name, queue in self._rows.items() if not queue.order]
                for name in empty[:1]:
                    self.counts["rows_dropped"] += 1
                    del self._rows[name]
            self._rows[row] = _RowQueue(now_s)
        return self._rows[row]

    def _rejection(self, queue, waiting, now_s):
        if now_s >= waiting.deadline_s:
            return "deadline"
        if self._predicted_wait_s(queue, waiting.priority, now_s) > self.max_wait_s(
            waiting.row
        ):
            return "would_wait"
        return ""

    def _predicted_wait_s(self, queue, priority, now_s):
        requests_ahead = queue.requests_ahead(priority)
        self._decay(queue, now_s)
        if (
            requests_ahead < MIN_STARTS
            or queue.starts < MIN_STARTS
            or queue.rate_per_s <= 0
        ):
            return 0.0
        return requests_ahead / queue.rate_per_s

    def _decay(self, queue, now_s):
        """Decay the rate of starts over the time since its last update.

        It decays only while requests are queued: without them, the absence of starts
        means that there is no demand.
        """
        if queue.order:
            elapsed_s = max(0.0, now_s - queue.updated_s)
            queue.rate_per_s *= math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        queue.updated_s = now_s

    def _least_urgent(self, row):
        rows = [self._rows[row]] if row else self._rows.values()
        keys = [queue.order[-1] for queue in rows if queue.order]
        return self._entries[max(keys)[2]].waiting if keys else None

    def _remove(self, request):
        entry = self._entries.pop(request, None)
        if entry is None:
            return None
        order = self._rows[entry.waiting.row].order
        del order[bisect.bisect_left(order, entry.key)]
        return entry.waiting

    def _shed(self, waiting, reason, now_s):
        self.counts[f"shed_{reason}"] += 1
        queue = self._rows[waiting.row]
        wait_s = 0.0
        if queue.rate_per_s > 0:
            wait_s = len(queue.order) / queue.rate_per_s
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return Shed(waiting.request, reason, retry_after_s)
