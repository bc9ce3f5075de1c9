"""Decoder of the rows that the operator and the model servers write to the store.

A row that cannot be decoded costs only what it names: the other rows are used.
"""

import collections
import functools
import types

from cicadaplank.gateway import endpoints, routes, service_times
from cicadaplank.platform import documents

CONFIGURATION_KEY = "config"
VERSION_PREFIX = "version/"
EVACUATION_PREFIX = "evacuate/"
DRAINING = "draining"
# Limit on the decoded rows that are kept; rows beyond it are decoded at each read.
MAX_CACHED_ROWS = 10_000
# Prompt tokens that an engine reads in a step when its figures name no limit.
MAX_CHUNK_TOKENS = 1_000_000


class RowDecoder:
    """Implementation of :class:`cicadaplank.gateway.process.RecordDecoder`.

    The ``table`` parameters are copies of one of the store's tables.

    :param regions: dict from data centre to region.
    :ivar counts: number of rows ``decoded``, ``unreadable`` and ``uncached``.
    """

    operator_table = "op"
    endpoint_table = "servers"

    def __init__(self, regions=types.MappingProxyType({})):
        self.counts = collections.Counter()
        self._configurations = _Cache(_decode_configuration, self.counts)
        self._versions = _Cache(_decode_version, self.counts)
        decode_endpoint = functools.partial(_decode_endpoint, regions)
        self._endpoints = _Cache(decode_endpoint, self.counts)

    def configuration(self, table):
        """Return the configuration in the operator's table, or None when it has none.

        :raises ValueError: when the row cannot be decoded.
        """
        record = table.get(CONFIGURATION_KEY)
        records = {} if record is None else {CONFIGURATION_KEY: record}
        decoded = self._configurations.update(records)
        for reason in self._configurations.unreadable.values():
            raise ValueError(f"row op/config cannot be parsed: {reason}")
        return decoded.get(CONFIGURATION_KEY)

    def named_weights(self, table):
        """Return a dict from model name to the version that the operator named.

        Rows that cannot be decoded are skipped.
        """
        records = {
            key: record
            for key, record in table.values().items()
            if key.startswith(VERSION_PREFIX)
        }
        return dict(self._versions.update(records).values())

    def evacuated(self, table):
        """Return the names of the data centres with a row of an evacuation.

        The key alone counts: a row whose value cannot be read holds, too.

        :returns: frozenset.
        """
        keys = (key for key in table.values() if key.startswith(EVACUATION_PREFIX))
        return frozenset(key[len(EVACUATION_PREFIX) :] for key in keys)

    def endpoints(self, table, configuration):
        """Return the endpoints of configured services and the number of unusable rows.

        :param configuration: :class:`cicadaplank.gateway.routes.Configuration`.
        :returns: dict from row key to endpoint, and the number of rows that are
            malformed, out of range or in an unknown state.
        """
        decoded = self._endpoints.update(table.values())
        found = {
            key: endpoint
            for key, endpoint in decoded.items()
            if endpoint.service in configuration.services
        }
        return found, len(self._endpoints.unreadable)

    def unreadable(self, name):
        """Return the rows of a table that could not be decoded at its last read.

        :param name: name of the table.
        :returns: dict from key to reason.
        """
        if name == self.endpoint_table:
            return self._endpoints.unreadable
        return self._configurations.unreadable | self._versions.unreadable


class _Cache:
    """Decoded rows of a table by key, kept as long as their record is the same.

    :param decode: callable that takes key and value of a row, and raises ``ValueError``
        when it cannot be decoded.
    :param counts: counter.
    :ivar unreadable: dict from key to reason for the rows that cannot be decoded.
    """

    def __init__(self, decode, counts):
        self.unreadable = {}
        self._decode = decode
        self._counts = counts
        self._known = {}

    def update(self, records):
        """Return a dict from key to decoded value of the rows that can be decoded.

        :param records: dict from key to :class:`cicadaplank.gateway.records.Record`.
        """
        known, found, unreadable = {}, {}, {}
        for key, record in records.items():
            kept = self._known.get(key)
            if kept is None or kept[0] != record:
                kept = (record, *self._decoded(key, record))
            _, value, reason = kept
            if len(known) < MAX_CACHED_ROWS:
                known[key] = kept
            else:
                self._counts["uncached"] += 1
            if reason is None:
                found[key] = value
            else:
                unreadable[key] = reason
        self._known, self.unreadable = known, unreadable
        return found

    def _decoded(self, key, record):
        self._counts["decoded"] += 1
        try:
            return self._decode(key, record.value), None
        except ValueError as fault:
            self._counts["unreadable"] += 1
            return None, str(fault)


_CONFIGURATION = documents.Decoder(documents.Configuration)
_NAMED_VERSION = documents.Decoder(documents.NamedVersion)
_SERVER = documents.Decoder(documents.Server)


