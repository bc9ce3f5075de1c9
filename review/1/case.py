"""Staged pieces turn bad, and the machine freezes before the agent orders the load."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

HOST, PREFIX = "jepu9.example", "/lepu270/"
KEY, MODEL, SERVICE = "keykeykeykeykeykey", "daka510000", "huvo11a"
# The site's largest doses: a side machine freezes for 4 s, and 6 in 100 of the pieces
# that lie at a server turn bad.
FREEZE_S = 4.0
ROT_SHARE = 0.06
# "not if it had turned bad there in the last 3 s"
EXCUSED_S = 3.0
# A machine's link of 4.7 Mbit/s.
LINK_BYTES_PER_S = 4.7e6 / 8
# Time in which an agent that has checked its pieces orders a load that is due.
ORDER_WITHIN_S = 0.08
LAST_VERSION = 6


def configuration(origin):
    """Return the configuration."""
    route = {
        "name": "r-1",
        "hostname": HOST,
        "prefix": PREFIX,
        "route_type": "streaming",
        "timeout_ms": 6000,
        "goal_ms": 405,
        "gap_goal_ms": 300,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
    }
    engine = {"slots": 16, "layers": 16, "chunks": 48, "chunk_bytes": 49152}
    engine["models"] = [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}]
    services = [
        {"name": SERVICE, "health_path": "/healthz", "max_conns": 264, "engine": engine}
    ]
    services.append({"name": "kafi81c", "origin": origin, "max_conns": 48})
    return {
        "version": 3,
        "routes": [route],
        "services": services,
        "limits": standins.LIMITS,
        "tenants": [{"name": "bozi300", "api_keys": [KEY], "priority": 1}],
    }


async def ask(record, system, machine, number):
    """Send a streaming request to a machine."""
    attempt = f"{number:016x}"
    headers = [("Host", HOST), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", 6075)]
    headers += [("Authorization", f"Bearer {KEY}"), ("X-Model", MODEL)]
    headers += [
        ("X-Token-Counts", "1460,80"),
        ("X-Prefix-Hash", f"5c1e:40,{attempt}:9"),
    ]
    path = PREFIX + "2f"
    answer = await standins.send(
        system.front(machine), "POST", path, headers, b"draft", 7.0
    )
    record.say(f"{machine.name} answers {attempt}: {answer.status}")


async def wait_until(is_true, within_s, interval_s=0.005):
    """Wait until something is true; return whether it came true in time."""
    until_s = time.monotonic() + within_s
    while not is_true():
        if time.monotonic() > until_s:
            return False
        await asyncio.sleep(interval_s)
    return True


async def play(record, at_end):
    """Play the case; return whether the rule held."""
    rng = random.Random(int(os.environ.get("SEED", "1")))
    zones = list(standins.ZONES)
    weights = standins.Weights(MODEL)
    store = standins.Store()
    await store.server.start("127.20.0.1")
    origin = standins.Origin(weights, LINK_BYTES_PER_S)
    await origin.server.start("127.20.0.2")
    await store.put("op", "config", configuration(origin.server.address))
    await store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    entries = [
        standins.Machine(f"edge-{zone}-1", f"127.11.{number + 1}.1", zone)
        for number, zone in enumerate(zones)
    ]
    sides = [
        standins.Machine(
            f"side-{zones[i % 3]}-{i + 1}", f"127.12.0.{i + 1}", zones[i % 3]
        )
        for i in range(7)
    ]
    engines = {}
    for number, side in enumerate(sides):
        engine = standins.ModelServer(
            record, f"i-pluma{number}", SERVICE, side.zone, weights
        )
        await engine.server.start(side.host)
        await store.put("servers", engine.name, engine.entry)
        engines[side.name] = engine
    tasks = [asyncio.create_task(each.beat(store)) for each in engines.values()]
    tasks += [asyncio.create_task(each.lapse(store)) for each in engines.values()]
    hosts = [machine.host for machine in entries + sides]
    system = standins.System(record, store.server.address, hosts)
    at_end.append(system.stop)
    system.start_entries(entries)
    for side in sides:
        address = engines[side.name].server.address
        system.start_agent(side, address, SERVICE)
    await system.wait_ready(entries)
    await asyncio.sleep(3.0)

    def checked(version):
        """Return the machines whose agent has checked every piece and not ordered."""
        return [
            side
            for side in sides
            if engines[side.name].is_staged(version)
            and engines[side.name].version < version
            and not engines[side.name].is_loading
        ]

    is_frozen = False
    for version in range(2, LAST_VERSION + 1):
        origin.newest = version
        for engine in engines.values():
            engine.read_back.clear()
        await store.put("op", f"version/{MODEL}", {"model": MODEL, "version": version})
        record.say(f"the operator names version {version}")
        victim = None
        until_s = time.monotonic() + 14.0
        while victim is None and time.monotonic() < until_s:
            if await wait_until(lambda: checked(version), 0.2):  # noqa: B023
                await asyncio.sleep(ORDER_WITHIN_S)
                victim = next(iter(checked(version)), None)
            elif all(each.version == version for each in engines.values()):
                break
        if victim is not None:
            record.say(f"the agent {victim.name} has checked every piece at its server")
            engine = engines[victim.name]
            if standins.has_trouble():
                engine.rot(ROT_SHARE, rng)
                await asyncio.sleep(0.02)
                system.signal(victim, signal.SIGSTOP)
                engine.awake.clear()
            await asyncio.sleep(FREEZE_S)
            if standins.has_trouble():
                engine.awake.set()
                system.signal(victim, signal.SIGCONT)
            is_frozen = True
        loaded = await wait_until(
            lambda: all(each.version == version for each in engines.values()),  # noqa: B023
            14.0,
            0.05,
        )
        record.say(f"all servers hold version {version}: {loaded}")
        if is_frozen:
            break
    if not is_frozen:
        raise standins.CannotRunError("no agent waited between check and order")
    await asyncio.sleep(2.0)
    await asyncio.gather(
        *(ask(record, system, entries[i % 3], i + 1) for i in range(60))
    )
    broken = False
    for side in sides:
        for attempt, version, spoilt in engines[side.name].tokens:
            for number, bad_s in spoilt.items():
                if bad_s is None or bad_s > EXCUSED_S:
                    broken = True
                    age = "was never of it" if bad_s is None else f"{bad_s:.2f} s bad"
                    record.say(
                        f"WHOLE: tokens of {attempt} at {engines[side.name].name} made "
                        f"with version {version}, piece {number} {age} when taken"
                    )
    for task in tasks:
        task.cancel()
    return not broken


if __name__ == "__main__":
    standins.play(FOLDER, play)
