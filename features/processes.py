"""The deployment of real processes that scenarios share."""

import json
import re
import signal
import threading
import time

from cicadaplank.weights import manifests
from standins import batches, engines
from tools import deployment

MODEL, SERVICE, CLIENT = "contracts", "ledger", "estancia-perez"
REGIONS = ("norte", "litoral")
ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
CHUNK_BYTES = 32 * 1024
WEIGHT_BYTES = 512 * 1024
TOKENS = 40
# Room for the starts of eight prompts that are long enough to have a prefix.
CACHE_BLOCKS = 64
HEADERS = {"X-Cicadaplank-Client": CLIENT}
ONCE_PATH = f"/services/{SERVICE}/calls/signatures"
VERDICT = "X-Cicadaplank-Verdict"
IN_FORCE_S = 8.0
HINTS_S = 8.0
LEAVE_S = 3.0


def weights_of(version):
    """Return the bytes of a version."""
    return (version.encode() * WEIGHT_BYTES)[:WEIGHT_BYTES]


def manifest_of(version):
    """Return the manifest of a version."""
    return manifests.build(MODEL, version, weights_of(version), CHUNK_BYTES)[0]


def expected_tokens(version, prompt):
    """Return the tokens that a version generates for a prompt."""
    content = engines.content_digest(manifest_of(version).chunk_digests)
    return [batches.token(content, prompt, place) for place in range(TOKENS)]


