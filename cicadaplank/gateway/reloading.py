"""Settings that are read again while a process runs."""

import signal

# Settings may change without a signal; the file is read again this often.
SETTINGS_S = 5.0


class SettingsWatch:
    """Reads settings again on SIGHUP and from time to time.

    :param reactor: Twisted reactor.
    :param settings: settings in force.
    :param read: callable that returns the settings of the file, or raises
        ``ValueError`` with every fault.
    :param changed: called with settings that differ from those in force.
    :param log: callable ``log(event, level, **fields)``.
    """

    def __init__(self, reactor, settings, read, changed, log):
        self.settings = settings
        self._reactor = reactor
        self._read = read
        self._changed = changed
        self._log = log
        self._fault = ""

    def start(self):
        """Handle the signal and begin to read."""
        signal.signal(
            signal.SIGHUP,
            lambda number, frame: self._reactor.callFromThread(self.reload),
        )
        self._reactor.callLater(SETTINGS_S, self._look)

    def _look(self):
        self._reactor.callLater(SETTINGS_S, self._look)
        self.reload()

    def reload(self):
        """Read the settings again; faulty ones change nothing."""
        try:
            settings = self._read()
        except ValueError as fault:
            if str(fault) != self._fault:
                self._log("settings_rejected", "error", reason=str(fault))
            self._fault = str(fault)
            return
        self._fault = ""
        if settings == self.settings:
            return
        self.settings = settings
        self._changed(settings)
        self._log("settings_reloaded", "info")
