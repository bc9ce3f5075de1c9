"""Limits on what the connections of a peer port hold, from those of the machine."""

import dataclasses

MB = 1024 * 1024
# Limits of a process whose machine is not known.
MAX_CONNECTIONS = 1024
MAX_HELD_BYTES = 32 * MB
# The largest message and room for two more.
MIN_HELD_BYTES = 6 * MB
HELD_SHARE = 0.15
# Shares of the descriptors for peers: an entry keeps most of them for clients.
ENTRY_FDS_SHARE = 0.25
AGENT_FDS_SHARE = 0.8


@dataclasses.dataclass(frozen=True)
class PeerLimits:
    """Limits of a peer port.

    :param max_connections: number of connections that may be open.
    :param incomplete_bytes: most bytes of incomplete messages of all connections.
    :param unread_bytes: most bytes that all peers together have not read yet.
    """

    max_connections: int = MAX_CONNECTIONS
    incomplete_bytes: int = MAX_HELD_BYTES
    unread_bytes: int = MAX_HELD_BYTES


def of_machine(memory_mb, reserved_mb, sockets, fds_share):
    """Return the :class:`PeerLimits` of a process.

    :param memory_mb: memory of the machine in MB.
    :param reserved_mb: part of it for the interpreter and the tables.
    :param sockets: number of sockets that the process may have open.
    :param fds_share: share of them for peers.
    """
    share_bytes = int((memory_mb - reserved_mb) * MB * HELD_SHARE)
    held_bytes = min(MAX_HELD_BYTES, max(MIN_HELD_BYTES, share_bytes))
    connections = max(1, min(MAX_CONNECTIONS, int(sockets * fds_share)))
    return PeerLimits(connections, held_bytes, held_bytes)
