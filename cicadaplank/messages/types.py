"""Types of the messages between entry and agent processes.

:mod:`cicadaplank.messages.codec` sends a message as its class name and the values of
its fields in their order, so both are part of the protocol.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Hello:
    """First message on a connection; identifies the sender.

    :param role: ``entry`` or ``agent``.
    :param region: region of the sender.
    :param data_centre: data centre of the sender.
    :param incarnation: start time of the sender in Unix milliseconds; a replacement
        under the same name has a higher one.
    """

    role: str
    region: str
    data_centre: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Periodic message that shows that the sender is alive.

    :param incarnation: start time of the sender in Unix milliseconds.
    :param state: ``starting``, ``ready`` or ``leaving``.
    :param poll_age_s: seconds since the last successful poll of the table service by
        any instance in the sender's data centre, as far as the sender knows.
    """

    incarnation: int
    state: str
    poll_age_s: float = 3600.0


@dataclasses.dataclass(frozen=True)
class MemberQuery:
    """Asks when the receiver last received a message from an instance.

    The instance itself answers with a :class:`Heartbeat`.

    :param name: instance name.
    """

    name: str


@dataclasses.dataclass(frozen=True)
class MemberReply:
    """Answer to :class:`MemberQuery`.

    :param name: instance name.
    :param incarnation: highest incarnation known, 0 when none is known.
    :param age_s: seconds since the last message directly from the instance.
    """

    name: str
    incarnation: int
    age_s: float


@dataclasses.dataclass(frozen=True)
class MemberNotices:
    """Changes of the states of instances; each process relays each change once.

    :param changes: maps instance name to ``[incarnation, sequence, state]``; the
        sequence grows with each change within an incarnation and the highest one takes
        precedence; the state is ``ready``, ``leaving`` or ``gone``.
    """

    changes: dict


@dataclasses.dataclass(frozen=True)
class ConfigurationRequest:
    """Asks for the receiver's configuration if it is newer than the asking process's.

    :param have_version: highest version that the asking process holds.
    """

    have_version: int


@dataclasses.dataclass(frozen=True)
class ConfigurationReply:
    """An accepted configuration.

    :param version: number of the acceptance that the sender holds.
    :param change_id: identifier of the change.
    :param configuration_json: the configuration as JSON text; empty when it is not
        newer than the one that the asking process holds.
    """

    version: int
    change_id: str
    configuration_json: str


@dataclasses.dataclass(frozen=True)
class ConfigurationDelta:
    """An accepted configuration as the difference from an earlier one.

    :param version: number of the acceptance.
    :param change_id: identifier of the change.
    :param base_version: version that the difference applies to.
    :param digest: SHA-256 of the resulting configuration's JSON text in hex.
    :param delta_json: difference as JSON text.
    """

    version: int
    change_id: str
    base_version: int
    digest: str
    delta_json: str


@dataclasses.dataclass(frozen=True)
class StatusRequest:
    """Asks for the configuration in force at the receiver."""


@dataclasses.dataclass(frozen=True)
class StatusReply:
    """Configuration in force at the sender.

    :param version: version in force, 0 before the first.
    :param in_force_s: seconds since it came into force there.
    :param known_version: highest version that the sender knows to exist.
    :param behind_s: seconds since the sender learned of a version that it does not hold
        yet, or 0.
    :param poll_age_s: seconds since the last successful poll in its data centre.
    :param state: ``starting``, ``ready`` or ``leaving``.
    """

    version: int
    in_force_s: float
    known_version: int
    behind_s: float
    poll_age_s: float
    state: str


@dataclasses.dataclass(frozen=True)
class Work:
    """One attempt at a request, from an entry instance to an agent.

    :param attempt: identifier of the attempt, unique over all processes.
    :param row: row name.
    :param client: client name.
    :param method: HTTP method.
    :param path: HTTP path at the engine or plain service.
    :param body: request body.
    :param stream: True when the answer is to be streamed as it is generated.
    :param priority: 0 is most urgent.
    :param deadline_s: seconds left at the time of sending.
    :param offset: for a resumed stream, tokens already delivered to the caller.
    :param once_key: idempotency key of a call that must not run twice, or empty.
    :param generation: generation of the claim for ``once_key``.
    :param manifest_digest: digest of the weights that must generate the answer, for a
        resumed stream; empty for the weights that the endpoint serves.
    :param prefix: digest of the start of the prompt, empty for a plain service.
    """

    attempt: str
    row: str
    client: str
    method: str
    path: str
    body: bytes
    stream: bool = False
    priority: int = 5
    deadline_s: float = 60.0
    offset: int = 0
    once_key: str = ""
    generation: int = 0
    manifest_digest: str = ""
    prefix: str = ""


