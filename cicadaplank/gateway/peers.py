"""Exchange of load reports and store records between entry instances.

Each instance reports its calls in progress by endpoint, the newest change in its
copies of the store's tables and how long ago weights were named. An instance whose copy
is older than that of a peer requests the missing records from it, so that copies stay
current also for instances that do not read the store or cannot reach it.
"""

import collections
import zlib

from cicadaplank.gateway import path_delays, positions, records, report_ages, sync
from cicadaplank.messages import types
from cicadaplank.world import machines

# Interval between reports. Beyond the numbers of peers below it grows in proportion, so
# that the message rate of one instance stays bounded. Reports to peers in the same data
# centre have an interval of their own: most calls stay there, so these matter most.
REPORT_S = 0.2
LOCAL_PEERS_PER_PERIOD = 16
LIVE_PEERS_PER_PERIOD = 8
# Interval at which missing connections to other instances are opened.
CONNECT_INTERVAL_S = 1.0
# Time to wait for a reply before the records of a table are requested from another
# peer, and from the same one.
OTHER_REQUEST_AFTER_S = 0.2
SAME_REQUEST_AFTER_S = 0.5
# A connection on which nothing was received for this time is closed.
SILENCE_TIMEOUT_S = 2.5
# Number of instances of a data centre that read the store; the others get the records
# from them. Otherwise a large configuration would cross a link between regions once for
# each instance. The second one takes over at once when the first is cut off.
STORE_READERS = 2
# A peer counts as a reader while its last report is at most this old, or this multiple
# of the interval of reports.
READER_REPORT_AGE_S = 1.0
READER_REPORT_PERIODS = 2.0
# Values from this size on are compressed for peers. A configuration of 1,100 routes
# shrinks from 300 KB to a tenth of that.
COMPRESSED_BYTES = 1024
MAX_VALUE_BYTES = 16 * 1024 * 1024
# Answers of the store to some peer that are at most this multiple of the longest poll
# apart show that it was not away in between.
SERVED_GAP_POLLS = 1.5
# A peer counts as live while its last report is at most this old.
REPORT_AGE_S = 3.0
# An instance without a connection may go on and send calls. After this time it is taken
# for gone.
MAX_SILENT_S = 30.0


class ServedSpan:
    """The latest span in which the store answered again and again.

    :ivar since_s: time in seconds of its first answer.
    :ivar until_s: time in seconds of its last answer.
    """

    def __init__(self):
        self.since_s = float("inf")
        self.until_s = float("-inf")

    def record(self, until_s, served_s, gap_s):
        """Record that the store answered again and again until some time.

        :param until_s: time in seconds of the last answer.
        :param served_s: seconds before it for which that is known.
        :param gap_s: longest time in seconds between two answers of one span.
        """
        since_s = until_s - served_s
        if since_s > self.until_s + gap_s:
            self.since_s = since_s
        self.since_s = min(self.since_s, since_s)
        self.until_s = max(self.until_s, until_s)


