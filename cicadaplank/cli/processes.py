"""Implementation of the ``entry`` and ``agent`` commands."""

import sys

from returns import result
from twisted.internet import reactor

from cicadaplank.agent import process as agent_process
from cicadaplank.cli import results
from cicadaplank.entry import process as entry_process
from cicadaplank.reports import events
from cicadaplank.world import settings

DAEMONS = {"entry": entry_process.EntryDaemon, "agent": agent_process.AgentDaemon}


def load_settings(path):
    """Read and check a settings file.

    :param path: path of a JSON file.
    :returns: :class:`cicadaplank.world.settings.Settings`.
    :raises CommandError: with every error of the file.
    """
    loaded = settings.load(path)
    if isinstance(loaded, result.Failure):
        raise results.CommandError("\n".join(loaded.failure()), results.EXIT_USAGE)
    return loaded.unwrap()


def run(role, path):
    """Run a process until it is stopped.

    :param role: ``entry`` or ``agent``.
    :param path: path of its settings file.
    :raises CommandError: when the settings are invalid or for another role, or when the
        process cannot start, for example because a port is in use.
    """
    checked = load_settings(path)
    if checked.role != role:
        message = f"{path}: role: is {checked.role!r}, expected {role!r}"
        raise results.CommandError(message, results.EXIT_USAGE)
    events.handler(sys.stderr).push_application()
    daemon = DAEMONS[role](reactor, checked)
    failed = []

    def start():
        daemon.start().addErrback(stop)

    def stop(failure):
        failed.append(failure)
        reactor.stop()

    reactor.callWhenRunning(start)
    reactor.run()
    if failed:
        message = f"process failed to start: {failed[0].getErrorMessage()}"
        raise results.CommandError(message)
    sys.stderr.flush()
