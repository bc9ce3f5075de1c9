"""Bound on what connections of clients parse in one turn of the event loop.

Load pattern: many clients send requests of legal size with thousands of header lines,
or bodies in chunks of single bytes. Each costs some milliseconds, so that parsing all
that has come would hold up everything else for seconds.
"""

import collections

# Most header lines and parts of bodies that are parsed in a turn, beyond one slice. A
# head of 16,384 bytes has at most 4,096 lines.
TURN_UNITS = 4096
# Units that a complete request counts as, besides its lines.
REQUEST_UNITS = 64
# Lines from which on a request waits for those that have fewer.
MAX_SHORT_LINES = 64


class Turns:
    """Order in which connections parse what they have received.

    Requests of few lines go before long ones. At least one slice of a long one is
    parsed in each turn.

    :param call_later: function that runs another one after a time in seconds.
    :ivar deferred: number of times at which a connection had to wait for a later turn.
    """

    def __init__(self, call_later):
        self._call_later = call_later
        self._short = collections.OrderedDict()
        self._long = collections.OrderedDict()
        self._left_units = TURN_UNITS
        self._timer = None
        self.deferred = 0

    @property
    def waiting_count(self):
        """Number of connections that wait for a later turn."""
        return len(self._short) + len(self._long)

    def received(self, connection):
        """Let a connection parse now, or in a later turn if others come before it.

        :param connection: :class:`cicadaplank.gateway.clients.ClientConnection`.
        """
        if connection in self._short or connection in self._long:
            # A piece may complete a head, or make it long.
            self._remove(connection)
            self._append(connection)
            return
        is_long = connection.is_long
        is_first = not self._short and not (is_long and self._long)
        if is_first and self._left_units > 0:
            self._parse(connection)
        else:
            self.defer(connection)

    def defer(self, connection):
        """Let a connection parse in a later turn."""
        if connection not in self._short and connection not in self._long:
            self._append(connection)
        self._start_timer()

    def remove(self, connection):
        """Forget a connection; nothing happens when it does not wait."""
        self._remove(connection)

    def _append(self, connection):
        self.deferred += 1
        queue = self._long if connection.is_long else self._short
        queue[connection] = None

    def _remove(self, connection):
        self._short.pop(connection, None)
        self._long.pop(connection, None)

    def _start_timer(self):
        if self._timer is None:
            self._timer = self._call_later(0, self._run)

    def _parse(self, connection):
        """Parse within what is left of the turn; another turn renews it."""
        self._start_timer()
        self._left_units -= connection.parse_received(
            self._left_units, bool(self._short)
        )

    def _run(self):
        self._timer = None
        self._left_units = TURN_UNITS
        for _ in range(len(self._short)):
            if self._left_units <= 0 or not self._short:
                break
            connection, _ = self._short.popitem(last=False)
            self._parse(connection)
        has_parsed = False
        for _ in range(len(self._long)):
            if not self._long or (has_parsed and self._left_units <= 0):
                break
            connection, _ = self._long.popitem(last=False)
            has_parsed = True
            self._parse(connection)
        if self._short or self._long:
            self._start_timer()
