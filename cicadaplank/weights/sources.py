"""Request durations, time-outs and exclusion of the peers that chunks come from."""

import dataclasses

# Time-out while no duration is known; a first request may wait behind others at the
# source.
INITIAL_TIMEOUT_S = 5.0
MIN_TIMEOUT_S = 0.5
MAX_TIMEOUT_S = 60.0
MAX_TIMEOUT_FACTOR = 8.0
SMOOTHING = 0.125
DEVIATION_SMOOTHING = 0.25
# A source is excluded after CORRUPT_IN_A_ROW consecutive corrupt chunks, or after
# CORRUPT_LIMIT when they are at least CORRUPT_SHARE of the chunks it sent. A link that
# damages one chunk in ten reaches neither: four in a row have a probability of 1 in
# 10,000.
CORRUPT_IN_A_ROW = 4
CORRUPT_LIMIT = 8
CORRUPT_SHARE = 0.5


@dataclasses.dataclass
class Estimate:
    """Exponentially smoothed duration of chunk requests and its mean deviation."""

    mean_s: float = 0.0
    deviation_s: float = 0.0
    samples: int = 0

    def record_duration(self, duration_s):
        """Update the estimate with an answered request.

        :param duration_s: seconds from the request to the arrival of the chunk.
        """
        if not self.samples:
            self.mean_s, self.deviation_s = duration_s, duration_s / 2
        else:
            error_s = duration_s - self.mean_s
            self.mean_s += SMOOTHING * error_s
            self.deviation_s += DEVIATION_SMOOTHING * (abs(error_s) - self.deviation_s)
        self.samples += 1

    @property
    def timeout_s(self):
        """Return the seconds after which a request is sent to another source."""
        if not self.samples:
            return INITIAL_TIMEOUT_S
        timeout_s = self.mean_s + 4 * self.deviation_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, timeout_s))


class Source:
    """State of a peer as a source of chunks.

    :param name: instance name.
    :param region: region of the instance.
    """

    def __init__(self, name, region):
        self.name = name
        self.region = region
        self.outstanding = 0
        self.estimate = Estimate()
        self.received = 0
        self.corrupt = 0
        self.corrupt_in_a_row = 0
        self.timeouts = 0
        # Factor on the time-out. Each time-out raises it, so that chunks already in
        # flight on a slow link are not requested again.
        self.timeout_factor = 1.0
        self.excluded = False
        self.busy_until_s = 0.0
        # Time of the first request since the last message of the peer, or None when
        # there is none.
        self.waiting_since_s = None

    def expect_response(self, now_s):
        """Record that a response of the peer is expected from now on.

        :param now_s: current time in seconds.
        """
        if self.waiting_since_s is None:
            self.waiting_since_s = now_s

    def note_message(self):
        """Record a message from the peer."""
        self.waiting_since_s = None

    def is_silent(self, now_s, limit_s):
        """Tell whether a response has been expected for longer than a limit.

        :param now_s: current time in seconds.
        :param limit_s: limit in seconds.
        """
        since_s = self.waiting_since_s
        return since_s is not None and now_s - since_s > limit_s

    def request_timed_out(self, now_s):
        """Record a time-out: pause requests for a while and raise the next time-out.

        :param now_s: current time in seconds.
        """
        self.timeouts += 1
        self.timeout_factor = min(MAX_TIMEOUT_FACTOR, self.timeout_factor * 1.5)
        delay_s = min(MAX_TIMEOUT_S, MIN_TIMEOUT_S * 2 ** min(self.timeouts, 7))
        self.busy_until_s = max(self.busy_until_s, now_s + delay_s)

    def chunk_arrived(self, duration_s):
        """Record an answered request.

        :param duration_s: seconds from the request to the arrival of the chunk.
        """
        self.timeouts = 0
        self.timeout_factor = 1.0
        self.estimate.record_duration(duration_s)

    def note_corrupt(self):
        """Count a corrupt chunk and exclude the peer when it has sent too many.

        :returns: True when the peer becomes excluded by this chunk.
        """
        self.corrupt += 1
        self.corrupt_in_a_row += 1
        many = self.corrupt >= max(CORRUPT_LIMIT, CORRUPT_SHARE * self.received)
        if self.excluded or not (many or self.corrupt_in_a_row >= CORRUPT_IN_A_ROW):
            return False
        self.excluded = True
        return True

    def note_good(self):
        """Record a chunk that matches its digest."""
        self.corrupt_in_a_row = 0
