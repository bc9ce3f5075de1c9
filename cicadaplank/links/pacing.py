"""Writes large frames in slices at a limited rate.

A large frame that is written at once fills the send queue of the network link, and all
other traffic of the machine waits behind it. Between slices, small packets can pass.
"""

import collections

# One slice takes 7 ms on a link of 4.7 Mbit/s.
SLICE_BYTES = 4096
# Frames up to this size are not paced.
MAX_UNPACED_BYTES = 4096


class PacedWriter:
    """Writes the large frames of all connections of a process one after the other.

    :param reactor: Twisted reactor.
    :param bytes_per_s: total rate of all large frames.
    """

    def __init__(self, reactor, bytes_per_s):
        self._reactor = reactor
        self.bytes_per_s = bytes_per_s
        self._frames = collections.deque()
        self._is_writing = False
        self._next_write_s = 0.0

    def write(self, frame, write, done):
        """Queue a frame, which is written in slices.

        :param frame: bytes.
        :param write: called with each slice as bytes; returns False when the connection
            has ended, on which the rest of the frame is dropped.
        :param done: called without arguments when the frame is written or dropped.
        """
        self._frames.append([memoryview(frame), write, done])
        if not self._is_writing:
            self._is_writing = True
            self._next_write_s = max(self._next_write_s, self._reactor.seconds())
            self._write_due_slices()

    def _write_due_slices(self):
        now_s = self._reactor.seconds()
        while self._frames and self._next_write_s <= now_s:
            entry = self._frames[0]
            rest, write, done = entry
            piece = rest[:SLICE_BYTES]
            entry[0] = rest[SLICE_BYTES:]
            self._next_write_s += len(piece) / self.bytes_per_s
            if not write(bytes(piece)) or not entry[0]:
                self._frames.popleft()
                done()
        if not self._frames:
            self._is_writing = False
            return
        self._reactor.callLater(
            max(0.0, self._next_write_s - now_s), self._write_due_slices
        )
