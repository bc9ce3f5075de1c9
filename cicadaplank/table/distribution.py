"""State machines that distribute the accepted configuration to every process.

A few pollers in each data centre read the table service; the other processes learn of
a newer version from the version number in each envelope and pull the configuration
from a peer.
"""

import collections
import dataclasses

import automat

from cicadaplank.messages import actions, types
from cicadaplank.table import deltas, records
from cicadaplank.world import contracts

POLL_S = 1.0
MAX_POLL_BACK_OFF_S = 4.0
TAKEOVER_AGE_S = 2.0
# While no poll succeeds, the members of a data centre together start this many polls a
# second on average, whatever their number.
TAKEOVER_ATTEMPTS_PER_S = 3.0
# A member that took over polling stops after this time; by then membership has replaced
# failed pollers. Without the limit it would add load to the table service permanently.
SUBSTITUTE_DURATION_S = 5.0
# A successful poll that is newer than the last known one by at least this time is
# announced to the peers at once.
POLL_ANNOUNCE_STEP_S = 0.8
PULL_TIMEOUT_S = 0.5
MAX_SOURCES = 8
# After each pull that timed out, one more peer is asked in parallel, up to this number.
MAX_PARALLEL_PULLS = 3
MAX_START_REQUESTS = 4
# Longer than the heartbeat interval, so that a process whose first requests are lost
# still receives a version number that is newer than the one in the table service.
START_TIMEOUT_S = 2.0
MAX_DELTAS = 8


@dataclasses.dataclass(frozen=True)
class ApplyConfiguration:
    """Action: apply this configuration from now on.

    :param configuration: :class:`cicadaplank.world.contracts.Configuration`.
    :param previous: configuration that it replaces, ``contracts.EMPTY`` at first.
    """

    configuration: contracts.Configuration
    previous: contracts.Configuration


@dataclasses.dataclass(frozen=True)
class AnnounceVersion:
    """Action: call ``Membership.announce``, so that peers learn the version at once."""


@dataclasses.dataclass(frozen=True)
class _Delta:
    base_version: int
    message: types.ConfigurationDelta


def _flatten(outputs):
    return tuple(action for part in outputs for action in part)


class _Poll:
    """State machine of a poll: reads the current version, then its configuration."""

    _machine = automat.MethodicalMachine()

    def __init__(self):
        self.version = 0

    @_machine.state(initial=True, serialized="idle")
    def _idle(self):
        """No request is outstanding."""

    @_machine.state(serialized="reading_current")
    def _reading_current(self):
        """Reading ``table/current``."""

    @_machine.state(serialized="reading_version")
    def _reading_version(self):
        """Reading the configuration of a newer version."""

    @_machine.serializer()
    def state(self, state):
        """Name of the poll's state."""
        return state

    @_machine.input()
    def begin(self):
        """Start a poll, unless one is in progress."""

    @_machine.input()
    def fetch(self, version):
        """Read the configuration of the current version."""

    @_machine.input()
    def end(self):
        """End the poll, successful or not."""

    @_machine.output()
    def _read_current(self):
        return (records.ReadKeys((records.CURRENT_KEY,)),)

    @_machine.output()
    def _read_version(self, version):
        self.version = version
        return (records.ReadKeys((records.version_key(version),)),)

    _idle.upon(begin, _reading_current, [_read_current], _flatten)
    _reading_current.upon(begin, _reading_current, [], _flatten)
    _reading_current.upon(fetch, _reading_version, [_read_version], _flatten)
    _reading_version.upon(begin, _reading_version, [], _flatten)
    for _state in (_idle, _reading_current, _reading_version):
        _state.upon(end, _idle, [], _flatten)


