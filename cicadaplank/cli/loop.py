"""Runs a coroutine of a command on the reactor."""

from twisted.internet import defer, reactor
from twisted.python import failure

from cicadaplank.cli import results
from cicadaplank.external import errors


def run(coroutine):
    """Run a coroutine to its end.

    :param coroutine: coroutine that awaits Deferreds.
    :returns: what it returns.
    :raises CommandError: when it raises one, or when a service cannot be reached.
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
        raise results.CommandError("interrupted", 130)
    if not isinstance(outcome[0], failure.Failure):
        return outcome[0]
    error = outcome[0].value
    if isinstance(error, errors.PlatformError):
        message = f"a service of the platform cannot be used: {error}; try again later"
        raise results.CommandError(message, results.EXIT_UNAVAILABLE)
    outcome[0].raiseException()
    return None
