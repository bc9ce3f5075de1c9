"""Log lines on a descriptor that never blocks the process."""

import os


class LineWriter:
    """Writes lines without ever waiting for their reader.

    :param descriptor: file descriptor.
    :param limit_bytes: bytes that are kept while the reader is slow.
    :ivar dropped: lines that were dropped because the limit was reached.
    """

    def __init__(self, descriptor, limit_bytes):
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._kept = b""

    def write(self, text):
        """Write text; what the reader does not take is kept up to the limit."""
        data = text.encode("utf-8", "replace")
        if len(self._kept) + len(data) > self._limit_bytes:
            self.dropped += 1
        else:
            self._kept += data
        self.flush()

    def flush(self):
        """Write what is kept."""
        while self._kept:
            try:
                written = os.write(self._descriptor, self._kept)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the lines any more.
                self._kept = b""
                return
            self._kept = self._kept[written:]