class System:
    """A deployment with two entries, four engines and one plain service."""

    def __init__(self):
        self.deployment = deployment.Deployment()
        self.agents = {}
        self.ended = []
        self.served = None
        self._prompts = 0
        self._start()

    def _start(self):
        system = self.deployment
        options = ["--step_s=0.02", f"--cache_blocks={CACHE_BLOCKS}"]
        system.start_platform(ENGINES, [SERVICE], options)
        for region in REGIONS:
            self.launch_entry(f"{region}-entry-1", region)
        for number, engine in enumerate(ENGINES):
            name = f"{REGIONS[number % 2]}-model-{number + 1}"
            self.agents[name] = engine
            self.launch_agent(name)
        endpoint = {"kind": "service", "url": system.url(SERVICE), "row": SERVICE}
        system.launch("norte-ledger-1", "agent", "norte", endpoint=endpoint)
        system.await_started(*self.names)

    @property
    def names(self):
        """Names of every process of the system."""
        return [*self.entries, *self.agents, "norte-ledger-1"]

    @property
    def entries(self):
        """Names of the entry instances."""
        return [f"{region}-entry-1" for region in REGIONS]

    def launch_entry(self, name, region):
        """Start an entry process."""
        once = {"service": SERVICE, "method": "POST"}
        once["path_prefix"] = "/calls/signatures"
        self.deployment.launch(
            name, "entry", region, once_calls=[once], drain_limit_s=10
        )

    def launch_agent(self, name):
        """Start the agent of a model server."""
        endpoint = {"kind": "engine", "url": self.deployment.url(self.agents[name])}
        region = name.partition("-")[0]
        self.deployment.launch(
            name, "agent", region, endpoint=endpoint, drain_limit_s=10
        )

    def publish(self, version):
        """Publish a version."""
        system = self.deployment
        path = system.path(f"{version}.bin")
        path.write_bytes(weights_of(version))
        settings = system.path(f"{self.entries[0]}.json")
        arguments = ["weights", "publish", path, MODEL, version]
        arguments += ["--settings", settings, "--chunk_bytes", CHUNK_BYTES]
        system.command(*arguments)

    def write_table(self, version, holders=None, priority=5, name="table.json"):
        """Write a declarations file and return its path."""
        limits = [{"client": CLIENT, "requests_per_s": 1000}]
        manifest = manifest_of(version)
        document = {"halves": {}, "rows": []}
        document["rows"].append(
            {
                "name": MODEL,
                "kind": "model",
                "version": version,
                "manifest_digest": manifest.digest,
                "size_bytes": manifest.size_bytes,
                "holders": list(holders or self.agents),
                "limits": limits,
                "priority": priority,
            }
        )
        document["rows"].append(
            {
                "name": SERVICE,
                "kind": "service",
                "version": "1",
                "holders": ["norte-ledger-1"],
                "limits": limits,
            }
        )
        path = self.deployment.path(name)
        path.write_text(json.dumps(document))
        return path

    def accept(self, path, *more, check=True):
        """Accept a declarations file; return exit code, output and errors."""
        self.served = None
        settings = self.deployment.path(f"{self.entries[0]}.json")
        return self.deployment.command(
            "table", "accept", path, "--settings", settings, *more, check=check
        )

    def serve(self, version):
        """Bring every process back, and every engine to a version."""
        self.deployment.set_faults("tables")
        self.deployment.set_faults(SERVICE)
        revived = [name for name in self.names if self.revive(name)]
        if self.served == version and not revived:
            return
        self.publish(version)
        self.accept(self.write_table(version))
        self.await_serving(version)
        self.served = version

    def revive(self, name):
        """Replace a process that has ended.

        :returns: True when it was replaced.
        """
        process = self.deployment.processes[name]
        process.signal(signal.SIGCONT)
        if process.exit_code is None:
            return False
        self.ended.append(process)
        if name in self.agents:
            self.launch_agent(name)
        else:
            self.launch_entry(name, name.partition("-")[0])
        self.deployment.await_started(name)
        return True

    def await_serving(self, version):
        """Wait until every agent serves a version and every entry knows it."""
        digest = manifest_of(version).digest

        def serving():
            rows = [
                self.deployment.status(name)["weights"]["rows"].get(MODEL)
                for name in self.agents
            ]
            return all(row and row["serving"] == digest for row in rows)

        def watched():
            statuses = [self.deployment.status(name) for name in self.entries]
            wanted = len(self.agents) + 1
            return all(len(status["endpoints"]) >= wanted for status in statuses)

        self.deployment.wait_until(f"{version} served", serving)
        self.deployment.wait_until("endpoints watched", watched)

    def hints(self, entry):
        """Return how many prefixes an entry believes each engine's agent to hold."""
        hints = self.deployment.status(entry)["hints"]
        return {name: hints.get(name, 0) for name in self.agents}

    def complete(self, entry, prompt, max_tokens=TOKENS):
        """Stream one completion; return ``(status, tokens, ended)``."""
        document = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        document["stream"] = True
        status, _, body = self.deployment.send(
            entry, "POST", "/v1/completions", document, HEADERS, 30.0
        )
        lines = re.findall(r"^data: (\{.*\"offset\".*\})$", body.decode(), re.M)
        events = [json.loads(line) for line in lines]
        offsets = [event["offset"] for event in events]
        assert offsets == list(range(len(offsets))), offsets
        return status, [event["token"] for event in events], b"[DONE]" in body

    def prompt(self):
        """Return a prompt that was not used before."""
        self._prompts += 1
        return f"Contract number {self._prompts}, with a text of its own."

    def call_once(self, entry, key):
        """Send one once-only call; return ``(status, verdict)``."""
        headers = dict(HEADERS, **{"Idempotency-Key": key})
        status, found, _ = self.deployment.send(
            entry, "POST", ONCE_PATH, {"key": key}, headers, 30.0
        )
        return status, found.get(VERDICT)

    def executions(self):
        """Return how often each idempotency key was executed."""
        journal = self.deployment.call(SERVICE, "GET", "/journal")["executions"]
        counts = {}
        for entry in journal:
            counts[entry["once_key"]] = counts.get(entry["once_key"], 0) + 1
        return counts


class Background:
    """Requests that run in threads until they are stopped.

    :param work: callable that is repeated.
    """

    def __init__(self, work, threads=4):
        self.results = []
        self._stopped = threading.Event()
        self._work = work
        self._threads = [threading.Thread(target=self._run) for _ in range(threads)]
        for thread in self._threads:
            thread.start()

    def _run(self):
        while not self._stopped.is_set():
            began_s = time.time()
            try:
                self.results.append((began_s, self._work()))
            except Exception as error:
                self.results.append((began_s, error))

    def stop(self):
        """Stop and return the results in the order of their ends."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        return self.results


def system_of(context):
    """Return the deployment that all scenarios with processes share."""
    shared = context.config.userdata
    if "system" not in shared:
        shared["system"] = System()
    return shared["system"]
