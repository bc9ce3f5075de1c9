"""Interface and HTTP client of the platform's list of live and leaving instances.

The list may be out of date.
"""

import collections
import dataclasses
import typing

import msgspec

from cicadaplank.external import errors, http
from cicadaplank.world import machines

MAX_NAME_CHARS = 200
MAX_PORT = 65_535
# Text without control characters and lone surrogates, for messages and dials.
_PATTERN = r"\A[^\x00-\x1f\x7f\ud800-\udfff]*\Z"
_Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS, pattern=_PATTERN)]
_Name = typing.Annotated[_Text, msgspec.Meta(min_length=1)]


class _Entry(msgspec.Struct, frozen=True):
    """Entry of the list as the platform sends it."""

    name: _Name
    role: _Name
    host: _Name
    port: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
    region: _Text
    data_centre: _Text
    half: _Text
    state: typing.Literal["live", "leaving"]


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
        """Read the list; entries that are malformed or out of range are left out.

        :returns: Deferred with a tuple of :class:`ListedInstance`; fails with
            :class:`errors.Unavailable`.
        """


class InstanceListClient:
    """:class:`InstanceList` over HTTP.

    :param client: :class:`cicadaplank.external.http.Client`.
    :ivar counts: number of ``unreadable`` entries that were read.
    """

    def __init__(self, client):
        self.counts = collections.Counter()
        self._client = client

    def list(self):
        """See :meth:`InstanceList.list`."""
        return http.run_read_only(self._list())

    async def _list(self):
        answer = http.check_status(await self._client.send("GET", "/instances"))
        try:
            entries = list(answer.json()["instances"])
        except (KeyError, TypeError) as error:
            raise errors.Unavailable(f"malformed instance list: {error!r}") from error
        found = tuple(filter(None, map(self._parse_entry, entries)))
        if entries and not found:
            raise errors.Unavailable("malformed instance list: no entry is usable")
        return found

    def _parse_entry(self, entry):
        try:
            parsed = msgspec.structs.asdict(msgspec.convert(entry, _Entry))
        except (ValueError, RecursionError):
            self.counts["unreadable"] += 1
            return None
        state = parsed.pop("state")
        return ListedInstance(machines.Instance(**parsed), state)
