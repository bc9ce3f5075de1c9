"""HTTP clients of the agent's model server and of the origin of weights."""

from cicadaplank.external import errors
from cicadaplank.platform import documents, rows
from cicadaplank.replicas import loading
from cicadaplank.weights import manifests

# A piece of 48 KB takes 0.1 s on a machine's link. The time-out is longer because the
# origin's link is shared by all machines.
PIECE_TIMEOUT_S = 3.0
# Maximum size of an answer with a piece.
MAX_PIECE_ANSWER_BYTES = manifests.MAX_CHUNK_BYTES
# Maximum size of a manifest, with 70 bytes for the digest of each chunk.
MAX_MANIFEST_BYTES = 70 * manifests.MAX_CHUNKS
ORDER_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 0.8
# With "queue" the server finishes running requests before it loads the new weights,
# with "abort" it cuts them off.
QUEUE_MODE = "queue"
ABORT_MODE = "abort"


def _body_or_raise(answer, operation):
    status, body = answer
    if status == 404:
        raise errors.NotFound(status, operation)
    if status in (429, 503):
        raise errors.Unavailable(f"{operation}: status {status}")
    if status not in (200, 201, 202, 204):
        raise errors.Refused(status, operation)
    return body


def _parse(value, type_, operation):
    try:
        return documents.convert(value, type_)
    except documents.DocumentError as fault:
        raise errors.AnswerLost(f"{operation} cannot be parsed: {fault}") from fault


class ModelServer:
    """Client of the model server on this machine.

    :param client: :class:`cicadaplank.platform.client.Client` of its address.
    """

    def __init__(self, client):
        self._client = client

    async def state(self):
        """Return the state that the server reports.

        :returns: :class:`cicadaplank.replicas.loading.EngineState`.
        :raises PlatformError: when the call fails.
        """
        answer = await self._client.json(
            "GET", "/v1/report", timeout_s=REPORT_TIMEOUT_S
        )
        value = _body_or_raise(answer, "report")
        report = _parse(value, documents.Report, "report")
        versions = rows.served_versions(report.models)
        return loading.EngineState(
            versions=versions,
            is_busy=bool(report.busy),
            # Number of orders that have started an action since the server's start.
            orders=report.seq or 0,
            is_empty=not versions,
            started_ms=report.born or 0,
        )

    async def put_piece(self, model, number, data):
        """Upload a piece to the server's staging area.

        :param model: model name.
        :param number: number of the piece.
        :param data: bytes of the piece.
        :raises PlatformError: when the call fails.
        """
        answer = await self._client.call(
            "PUT", f"/v1/stage-put/{model}", {"num": number}, data, PIECE_TIMEOUT_S
        )
        _body_or_raise(answer, "stage-put")

    async def piece(self, model, number):
        """Return the bytes of a piece in the server's staging area.

        :param model: model name.
        :param number: number of the piece.
        :raises PlatformError: when the call fails; ``NotFound`` for a missing piece.
        """
        answer = await self._client.call(
            "GET",
            f"/v1/stage-get/{model}",
            {"num": number},
            timeout_s=PIECE_TIMEOUT_S,
            max_answer_bytes=MAX_PIECE_ANSWER_BYTES,
        )
        return _body_or_raise(answer, "stage-get")

    async def load(self, order):
        """Order the server to load the staged weights.

        :param order: :class:`cicadaplank.replicas.loading.Order`.
        :returns: True when the order has begun or is already in effect (status 200 or
            202).
        :raises PlatformError: when the call fails; ``Unavailable`` when the order was
            certainly not sent.
        """
        target = order.target
        body = {"op": "start", "model": target.model, "version": target.version}
        body["mode"] = ABORT_MODE if order.cuts else QUEUE_MODE
        body["expected"] = order.expected_orders
        status, _ = await self._client.call(
            "POST",
            "/v1/order",
            body=body,
            timeout_s=ORDER_TIMEOUT_S,
            not_after_s=order.not_after_s,
        )
        return status in (200, 202)


class Origin:
    """Client of the origin of weights.

    :param client: :class:`cicadaplank.platform.client.Client` of its address.
    """

    def __init__(self, client):
        self._client = client

    async def manifest(self, model, version):
        """Return the manifest of a version of a model.

        :param model: model name.
        :param version: version number, 0 for the newest.
        :raises PlatformError: when the call fails; ``AnswerLost`` when the answer is
            not a manifest of this version.
        """
        query = {"version": version} if version else None
        answer = await self._client.json(
            "GET",
            f"/v1/manifest/{model}",
            query,
            max_answer_bytes=MAX_MANIFEST_BYTES,
        )
        value = _body_or_raise(answer, "manifest")
        document = _parse(value, documents.Manifest, "manifest")
        parsed = manifests.from_digests(
            model, str(document.version), document.chunk_bytes, document.digests
        )
        manifest = parsed.value_or(None)
        if manifest is None:
            raise errors.AnswerLost(f"invalid manifest: {parsed.failure()}")
        if version and manifest.version != str(version):
            raise errors.AnswerLost(f"manifest of wrong version {manifest.version}")
        return manifest

    async def piece(self, model, version, number):
        """Return the bytes of a piece of a version.

        :param model: model name.
        :param version: version number.
        :param number: number of the piece.
        :raises PlatformError: when the call fails.
        """
        query = {"num": number, "version": version}
        answer = await self._client.call(
            "GET",
            f"/v1/piece/{model}",
            query,
            timeout_s=PIECE_TIMEOUT_S,
            max_answer_bytes=MAX_PIECE_ANSWER_BYTES,
        )
        return _body_or_raise(answer, "piece")
