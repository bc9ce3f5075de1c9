"""What entry instances tell each other.

Each one reports its calls in progress by endpoint and how far its copies of the store's
tables go. A process that the store does not answer brings its copies up to date from a
peer that is ahead.
"""

import collections
import zlib

from cicadaplank.gateway import records, sync
from cicadaplank.messages import types
from cicadaplank.world import machines

# Period of reports between few instances. It grows with their number, so that the
# messages of one instance stay bounded. Most calls stay in their data centre, so that
# reports within it matter most.
REPORT_S = 0.2
NEAR_PER_PERIOD = 16
MEMBERS_PER_PERIOD = 8
# Period in which missing connections to other instances are opened.
DIAL_S = 1.0
# Calls for the same records wait this long for the answer of one peer.
ASK_S = 0.5
# A connection over which nothing came for this time has gone silent.
SILENT_S = 2.5
# Instances of a data centre that follow the store; the others take the records from
# them. A large configuration would cross a link between regions once for each.
READERS = 4
# A reader counts as long as it reported within this time.
READER_REPORT_S = 1.0
# The others ask the store themselves when no reader heard it for this time: a call for
# changes takes 2 s when there are none.
READER_AGE_S = 2.5
# Values of this size are compressed for peers. A configuration of 1,100 routes has
# 300 KB, and a tenth of that when it is compressed.
COMPRESSED_BYTES = 1024
MAX_VALUE_BYTES = 16 * 1024 * 1024
# A report is used for this time.
REPORT_AGE_S = 3.0


