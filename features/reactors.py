"""The Twisted reactor, run in a thread of its own for the scenarios."""

import threading
import time

from twisted.internet import defer, reactor, task, threads

LIMIT_S = 20.0
POLL_S = 0.005
_started = threading.Lock()


def start():
    """Start the reactor once for all scenarios."""
    if _started.acquire(blocking=False):
        thread = threading.Thread(
            target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
        )
        thread.start()


def run(function, *args):
    """Call a function in the reactor's thread and wait for its result.

    :param function: returns a value, a Deferred or a coroutine.
    :returns: the value, or what the Deferred fires with.
    :raises Exception: what the function raises or the Deferred fails with; a Deferred
        that has not fired after ``LIMIT_S`` fails.
    """
    start()

    def call():
        result = function(*args)
        if hasattr(result, "send"):
            result = defer.Deferred.fromCoroutine(result)
        if isinstance(result, defer.Deferred):
            result.addTimeout(LIMIT_S, reactor)
        return result

    return threads.blockingCallFromThread(reactor, call)


async def eventually(condition, what):
    """Wait until a condition holds; for use in the reactor's thread.

    :param condition: function without arguments.
    :param what: text for the error.
    :raises AssertionError: when it does not hold within ``LIMIT_S``.
    """
    end_s = time.monotonic() + LIMIT_S / 2
    while not condition():
        assert time.monotonic() < end_s, f"not reached: {what}"
        await task.deferLater(reactor, POLL_S)