@dataclasses.dataclass(frozen=True)
class WorkAccepted:
    """The agent is passing the attempt to its engine or plain service.

    For a stream the message is sent again, with the digest, when the engine names its
    weights before the first token. Only then can the stream be resumed.

    :param attempt: identifier of the attempt.
    :param manifest_digest: digest of the weights that generate the answer, or empty.
    """

    attempt: str
    manifest_digest: str = ""


@dataclasses.dataclass(frozen=True)
class WorkData:
    """Part of an answer.

    :param attempt: identifier of the attempt.
    :param offset: position of the part: number of tokens before it for a stream, of
        bytes for an answer that is not streamed.
    :param data: bytes of the part.
    """

    attempt: str
    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class WorkEnd:
    """Explicit end of an answer, by which a truncated one is recognised.

    :param attempt: identifier of the attempt.
    :param status: HTTP status of the engine or plain service.
    :param total: length of the answer from offset 0: tokens of a stream, or bytes of an
        answer that is not streamed.
    :param load: requests in progress at the agent.
    """

    attempt: str
    status: int
    total: int
    load: int


@dataclasses.dataclass(frozen=True)
class WorkRefused:
    """The agent refused the attempt, which certainly did not run.

    :param attempt: identifier of the attempt.
    :param reason: short text.
    :param retry_after_s: seconds after which the agent may accept it, 0 for any time.
    """

    attempt: str
    reason: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class WorkFailed:
    """The attempt failed after the agent accepted it.

    :param attempt: identifier of the attempt.
    :param verdict: value of :class:`cicadaplank.requests.verdicts.Verdict`.
    :param reason: short text.
    :param crashed: True when the engine crashed while it ran the attempt.
    :param status: HTTP status when the attempt must be neither retried nor resumed,
        because the engine answered with an error or from other weights; else 0.
    """

    attempt: str
    verdict: str
    reason: str
    crashed: bool = False
    status: int = 0


@dataclasses.dataclass(frozen=True)
class WorkCancel:
    """Cancels an attempt because the caller no longer waits for the answer."""

    attempt: str


@dataclasses.dataclass(frozen=True)
class ManifestRequest:
    """Asks a peer for a manifest when the object store cannot be reached."""

    manifest_digest: str


@dataclasses.dataclass(frozen=True)
class ManifestReply:
    """A manifest as JSON text; the receiver checks its digest."""

    manifest_digest: str
    manifest_json: str


@dataclasses.dataclass(frozen=True)
class VersionManifestRequest:
    """Asks a peer for the manifest of a named version, now or when the peer has it.

    :param model: model name.
    :param version: version number.
    """

    model: str
    version: int


@dataclasses.dataclass(frozen=True)
class VersionManifestReply:
    """Answer to :class:`VersionManifestRequest`.

    :param model: model name.
    :param version: version number.
    :param manifest_json: manifest as JSON text.
    """

    model: str
    version: int
    manifest_json: str


@dataclasses.dataclass(frozen=True)
class ProgressRequest:
    """Asks an agent for the transfer progress of its weights."""


@dataclasses.dataclass(frozen=True)
class ProgressReply:
    """Transfer progress of the weights of an agent.

    :param rows: maps row name to a dict with ``state``, ``wanted``, ``serving``
        (manifest digests), ``chunks`` and ``chunks_held``.
    """

    rows: dict


@dataclasses.dataclass(frozen=True)
class MetricsRequest:
    """Asks for the metrics of the receiver."""


@dataclasses.dataclass(frozen=True)
class MetricsReply:
    """Metrics of the sender in the Prometheus text format."""

    text: str


@dataclasses.dataclass(frozen=True)
class ChunkMapRequest:
    """Asks a peer for its chunk map of a manifest, now and whenever chunks arrive."""

    manifest_digest: str