def _decode_configuration(key, value):
    parsed = _CONFIGURATION.decode(value)
    accounts = None
    if parsed.tenants is not None:
        accounts = {
            api_key: routes.Account(
                tenant.name,
                _optional_integer(tenant.priority),
                _regions(tenant.allowed_regions),
            )
            for tenant in parsed.tenants
            for api_key in tenant.api_keys
        }
    return routes.Configuration(
        version=parsed.version,
        routes=tuple(_route(route) for route in parsed.routes),
        services={each.name: _service(each) for each in parsed.services},
        limits=_limits(parsed.limits or documents.Limits()),
        accounts=accounts,
    )


def _regions(names):
    # The platform's default is an empty list, which sets no limit.
    return frozenset(names) if names else None


def _optional_integer(number):
    return None if number is None else int(number)


def _route(value):
    shares = [(share.service, share.weight) for share in value.backends or ()]
    if not shares:
        if value.service is None:
            raise documents.DocumentError(f"route {value.name!a} names no service")
        shares = [(value.service, 1.0)]
    # Calls of a stream that may have run are retried only on resumable routes.
    retry_policy = routes.RetryPolicy.NEVER
    if value.route_type == "idempotent":
        retry_policy = routes.RetryPolicy.IDEMPOTENT
    elif value.route_type == "streaming" and value.resumable:
        retry_policy = routes.RetryPolicy.RESUMABLE
    return routes.Route(
        name=value.name or "",
        host=value.hostname.lower(),
        prefix=value.prefix,
        retry_policy=retry_policy,
        is_stream=value.route_type == "streaming",
        timeout_s=value.timeout_ms / 1000.0,
        objective_s=(value.goal_ms or value.timeout_ms) / 1000.0,
        priority=int(value.priority or 0),
        shares=tuple(routes.Share(name, weight) for name, weight in shares),
        max_attempts=max(1, int(value.max_attempts or 1)),
        is_public=bool(value.public),
        # The platform marks routes whose requests carry prompts as sticky.
        is_generation=bool(value.sticky),
        regions=_regions(value.allowed_regions),
    )


def _service(value):
    if value.origin:
        documents.parse_address(value.origin)
    models = value.engine.models if value.engine else None
    return routes.Service(
        name=value.name,
        max_connections=int(value.max_conns or 0),
        has_engines=models is not None,
        origin=value.origin or "",
        models=tuple(model.name for model in models or ()),
        warm_up_per_s=value.warmup_per_s or 0.0,
        engine=_engine_figures(value.engine),
    )


def _engine_figures(engine):
    """Return the speed of a service's engines, None unless it is published."""
    if engine is None or not (engine.step_ms and engine.read_per_s and engine.usual):
        return None
    if not (engine.usual.prompt and engine.usual.answer):
        return None
    return service_times.EngineFigures(
        step_s=engine.step_ms / 1000.0,
        step_per_call_s=(engine.per_seq_ms or 0.0) / 1000.0,
        step_per_token_s=(engine.context_per_k or 0.0) / 1e6,
        read_tokens_per_s=engine.read_per_s,
        chunk_tokens=engine.chunk or MAX_CHUNK_TOKENS,
        steps_per_pass=engine.stride or 1,
        usual=service_times.Work(engine.usual.prompt, engine.usual.answer),
        slots=int(engine.slots or 1),
    )


def _limits(value):
    default = routes.ClientLimits()
    seconds = {
        "header_timeout_s": value.header_timeout_ms,
        "idle_timeout_s": value.idle_timeout_ms,
    }
    numbers = {name: ms / 1000.0 for name, ms in seconds.items() if ms}
    for name in ("max_header_bytes", "max_body_bytes"):
        numbers[name] = int(getattr(value, name) or getattr(default, name))
    return routes.ClientLimits(**numbers)


def _decode_version(key, value):
    """Return model and version of a row, whose key also names the model."""
    parsed = _NAMED_VERSION.decode(value)
    model = documents.convert(key[len(VERSION_PREFIX) :], documents.PathName)
    if parsed.model is not None and parsed.model != model:
        raise documents.DocumentError(f"the row names another model, {parsed.model!a}")
    return model, parsed.version


def _decode_endpoint(regions, key, value):
    name = documents.check_key(key)
    parsed = _SERVER.decode(value)
    host, port = documents.parse_address(parsed.address)
    return endpoints.Endpoint(
        name=name,
        service=parsed.service,
        host=host,
        port=port,
        data_centre=parsed.zone,
        slots=int(parsed.slots or 1),
        is_draining=parsed.state == DRAINING,
        weights=served_versions(parsed.models),
        started_ms=parsed.born,
        sequence=parsed.seq or 0,
        warm_up_s=(parsed.warmup_left_ms or 0.0) / 1000.0,
        region=regions.get(parsed.zone, ""),
    )


def served_versions(models):
    """Return the versions of the weights that a server has completely loaded.

    :param models: list of :class:`documents.Model`, or None.
    :returns: dict from model name to version.
    """
    return {model.name: model.version for model in models or () if model.version}
