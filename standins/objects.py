"""Stand-in of the object store."""

from standins import serving

MAX_OBJECTS = 100_000


class Objects(serving.StandIn):
    """Objects by key; the whole value is replaced at once.

    :param seed: seed of the random choices.
    """

    def __init__(self, seed=0):
        super().__init__(seed=seed)
        self._objects = {}
        self.route("PUT", "/objects/<path:key>", self._put)
        self.route("GET", "/objects/<path:key>", self._get)
        self.route("GET", "/keys", self._list)

    def _put(self, call, key):
        if key not in self._objects and len(self._objects) >= MAX_OBJECTS:
            return serving.unavailable("full")
        self._objects[key] = call.body
        self.count("writes")
        return serving.Reply(200, {"size_bytes": len(call.body)})

    def _get(self, call, key):
        self.count("reads")
        if key not in self._objects:
            return serving.Reply(404, {"error": "not_found"})
        return serving.Reply(200, self._objects[key])

    def _list(self, call):
        prefix = call.argument("prefix")
        keys = sorted(key for key in self._objects if key.startswith(prefix))
        return serving.Reply(200, {"keys": keys})


def main(port=0, seed=0):
    """Serve the object store.

    :param port: TCP port, 0 for one from the kernel.
    :param seed: seed of the random choices.
    """
    serving.run([("objects", Objects(seed), port)])


if __name__ == "__main__":
    serving.start(main)
