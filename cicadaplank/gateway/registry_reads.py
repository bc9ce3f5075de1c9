"""When a process reads the list of entry instances in the store again.

Load pattern: hundreds of processes that read a list of hundreds of instances each. All
of them together read it at a rate that does not grow with their number, unless the list
may lack an instance.
"""

# Shortest interval between reads.
INTERVAL_S = 10.0
# Part of a longer interval for each listed instance.
INTERVAL_PER_INSTANCE_S = 1.0
# Reads after the start that are not postponed, as instances may still register.
FIRST_READS = 2


class RegistryReads:
    """Reads of the list by one process."""

    def __init__(self):
        self._started_s = float("-inf")
        self._finished = 0
        self._is_known = False

    @property
    def has_read(self):
        """Whether the list has been read since the start."""
        return self._finished > 0

    def started(self, now_s):
        """Record that a read begins.

        :param now_s: current time in seconds.
        """
        self._started_s = now_s
        self._is_known = False

    def may_be_incomplete(self):
        """Record that the store may have lost registrations."""
        self._is_known = False

    def finished(self):
        """Record that a read has brought the list."""
        self._finished += 1
        self._is_known = True

    def is_due(self, now_s, count, is_complete):
        """Tell whether the list is to be read now; asked every :data:`INTERVAL_S`.

        :param now_s: current time in seconds.
        :param count: number of listed instances.
        :param is_complete: whether the list lacks no instance as far as is known.
        """
        if not (is_complete and self._is_known) or self._finished < FIRST_READS:
            return True
        return now_s - self._started_s >= count * INTERVAL_PER_INSTANCE_S