class Distribution:
    """Holds the configuration in force in one process and obtains newer ones.

    It does no I/O. The caller calls :meth:`start`, :meth:`tick` about every 0.1 s,
    :meth:`view_changed` after each ``membership.MembersChanged``, :meth:`answered` with
    the result of each :class:`~cicadaplank.table.records.ReadKeys`, and for every
    envelope of a peer :meth:`version_received`, then :meth:`message` when it carries a
    ``Heartbeat`` or one of the configuration messages (others are ignored). The caller
    carries out the returned actions. At most one read of the table service is
    outstanding.

    The caller puts ``version`` into every envelope and ``poll_age_s(now_s)`` into
    ``Membership.poll_age_s``, and takes no work before :meth:`ready` returns True.

    For metrics, ``reads`` counts successful and ``failed_reads`` failed reads of the
    table service, ``ignored`` counts configurations and deltas that were not newer or
    did not start from the held version, and ``rejected`` counts those that were
    malformed or had a wrong digest.

    :param name: own instance name.
    :param rng: :class:`random.Random` for the jitter of timers and the choice of peers.
    """

    def __init__(self, name, rng):
        self.name = name
        self.configuration = contracts.EMPTY
        self.reads = 0
        self.failed_reads = 0
        self.ignored = 0
        self.rejected = 0
        self._rng = rng
        self._serialiser = deltas.ConfigurationSerializer()
        self._digest = ""
        self._text = ""
        self._deltas = collections.deque(maxlen=MAX_DELTAS)
        self._poll = _Poll()
        self._local_members = frozenset((name,))
        self._is_poller = False
        self._substitute_until_s = None
        self._next_poll_s = None
        self._next_takeover_check_s = None
        self._back_off_s = POLL_S
        self._last_poll_s = None
        self._sources = {}
        self._pull_peers = set()
        self._pull_started_s = None
        self._failed_pulls = 0
        self._started_s = None
        self._start_requests_sent = False
        self._start_requests_sent_s = None
        self._unanswered_peers = set()
        self._in_force_s = None
        self._behind_since_s = None
        self._known_version = 0
        self._last_alert = None

    @property
    def version(self):
        """Version in force in this process, the highest that it received."""
        return self.configuration.version

    @property
    def poll_state(self):
        """Name of the poll's state, for logs and metrics."""
        return self._poll.state()

    def ready(self, now_s):
        """Return whether the process may take work.

        It must hold a configuration, and the peers that were asked at the start must
        have answered or ``START_TIMEOUT_S`` must have passed, so that the process does
        not work with an older configuration from a restored table service.

        :param now_s: current time in seconds.
        :returns: True when ready.
        """
        if self._started_s is None or self.version == 0:
            return False
        answered = self._start_requests_sent and not self._unanswered_peers
        return answered or now_s >= self._started_s + START_TIMEOUT_S

    def poll_age_s(self, now_s):
        """Return the age of the data centre's last successful poll known here.

        :param now_s: current time in seconds.
        :returns: seconds, at most 3600; 3600 when no poll is known.
        """
        if self._last_poll_s is None:
            return 3600.0
        return min(3600.0, now_s - self._last_poll_s)

    def status(self, now_s, state):
        """Return the answer to a ``StatusRequest``.

        :param now_s: current time in seconds.
        :param state: ``Membership.state``.
        :returns: :class:`cicadaplank.messages.types.StatusReply`.
        """
        behind_s = 0.0
        if self._behind_since_s is not None:
            behind_s = now_s - self._behind_since_s
        in_force_s = 0.0 if self._in_force_s is None else now_s - self._in_force_s
        return types.StatusReply(
            self.version,
            in_force_s,
            max(self.version, self._known_version),
            behind_s,
            self.poll_age_s(now_s),
            state,
        )

    def start(self, now_s):
        """Set the first times for polls and for checks whether to take over polling.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        self._started_s = now_s
        self._next_poll_s = now_s + self._rng.uniform(0.0, POLL_S)
        self._next_takeover_check_s = now_s + self._rng.uniform(0.5, 1.5)
        return ()

    def view_changed(self, view, now_s):
        """Process a membership view; for the first one, ask peers for configurations.

        :param view: :class:`cicadaplank.members.membership.MembershipView`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        self._local_members = frozenset(view.local)
        self._is_poller = self.name in view.pollers
        if self._start_requests_sent:
            return ()
        self._start_requests_sent = True
        others = [peer for peer in view.local if peer != self.name]
        peers = self._rng.sample(others, min(MAX_START_REQUESTS, len(others)))
        self._unanswered_peers = set(peers)
        return self._send_start_requests(now_s)

    def _send_start_requests(self, now_s):
        self._start_requests_sent_s = now_s
        request = types.ConfigurationRequest(0)
        return tuple(
            actions.Send(peer, request) for peer in sorted(self._unanswered_peers)
        )

    def version_received(self, peer, version, now_s):
        """Process the version number in a peer's envelope and pull when it is newer.

        :param peer: instance name.
        :param version: version that the peer has in force.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if version <= self.version:
            return ()
        self._mark_behind(version, now_s)
        if peer in self._sources or len(self._sources) < MAX_SOURCES:
            self._sources[peer] = version
        return self._pull(now_s)

    def message(self, peer, message, now_s):
        """Process a message from a peer; message types of other components are ignored.

        :param peer: instance name.
        :param message: message of :mod:`cicadaplank.messages.types`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if isinstance(message, types.Heartbeat):
            # Polls of another data centre do not prove that this one can poll.
            if peer not in self._local_members:
                return ()
            return self._peer_polled(message.poll_age_s, now_s)
        if isinstance(message, types.ConfigurationRequest):
            return (
                actions.Send(peer, self._configuration_reply(message.have_version)),
            )
        if isinstance(message, types.ConfigurationReply):
            self._pull_answered(peer)
            if not message.configuration_json:
                self._remove_source(peer)
                return ()
            return self._adopt_text(message.configuration_json, peer, now_s)
        if isinstance(message, types.ConfigurationDelta):
            self._pull_answered(peer)
            return self._adopt_delta(message, peer, now_s)
        return ()

    def tick(self, now_s):
        """Send start requests, pulls and polls that are due.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        outputs = ()
        if (
            self._unanswered_peers
            and now_s >= self._start_requests_sent_s + PULL_TIMEOUT_S
        ):
            if now_s < self._started_s + START_TIMEOUT_S:
                outputs += self._send_start_requests(now_s)
            else:
                self._unanswered_peers.clear()
        if (
            self._pull_started_s is not None
            and now_s >= self._pull_started_s + PULL_TIMEOUT_S
        ):
            self._failed_pulls += 1
            if len(self._sources) > len(self._pull_peers):
                for peer in self._pull_peers:
                    self._sources.pop(peer, None)
            self._clear_pulls()
            outputs += self._pull(now_s)
        if self._substitute_until_s is not None and now_s >= self._substitute_until_s:
            self._substitute_until_s = None
        if self._is_poller or self._substitute_until_s is not None:
            if now_s >= self._next_poll_s:
                self._next_poll_s = now_s + self._back_off_s
                outputs += self._poll.begin()
        elif now_s >= self._next_takeover_check_s:
            self._next_takeover_check_s = now_s + POLL_S
            probability = TAKEOVER_ATTEMPTS_PER_S / len(self._local_members)
            if (
                self.poll_age_s(now_s) > TAKEOVER_AGE_S
                and self._rng.random() < probability
            ):
                outputs += self._poll.begin()
        return outputs

    def answered(self, event, now_s):
        """Process the result of the outstanding read.

        :param event: instance of a result class of :mod:`cicadaplank.table.records`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if not isinstance(event, records.RecordsRead):
            self.failed_reads += 1
            self._poll.end()
            self._back_off_s = min(MAX_POLL_BACK_OFF_S, 2 * self._back_off_s)
            self._substitute_until_s = None
            return ()
        self.reads += 1
        self._back_off_s = POLL_S
        if self._poll.state() == "reading_version":
            return self._version_read(event, now_s)
        return self._current_read(event, now_s)

    def _current_read(self, event, now_s):
        try:
            current = records.parse_current(event.get(records.CURRENT_KEY))
        except ValueError as error:
            self._poll.end()
            return self._alert("current_unreadable", str(error))
        if current.version > self.version:
            self._mark_behind(current.version, now_s)
            if not self._pull_peers:
                return self._poll.fetch(current.version)
            # A pull from a peer is already in progress.
            self._poll.end()
            return self._poll_succeeded(now_s)
        self._poll.end()
        return self._poll_succeeded(now_s) + self._check_current(current)

    def _version_read(self, event, now_s):
        record = event.get(records.version_key(self._poll.version))
        self._poll.end()
        if not record.revision:
            detail = f"{record.key} is the current version but is not stored"
            return self._alert("version_missing", detail)
        outputs = self._adopt_text(record.value, "the table service", now_s)
        return outputs + self._poll_succeeded(now_s)

    def _check_current(self, current):
        if current.version < self.version:
            detail = (
                f"the table service is at version {current.version} but version "
                f"{self.version} was accepted before: it was restored to an older "
                "state; the configuration in force stays; accept it again"
            )
            return self._alert("table_service_behind", detail)
        if self.version and current.digest != self._digest:
            detail = (
                f"version {self.version} in the table service differs in content from "
                "the one in force here; accept the wanted table again"
            )
            return self._alert("table_service_differs", detail)
        self._last_alert = None
        return ()

    def _alert(self, kind, detail):
        if self._last_alert == (kind, detail):
            return ()
        self._last_alert = (kind, detail)
        return (actions.Alert(kind, detail),)

    def _poll_succeeded(self, now_s):
        announce = self.poll_age_s(now_s) >= POLL_ANNOUNCE_STEP_S
        if not self._is_poller and self._substitute_until_s is None:
            self._substitute_until_s = now_s + SUBSTITUTE_DURATION_S
            self._next_poll_s = now_s + POLL_S
        self._last_poll_s = now_s
        return (AnnounceVersion(),) if announce else ()

    def _peer_polled(self, age_s, now_s):
        poll_s = now_s - max(0.0, age_s)
        known_poll_s = self._last_poll_s
        if known_poll_s is not None and poll_s <= known_poll_s:
            return ()
        self._last_poll_s = poll_s
        if age_s <= TAKEOVER_AGE_S and (
            known_poll_s is None or poll_s - known_poll_s >= POLL_ANNOUNCE_STEP_S
        ):
            return (AnnounceVersion(),)
        return ()

    def _mark_behind(self, version, now_s):
        self._known_version = max(self._known_version, version)
        if self._behind_since_s is None:
            self._behind_since_s = now_s

    def _pull(self, now_s):
        if self._pull_peers:
            return ()
        sources = {p: v for p, v in self._sources.items() if v > self.version}
        self._sources = sources
        if not sources:
            return ()
        names = sorted(sources)
        self._rng.shuffle(names)
        names.sort(key=lambda peer: -sources[peer])
        peers = names[: min(1 + self._failed_pulls, MAX_PARALLEL_PULLS)]
        self._pull_peers, self._pull_started_s = set(peers), now_s
        request = types.ConfigurationRequest(self.version)
        return tuple(actions.Send(peer, request) for peer in peers)

    def _remove_source(self, peer):
        """Remove a peer that could not supply the version that it announced."""
        self._sources.pop(peer, None)
        self._known_version = max(self.version, *self._sources.values(), 0)
        if self._known_version == self.version:
            self._behind_since_s = None

    def _pull_answered(self, peer):
        self._unanswered_peers.discard(peer)
        self._pull_peers.discard(peer)
        if not self._pull_peers:
            self._clear_pulls()

    def _clear_pulls(self):
        self._pull_peers, self._pull_started_s = set(), None

    def _configuration_reply(self, have_version):
        held = self.configuration
        if have_version >= held.version:
            return types.ConfigurationReply(held.version, held.change_id, "")
        for delta in self._deltas:
            if delta.base_version == have_version:
                return delta.message
        return types.ConfigurationReply(held.version, held.change_id, self._text)

    def _adopt_text(self, text, source, now_s):
        try:
            configuration = contracts.parse_configuration(text)
        except ValueError as error:
            self.rejected += 1
            self._remove_source(source)
            detail = f"configuration from {source} is malformed: {error}"
            return self._alert("configuration_unreadable", detail)
        return self._adopt(configuration, text, now_s)

    def _adopt_delta(self, message, peer, now_s):
        if message.version <= self.version or message.base_version != self.version:
            self.ignored += 1
            return self._pull(now_s)
        try:
            table = deltas.apply(self.configuration.table, message.delta_json)
        except ValueError:
            table = None
        configuration = contracts.Configuration(
            message.version, message.change_id, table
        )
        text = "" if table is None else self._serialiser.text(configuration)
        if records.digest(text) != message.digest:
            self.rejected += 1
            self._pull_peers, self._pull_started_s = {peer}, now_s
            return (actions.Send(peer, types.ConfigurationRequest(0)),)
        return self._adopt(configuration, text, now_s)

    def _adopt(self, configuration, text, now_s):
        if configuration.version <= self.version:
            self.ignored += 1
            return ()
        previous, self.configuration = self.configuration, configuration
        self._text, self._digest = text, records.digest(text)
        self._in_force_s = now_s
        if previous.version:
            self._store_delta(previous)
        if self.version >= self._known_version:
            self._behind_since_s = None
        self._failed_pulls = 0
        self._clear_pulls()
        outputs = (ApplyConfiguration(configuration, previous), AnnounceVersion())
        return outputs + self._pull(now_s)

    def _store_delta(self, previous):
        held = self.configuration
        text = deltas.compute(previous.table, held.table)
        # The whole configuration is sent when the delta is not shorter.
        if len(text) >= len(self._text):
            return
        message = types.ConfigurationDelta(
            held.version, held.change_id, previous.version, self._digest, text
        )
        self._deltas.append(_Delta(previous.version, message))
