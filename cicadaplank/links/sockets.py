"""State of a TCP connection that the event loop has not reported yet."""

import socket


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


def has_unread(sock):
    """Tell whether bytes of the peer wait to be read.

    :param sock: socket of the connection.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
