"""Parser of the rows that the operator and the model servers write to the store."""

import json

from cicadaplank.gateway import endpoints, routes

CONFIGURATION_KEY = "config"
VERSION_PREFIX = "version/"
READY = "ready"
DRAINING = "draining"


class RowDecoder:
    """Implementation of :class:`cicadaplank.gateway.process.RecordDecoder`.

    The ``table`` parameters are copies of one of the store's tables.
    """

    operator_table = "op"
    endpoint_table = "servers"

    def configuration(self, table):
        """Return the configuration in the operator's table, or None when it has none.

        :raises ValueError: when the row cannot be parsed.
        """
        record = table.get(CONFIGURATION_KEY)
        if record is None:
            return None
        try:
            return _parse_configuration(json.loads(record.value))
        except (KeyError, TypeError, AttributeError, RecursionError) as fault:
            raise ValueError(f"row op/config cannot be parsed: {fault!r}") from fault

    def named_weights(self, table):
        """Return a dict from model name to the version that the operator named.

        Rows that cannot be parsed are skipped.
        """
        named = {}
        for key, record in table.values().items():
            if not key.startswith(VERSION_PREFIX):
                continue
            value = _parse_object(record.value)
            if value is None or not isinstance(value.get("version"), int):
                continue
            named[str(value.get("model", key[len(VERSION_PREFIX) :]))] = value[
                "version"
            ]
        return named

    def models(self, table):
        """Return the names of the models in the configuration, empty without one."""
        record = table.get(CONFIGURATION_KEY)
        value = _parse_object(record.value) if record else None
        services = value.get("services", []) if value else []
        engines = [service.get("engine") for service in services]
        return [m["name"] for engine in engines if engine for m in engine["models"]]

    def endpoints(self, table, configuration):
        """Return the endpoints of configured services and the number of unusable rows.

        :param configuration: :class:`cicadaplank.gateway.routes.Configuration`.
        :returns: dict from row key to endpoint, and the number of rows that are
            malformed or in an unknown state.
        """
        found, unreadable = {}, 0
        for key, record in table.values().items():
            try:
                endpoint = _parse_endpoint(key, _parse_object(record.value))
            except (KeyError, TypeError, ValueError, AttributeError):
                endpoint = None
            if endpoint is None:
                unreadable += 1
            elif endpoint.service in configuration.services:
                found[key] = endpoint
        return found, unreadable


def _parse_object(value):
    try:
        parsed = json.loads(value)
    except (ValueError, TypeError, RecursionError):
        return None
    return parsed if isinstance(parsed, dict) else None


def _parse_configuration(value):
    accounts = None
    if value.get("tenants") is not None:
        accounts = {
            key: routes.Account(tenant["name"], tenant.get("priority"))
            for tenant in value["tenants"]
            for key in tenant["api_keys"]
        }
    return routes.Configuration(
        version=int(value["version"]),
        routes=tuple(_parse_route(route) for route in value["routes"]),
        services={s["name"]: _parse_service(s) for s in value["services"]},
        limits=_parse_limits(value.get("limits") or {}),
        accounts=accounts,
    )


def _parse_route(value):
    shares = [(b["service"], b.get("weight", 1)) for b in value.get("backends") or ()]
    if not shares:
        shares = [(value["service"], 1)]
    # Calls of a stream that may have run are retried only on resumable routes.
    retry_policy = routes.RetryPolicy.NEVER
    if value["route_type"] == "idempotent":
        retry_policy = routes.RetryPolicy.IDEMPOTENT
    elif value["route_type"] == "streaming" and value.get("resumable"):
        retry_policy = routes.RetryPolicy.RESUMABLE
    return routes.Route(
        name=str(value.get("name", "")),
        host=value["hostname"].lower(),
        prefix=value["prefix"],
        retry_policy=retry_policy,
        is_stream=value["route_type"] == "streaming",
        timeout_s=value["timeout_ms"] / 1000.0,
        objective_s=(value.get("goal_ms") or value["timeout_ms"]) / 1000.0,
        priority=int(value.get("priority") or 0),
        shares=tuple(routes.Share(name, float(weight)) for name, weight in shares),
        max_attempts=max(1, int(value.get("max_attempts") or 1)),
        is_public=bool(value.get("public")),
        # The platform marks routes whose requests carry prompts as sticky.
        is_generation=bool(value.get("sticky")),
    )


def _parse_service(value):
    return routes.Service(
        name=value["name"],
        max_connections=int(value.get("max_conns") or 0),
        has_engines=bool(value.get("engine")),
        origin=value.get("origin") or "",
    )


def _parse_limits(value):
    default = routes.ClientLimits()
    seconds = {
        "header_timeout_s": value.get("header_timeout_ms"),
        "idle_timeout_s": value.get("idle_timeout_ms"),
    }
    numbers = {name: ms / 1000.0 for name, ms in seconds.items() if ms}
    for name in ("max_header_bytes", "max_body_bytes"):
        numbers[name] = value.get(name) or getattr(default, name)
    return routes.ClientLimits(**numbers)


def _parse_endpoint(key, value):
    """Return a server's row as an endpoint, or None when it cannot be used.

    That is a row that is no object, in an unknown state, or whose service or zone is
    not a text.

    :raises KeyError, TypeError, ValueError, AttributeError: when it is malformed.
    """
    if value is None or value["state"] not in (READY, DRAINING):
        return None
    host, _, port = value["address"].rpartition(":")
    if not isinstance(value["service"], str) or not isinstance(value["zone"], str):
        return None
    return endpoints.Endpoint(
        name=key,
        service=value["service"],
        host=host,
        port=int(port),
        data_centre=value["zone"],
        slots=int(value.get("slots") or 1),
        is_draining=value["state"] == DRAINING,
        weights=served_versions(value),
        started_ms=_parse_start_ms(value.get("born", 0)),
        warm_up_s=float(value.get("warmup_left_ms") or 0) / 1000.0,
    )


def _parse_start_ms(value):
    """Return the start of a server's run in Unix milliseconds, 0 when it is not told.

    :raises TypeError: when it is not a whole number; another writer wrote the row.
    """
    if type(value) is not int:
        raise TypeError(f"born is {value!r}, expected a whole number")
    return value


def served_versions(value):
    """Return the versions of the weights that a server has completely loaded.

    :param value: a server's row or its report, as a dict.
    :returns: dict from model name to version.
    """
    return {
        str(model["name"]): int(model["version"])
        for model in value.get("models") or ()
        if model.get("version")
    }
