"""Weights commands: publish, status."""

import pathlib

from twisted.internet import defer, reactor

from cicadaplank.cli import fleet, loop, processes, results
from cicadaplank.external import http, objects, origins
from cicadaplank.messages import types
from cicadaplank.weights import manifests

MAX_CONCURRENT_UPLOADS = 4
PROGRESS_BAR_WIDTH = 20
MANIFEST_PREFIX = "manifests/"


class Weights:
    """Publish weights and follow their distribution."""

    def publish(self, file, name, version, settings, chunk_bytes=None, json=False):
        """Split weights into chunks, upload them to the origin and store the manifest.

        Put the printed manifest digest into the row of the table.

        :param file: path of the file with the weights.
        :param name: row name.
        :param version: version name.
        :param settings: path of the settings file of any process.
        :param chunk_bytes: size of a chunk in bytes, by default chosen by the size of
            the weights.
        :param json: print JSON.
        """
        checked = processes.load_settings(settings)
        try:
            data = pathlib.Path(file).read_bytes()
            size = chunk_bytes or _default_chunk_bytes(len(data))
            manifest, chunks = manifests.build(name, str(version), data, int(size))
        except OSError as error:
            message = f"{file}: cannot be read: {error.strerror}"
            raise results.CommandError(message, results.EXIT_USAGE) from error
        except ValueError as error:
            raise results.CommandError(
                f"{file}: {error}", results.EXIT_USAGE
            ) from error
        loop.run(_publish(checked, manifest, chunks))
        document = {
            "name": name,
            "version": str(version),
            "manifest_digest": manifest.digest,
            "size_bytes": manifest.size_bytes,
            "chunks": len(manifest.chunk_digests),
        }
        lines = [f"{field} {value}" for field, value in document.items()]
        results.print_result(document, lines, json)

    def status(self, settings, json=False):
        """Show the download progress of each row at each agent instance.

        :param settings: path of the settings file of any process.
        :param json: print JSON.
        """
        document = loop.run(_status(processes.load_settings(settings)))
        lines = []
        for row, centres in document["rows"].items():
            for centre, entries in centres.items():
                done = sum(entry["state"] == "ready" for entry in entries)
                lines.append(f"{row} {centre}: {done} of {len(entries)} ready")
                lines += [f"  {_progress_line(entry)}" for entry in entries]
        lines += [f"{name} gives no answer" for name in document["unreachable"]]
        results.print_result(document, lines, json)


def _default_chunk_bytes(size_bytes):
    """Return a chunk size that keeps the manifest within ``manifests.MAX_CHUNKS``.

    It is at most ``manifests.MAX_CHUNK_BYTES``; larger weights exceed the chunk limit.
    """
    size = manifests.DEFAULT_CHUNK_BYTES
    while size * manifests.MAX_CHUNKS < size_bytes and size < manifests.MAX_CHUNK_BYTES:
        size = min(2 * size, manifests.MAX_CHUNK_BYTES)
    return size


async def _publish(checked, manifest, chunks):
    platform = checked.platform
    origin = origins.OriginClient(http.Client(reactor, platform.origin_url))
    store = objects.ObjectStoreClient(http.Client(reactor, platform.objects_url))
    semaphore = defer.DeferredSemaphore(MAX_CONCURRENT_UPLOADS)
    puts = [
        semaphore.run(origin.put_chunk, digest, data) for digest, data in chunks.items()
    ]
    try:
        await defer.gatherResults(puts, consumeErrors=True)
    except defer.FirstError as error:
        error.subFailure.raiseException()
    # The manifest is stored last, so that it is never visible before all its chunks.
    await store.put(MANIFEST_PREFIX + manifest.digest, manifest.to_json().encode())


async def _status(checked):
    fleet_connections = fleet.Fleet(checked)
    agents = [
        each for each in await fleet_connections.instances() if each.role == "agent"
    ]
    replies = await fleet_connections.query(
        agents, types.ProgressRequest(), types.ProgressReply
    )
    rows = {}
    for instance in sorted(agents, key=lambda each: each.name):
        reply = replies[instance.name]
        for row, progress in (reply.rows if reply else {}).items():
            centre = rows.setdefault(row, {}).setdefault(instance.data_centre, [])
            centre.append({"name": instance.name, **progress})
    await fleet_connections.close()
    silent = sorted(name for name, reply in replies.items() if reply is None)
    return {"rows": rows, "unreachable": silent}


def _progress_line(entry):
    total, held = entry["chunks"], entry["chunks_held"]
    filled = PROGRESS_BAR_WIDTH * held // total if total else 0
    bar = "#" * filled + "." * (PROGRESS_BAR_WIDTH - filled)
    return f"{entry['name']} [{bar}] {held}/{total} {entry['state']}"
