"""Runs the whole path as separate processes on loopback and prints what happened."""

import json
import random
import sys
import time

from tools import deployment

REGIONS = ("norte", "litoral", "este")
MODEL = "harvest-contracts"
SERVICE = "ledger"
CLIENT = "estancia-las-palmas"
WEIGHT_BYTES = 4 * 1024 * 1024
HEADERS = {"X-Cicadaplank-Client": CLIENT, "Content-Type": "application/json"}


def show(text):
    """Print one line at once."""
    print(text, flush=True)


def agents():
    """Return ``(name, region, endpoint section)`` of each agent."""
    found = []
    for number in range(6):
        name = f"{REGIONS[number % 3]}-model-{number + 1}"
        found.append((name, REGIONS[number % 3], f"engine-{number + 1}"))
    return found


def start(system):
    """Start the platform and the system's processes."""
    engines = [engine for _, _, engine in agents()]
    system.start_platform(
        engines, [SERVICE], ["--resumes=True"], ["--rate_bytes_per_s=8e6"]
    )
    once = [{"service": SERVICE, "method": "POST", "path_prefix": "/calls/signatures"}]
    names = []
    for region in REGIONS:
        name = f"{region}-entry-1"
        system.launch(name, "entry", region, once_calls=once, drain_limit_s=5)
        names.append(name)
    for name, region, engine in agents():
        endpoint = {"kind": "engine", "url": system.url(engine)}
        link = {"bytes_per_s": 4e6, "region_bytes_per_s": 2e6, "requests_share": 0.1}
        system.launch(name, "agent", region, endpoint=endpoint, link=link)
        names.append(name)
    endpoint = {"kind": "service", "url": system.url(SERVICE), "row": SERVICE}
    system.launch("norte-ledger-1", "agent", "norte", endpoint=endpoint)
    names.append("norte-ledger-1")
    system.await_started(*names)
    return names


def publish(system, version, seed):
    """Publish a small model and return its manifest digest."""
    path = system.path(f"{version}.bin")
    path.write_bytes(random.Random(seed).randbytes(WEIGHT_BYTES))
    arguments = ["weights", "publish", path, MODEL, version]
    arguments += ["--settings", system.path("norte-entry-1.json"), "--json"]
    arguments += ["--chunk_bytes", "131072"]
    _, output, _ = system.command(*arguments)
    return json.loads(output)["manifest_digest"]


def accept(system, digest, version, holders):
    """Write a declarations file, accept it and return the output."""
    limits = [{"client": CLIENT, "requests_per_s": 200}]
    document = {
        "halves": {"first": holders[:3], "second": holders[3:]},
        "rows": [
            {
                "name": MODEL,
                "kind": "model",
                "version": version,
                "manifest_digest": digest,
                "size_bytes": WEIGHT_BYTES,
                "holders": ["half:first", "half:second"],
                "limits": limits,
            },
            {
                "name": SERVICE,
                "kind": "service",
                "version": "1",
                "holders": ["norte-ledger-1"],
                "limits": limits,
            },
        ],
    }
    path = system.path("table.json")
    path.write_text(json.dumps(document))
    settings = system.path("norte-entry-1.json")
    _, output, _ = system.command("table", "accept", path, "--settings", settings)
    return output


def await_replicas(system, names, digest):
    """Wait until every agent serves a digest and return the elapsed time."""
    began_s = time.monotonic()

    def all_ready():
        rows = [system.status(name)["weights"]["rows"].get(MODEL) for name in names]
        return all(row and row["serving"] == digest for row in rows)

    system.wait_until("replicas", all_ready, 30.0)
    return time.monotonic() - began_s


def complete(system, entry, prompt, stream):
    """Send a completion and return ``(status, verdict, body)``."""
    document = {"model": MODEL, "prompt": prompt, "max_tokens": 8, "stream": stream}
    status, headers, body = system.send(
        entry, "POST", "/v1/completions", document, HEADERS
    )
    return status, headers.get("X-Cicadaplank-Verdict"), body.decode()


def show_requests(system):
    """Show an answered stream, an answered service call and a refused one."""
    status, verdict, body = complete(system, "este-entry-1", "Draft a contract.", True)
    events = body.strip().split("\n\n")
    show(f"streamed request: status={status} verdict={verdict} events={len(events)}")
    show(f"  first event: {events[0]}")
    show(f"  last event:  {events[-1]}")
    headers = dict(HEADERS, **{"Idempotency-Key": "signature-17"})
    path = f"/services/{SERVICE}/calls/signatures"
    for text in ("first", "again"):
        status, found, body = system.send(
            "norte-entry-1", "POST", path, {"contract": 17}, headers
        )
        verdict = found.get("X-Cicadaplank-Verdict")
        recorded = found.get("X-Cicadaplank-Recorded", "false")
        show(f"service call ({text}): {status=} {verdict=} {recorded=}")
    counted = system.counters(SERVICE)["executions"]
    show(f"  executions at the service: {counted}")
    stranger = dict(HEADERS, **{"X-Cicadaplank-Client": "nobody"})
    document = {"model": MODEL, "prompt": "x"}
    status, found, body = system.send(
        "norte-entry-1", "POST", "/v1/completions", document, stranger
    )
    verdict = found.get("X-Cicadaplank-Verdict")
    show(f"refused request: {status=} {verdict=} body={body.decode()}")
    return counted


def kill_in_the_middle(system, victim):
    """Kill an agent between requests and count the answered ones."""
    answered = 0
    for number in range(30):
        if number == 10:
            system.processes[victim].kill()
            show(f"killed {victim}")
        entry = f"{REGIONS[number % 3]}-entry-1"
        status, verdict, _ = complete(system, entry, f"Question {number}", True)
        answered += (status, verdict) == (200, "ran")
    show(f"requests around the kill: 30 sent, {answered} answered")
    return answered


def show_burn(system):
    """Print the report on service-level burn."""
    settings, history = system.path("norte-entry-1.json"), system.path("history")
    arguments = ["burn", "--settings", settings, "--history", history]
    _, output, _ = system.command(*arguments, "--plot", system.path("burn.svg"))
    show(output.strip())


def main():
    """Run the demo.

    :returns: exit code.
    """
    began_s = time.monotonic()
    with deployment.Deployment() as system:
        names = start(system)
        show(f"started {len(system.processes)} processes")
        holders = [name for name, _, _ in agents()]
        digest = publish(system, "v1", 1)
        show(f"published {MODEL} v1 manifest={digest}")
        show(accept(system, digest, "v1", holders).strip())
        for name in names:
            show(f"  {name}: table_version={system.status(name)['table_version']}")
        elapsed_s = await_replicas(system, holders, digest)
        for name in holders:
            row = system.status(name)["weights"]["rows"][MODEL]
            show(f"  {name}: {row['state']} manifest={row['serving']}")
        sent = system.counters("origins")["bytes_sent"]
        show(f"replicas={len(holders)} after {elapsed_s:.2f} s")
        show(f"bytes from the origin={sent} ({sent / WEIGHT_BYTES:.2f} copies)")
        executions = show_requests(system)
        answered = kill_in_the_middle(system, holders[-1])
        show_burn(system)
        show(f"elapsed {time.monotonic() - began_s:.1f} s")
        errors = [
            line
            for process in system.processes.values()
            for line in process.lines
            if "event=internal_error" in line
        ]
        show(f"internal errors: {len(errors)}")
    return 0 if (answered, executions, errors) == (30, 1, []) else 1


if __name__ == "__main__":
    sys.exit(main())
