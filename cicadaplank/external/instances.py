"""Interface and HTTP client of the platform's list of live and leaving instances.

The list may be out of date.
"""

import dataclasses
import typing

from cicadaplank.external import errors, http
from cicadaplank.world import machines

STATES = ("live", "leaving")
INSTANCE_FIELDS = tuple(field.name for field in dataclasses.fields(machines.Instance))


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """Entry of the platform's list of instances.

    :param instance: :class:`cicadaplank.world.machines.Instance`.
    :param state: ``live`` or ``leaving``.
    """

    instance: machines.Instance
    state: str


class InstanceList(typing.Protocol):
    """The platform's list of instances."""

    def list(self):
        """Read the list.

        :returns: Deferred with a tuple of :class:`ListedInstance`; fails with
            :class:`errors.Unavailable`.
        """


class InstanceListClient:
    """:class:`InstanceList` over HTTP.

    :param client: :class:`cicadaplank.external.http.Client`.
    """

    def __init__(self, client):
        self._client = client

    def list(self):
        """See :meth:`InstanceList.list`."""
        return http.run_read_only(self._list())

    async def _list(self):
        answer = http.check_status(await self._client.send("GET", "/instances"))
        try:
            return tuple(_parse_entry(entry) for entry in answer.json()["instances"])
        except (KeyError, TypeError, ValueError) as error:
            raise errors.Unavailable(f"malformed instance list: {error!r}") from error


def _parse_entry(entry):
    if entry["state"] not in STATES:
        raise ValueError(f"state {entry['state']!r} is not live or leaving")
    values = {name: entry[name] for name in INSTANCE_FIELDS}
    return ListedInstance(machines.Instance(**values), entry["state"])