@dataclasses.dataclass(frozen=True)
class ChunkMap:
    """Which chunks the sender holds.

    :param manifest_digest: digest of the manifest.
    :param have: bit set; bit ``i % 8`` of byte ``i // 8`` is 1 for a held chunk ``i``.
    """

    manifest_digest: str
    have: bytes


@dataclasses.dataclass(frozen=True)
class ChunkRequest:
    """Asks for one chunk.

    :param transfer: identifier of this request, repeated in the answer.
    :param chunk_digest: SHA-256 of the chunk in hex.
    """

    transfer: int
    chunk_digest: str


@dataclasses.dataclass(frozen=True)
class ChunkReply:
    """Answer to :class:`ChunkRequest` with the content of the chunk."""

    transfer: int
    chunk_digest: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class ChunkRefused:
    """Answer to :class:`ChunkRequest` when the sender does not send the chunk.

    :param reason: ``missing`` or ``busy``.
    """

    transfer: int
    chunk_digest: str
    reason: str


@dataclasses.dataclass(frozen=True)
class SuspectReport:
    """A request was running on an endpoint when its engine crashed.

    :param digest: digest of the request's client and content.
    :param endpoint: instance name of the agent.
    :param crashed_unix_s: Unix time of the crash in seconds.
    """

    digest: str
    endpoint: str
    crashed_unix_s: float


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """An endpoint has crashed while it answered requests.

    A prompt is a list of the parts that other requests may share, from its start.

    :param run: name of the run of the endpoint that has crashed.
    :param age_s: seconds since the crash.
    :param begun: prompts whose answers had begun shortly before.
    :param waiting: prompts that had no answer yet.
    """

    run: str
    age_s: float
    begun: list
    waiting: list


@dataclasses.dataclass(frozen=True)
class SoundPartsReport:
    """Parts of prompts that endpoints have answered without a crash.

    :param ages_s: maps each part to the seconds since the newest such answer.
    """

    ages_s: dict


@dataclasses.dataclass(frozen=True)
class BlockedPartsReport:
    """Parts of prompts that are blocked since they crash endpoints.

    It is sent to an instance that connects, and to all when the store was told.

    :param left_s: maps each part to the seconds for which it is blocked.
    :param is_recorded: whether the store has exactly these blocks.
    """

    left_s: dict = dataclasses.field(metadata={"items": (str, float)})
    is_recorded: bool


@dataclasses.dataclass(frozen=True)
class LeavingReport:
    """An endpoint has told the sender in an answer that it leaves.

    :param endpoint: name of the endpoint.
    :param started_ms: start of its run in Unix milliseconds, 0 when it is unknown.
    :param age_s: seconds since the endpoint said so.
    """

    endpoint: str
    started_ms: int
    age_s: float


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """An endpoint has named a limit in an answer to the sender, or names none any more.

    :param endpoint: name of the endpoint.
    :param started_ms: start of its run in Unix milliseconds, 0 when it is unknown.
    :param is_limited: whether it names a limit.
    :param limit_per_s: requests per second that it takes from all entry instances
        together; 0.0 without a limit.
    :param age_s: seconds since the endpoint said so.
    """

    endpoint: str
    started_ms: int
    is_limited: bool
    limit_per_s: float
    age_s: float


@dataclasses.dataclass(frozen=True)
class PermitRequest:
    """An entry instance asks another one for permits to send calls to an endpoint.

    :param endpoint: name of the endpoint.
    :param started_ms: start of its run in Unix milliseconds, 0 when it is unknown.
    :param limit_per_s: limit that the endpoint has named as far as the sender knows,
        requests per second; 0.0 when only its warm-up limits it.
    :param limit_age_s: seconds since the endpoint named it.
    :param wanted: number of permits that the sender can use.
    :param is_waiting: whether calls wait for them; otherwise it would rather send its
        next call to this endpoint than to another one.
    :param returned: number of earlier permits that it has not used.
    :param follows: whether it gets its permits from the receiver.
    """

    endpoint: str
    started_ms: int
    limit_per_s: float
    limit_age_s: float
    wanted: int
    is_waiting: bool
    returned: int
    follows: bool


@dataclasses.dataclass(frozen=True)
class PermitGrant:
    """An entry instance grants another one permits to send calls to an endpoint.

    :param endpoint: name of the endpoint.
    :param started_ms: start of its run in Unix milliseconds, 0 when it is unknown.
    :param count: number of permits; each allows one call.
    :param interval_s: expected time in seconds between permits for the receiver.
    :param issued_s: monotonic clock of the sender in seconds. Only its differences
        between grants of one sender are meaningful.
    """

    endpoint: str
    started_ms: int
    count: int
    interval_s: float
    issued_s: float


