"""The store comes back from an older copy; a key is then taken away."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

HOST, PREFIX = "hulo84.example", "/boye614/bo77/"
KEPT_KEY, REVOKED_KEY = "keykeptkeykeptkeyk", "keyrevokedkeyrevok"
# "a copy some seconds old", "away for a moment"
COPY_AGE_S = 5.0
AWAY_S = 1.0
# The core is stable, and calm machines are in touch, contact_ms after the disruption.
CONTACT_S = standins.BOUNDS["contact_ms"] / 1000
CONFIG_S = standins.BOUNDS["config_ms"] / 1000
WATCHED_S = 20.0


def configuration(version, keys):
    """Return a configuration with one tenant."""
    route = {
        "name": "r-1",
        "hostname": HOST,
        "prefix": PREFIX,
        "route_type": "idempotent",
        "timeout_ms": 1000,
        "goal_ms": 204,
        "priority": 2,
        "service": "wuno96b",
        "max_attempts": 2,
        "public": False,
    }
    services = [
        {"name": name, "health_path": "/healthz", "max_conns": 96, "protocol": "h1"}
        for name in ("wuno96b", "huvo11a")
    ]
    return {
        "version": version,
        "routes": [route],
        "services": services,
        "limits": standins.LIMITS,
        "tenants": [{"name": "bozi300", "api_keys": keys, "priority": 1}],
    }


class Case:
    """The deployment and its clients."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.sent_s = {}

    async def ask(self, system, machine, key):
        """Send a request with a key to a machine; return its status."""
        self.count += 1
        attempt = f"{self.count:016x}"
        headers = [("Host", HOST), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", 1019)]
        headers.append(("Authorization", f"Bearer {key}"))
        front, path = system.front(machine), PREFIX + "2f"
        self.sent_s[attempt] = self.record.now_s()
        answer = await standins.send(front, "GET", path, headers, b"", 2.0)
        name = "revoked key" if key == REVOKED_KEY else "kept key"
        self.record.say(f"{machine.name} answers {attempt} ({name}): {answer.status}")
        return answer.status


async def play(record, at_end):
    """Play the case; return whether the rule held."""
    zones = list(standins.ZONES)
    machines = [
        standins.Machine(f"edge-{zone}-{i}", f"127.10.{z + 1}.{i}", zone)
        for z, zone in enumerate(zones)
        for i in (1, 2)
    ]
    store = standins.Store()
    await store.server.start("127.20.0.1")
    keys = [KEPT_KEY, REVOKED_KEY]
    await store.put("op", "config", configuration(3, keys))
    servers = [
        standins.PlainServer(record, f"i-libro{i}", "wuno96b", zones[i % 3])
        for i in range(3)
    ]
    servers += [
        standins.PlainServer(record, f"i-pluma{i}", "huvo11a", zones[i % 3])
        for i in range(7)
    ]
    for number, server in enumerate(servers):
        await server.server.start(f"127.30.0.{number + 1}")
        await store.put("servers", server.name, server.entry)

    async def copy():
        while True:
            if not store.is_away:
                store.copy_now()
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(server.beat(store)) for server in servers]
    tasks.append(asyncio.create_task(copy()))
    hosts = [machine.host for machine in machines]
    system = standins.System(record, store.server.address, hosts)
    at_end.append(system.stop)
    system.start_entries(machines)
    await system.wait_ready(machines)
    await asyncio.sleep(COPY_AGE_S + 3.0)
    case = Case(record)
    for machine in machines:
        for key in keys:
            if await case.ask(system, machine, key) != 200:
                raise standins.CannotRunError("a request is not served before")

    if standins.has_trouble():
        record.say(f"the store goes away at version {store.version}")
        store.server.go_away()
        await asyncio.sleep(AWAY_S)
        age_s, lost = store.restore(COPY_AGE_S)
        store.server.come_back()
        record.say(
            f"the store is back, Store-Era {store.era}, with a copy {age_s:.1f} s old: "
            f"version {store.version} instead of {lost}"
        )
    await asyncio.sleep(CONTACT_S + 0.2)
    version = await store.put("op", "config", configuration(4, [KEPT_KEY]))
    acked_s = record.now_s()
    record.say(f"the operator takes a key away: acknowledged as version {version}")

    async def watch(machine):
        await asyncio.sleep(CONFIG_S + 0.05)
        while record.now_s() < acked_s + CONFIG_S + WATCHED_S:
            await case.ask(system, machine, REVOKED_KEY)
            await asyncio.sleep(0.2)

    async with asyncio.TaskGroup() as group:
        for machine in machines:
            group.create_task(watch(machine))
    late = [
        (attempt, case.sent_s[attempt] - acked_s)
        for server in servers
        for attempt in (run.headers["x-attempt-id"] for run in server.runs)
        if case.sent_s[attempt] > acked_s + CONFIG_S
    ]
    for attempt, after_s in sorted(late, key=lambda each: each[1]):
        record.say(
            f"CONFIG: {attempt} ran with the dropped key, sent {after_s:.2f} s after "
            f"the acknowledgement"
        )
    for task in tasks:
        task.cancel()
    return not late


if __name__ == "__main__":
    standins.play(FOLDER, play)
