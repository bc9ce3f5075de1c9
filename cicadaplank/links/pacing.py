"""Writes large frames in slices at the rate of a link.

A large frame that is written at once fills the queue of the machine's link, and what
else the machine sends waits behind it. Slices leave gaps in which small packets pass.
"""

import collections

# One slice takes 7 ms on a link of 4.7 Mbit/s.
SLICE_BYTES = 4096
# Frames up to this size are written at once.
SMALL_BYTES = 4096


class PacedWriter:
    """Writes the large frames of all connections of a process, one after the other.

    :param reactor: Twisted reactor.
    :param bytes_per_s: rate of all large frames together.
    """

    def __init__(self, reactor, bytes_per_s):
        self._reactor = reactor
        self.bytes_per_s = bytes_per_s
        self._frames = collections.deque()
        self._is_busy = False
        self._next_s = 0.0

    def write(self, frame, write, done):
        """Write a frame in slices.

        :param frame: bytes.
        :param write: called with each slice; returns False when nothing more can be
            written there.
        :param done: called when the frame is written or given up.
        """
        self._frames.append([memoryview(frame), write, done])
        if not self._is_busy:
            self._is_busy = True
            self._next_s = max(self._next_s, self._reactor.seconds())
            self._step()

    def _step(self):
        now_s = self._reactor.seconds()
        while self._frames and self._next_s <= now_s:
            entry = self._frames[0]
            rest, write, done = entry
            piece = rest[:SLICE_BYTES]
            entry[0] = rest[SLICE_BYTES:]
            self._next_s += len(piece) / self.bytes_per_s
            if not write(bytes(piece)) or not entry[0]:
                self._frames.popleft()
                done()
        if not self._frames:
            self._is_busy = False
            return
        self._reactor.callLater(max(0.0, self._next_s - now_s), self._step)
