"""State of a TCP connection that the event loop has not reported yet, or wrongly."""

import socket

from twisted.internet import error
from twisted.python import failure

# States of a connection, the first byte of the kernel's TCP_INFO, in which the peer has
# ended its side.
ENDED_BY_PEER = (
    7,  # TCP_CLOSE
    8,  # TCP_CLOSE_WAIT
)


def report_resets(transport):
    """Let a transport report a reset as a lost connection.

    A reset that arrives while the event loop polls shows as an error without bytes to
    read, which the loop reports as a clean close.

    :param transport: transport of a connection; one that is not on a TCP socket is left
        as it is.
    """
    read_connection_lost = getattr(transport, "readConnectionLost", None)
    if read_connection_lost is None:
        return

    def read_lost(reason):
        if transport.getHandle().getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            transport.connectionLost(failure.Failure(error.ConnectionLost()))
        else:
            read_connection_lost(reason)

    transport.readConnectionLost = read_lost


def has_peer_left(sock):
    """Tell whether the peer has closed or reset a connection.

    The end of a connection is reported after all bytes before it were read. While the
    event loop runs late, it waits in the socket. No bytes are taken from it. A peer
    that has closed only its sending side cannot be told from one that has left.

    :param sock: socket of the connection.
    :returns: False also when bytes wait to be read before the end.
    """
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except ConnectionError:
        return True
    except OSError:
        return False


def is_ended_by_peer(sock):
    """Tell whether the peer has closed or reset a connection, also behind unread bytes.

    As in :func:`has_peer_left`, the end of its sending side counts.

    :param sock: TCP socket of the connection.
    """
    try:
        (state,) = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return state in ENDED_BY_PEER


def has_unread(sock):
    """Tell whether bytes of the peer wait to be read.

    :param sock: socket of the connection.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def unsent_bytes(transport):
    """Return how many written bytes the peer's window has not let out yet.

    :param transport: transport of a connection; 0 for one that has no buffer.
    """
    buffer = getattr(transport, "dataBuffer", None)
    if buffer is None:
        return 0
    return len(buffer) - transport.offset + transport._tempDataLen
