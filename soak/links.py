"""Loopback links that can be delayed, reset, silenced one way or refused."""

import contextlib
import socket
import struct
import threading
import time

LOOPBACK = "127.0.0.1"
PART_BYTES = 16 * 1024
# Lets ``close`` reset a connection instead of ending it.
RESETTING_LINGER = struct.pack("ii", 1, 0)


class Link:
    """A port whose connections are passed on to an address.

    :param target: ``(host, port)``.
    :ivar delay_s: delay of each part in both directions.
    :ivar silent: set of the directions ``there`` and ``back`` that pass nothing on.
    """

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.silent = set()
        self._pairs = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server((LOOPBACK, 0), backlog=128)
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._open, args=(near,), daemon=True).start()

    def _open(self, near):
        try:
            far = socket.create_connection(self.target, timeout=2.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        pair = (near, far)
        self._pairs.add(pair)
        for source, sink, way in ((near, far, "there"), (far, near, "back")):
            arguments = (pair, source, sink, way)
            threading.Thread(target=self._pump, args=arguments, daemon=True).start()

    def _pump(self, pair, source, sink, way):
        try:
            while data := source.recv(PART_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                while way in self.silent and pair in self._pairs:
                    time.sleep(0.02)
                sink.sendall(data)
        except OSError:
            self._close(pair, resets=True)
        self._close(pair, resets=False)

    def _close(self, pair, resets):
        """Close a pair, unless it was closed from the other direction."""
        with self._lock:
            if pair not in self._pairs:
                return
            self._pairs.discard(pair)
        for each in pair:
            with contextlib.suppress(OSError):
                if resets:
                    linger = (socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)
                    each.setsockopt(*linger)
                # Wakes the thread that reads from it.
                each.shutdown(socket.SHUT_RD if resets else socket.SHUT_RDWR)
            each.close()

    def reset(self):
        """Reset every open connection."""
        for pair in list(self._pairs):
            self._close(pair, resets=True)

    def stop(self):
        """Refuse new connections and break the others off."""
        self._listener.close()
        self.reset()
