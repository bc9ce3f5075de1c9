"""Runs the coroutine of a command on the Twisted reactor."""

from twisted.internet import defer, reactor
from twisted.python import failure

from cicadaplank.cli import results
from cicadaplank.external import errors


def run(coroutine):
    """Run a coroutine on the reactor until it completes.

    :param coroutine: coroutine that awaits Deferreds.
    :returns: what it returns.
    :raises CommandError: when it raises one, when a call to a platform service fails,
        or with exit code 130 when the reactor is stopped before it completes.
    """
    outcome = []

    def end(value):
        outcome.append(value)
        reactor.stop()

    def start():
        defer.Deferred.fromCoroutine(coroutine).addBoth(end)

    reactor.callWhenRunning(start)
    reactor.run()
    if not outcome:
        raise results.CommandError("command interrupted", 130)
    if not isinstance(outcome[0], failure.Failure):
        return outcome[0]
    error = outcome[0].value
    if isinstance(error, errors.PlatformError):
        message = f"platform service unavailable: {error}; try again later"
        raise results.CommandError(message, results.EXIT_UNAVAILABLE)
    outcome[0].raiseException()
    return None
