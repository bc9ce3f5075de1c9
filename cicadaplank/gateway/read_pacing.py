"""Pace at which the answers on one connection are read.

Load pattern: faulty servers write events without end, as fast as they are read. A
stream brings at most some hundred events a second; one that brings more is read more
slowly, so that it does not take the time of all others.
"""

# Work that may be read at any moment, and its rate after that, in units. A unit is an
# event, a chunk, or :data:`UNIT_BYTES` of a body.
BURST_UNITS = 2000.0
UNITS_PER_S = 2000.0
UNIT_BYTES = 16 * 1024
# Shortest pause.
MIN_PAUSE_S = 0.01


class ReadPacer:
    """Token bucket for the work that the bytes of one connection cause.

    :param now_s: current time in seconds.
    """

    def __init__(self, now_s):
        self._left_units = BURST_UNITS
        self._updated_s = now_s

    def record(self, event_count, chunk_count, byte_count, now_s):
        """Record what was read in a turn of the event loop.

        :param event_count: number of events of a stream.
        :param chunk_count: number of parts of a body.
        :param byte_count: number of bytes.
        :param now_s: current time in seconds.
        :returns: seconds for which the connection is not to be read, mostly 0.0.
        """
        gained = (now_s - self._updated_s) * UNITS_PER_S
        self._updated_s = now_s
        self._left_units = min(BURST_UNITS, self._left_units + gained)
        self._left_units -= event_count + chunk_count + byte_count / UNIT_BYTES
        if self._left_units >= 0.0:
            return 0.0
        return max(MIN_PAUSE_S, -self._left_units / UNITS_PER_S)
