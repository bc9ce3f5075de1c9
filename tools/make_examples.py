"""Writes the example deployments of both users under ``examples/``.

The files are committed; run this again after a change of the settings.
"""

import dataclasses
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent / "examples"
PEER_PORT = 7400
HTTP_PORT = 8400
STORE_PORT = 9400
# 14 Mbit/s, the rate between two regions of both users.
REGION_LINK_BYTES_PER_S = 1_750_000


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Sizes of one user's deployment.

    :param name: folder under ``examples/``.
    :param subnet: first two octets of every address.
    :param regions: region names; the first one holds the stores.
    :param models: model servers.
    :param services: maps the row of a plain service to its number of servers.
    :param entries: entry instances.
    :param prefer: ``time`` or ``origin_bytes``.
    :param once_calls: ``(service, method, path prefix, comment)``.
    :param clients: ``(client, requests a second)``.
    :param model: row name of the model.
    """

    name: str
    subnet: str
    regions: tuple
    models: int
    services: dict
    entries: int
    prefer: str
    once_calls: tuple
    clients: tuple
    model: str


ALCORNOQUE = Deployment(
    name="alcornoque",
    subnet="10.21",
    regions=("norte", "litoral", "este"),
    models=7,
    services={"ledger": 3, "portal": 1},
    entries=6,
    prefer="time",
    once_calls=(
        ("ledger", "POST", "/signatures", "A recorded signature runs at most once."),
        ("ledger", "POST", "/advances", "A payment advance runs at most once."),
    ),
    clients=(
        ("estancia-las-palmas", 40),
        ("exportadora-rio-negro", 40),
        ("cuadrilla-tacuarembo", 12),
        ("cuadrilla-rivera", 12),
        ("cuadrilla-melo", 8),
        ("estancia-el-ceibo", 8),
        ("estancia-la-calandria", 8),
        ("agente-montevideo", 8),
        ("agente-fray-bentos", 4),
        ("oficina-central", 4),
    ),
    model="harvest-contracts",
)
JOUSIPAJA = Deployment(
    name="jousipaja",
    subnet="10.22",
    regions=("fi-south", "pl-north", "de-north"),
    models=8,
    services={"orders": 3, "stock": 1},
    entries=7,
    prefer="origin_bytes",
    once_calls=(("orders", "POST", "/orders", "A spring order runs at most once."),),
    clients=(
        ("sales-tampere", 30),
        ("sales-gdansk", 30),
        ("buyer-bremen-1", 10),
        ("buyer-bremen-2", 10),
        ("buyer-gdansk-1", 8),
        ("buyer-gdansk-2", 8),
        ("buyer-tampere-1", 8),
        ("buyer-tampere-2", 8),
        ("buyer-turku", 4),
        ("buyer-lodz", 4),
    ),
    model="spring-quotes",
)
SERVER_WORDS = {
    "ledger": "ledger",
    "portal": "portal",
    "orders": "order",
    "stock": "stock",
}
FIRST_OCTETS = {
    "entry": 20,
    "model": 40,
    "ledger": 60,
    "order": 60,
    "portal": 80,
    "stock": 80,
}


def platform_urls(deployment):
    """Return the platform section; every store is in the first region."""
    host = f"{deployment.subnet}.0.10"
    return {
        "comment": "The stores are located in the first region.",
        "table_url": f"http://{host}:{STORE_PORT}",
        "instances_url": f"http://{host}:{STORE_PORT}",
        "objects_url": f"http://{host}:{STORE_PORT + 1}",
        "origin_url": f"http://{host}:{STORE_PORT + 2}",
        "origin_region": deployment.regions[0],
    }


def process(deployment, role, word, number, comment):
    """Return the settings that every process has."""
    region_index = number % len(deployment.regions)
    region = deployment.regions[region_index]
    octet = FIRST_OCTETS[word] + number
    return {
        "comment": comment,
        "name": f"{region}-{word}-{number + 1}",
        "role": role,
        "region": region,
        "data_centre": f"{region}-1",
        "listen": {
            "host": f"{deployment.subnet}.{region_index}.{octet}",
            "peer_port": PEER_PORT,
            "http_port": HTTP_PORT,
        },
        "platform": platform_urls(deployment),
    }


def link():
    """Return the link section."""
    return {
        "comment": "14 Mbit/s between regions, shared; a part stays free for requests.",
        "bytes_per_s": REGION_LINK_BYTES_PER_S,
        "requests_share": 0.3,
    }


def entry_settings(deployment, number, peers):
    """Return the settings of one entry instance."""
    comment = "Entry instance behind the platform's load balancer."
    document = process(deployment, "entry", "entry", number, comment)
    document["objectives"] = {
        "comment": "Share of good requests, and of requests within each threshold.",
        "availability": {"target": 0.999},
        "first_token": {"target": 0.95, "threshold_s": 0.88},
        "between_tokens": {"target": 0.95, "threshold_s": 0.029},
    }
    document["once_calls"] = [
        {"comment": why, "service": service, "method": method, "path_prefix": path}
        for service, method, path, why in deployment.once_calls
    ]
    document["peers"] = peers
    document["drain_limit_s"] = 30
    return document


def agent_settings(deployment, word, number, row, peers):
    """Return the settings of one agent."""
    kind = "service" if row else "engine"
    comment = f"Agent in the slot beside one {word} server."
    document = process(deployment, "agent", word, number, comment)
    endpoint = {"kind": kind, "url": "http://127.0.0.1:8000", "capacity": 16}
    if row:
        endpoint["row"] = row
    else:
        # Every second engine stands for those that ignore fencing tokens.
        endpoint["checks_fencing"] = number % 2 == 0
        endpoint["memory_bytes"] = 48 * 1024**3
    document["endpoint"] = endpoint
    document["link"] = link()
    document["peers"] = peers
    return document


def peer_list(deployment):
    """Return the entry instances, known to every process without the platform."""
    peers = []
    for number in range(deployment.entries):
        document = process(deployment, "entry", "entry", number, "")
        peers.append(
            {
                "name": document["name"],
                "role": "entry",
                "host": document["listen"]["host"],
                "port": PEER_PORT,
                "region": document["region"],
                "data_centre": document["data_centre"],
            }
        )
    return peers


def table_document(deployment, names):
    """Return the declarations file."""
    limits = [
        {"client": client, "requests_per_s": rate}
        for client, rate in deployment.clients
    ]
    rows = [
        {
            "name": deployment.model,
            "kind": "model",
            "version": "2026-12-01",
            "manifest_digest": "0" * 64,
            "size_bytes": 16 * 1024**3,
            "holders": names["model"],
            "limits": limits,
            "prefer": deployment.prefer,
            "priority": 2,
        }
    ]
    for service in deployment.services:
        rows.append(
            {
                "name": service,
                "kind": "service",
                "version": "1",
                "holders": names[service],
                "limits": limits,
                "priority": 1,
            }
        )
    half = len(names["model"]) // 2
    halves = {"first": names["model"][:half], "second": names["model"][half:]}
    return {"rows": rows, "halves": halves}


def write(path, document):
    """Write one JSON file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=2, ensure_ascii=False) + "\n")


def write_deployment(deployment):
    """Write every file of one deployment."""
    folder = ROOT / deployment.name
    peers = peer_list(deployment)
    documents = [
        entry_settings(deployment, number, peers)
        for number in range(deployment.entries)
    ]
    names = {"model": []}
    for number in range(deployment.models):
        document = agent_settings(deployment, "model", number, "", peers)
        names["model"].append(document["name"])
        documents.append(document)
    for service, count in deployment.services.items():
        word = SERVER_WORDS[service]
        names[service] = []
        for number in range(count):
            document = agent_settings(deployment, word, number, service, peers)
            names[service].append(document["name"])
            documents.append(document)
    for document in documents:
        write(folder / "settings" / f"{document['name']}.json", document)
    write(folder / "table.json", table_document(deployment, names))


if __name__ == "__main__":
    for each in (ALCORNOQUE, JOUSIPAJA):
        write_deployment(each)
