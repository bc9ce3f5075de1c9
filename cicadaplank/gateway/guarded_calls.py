"""Calls of functions whose errors must not stop their caller or lose a change.

A copy of a table includes a change before it is reported, so that an error while the
change is applied would otherwise leave it out until the table changes again.
"""

import collections
import traceback

# Bounds of the delay before a failed call is repeated; it doubles with each repeat.
REPEAT_DELAY_S = 0.1
MAX_REPEAT_DELAY_S = 1.0
# Limit on the repeats of a failed call. A newer call is made at once in any case.
MAX_REPEATS = 8
# Length of the end of a traceback that is logged.
MAX_DETAIL_CHARS = 480


class GuardedCalls:
    """Calls functions, logs their errors and repeats failed calls after a delay.

    :param reactor: Twisted reactor.
    :param log: callable ``log(event, **fields)``.
    :ivar counts: number of failures by name of the call.
    """

    def __init__(self, reactor, log):
        self.counts = collections.Counter()
        self._reactor = reactor
        self._log = log
        self._timers = {}

    @property
    def pending(self):
        """Names of the failed calls that will be repeated."""
        return set(self._timers)

    def update_metrics(self, metrics):
        """Set the gauges of the failures.

        :param metrics: :class:`cicadaplank.reports.metrics.Metrics`.
        """
        for name, count in self.counts.items():
            metrics.set_gauge("failed_changes", count, part=name)

    def call(self, name, function, *args):
        """Call a function; a repeat of an earlier call of the name is dropped.

        :param name: name of the call in logs.
        :param function: callable.
        """
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        self._call(0, name, function, args)

    def _call(self, repeats, name, function, args):
        self._timers.pop(name, None)
        try:
            function(*args)
        except Exception:
            self.counts[name] += 1
            detail = traceback.format_exc().strip().replace("\n", " | ")
            is_repeated = repeats < MAX_REPEATS
            if is_repeated:
                delay_s = min(MAX_REPEAT_DELAY_S, REPEAT_DELAY_S * 2**repeats)
                self._timers[name] = self._reactor.callLater(
                    delay_s, self._call, repeats + 1, name, function, args
                )
            self._log(
                "change_failed",
                part=name,
                repeats=repeats,
                is_repeated=is_repeated,
                detail=detail[-MAX_DETAIL_CHARS:],
            )
