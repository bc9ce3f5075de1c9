"""Events of a seed that follow incidents and reports of other operators."""

import random
import signal
import time

from soak import oddrows, timeliness

MODEL = "m"
# Times after the naming of a version at which servers have loaded it; one of them is
# much later.
LOAD_S = (0.5, 3.0)
LATE_LOAD_S = 9.0
# Gaps between changes that follow each other closely, and their number.
CHANGE_GAP_S, QUICK_CHANGES = (0.1, 0.5), 4
# Part of a freeze that lies before the change.
FREEZE_LEAD_S = 0.3
HELD_S = 1.0
# Odd rows that one event writes.
ODD_ROWS = 4


class Incidents:
    """Implementation of the kinds :data:`soak.plan.INCIDENT_KINDS`.

    :param fleet: :class:`soak.fleet.Fleet`.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._rng = random.Random(f"{fleet.seed}-incidents-of-servers")

    def odd_row(self, event):
        """Write some odd rows, and remove those of some events after a while."""
        table, prefix = event.detail, "version/"
        rows = oddrows.operator_rows()
        if table == "servers":
            rows, prefix = oddrows.endpoint_rows(self._fleet.service), ""
        chosen = random.Random(event.at_s).sample(rows, ODD_ROWS)
        keys = [f"{prefix}odd-{event.at_s}-{number}" for number in range(ODD_ROWS)]
        for key, data in zip(keys, chosen, strict=True):
            self._fleet.store.put(table, key, data)
            self._fleet.ledger.count("odd rows")
        if event.target % 2:
            time.sleep(event.for_s)
            for key in keys:
                self._fleet.store.remove(table, key)

    def weights(self, event):
        """Name a version of the weights; one server loads it late."""
        version = self._fleet.name_weights()
        late = event.target % len(self._fleet.servers)
        for number in range(len(self._fleet.servers)):
            delay_s = LATE_LOAD_S if number == late else self._rng.uniform(*LOAD_S)
            self._fleet.load_weights(delay_s, number, version)

    def frozen_change(self, event):
        """Let an entry stand still over a change."""
        self._fleet.ledger.count("frozen over a change")
        number = event.target % len(self._fleet.entries)
        entry = self._fleet.entries[number]
        with self._fleet.disturbances.during(timeliness.entry_name(number)):
            entry.send(signal.SIGSTOP)
            time.sleep(FREEZE_LEAD_S)
            if event.detail == "weights":
                self.weights(event)
            else:
                self._fleet.change_configuration()
            time.sleep(event.for_s)
            entry.send(signal.SIGCONT)

    def pending(self, event):
        """Let the store be silent, and make changes as soon as it is back."""
        self._fleet.silence_store(event.for_s)
        for _ in range(QUICK_CHANGES):
            self._fleet.change_configuration()
            time.sleep(self._rng.uniform(*CHANGE_GAP_S))

    def held(self, event):
        """Let the store hold polls silently over a change, then drop its history."""
        with self._fleet.disturbances.during(timeliness.STORE):
            self._fleet.store.hold_polls()
            self._fleet.change_configuration()
            self._fleet.drain(event.target)
            self._fleet.ledger.count("dropped histories")
            time.sleep(HELD_S)
            self._fleet.store.drop_history()

    def repeated_refusal(self, event):
        """Let a server repeat earlier refusals on connections that it keeps."""
        self._set_mode(self._fleet.servers[event.target % 2 :: 2], event)

    def broken_streams(self, event):
        """Let streams break off, and servers answer those that go on with an error."""
        self._set_mode(self._fleet.servers, event)

    def _set_mode(self, servers, event):
        chosen = list(servers)
        for server in chosen:
            server.incident_mode = event.detail
        time.sleep(event.for_s)
        for server in chosen:
            if server.incident_mode == event.detail:
                server.incident_mode = ""
