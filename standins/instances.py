"""Stand-in of the platform's list of instances."""

import dataclasses

from cicadaplank.world import machines
from standins import serving

STATES = ("live", "leaving")
MAX_EDITS = 10_000


class Instances(serving.StandIn):
    """The list of live and leaving instances, as it was ``lag_s`` ago.

    :param lag_s: age of the list that is shown.
    :param seed: seed of the random choices.
    """

    def __init__(self, lag_s=0.0, seed=0):
        super().__init__(seed=seed)
        self.lag_s = lag_s
        self._versions = [(0.0, {})]
        self.route("GET", "/instances", self._list)
        self.route("PUT", "/instances/<name>", self._put)
        self.route("DELETE", "/instances/<name>", self._delete)

    def put(self, instance, state="live"):
        """Add or replace an instance.

        :param instance: :class:`cicadaplank.world.machines.Instance`.
        :param state: ``live`` or ``leaving``.
        :raises ValueError: when the state is unknown.
        """
        if state not in STATES:
            raise ValueError(f"state must be one of {', '.join(STATES)}")
        entry = dict(dataclasses.asdict(instance), state=state)
        self._edit({**self._versions[-1][1], instance.name: entry})

    def remove(self, name):
        """Remove an instance.

        :param name: instance name.
        """
        entries = dict(self._versions[-1][1])
        entries.pop(name, None)
        self._edit(entries)

    def _edit(self, entries):
        self._versions.append((self.now(), entries))
        cutoff_s = self.now() - self.lag_s
        while len(self._versions) > 1 and (
            self._versions[1][0] <= cutoff_s or len(self._versions) > MAX_EDITS
        ):
            self._versions.pop(0)

    def _list(self, call):
        cutoff_s = self.now() - self.lag_s
        entries = {}
        for time_s, version in self._versions:
            if time_s <= cutoff_s:
                entries = version
        return serving.Reply(200, {"instances": list(entries.values())})

    def _put(self, call, name):
        document = call.json()
        state = document.pop("state", "live")
        self.put(machines.Instance(**dict(document, name=name)), state)
        return serving.Reply(200, {})

    def _delete(self, call, name):
        self.remove(name)
        return serving.Reply(200, {})


def main(port=0, lag_s=0.0, seed=0):
    """Serve the list of instances.

    :param port: TCP port, 0 for one from the kernel.
    :param lag_s: age of the list that is shown.
    :param seed: seed of the random choices.
    """
    serving.run([("instances", Instances(lag_s, seed), port)])


if __name__ == "__main__":
    serving.start(main)
