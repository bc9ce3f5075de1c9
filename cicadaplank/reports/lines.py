"""Non-blocking, buffered writer of log lines."""

import os


class LineWriter:
    """Writes lines to a file descriptor without blocking on a slow reader.

    :param descriptor: file descriptor, which is set to non-blocking mode.
    :param limit_bytes: size of the buffer for data that the reader has not taken.
    :ivar dropped: number of writes dropped because the buffer was full.
    """

    def __init__(self, descriptor, limit_bytes):
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._buffer = b""

    def write(self, text):
        """Buffer text and flush; text that does not fit the buffer is dropped."""
        data = text.encode("utf-8", "replace")
        if len(self._buffer) + len(data) > self._limit_bytes:
            self.dropped += 1
        else:
            self._buffer += data
        self.flush()

    def flush(self):
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the buffer is discarded.
                self._buffer = b""
                return
            self._buffer = self._buffer[written:]
