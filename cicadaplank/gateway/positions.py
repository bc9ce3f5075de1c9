"""Positions in the history of the store.

The store numbers its changes. When it comes back from an older copy of its data, its
numbers go back and are given out again for other changes, and its era rises. A number
therefore tells nothing without its era.
"""

import dataclasses

MAX_ERA = 2**53
MAX_VERSION = 2**63 - 1
# Era of a store that names none.
UNNAMED_ERA = 0


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """Position in the history of the store; later positions compare as greater.

    :param era: number of the era.
    :param version: number of a change in this era.
    """

    era: int
    version: int

    def __str__(self):
        return f"{self.era}/{self.version}"

    def to_wire(self):
        """Return the position as the value of a message."""
        return [self.era, self.version]


# Position of a copy before its first snapshot.
NOWHERE = Position(-1, -1)


def from_wire(value):
    """Read a position from the value of a message.

    :param value: list of era and version.
    :returns: :class:`Position`, or None when the value is malformed.
    """
    if not isinstance(value, list) or len(value) != 2:
        return None
    era, version = value
    if type(era) is not int or type(version) is not int:
        return None
    position = Position(era, version)
    # A table without records has no newest change, whose version is then -1.
    is_valid = 0 <= era <= MAX_ERA and -1 <= version <= MAX_VERSION
    return position if is_valid or position == NOWHERE else None
