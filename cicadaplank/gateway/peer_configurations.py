"""Versions of the configuration that other entry instances decide by.

Copies of the operator's table tell what an instance has read, not what it decides by: a
copy may lack a record that it counts as read, and a record may fail to come into force.
What the other instances decide by is evidence that does not depend on the own copy.
"""

from cicadaplank.gateway import peers

# Limit on the newer versions whose first report is remembered. The first ones matter.
MAX_VERSIONS = 64


class PeerConfigurations:
    """Tracks for how long peers have decided by a newer configuration."""

    def __init__(self):
        # Latest version and time in seconds of its report, by peer.
        self._latest = {}
        # Time in seconds of the first report, by version.
        self._first_s = {}

    def record(self, peer, version, now_s):
        """Record the version that a peer reports.

        :param peer: name of the peer.
        :param version: version of the configuration that it decides by.
        :param now_s: current time in seconds.
        """
        self._latest[peer] = (version, now_s)
        if version in self._first_s or len(self._first_s) < MAX_VERSIONS:
            self._first_s.setdefault(version, now_s)

    def forget(self, peer):
        """Drop the report of a peer whose connection ended.

        :param peer: name of the peer.
        """
        self._latest.pop(peer, None)

    def newest(self, now_s):
        """Return the newest version that a peer decides by, and the name of the peer.

        :param now_s: current time in seconds.
        :returns: version and name; -1 and an empty name when no report counts.
        """
        recent = [
            (version, peer)
            for peer, (version, at_s) in self._latest.items()
            if now_s - at_s <= peers.REPORT_AGE_S
        ]
        return max(recent, default=(-1, ""))

    def newer_for_s(self, version, now_s):
        """Return for how long a newer configuration is known to be in force elsewhere.

        :param version: version that this instance decides by.
        :param now_s: current time in seconds.
        :returns: seconds, 0.0 when no peer decides by a newer one.
        """
        newer_s = {v: at_s for v, at_s in self._first_s.items() if v > version}
        if newer_s:
            newest, _ = self.newest(now_s)
            newer_s = {v: at_s for v, at_s in newer_s.items() if v <= newest}
        self._first_s = newer_s
        return now_s - min(newer_s.values(), default=now_s)
