"""Calls to a model server beside an agent, and to the origin of weights."""

from cicadaplank.external import errors
from cicadaplank.platform import rows
from cicadaplank.replicas import loading
from cicadaplank.weights import manifests

# A piece of 48 KB takes 0.1 s on a machine's link; the origin's is shared by all.
PIECE_TIMEOUT_S = 3.0
ORDER_TIMEOUT_S = 1.0
LOCAL_TIMEOUT_S = 0.8
# Running work ends before the new weights are loaded, or is cut.
QUEUE_MODE = "queue"
ABORT_MODE = "abort"


def _checked(answer, what):
    status, body = answer
    if status == 404:
        raise errors.NotFound(status, what)
    if status in (429, 503):
        raise errors.Unavailable(f"{what}: status {status}")
    if status not in (200, 201, 202, 204):
        raise errors.Refused(status, what)
    return body


class ModelServer:
    """The model server of this machine.

    :param client: :class:`cicadaplank.platform.client.Client` of its address.
    """

    def __init__(self, client):
        self._client = client

    async def state(self):
        """Return what the server says of itself."""
        answer = await self._client.json("GET", "/v1/report", timeout_s=LOCAL_TIMEOUT_S)
        value = _checked(answer, "report")
        versions = rows.served_versions(value)
        return loading.EngineState(
            versions=versions,
            is_busy=bool(value.get("busy")),
            # The count of orders that began something since the server's start.
            orders=int(value.get("seq") or 0),
            is_empty=not versions,
            started_ms=int(value.get("born") or 0),
        )

    async def put_piece(self, model, number, data):
        """Stage a piece."""
        answer = await self._client.call(
            "PUT", f"/v1/stage-put/{model}", {"num": number}, data, PIECE_TIMEOUT_S
        )
        _checked(answer, "stage-put")

    async def piece(self, model, number):
        """Return a staged piece."""
        answer = await self._client.call(
            "GET", f"/v1/stage-get/{model}", {"num": number}, timeout_s=PIECE_TIMEOUT_S
        )
        return _checked(answer, "stage-get")

    async def load(self, order):
        """Order the server to load what is staged.

        :param order: :class:`cicadaplank.replicas.loading.Order`.
        :returns: True when the order has begun or is in effect.
        """
        target = order.target
        body = {"op": "start", "model": target.model, "version": target.version}
        body["mode"] = ABORT_MODE if order.cuts else QUEUE_MODE
        body["expected"] = order.expected_orders
        status, _ = await self._client.call(
            "POST", "/v1/order", body=body, timeout_s=ORDER_TIMEOUT_S
        )
        return status in (200, 202)


class Origin:
    """The origin of weights.

    :param client: :class:`cicadaplank.platform.client.Client` of its address.
    """

    def __init__(self, client):
        self._client = client

    async def manifest(self, model, version):
        """Return the manifest of a version, 0 for the newest."""
        query = {"version": version} if version else None
        answer = await self._client.json("GET", f"/v1/manifest/{model}", query)
        value = _checked(answer, "manifest")
        try:
            described = manifests.from_digests(
                model,
                str(int(value["version"])),
                int(value["chunk_bytes"]),
                [str(digest) for digest in value["digests"]],
            )
        except (KeyError, TypeError, ValueError) as fault:
            raise errors.AnswerLost(f"manifest cannot be read: {fault!r}") from fault
        manifest = described.value_or(None)
        if manifest is None:
            raise errors.AnswerLost(f"manifest: {described.failure()}")
        if version and manifest.version != str(version):
            raise errors.AnswerLost(f"manifest is of version {manifest.version}")
        return manifest

    async def piece(self, model, version, number):
        """Return a piece."""
        query = {"num": number, "version": version}
        answer = await self._client.call(
            "GET", f"/v1/piece/{model}", query, timeout_s=PIECE_TIMEOUT_S
        )
        return _checked(answer, "piece")
