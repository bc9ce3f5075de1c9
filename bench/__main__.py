"""Runs every measurement, prints a table and writes ``bench/results.json``.

Usage: ``python -m bench [SUBJECT ...]``. With subjects, only their keys are replaced
in the file.
"""

import concurrent.futures
import importlib
import json
import math
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS = ROOT / "bench" / "results.json"
SEED = 20261203
# Decision objects and in-memory messages, each subject on a core of its own; then the
# subject with real processes, alone on the machine.
IN_MEMORY = ("weights", "requests", "routing", "limits", "goodput", "table", "burst")
SUBJECTS = (*IN_MEMORY, "processes")
# Goals of docs/design.md, section 1.7: key to (comparison, bound).
GOALS = {
    "weights.time_over_bound_N16": ("<=", 1.25),
    "weights.time_over_bound_N64": ("<=", 1.25),
    "weights.time_over_bound_N256": ("<=", 1.25),
    "weights.origin_copies_N64": ("<=", 1.1),
    "weights.crossings_per_chunk": ("<=", 1.1),
    "weights.time_over_bound_N64_faulty": ("<=", 1.6),
    "weights.request_latency_ratio": ("<=", 1.2),
    "requests.lost": ("<=", 0),
    "requests.crossed": ("<=", 0),
    "requests.not_run_but_ran": ("<=", 0),
    "requests.executed_twice": ("<=", 0),
    "requests.goodput_2x_share": (">=", 0.95),
    "requests.goodput_4x_share": (">=", 0.95),
    "routing.prefix_hit_gain": (">=", 2),
    "routing.p95_ratio": ("<=", 1),
    "retries.amplification": ("<=", 1.1),
    "limits.overshoot_share": ("<=", 0.05),
    "limits.unused_share": ("<=", 0.05),
    "table.in_force_s_p99": ("<=", 3),
    "table.in_force_s_p99_330": ("<=", 3),
    "table.reverts": ("<=", 0),
    "table.lost_acceptances": ("<=", 0),
    "table.store_reads_per_s_330": ("<=", 200),
    "table.store_writes_per_s_330": ("<=", 30),
    "leave.new_work_after_s": ("<=", 3),
    "leave.new_work_after_s_store_down": ("<=", 3),
    "control.bytes_per_s_330": ("<=", 4096),
    "control.core_share": ("<=", 0.017),
    "control.rss_mb": ("<=", 256),
}


def commit():
    """Return the number of the measured commit as an integer, 0 when unknown."""
    done = subprocess.run(
        ["git", "rev-parse", "--short=12", "HEAD"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    return int(done.stdout.strip() or "0", 16)


def verdict(key, value):
    """Return ``met``, ``missed`` or empty for a key without a goal."""
    if key not in GOALS:
        return ""
    comparison, bound = GOALS[key]
    met = value <= bound if comparison == "<=" else value >= bound
    return f"{'met' if met else 'missed'} ({comparison} {bound})"


def measure(subject):
    """Run one measurement.

    :param subject: module below ``bench``.
    :returns: dict from key to number.
    """
    began_s = time.monotonic()
    values = importlib.import_module(f"bench.{subject}").run(SEED)
    for key, value in values.items():
        if not isinstance(value, (int, float)) or not math.isfinite(value):
            raise ValueError(f"{key} is {value!r}, not a finite number")
    elapsed_s = time.monotonic() - began_s
    print(f"{subject}: {len(values)} figures in {elapsed_s:.1f} s", flush=True)
    return values


def main(subjects):
    """Measure, print and write.

    :param subjects: names; empty for all.
    :returns: exit code.
    """
    found = {}
    if subjects and RESULTS.exists():
        found = json.loads(RESULTS.read_text())
    chosen = [each for each in SUBJECTS if not subjects or each in subjects]
    unknown = sorted(set(subjects) - set(SUBJECTS))
    if unknown:
        print(f"unknown subject {unknown[0]}; known are {', '.join(SUBJECTS)}")
        return 2
    parallel = [each for each in chosen if each in IN_MEMORY]
    with concurrent.futures.ProcessPoolExecutor() as executor:
        for values in executor.map(measure, parallel):
            found.update(values)
    for subject in chosen[len(parallel) :]:
        found.update(measure(subject))
    found["seed"] = SEED
    # The keys map to numbers only, so the commit is its hexadecimal name as a number.
    found["commit"] = commit()
    for key in sorted(found):
        value = found[key]
        print(f"{key:48} {value:>14.6g}  {verdict(key, value)}")
    RESULTS.write_text(json.dumps(found, indent=1, sort_keys=True) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