class Peers:
    """Exchanges load reports and store records with other entry instances.

    :param reactor: Twisted reactor.
    :param me: :class:`cicadaplank.world.machines.Instance`.
    :param hub: :class:`cicadaplank.links.streams.PeerHub`.
    :param syncs: dict from table name to :class:`sync.TableSync`.
    :param loads: callable that returns a dict from endpoint name to calls in progress.
    :param weights_ages_s: callable that takes the time in seconds and returns the ages
        of named weights, see :class:`types.GatewayReport`.
    :ivar times: :class:`sync.PollTimes`.
    """

    def __init__(self, reactor, me, hub, syncs, loads, weights_ages_s):
        self.counts = collections.Counter()
        self._reactor = reactor
        self.times = sync.poll_times()
        self._me = me
        self._hub = hub
        self._syncs = syncs
        self._loads = loads
        self._weights_ages_s = weights_ages_s
        self._last_received_s = {}
        self._instances = {}
        self._reports = {}
        # Times in seconds of the requests without a reply, by table and peer.
        self._requested_s = {table: {} for table in syncs}
        # Time in seconds as of which a report of known age had no newer records, or
        # None before the first one.
        self.dated_s = None
        self.path_delays = path_delays.PathDelays()
        self.report_ages = report_ages.ReportAges()
        # Time of the last report to local (True) and remote (False) instances.
        self._reported_s = {True: float("-inf"), False: float("-inf")}
        # Changes read from the store that a report has told of, and answers that one to
        # local instances has.
        self._changes_told, self._answers_told = 0, 0
        self._connect_attempted_s = float("-inf")
        # Time in seconds since which an instance is not connected.
        self._missing_since_s = {}
        self._local_counted_s = float("-inf")
        self._local_count = 0
        # Time in seconds as of which the copies are known to have held every change.
        self._confirmed_s = float("-inf")
        # Spans in which the store answered peers, and peers or this instance.
        self._served_peers, self._served = ServedSpan(), ServedSpan()
        # Last time at which the store had answered no instance for sync.OUTAGE_AFTER_S.
        self._store_unavailable_s = float("-inf")

    def add_instances(self, instances):
        """Add instances to connect to.

        :param instances: iterable of :class:`machines.Instance`.
        """
        for instance in instances:
            if instance.name != self._me.name:
                self._instances[instance.name] = instance

    def is_listed(self, name):
        """Tell whether an instance is registered or configured as a seed.

        :param name: instance name.
        """
        return name in self._instances

    def add_seed(self, host, port, role):
        """Add an instance that is known only by its address, which also names it.

        :param host: IP address.
        :param port: TCP port for peers.
        :param role: role of the process.
        """
        self.add_instances([machines.Instance(host, role, host, port, "", "")])

    @property
    def instance_count(self):
        """Number of other instances that are registered or configured as seeds."""
        return len(self._instances)

    def has_unlisted(self):
        """Tell whether an instance is connected that has not been registered yet."""
        return any(name not in self._instances for name in self._connected())

    @property
    def live_count(self):
        """Number of other instances with a report within :data:`REPORT_AGE_S`."""
        oldest_s = self._reactor.seconds() - REPORT_AGE_S
        return sum(1 for _, at_s in self._reports.values() if at_s >= oldest_s)

    def permit_members(self, now_s):
        """Return the instances that may send calls to endpoints.

        :param now_s: current time in seconds.
        :returns: dict from name to data centre of this instance and those that are
            connected, and the number of others whose processes may run.
        """
        members = {self._me.name: self._me.data_centre}
        for name in self._connected():
            members[name] = self._hub.connection(name).hello.data_centre
            self._missing_since_s.pop(name, None)
        silent = 0
        for name in self._instances.keys() - members.keys():
            since_s = self._missing_since_s.setdefault(name, now_s)
            is_recent = now_s - since_s < MAX_SILENT_S
            silent += is_recent and not self._hub.has_refused(name)
        return members, silent

    def store_age_s(self, now_s):
        """Return the time since the store last answered this instance or a peer.

        Peers with newer records are left out: their contact with the store does not
        make the copies here current.

        :param now_s: current time in seconds.
        """
        ages = [
            table_sync.availability.age_s(now_s) for table_sync in self._syncs.values()
        ]
        own_s = max(ages, default=0.0)
        best_s = own_s
        for report, at_s in self._reports.values():
            if self._has_newer_records(report):
                continue
            best_s = min(best_s, report.store_age_s + now_s - at_s)
        return best_s

    def confirmed_age_s(self, now_s):
        """Return the age of the state of the store that the copies are known to hold.

        Unlike :meth:`store_age_s` it does not rise at once when a peer reports newer
        records, as those usually arrive soon.

        :param now_s: current time in seconds.
        :returns: seconds, infinite when nothing is known.
        """
        self._confirmed_s = max(self._confirmed_s, now_s - self.store_age_s(now_s))
        return now_s - self._confirmed_s

    def knows_newer(self, now_s):
        """Tell whether a connected peer has reported records that the copies lack.

        :param now_s: current time in seconds.
        """
        oldest_s = now_s - REPORT_AGE_S
        return any(
            at_s >= oldest_s
            and self._has_newer_records(report)
            and self._hub.connection(name) is not None
            for name, (report, at_s) in self._reports.items()
        )

    def reads_store(self):
        """Tell whether this instance has to read the store itself.

        In each data centre the :data:`STORE_READERS` connected instances with the
        lowest names do. The others do when none of those has had an answer from the
        store for ``times.max_unconfirmed_s``, and also when their own copies have not
        been confirmed for this time, as newer records of the peers do not arrive.
        """
        now_s = self._reactor.seconds()
        readers = self._local_reports(now_s)
        lower_named = sorted(name for name in readers if name < self._me.name)
        if len(lower_named) < STORE_READERS:
            return True
        ages_s = [
            readers[name][0].store_age_s + now_s - readers[name][1]
            for name in lower_named[:STORE_READERS]
        ]
        oldest_s = max(min(ages_s), self.confirmed_age_s(now_s))
        return oldest_s > self.times.max_unconfirmed_s

    def _local_reports(self, now_s):
        periods_s = READER_REPORT_PERIODS * self._period_s(True)
        max_age_s = max(READER_REPORT_AGE_S, periods_s)
        return {
            name: (report, at_s)
            for name, (report, at_s) in self._reports.items()
            if now_s - at_s <= max_age_s
            and self._hub.connection(name) is not None
            and self._is_local(name)
        }

    def records_may_have_expired(self):
        """Tell whether missing records may only have expired, to be written again soon.

        This holds for :data:`sync.RECOVERY_GRACE_S` after an outage of the store, also
        on instances that get their records from peers.
        """
        return (
            self._reactor.seconds() - self._store_unavailable_s < sync.RECOVERY_GRACE_S
        )

    def store_has_served(self, now_s):
        """Tell whether the store has answered peers all the time of a recovery.

        An instance that was cut off from the store alone has missed no outage of it, so
        that no records have expired.

        :param now_s: current time in seconds.
        """
        span = self._served_peers
        latest_s = span.until_s + self._served_gap_s + self._period_s(False)
        served_s = span.until_s - span.since_s
        return now_s <= latest_s and served_s >= sync.RECOVERY_GRACE_S

    @property
    def _served_gap_s(self):
        return SERVED_GAP_POLLS * self.times.poll_s

    def _has_newer_records(self, report):
        return any(
            _reported_position(report, table) > table_sync.copy.position
            for table, table_sync in self._syncs.items()
        )

    def tick(self):
        """Send the reports and open the connections that are due."""
        now_s = self._reactor.seconds()
        for table_sync in self._syncs.values():
            if table_sync.availability.heard_s is not None:
                heard_s = table_sync.availability.heard_s
                self._served.record(heard_s, 0.0, self._served_gap_s)
        if now_s - self._local_counted_s >= CONNECT_INTERVAL_S:
            self._local_counted_s = now_s
            self._local_count = sum(map(self._is_local, self._connected()))
        # In the data centre, news from the store does not wait for the next report;
        # others have readers of their own.
        changes_read = sum(each.changes_read for each in self._syncs.values())
        has_news, self._changes_told = changes_read > self._changes_told, changes_read
        answers_read = sum(each.answers_read for each in self._syncs.values())
        for is_local in (True, False):
            period_s = 0.0 if has_news and is_local else self._period_s(is_local)
            if is_local and answers_read > self._answers_told:
                # Instances that take records from this one rely on its answers.
                period_s = min(period_s, REPORT_S)
            if now_s - self._reported_s[is_local] >= period_s:
                self._reported_s[is_local] = now_s
                if is_local:
                    self._answers_told = answers_read
                self._report(now_s, is_local)
                if self.store_age_s(now_s) > sync.OUTAGE_AFTER_S:
                    self._store_unavailable_s = now_s
        if now_s - self._connect_attempted_s >= CONNECT_INTERVAL_S:
            self._connect_attempted_s = now_s
            self._drop_silent(now_s)
            for instance in list(self._instances.values()):
                if self._hub.connection(instance.name) is None:
                    self._hub.dial(instance)

    def _period_s(self, is_local):
        if is_local:
            return REPORT_S * max(1.0, self._local_count / LOCAL_PEERS_PER_PERIOD)
        return REPORT_S * max(1.0, self.live_count / LIVE_PEERS_PER_PERIOD)

    def report_period_s(self, name):
        """Return the interval in seconds at which an instance reports here.

        All instances report to about as many others, at the same interval. The longer
        one is assumed for an instance whose connection has just ended.

        :param name: name of the instance.
        """
        is_connected = self._hub.connection(name) is not None
        return self._period_s(is_connected and self._is_local(name))

    def _drop_silent(self, now_s):
        for name in self._connected():
            last_received_s = self._last_received_s.setdefault(name, now_s)
            if now_s - last_received_s > SILENCE_TIMEOUT_S:
                self.counts["silent_connections"] += 1
                del self._last_received_s[name]
                self._hub.connection(name).transport.abortConnection()

    def _is_local(self, name):
        hello = self._hub.connection(name).hello
        return hello.data_centre == self._me.data_centre

    def _report(self, now_s, is_local):
        ages = [
            table_sync.availability.age_s(now_s) for table_sync in self._syncs.values()
        ]
        answered_s = now_s - max(ages, default=0.0)
        newest = {
            table: table_sync.copy.newest_change.to_wire()
            for table, table_sync in self._syncs.items()
        }
        message = types.GatewayReport(
            self._loads(),
            newest,
            max(ages, default=0.0),
            self._weights_ages_s(now_s),
            now_s,
            max(0.0, answered_s - self._served.since_s),
        )
        names = [name for name in self._connected() if self._is_local(name) == is_local]
        self._hub.send_all(names, message)

    def _connected(self):
        """Return the names of the connected processes with this instance's role."""
        return [
            name
            for name in self._hub.peers
            if self._hub.connection(name).hello.role == self._me.role
        ]

    def broadcast(self, message, exclude=""):
        """Send a message to every connected instance.

        :param message: message.
        :param exclude: name of an instance that is left out.
        """
        names = [name for name in self._connected() if name != exclude]
        self._hub.send_all(names, message)

    def peer_connected(self, peer):
        """Measure the clock and the path of a peer anew, which may have restarted.

        :param peer: name of the peer.
        """
        self.path_delays.forget(peer)
        self.report_ages.forget(peer)

    def message(self, peer, message):
        """Process a message of a peer.

        :param peer: name of the peer.
        :param message: message.
        :returns: True for a report, its echo, a request for records or a reply to one.
        """
        self._last_received_s[peer] = self._reactor.seconds()
        if isinstance(message, types.GatewayReport):
            now_s = self._reactor.seconds()
            self.path_delays.record(peer, message.sent_s, now_s)
            # A report that waited in a queue is as old as its wait. Without an echo of
            # the peer only the wait beyond the shortest one is known.
            delay_s = self.report_ages.max_age_s(peer, message.sent_s, now_s)
            if delay_s is None:
                delay_s = self.path_delays.delay_s(peer, now_s)
            elif not self._has_newer_records(message):
                as_of_s = now_s - delay_s - max(0.0, message.store_age_s)
                known_s = as_of_s if self.dated_s is None else self.dated_s
                self.dated_s = max(as_of_s, known_s)
            reported_s = now_s - delay_s
            self._reports[peer] = (message, reported_s)
            if self.report_ages.is_echo_due(peer, now_s):
                self._hub.send(peer, types.ReportEcho(message.sent_s, now_s))
            answered_s = reported_s - max(0.0, message.store_age_s)
            served_s = max(0.0, message.store_served_s)
            for span in self._served_peers, self._served:
                span.record(answered_s, served_s, self._served_gap_s)
            self._request_records(peer, message)
        elif isinstance(message, types.ReportEcho):
            self.report_ages.record_echo(
                peer, message.sent_s, message.received_s, self._reactor.seconds()
            )
        elif isinstance(message, types.RecordRequest):
            self._send_records(peer, message)
        elif isinstance(message, types.RecordReply):
            self._apply_records(peer, message)
        else:
            return False
        return True

    def _request_records(self, peer, report):
        now_s = self._reactor.seconds()
        for table, table_sync in self._syncs.items():
            position = table_sync.copy.position
            if _reported_position(report, table) <= position:
                continue
            requested_s = self._requested_s[table]
            if (
                requested_s
                and now_s - max(requested_s.values()) < OTHER_REQUEST_AFTER_S
            ):
                continue
            same_s = requested_s.get(peer, float("-inf"))
            if now_s - same_s < SAME_REQUEST_AFTER_S:
                continue
            for name in [n for n in requested_s if self._hub.connection(n) is None]:
                del requested_s[name]
            requested_s[peer] = now_s
            self.counts["records_asked"] += 1
            self._hub.send(peer, types.RecordRequest(table, position.to_wire()))

    def _send_records(self, peer, message):
        table_sync = self._syncs.get(message.table)
        base = positions.from_wire(message.after)
        if table_sync is None or not table_sync.copy.is_known or base is None:
            return
        changes = table_sync.copy.changes_since(base)
        if changes is None:
            base = positions.NOWHERE
            changes = tuple(table_sync.copy.values().values())
        rows = [_encode_record(record) for record in changes]
        position = table_sync.copy.position
        self._hub.send(
            peer,
            types.RecordReply(message.table, base.to_wire(), position.to_wire(), rows),
        )

    def _apply_records(self, peer, message):
        table_sync = self._syncs.get(message.table)
        if table_sync is None:
            return
        rows = [
            record for record in map(_decode_row, message.rows) if record is not None
        ]
        base = positions.from_wire(message.base)
        position = positions.from_wire(message.position)
        is_malformed = len(rows) != len(message.rows)
        if is_malformed or base is None or position is None:
            self.counts["malformed_records"] += 1
            return
        now_s = self._reactor.seconds()
        requested_s = self._requested_s[message.table].get(peer)
        self._requested_s[message.table].clear()
        source = sync.Source(
            peer,
            requested_after_s=0.0 if requested_s is None else now_s - requested_s,
            delay_s=self.path_delays.delay_s(peer, now_s),
        )
        table_sync.apply_from_peer(sync.Changes(tuple(rows), position), base, source)


def _reported_position(report, table):
    """Return the position of the newest change of a table that a peer has."""
    position = positions.from_wire(report.newest.get(table))
    return positions.NOWHERE if position is None else position


def _encode_record(record):
    """Encode a record as a row of a :class:`types.RecordReply`."""
    value = record.value
    if value is None or len(value) < COMPRESSED_BYTES:
        return [record.key, record.version, value]
    return [record.key, record.version, zlib.compress(value, 1), True]


def _decode_row(row):
    """Decode a row of a :class:`types.RecordReply`; None when it is malformed."""
    if not isinstance(row, list) or len(row) not in (3, 4):
        return None
    key, version, value = row[:3]
    if not isinstance(key, str) or not isinstance(version, int):
        return None
    if value is not None and not isinstance(value, bytes):
        return None
    if len(row) == 4:
        value = _decompress(value)
        if value is None:
            return None
    return records.Record(key, version, value)


def _decompress(value):
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(value or b"", MAX_VALUE_BYTES)
    except zlib.error:
        return None
    return data if decompressor.eof else None
