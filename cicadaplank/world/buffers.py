"""Bound on the memory of answers that are buffered until they are complete."""


class BufferBudget:
    """Bytes that the holders of incomplete data have buffered together.

    When the limit is exceeded, the largest holder is dropped. An answer without end
    from one server thus does not fail the small answers of others.

    Load pattern: a faulty server sends bodies without end on many connections.

    :param limit_bytes: maximum number of bytes over all holders.
    :ivar dropped: number of holders that were dropped.
    """

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.dropped = 0
        self._held_bytes = {}
        self._total_bytes = 0

    @property
    def total_bytes(self):
        """Number of bytes that are held."""
        return self._total_bytes

    def set_held(self, holder, held_bytes):
        """Set the number of bytes that a holder has buffered.

        :param holder: hashable object with a method ``drop_buffer(reason)``, which is
            called when the holder is to give up its data.
        :param held_bytes: number of bytes.
        """
        self._total_bytes += held_bytes - self._held_bytes.get(holder, 0)
        if held_bytes:
            self._held_bytes[holder] = held_bytes
        else:
            self._held_bytes.pop(holder, None)
        while self._total_bytes > self.limit_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.get)
            self._total_bytes -= self._held_bytes.pop(largest)
            self.dropped += 1
            largest.drop_buffer(
                f"more than {self.limit_bytes} bytes of incomplete data are buffered"
            )

    def release(self, holder):
        """Release what a holder has buffered; nothing happens when it has nothing."""
        self._total_bytes -= self._held_bytes.pop(holder, 0)
