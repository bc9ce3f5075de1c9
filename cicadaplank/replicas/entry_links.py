"""Choice of the entry instances to which an agent stays connected.

Each entry instance sends its notices to every agent that is connected to it. With every
agent connected to every entry instance, these messages fill the links between regions.
"""

from cicadaplank.gateway import notices
from cicadaplank.world import rendezvous

# Connections of an agent to entry instances, and how many of them lead to its own data
# centre while enough entry instances can be reached there. The others bring news when
# those are late.
CONNECTIONS = 3
LOCAL_CONNECTIONS = 2
# Time for which an entry instance is not dialled after it failed.
RETRY_S = 2.0


class EntryLinks:
    """Chooses the connections of one agent to entry instances.

    :param name: name of the agent.
    :param data_centre: data centre of the agent.
    :ivar is_complete: whether all connections were open at the last update.
    """

    def __init__(self, name, data_centre):
        self._name = name
        self._data_centre = data_centre
        self._ranked = ()
        self._heard_s = {}
        self._failed_s = {}
        self.is_complete = False

    def instances_changed(self, instances):
        """Handle a new list of the entry instances.

        :param instances: iterable of :class:`cicadaplank.world.machines.Instance`.
        """

        def order(instance):
            return rendezvous.weight(self._name, instance.name)

        self._ranked = tuple(sorted(instances, key=order))
        names = {instance.name for instance in self._ranked}
        for times in (self._heard_s, self._failed_s):
            for name in times.keys() - names:
                del times[name]

    def is_listed(self, name):
        """Tell whether a name is that of an entry instance."""
        return any(instance.name == name for instance in self._ranked)

    def heard(self, name, now_s):
        """Record a message of an entry instance."""
        self._heard_s[name] = now_s

    def failed(self, name, now_s):
        """Record a dial that failed or a connection that was lost."""
        self._failed_s[name] = now_s

    def update(self, connected, now_s):
        """Return the connections to open and to close.

        :param connected: set of the names of the connected entry instances.
        :param now_s: current time in seconds.
        :returns: tuple of a list of the instances to dial and a list of the names whose
            connections are closed: those that are silent, and those beyond the limit.
        """
        silent = {
            name
            for name in connected
            if now_s - self._heard_s.setdefault(name, now_s) > notices.SILENCE_S
        }
        for name in silent:
            self.failed(name, now_s)
            del self._heard_s[name]
        live = connected - silent
        local = [i for i in self._ranked if i.data_centre == self._data_centre]
        others = [i for i in self._ranked if i.data_centre != self._data_centre]
        dialled, kept = self._fill(local, live, LOCAL_CONNECTIONS, now_s)
        room = CONNECTIONS - len(kept) - len(dialled)
        more_dialled, more_kept = self._fill(others, live, room, now_s)
        excess = live - kept - more_kept
        self.is_complete = len(kept) + len(more_kept) == CONNECTIONS
        return dialled + more_dialled, sorted(silent | excess)

    def _fill(self, ranked, live, limit, now_s):
        """Return the instances to dial and the names of the connections to keep."""
        kept = [i.name for i in ranked if i.name in live][:limit]
        usable = [
            instance
            for instance in ranked
            if instance.name not in live
            and now_s - self._failed_s.get(instance.name, float("-inf")) >= RETRY_S
        ]
        return usable[: limit - len(kept)], set(kept)
