"""Choice of the connection that gives way when a port has too many.

Load pattern: clients that nobody controls open as many connections as they can, and
leave them idle.
"""

import enum

# A connection does not give way within this time after its last use: what its peer has
# sent first may be on its way.
GRACE_S = 0.5


class Standing(enum.IntEnum):
    """What is known of the other side of a connection; the lowest gives way first."""

    SILENT = 0
    STRANGER = 1
    KNOWN = 2


class ConnectionOrder:
    """Connections of a port in the order in which they give way.

    :param limit: most connections that may be open.
    """

    def __init__(self, limit):
        self.limit = limit
        # Time of the last use in seconds, by standing, in the order of these times.
        self._connections = {standing: {} for standing in Standing}

    def __len__(self):
        return sum(map(len, self._connections.values()))

    def used(self, connection, standing, now_s):
        """Add a connection, or record that it was used.

        :param connection: connection, hashable.
        :param standing: :class:`Standing`.
        :param now_s: current time in seconds.
        """
        self.remove(connection)
        self._connections[standing][connection] = now_s

    def remove(self, connection):
        """Forget a connection; nothing happens when it is not there."""
        for connections in self._connections.values():
            connections.pop(connection, None)

    def take_excess(self, now_s):
        """Take out the connections that give way to a new one.

        :param now_s: current time in seconds.
        :returns: list of connections: of the lowest standing, those that were not used
            for longest. When not enough give way, a new one is to be refused.
        """
        excess = []
        for standing in (Standing.SILENT, Standing.STRANGER):
            connections = self._connections[standing]
            while connections and len(self) >= self.limit:
                connection, used_s = next(iter(connections.items()))
                if now_s - used_s < GRACE_S:
                    break
                del connections[connection]
                excess.append(connection)
        return excess

    @property
    def is_full(self):
        """Whether no further connection may be open."""
        return len(self) >= self.limit