class Peers:
    """Exchange of reports and records with other processes of the system.

    :param reactor: Twisted reactor.
    :param me: :class:`cicadaplank.world.machines.Instance`.
    :param hub: :class:`cicadaplank.links.streams.PeerHub`.
    :param syncs: dict from table name to :class:`sync.TableSync`.
    :param loads: callable that returns calls in progress by endpoint name.
    """

    def __init__(self, reactor, me, hub, syncs, loads):
        self.counts = collections.Counter()
        self._reactor = reactor
        self._me = me
        self._hub = hub
        self._syncs = syncs
        self._loads = loads
        self._heard_s = {}
        self._known = {}
        self._reports = {}
        self._asked_s = {}
        # When instances of this and of other data centres were last told.
        self._reported_s = {True: float("-inf"), False: float("-inf")}
        self._dialled_s = float("-inf")
        self._counted_s = float("-inf")
        self._near_count = 0
        # When the store was last away for all instances that were heard.
        self._away_s = float("-inf")

    def known(self, instances):
        """Take further instances to connect to.

        :param instances: iterable of :class:`machines.Instance`.
        """
        for instance in instances:
            if instance.name != self._me.name:
                self._known[instance.name] = instance

    def seed(self, host, port, role):
        """Take the address of a process whose name is its address."""
        self.known([machines.Instance(host, role, host, port, "", "")])

    @property
    def known_count(self):
        """Return the number of other instances that are registered or were named."""
        return len(self._known)

    @property
    def live(self):
        """Return the number of other instances that reported lately."""
        oldest_s = self._reactor.seconds() - REPORT_AGE_S
        return sum(1 for _, at_s in self._reports.values() if at_s >= oldest_s)

    def store_age_s(self, now_s):
        """Return the time since any instance that is not ahead heard the store."""
        ages = [each.availability.age_s(now_s) for each in self._syncs.values()]
        own_s = max(ages, default=0.0)
        best_s = own_s
        for report, at_s in self._reports.values():
            if self._is_ahead(report):
                continue
            best_s = min(best_s, report.store_age_s + now_s - at_s)
        return best_s

    def reads_store(self):
        """Tell whether this instance follows the store itself now."""
        now_s = self._reactor.seconds()
        readers = self._near_reports(now_s)
        before = sorted(name for name in readers if name < self._me.name)
        if len(before) < READERS:
            return True
        ages_s = [
            readers[name][0].store_age_s + now_s - readers[name][1]
            for name in before[:READERS]
        ]
        return min(ages_s) > READER_AGE_S

    def _near_reports(self, now_s):
        return {
            name: (report, at_s)
            for name, (report, at_s) in self._reports.items()
            if now_s - at_s <= READER_REPORT_S
            and self._hub.connection(name) is not None
            and self._is_near(name)
        }

    def may_have_lapsed(self):
        """Tell whether records that are missing may be written again soon.

        It is so when the store has just been away, also for an instance that takes the
        records from others.
        """
        return self._reactor.seconds() - self._away_s < sync.RETURN_S

    def _is_ahead(self, report):
        return any(
            report.newest.get(table, -1) > each.copy.version
            for table, each in self._syncs.items()
        )

    def tick(self):
        """Report and connect when it is time."""
        now_s = self._reactor.seconds()
        if now_s - self._counted_s >= DIAL_S:
            self._counted_s = now_s
            self._near_count = sum(map(self._is_near, self._connected()))
        periods_s = {
            True: REPORT_S * max(1.0, self._near_count / NEAR_PER_PERIOD),
            False: REPORT_S * max(1.0, self.live / MEMBERS_PER_PERIOD),
        }
        for is_near, period_s in periods_s.items():
            if now_s - self._reported_s[is_near] >= period_s:
                self._reported_s[is_near] = now_s
                self._report(now_s, is_near)
                if self.store_age_s(now_s) > sync.AWAY_S:
                    self._away_s = now_s
        if now_s - self._dialled_s >= DIAL_S:
            self._dialled_s = now_s
            self._drop_silent(now_s)
            for instance in list(self._known.values()):
                if self._hub.connection(instance.name) is None:
                    self._hub.dial(instance)

    def _drop_silent(self, now_s):
        for name in self._connected():
            heard_s = self._heard_s.setdefault(name, now_s)
            if now_s - heard_s > SILENT_S:
                self.counts["silent_connections"] += 1
                del self._heard_s[name]
                self._hub.connection(name).transport.abortConnection()

    def _is_near(self, name):
        hello = self._hub.connection(name).hello
        return hello.data_centre == self._me.data_centre

    def _report(self, now_s, is_near):
        ages = [each.availability.age_s(now_s) for each in self._syncs.values()]
        newest = {t: each.copy.newest_change for t, each in self._syncs.items()}
        message = types.GatewayReport(self._loads(), newest, max(ages, default=0.0))
        names = [name for name in self._connected() if self._is_near(name) == is_near]
        self._hub.send_all(names, message)

    def _connected(self):
        """Return the names of the connected processes of the same role."""
        return [
            name
            for name in self._hub.peers
            if self._hub.connection(name).hello.role == self._me.role
        ]

    def broadcast(self, message, exclude=""):
        """Send a message to every connected instance but one."""
        names = [name for name in self._connected() if name != exclude]
        self._hub.send_all(names, message)

    def message(self, peer, message):
        """Take a message of a peer.

        :returns: True when it was one of this exchange.
        """
        self._heard_s[peer] = self._reactor.seconds()
        if isinstance(message, types.GatewayReport):
            self._reports[peer] = (message, self._reactor.seconds())
            self._ask(peer, message)
        elif isinstance(message, types.RecordRequest):
            self._answer(peer, message)
        elif isinstance(message, types.RecordReply):
            self._take(message)
        else:
            return False
        return True

    def _ask(self, peer, report):
        now_s = self._reactor.seconds()
        for table, each in self._syncs.items():
            version = each.copy.version
            if report.newest.get(table, -1) <= version:
                continue
            if now_s - self._asked_s.get(table, float("-inf")) < ASK_S:
                continue
            self._asked_s[table] = now_s
            self.counts["records_asked"] += 1
            self._hub.send(peer, types.RecordRequest(table, version))

    def _answer(self, peer, message):
        each = self._syncs.get(message.table)
        if each is None or each.copy.version < 0:
            return
        base = message.after
        changes = each.copy.changes_since(base)
        if changes is None:
            base = -1
            changes = tuple(each.copy.values().values())
        rows = [_row(record) for record in changes]
        version = each.copy.version
        reply = types.RecordReply(message.table, base, version, rows)
        self._hub.send(peer, reply)

    def _take(self, message):
        each = self._syncs.get(message.table)
        if each is None:
            return
        rows = [record for record in map(_record, message.rows) if record is not None]
        if len(rows) != len(message.rows):
            self.counts["malformed_records"] += 1
            return
        self._asked_s.pop(message.table, None)
        each.from_peer(sync.Changes(tuple(rows), message.version), message.base)


def _row(record):
    """Return a record as a row of a :class:`types.RecordReply`."""
    value = record.value
    if value is None or len(value) < COMPRESSED_BYTES:
        return [record.key, record.version, value]
    return [record.key, record.version, zlib.compress(value, 1), True]


def _record(row):
    """Return a row of a :class:`types.RecordReply` as a record, or None."""
    if not isinstance(row, list) or len(row) not in (3, 4):
        return None
    key, version, value = row[:3]
    if not isinstance(key, str) or not isinstance(version, int):
        return None
    if value is not None and not isinstance(value, bytes):
        return None
    if len(row) == 4:
        value = _decompressed(value)
        if value is None:
            return None
    return records.Record(key, version, value)


def _decompressed(value):
    unpacked = zlib.decompressobj()
    try:
        data = unpacked.decompress(value or b"", MAX_VALUE_BYTES)
    except zlib.error:
        return None
    return data if unpacked.eof else None
