"""Bodies of answers, kept in the parts in which they were received.

A buffer that grows is moved by the allocator again and again. Many that grow at once
leave gaps in the heap that take more memory than the buffers themselves.
"""

import collections

# Length up to which a part is joined with the next one: small parts would take more
# memory as objects than as bytes.
MIN_PART_BYTES = 4096


class AnswerBody:
    """Body that is appended to at its end and taken from its start.

    :param data: first bytes.
    """

    def __init__(self, data=b""):
        self._parts = collections.deque([data] if data else ())
        self._length = len(data)

    def __len__(self):
        return self._length

    def __bytes__(self):
        return b"".join(self._parts)

    def append(self, data):
        """Add bytes at the end.

        :param data: bytes.
        """
        self._length += len(data)
        if self._parts and len(self._parts[-1]) < MIN_PART_BYTES:
            self._parts[-1] = b"".join((self._parts[-1], data))
        elif data:
            self._parts.append(data)

    def take(self, size_bytes):
        """Remove bytes from the start.

        :param size_bytes: most bytes that are taken.
        :returns: bytes, empty when nothing is left.
        """
        taken = []
        left_bytes = size_bytes
        while self._parts and left_bytes:
            part = memoryview(self._parts.popleft())
            taken.append(part[:left_bytes])
            if len(part) > left_bytes:
                self._parts.appendleft(part[left_bytes:])
            left_bytes -= len(taken[-1])
        self._length -= size_bytes - left_bytes
        return b"".join(taken)
