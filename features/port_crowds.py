"""Crowds at the ports for pages and for peers, by the name of what they send."""

import itertools

from cicadaplank.messages import codec, types
from features import crowds

HELLO = types.Hello("entry", "r", "a", 0)
# More requests than one connection has in progress, in an amount that sockets take.
MANY = 2000
GET = b"GET %b HTTP/1.1\r\n" + crowds.HOST + b"\r\n"
FRAME_BYTES = codec.MAX_FRAME_BYTES
HELLO_BYTES = 4096
EMPTY_MAP = b"\x80"
ARRAY_32 = b"\xdd"
_NUMBERS = itertools.count(1)


def framed(sender, message):
    """Return a message of a peer with its length prefix."""
    frame = codec.encode(codec.Envelope(sender, 0, message))
    return prefixed(frame)


def prefixed(frame, is_whole=True):
    """Return a frame behind its length, without its last byte if it is not whole."""
    length = len(frame).to_bytes(4, "big")
    return length + (frame if is_whole else frame[:-1])


def hello(name):
    """Return the first message of a peer."""
    return framed(name, HELLO)


def _small_parts():
    """Return a frame of the largest size that consists of empty maps."""
    count = FRAME_BYTES - 5
    return ARRAY_32 + count.to_bytes(4, "big") + EMPTY_MAP * count


def _records(name):
    request = framed(name, types.RecordRequest("op", [0, 0]))
    return hello(name) + request * MANY


ANY_PORT = {
    "nothing at all": b"",
    "heads of short lines that do not end": b"GET /metrics HTTP/1.1\r\n"
    + crowds.lines(b"a:b\r\n"),
    "bytes that are no message": bytes(range(256)) * 256,
}
PAGES = {
    "bodies with a length that stop": crowds.head(
        b"/metrics", crowds.LENGTH % crowds.BODY_BYTES
    )
    + b"a" * (crowds.BODY_BYTES - 1),
    "paths that do not end": b"GET /" + b"a" * crowds.HEAD_BYTES,
    "one request for the metrics that it does not read": GET % b"/metrics",
    "many requests for the metrics at once": GET % b"/metrics" * MANY,
}
PEERS = {
    "first messages that stop": lambda name: prefixed(bytes(HELLO_BYTES), False),
    "a hello and nothing more": hello,
    "a hello and a message that stops": lambda name: (
        hello(name) + prefixed(bytes(FRAME_BYTES), False)
    ),
    "a hello and a message of empty parts": lambda name: (
        hello(name) + prefixed(_small_parts())
    ),
    "many hellos at once": lambda name: hello(name) * MANY,
    "requests for records that it does not read": _records,
}


def data(form, name):
    """Return what one connection sends.

    :param form: name of a form.
    :param name: name under which it says hello.
    """
    if form in PEERS:
        return PEERS[form](name)
    return (ANY_PORT | PAGES)[form]


class PortCrowd(crowds.Crowd):
    """Connections that send one form, each peer under a name of its own.

    :param address: ``host:port`` of the process.
    :param form: name of a form.
    :param count: number of connections.
    """

    def __init__(self, address, form, count):
        self._form_name = form
        super().__init__(address, crowds.Form(()), count)

    def _open(self, number):
        sent = data(self._form_name, f"stranger-{next(_NUMBERS)}")
        self._form = crowds.Form((sent,) if sent else ())
        super()._open(number)