@dataclasses.dataclass(frozen=True)
class DemandReport:
    """Demand for rate-limited rows at an entry instance.

    :param demands: maps ``row/client`` to requests per second.
    """

    demands: dict


@dataclasses.dataclass(frozen=True)
class EndpointReport:
    """State of an agent, sent to the entry instances that watch it.

    :param rows: maps row name to the manifest digest, or version of a service, that
        the endpoint serves.
    :param load: requests in progress.
    :param capacity: number of requests that the endpoint runs concurrently.
    :param state: ``starting``, ``ready`` or ``leaving``.
    """

    rows: dict
    load: int
    capacity: int
    state: str


@dataclasses.dataclass(frozen=True)
class CacheReport:
    """Changes of the prefix cache of an agent's engine, sent to entry instances.

    :param sequence: number of the report, consecutive on a connection; a report with
        ``cleared`` may begin a new series at any number.
    :param stored: digests of prefixes added to the cache.
    :param evicted: digests of prefixes removed from the cache.
    :param cleared: True when all earlier reports are void.
    """

    sequence: int
    stored: list
    evicted: list
    cleared: bool


@dataclasses.dataclass(frozen=True)
class GatewayReport:
    """State of a process that replicates the store's tables.

    :param loads: maps endpoint name to the number of calls that the sender has in
        progress there.
    :param newest: maps table name to the position of the newest change that the sender
        has, as ``[era, version]``.
    :param store_age_s: seconds since the store last answered the sender.
    :param weights_ages_s: maps model name to a list of ``[version, age_s, max_age_s]``
        with the least and the greatest number of seconds since the operator named each
        version, as far as the sender knows. Older builds send no ``max_age_s``.
    :param sent_s: monotonic clock of the sender in seconds at the time of sending. Only
        its differences between reports of one sender are meaningful.
    :param store_served_s: seconds before that last answer for which the store is known
        to have answered some instance again and again.
    """

    loads: dict = dataclasses.field(metadata={"items": (str, int)})
    newest: dict = dataclasses.field(metadata={"items": (str, list)})
    store_age_s: float
    weights_ages_s: dict
    sent_s: float
    store_served_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class ReportEcho:
    """Tells the sender of a :class:`GatewayReport` when it was received.

    :param sent_s: ``sent_s`` of the report.
    :param received_s: monotonic clock of the sender of the echo in seconds when it
        received the report.
    """

    sent_s: float
    received_s: float


@dataclasses.dataclass(frozen=True)
class RecordRequest:
    """Asks a peer for the changed records of a table.

    :param table: table name.
    :param after: position up to which the sender has the table, as ``[era, version]``;
        ``[-1, -1]`` for none.
    """

    table: str
    after: list


@dataclasses.dataclass(frozen=True)
class RecordReply:
    """Records of a table.

    :param table: table name.
    :param base: position after which the records are complete, as ``[era, version]``;
        ``[-1, -1]`` for all records.
    :param position: position up to which they are complete, as ``[era, version]``.
    :param rows: list of ``[key, version, value]``; the value of a removed record is
        None. A fourth element marks a compressed value.
    """

    table: str
    base: list
    position: list
    rows: list


@dataclasses.dataclass(frozen=True)
class WeightsNotice:
    """Extract of the store's tables that an entry instance sends to agents.

    :param configuration: version of the configuration that the notice is taken from.
    :param listed: position of the endpoint table that it is taken from, as ``[era,
        version]``.
    :param named: maps model name to the newest version that the operator named.
    :param models: names of all models.
    :param origin: ``host:port`` of the origin of weights, or empty.
    :param resumable: maps service name to whether all its calls can be resumed.
    :param hosts: maps service name to a dict from host to data centre of each endpoint
        that is not leaving.
    :param weights_ages_s: as in :class:`GatewayReport`; empty when the agent built the
        notice itself.
    """

    configuration: int
    listed: list
    named: dict = dataclasses.field(metadata={"items": (str, int)})
    models: list
    origin: str
    resumable: dict
    hosts: dict
    weights_ages_s: dict
