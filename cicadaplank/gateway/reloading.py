"""Reloading of settings while a process runs."""

import signal

# Interval at which settings are reloaded: the file may change without a signal.
RELOAD_INTERVAL_S = 5.0


class SettingsWatch:
    """Reloads settings on SIGHUP and periodically.

    :param reactor: Twisted reactor.
    :param settings: settings in force.
    :param read: callable that returns the settings of the file, or raises
        ``ValueError`` that lists every error.
    :param changed: called with new settings that differ from those in force.
    :param log: callable ``log(event, level, **fields)``.
    """

    def __init__(self, reactor, settings, read, changed, log):
        self.settings = settings
        self._reactor = reactor
        self._read = read
        self._changed = changed
        self._log = log
        self._last_error = ""

    def start(self):
        """Install the signal handler and start the periodic reload."""
        signal.signal(
            signal.SIGHUP,
            lambda number, frame: self._reactor.callFromThread(self.reload),
        )
        self._reactor.callLater(RELOAD_INTERVAL_S, self._reload_periodically)

    def _reload_periodically(self):
        self._reactor.callLater(RELOAD_INTERVAL_S, self._reload_periodically)
        self.reload()

    def reload(self):
        """Reload the settings; invalid ones are logged once and not applied."""
        try:
            settings = self._read()
        except ValueError as error:
            if str(error) != self._last_error:
                self._log("settings_rejected", "error", reason=str(error))
            self._last_error = str(error)
            return
        self._last_error = ""
        if settings == self.settings:
            return
        self.settings = settings
        self._changed(settings)
        self._log("settings_reloaded", "info")
