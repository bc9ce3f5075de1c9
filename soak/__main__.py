"""Plays seeds: ``python -m soak --seeds 1-50``; exits with 1 when one fails.

Each line names the seed, so that ``--seeds N`` plays it again.
"""

import json
import pathlib
import sys
import time

import fire

from soak import fleet, plan

# Seeds that failed once, with the cause.
REGRESSIONS = pathlib.Path(__file__).with_name("regressions.json")

# Arguments of :func:`soak.fleet.play` for other seeds: faults, planned work and
# silences of servers without faults, and both.
FAULTS = {"has_extras": True, "has_words": True, "has_incidents": True}
PLANNED_ONLY = {"has_planned": True, "has_faults": False}
ALL_EVENTS = {**FAULTS, "has_planned": True}


def numbers(text):
    """Return the seeds of a text such as ``1-50`` or ``3,7``."""
    found = []
    for part in str(text).strip("()").split(","):
        first, _, last = part.strip().partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def regressions():
    """Return the arguments of :func:`soak.fleet.play` for each seed that failed once.

    Later modes and additional events would change what such a seed plays.

    :returns: dict from seed to a dict with ``modes``, ``has_extras``,
        ``has_words``, ``has_incidents``, ``has_planned`` and ``has_faults``.
    """
    entries = json.loads(REGRESSIONS.read_text())
    return {
        entry["seed"]: {
            "has_planned": entry.get("planned", False),
            "has_faults": entry.get("faults", True),
            "modes": plan.MODES[: entry["modes"]],
            "has_extras": entry.get("extras", False),
            "has_words": entry.get("words", False),
            "has_incidents": entry.get("incidents", False),
        }
        for entry in entries
    }


def main(seeds="regressions", seconds=8.0, faults=12):
    """Play seeds.

    :param seeds: ``1-50``, ``3,7``, ``regressions``, or ``fresh-N`` for N new ones.
    :param seconds: time in which faults begin.
    :param faults: faults of each seed; with 0 of them, planned work is played alone.
    """
    if seeds == "regressions":
        chosen = list(regressions())
    elif str(seeds).startswith("fresh-"):
        first = int(time.time())
        chosen = range(first, first + int(str(seeds).partition("-")[2]))
    else:
        chosen = numbers(seeds)
    arguments = regressions() if seeds == "regressions" else {}
    others = ALL_EVENTS if faults else PLANNED_ONLY
    failed = 0
    for seed in chosen:
        outcome = fleet.play(seed, seconds, faults, **arguments.get(seed, others))
        found = outcome.violations
        failed += bool(found)
        words = ", ".join(
            f"{n} answers {word}" for word, n in outcome.words.items()
        ) + "".join(f", {n} {name}" for name, n in outcome.situations.items())
        print(
            f"seed {seed}: {outcome.requests} requests, {words}, "
            f"{len(found)} violations",
            flush=True,
        )
        for text in found[:10]:
            print(f"  {text}", flush=True)
    print(f"{len(chosen) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
