"""Choice of the connection that gives way when a port has too many.

Load pattern: clients that nobody controls open as many connections as they can, and
leave them idle.
"""

import enum


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
        # By standing, each in the order of the last use.
        self._connections = {standing: {} for standing in Standing}

    def __len__(self):
        return sum(map(len, self._connections.values()))

    def used(self, connection, standing):
        """Add a connection, or record that it was used.

        :param connection: connection, hashable.
        :param standing: :class:`Standing`.
        """
        self.remove(connection)
        self._connections[standing][connection] = None

    def remove(self, connection):
        """Forget a connection; nothing happens when it is not there."""
        for connections in self._connections.values():
            connections.pop(connection, None)

    def take_excess(self):
        """Take out the connections that give way to a new one.

        :returns: list of connections: of the lowest standing, those that were not used
            for longest. When not enough give way, a new one is to be refused.
        """
        excess = []
        for standing in (Standing.SILENT, Standing.STRANGER):
            connections = self._connections[standing]
            while connections and len(self) >= self.limit:
                connection = next(iter(connections))
                del connections[connection]
                excess.append(connection)
        return excess

    @property
    def is_full(self):
        """Whether no further connection may be open."""
        return len(self) >= self.limit
