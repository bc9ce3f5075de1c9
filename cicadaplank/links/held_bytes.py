"""Bound on the bytes that the connections of a port hold together.

Load pattern: many peers that stop inside a message, or read nothing of what they are
sent, each within the limits of a connection.
"""

import typing


class Holder(typing.Protocol):
    """Connection that can be cut.

    :ivar standing: :class:`cicadaplank.links.connection_order.Standing`.
    """

    def drop_buffer(self, reason):
        """Give up the connection and what it holds."""


class HeldBytes:
    """Bytes that each connection holds, and the choice of those that are cut.

    Those of the lowest standing are cut first, and of these the one that holds most.

    :param limit_bytes: most bytes that all hold together.
    :param measure: callable that returns what a connection holds now, for bytes that
        are let go without notice; None when there are none.
    :ivar dropped: number of connections that were cut.
    """

    def __init__(self, limit_bytes, measure=None):
        self.limit_bytes = limit_bytes
        self.dropped = 0
        self._measure = measure
        self._held_bytes = {}
        self._total_bytes = 0

    @property
    def total_bytes(self):
        """Number of bytes that are held."""
        return self._total_bytes

    def set_held(self, holder, held_bytes):
        """Set what a connection holds, and cut connections above the limit.

        :param holder: :class:`Holder`, hashable.
        :param held_bytes: number of bytes.
        """
        self._set(holder, held_bytes)
        if self._total_bytes <= self.limit_bytes:
            return
        if self._measure is not None:
            for each in list(self._held_bytes):
                self._set(each, self._measure(each))
        while self._total_bytes > self.limit_bytes:
            cut = min(self._held_bytes, key=self._cut_key)
            self.release(cut)
            self.dropped += 1
            cut.drop_buffer(f"more than {self.limit_bytes} bytes are held")

    def _cut_key(self, holder):
        return holder.standing, -self._held_bytes[holder]

    def _set(self, holder, held_bytes):
        self._total_bytes += held_bytes - self._held_bytes.get(holder, 0)
        if held_bytes:
            self._held_bytes[holder] = held_bytes
        else:
            self._held_bytes.pop(holder, None)

    def release(self, holder):
        """Forget a connection; nothing happens when it holds nothing."""
        self._total_bytes -= self._held_bytes.pop(holder, 0)
