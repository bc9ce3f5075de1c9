"""Runs the formatter check, the linter and every behave scenario.

Each scenario counts as one test, and so do the formatter check and the linter. A
scenario that ``KNOWN-RED.txt`` names is expected to fail: it is printed and left out
of both counts. An entry that passes again, or that names no scenario, fails the run.
"""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Lines of an error that are printed; a failure that shows once has to be traceable.
ERROR_LINES = 12


def known_red_names():
    """Return the scenario names listed in ``KNOWN-RED.txt``.

    An entry starts with a line ``test: NAME``.

    :returns: the names, in file order.
    """
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line[5:].strip() for line in lines if line.startswith("test:")]


def run_check(name, *command):
    """Run one check command and print its name when it fails.

    :param name: name for the report.
    :param command: program and arguments.
    :returns: True when the command exits 0.
    """
    done = subprocess.run([sys.executable, "-m", *command], cwd=ROOT)
    if done.returncode:
        print(f"FAILED {name}")
    return done.returncode == 0


def scenario_results(report):
    """Read the outcome of each scenario from behave's JSON report.

    :param report: path of the JSON file.
    :returns: list of ``(name, status, error)``; the error is the last lines of the
        message of the step that failed, empty for a pass.
    """
    results = []
    for feature in json.loads(report.read_text() or "[]"):
        for element in feature.get("elements", ()):
            if element["type"] == "scenario":
                error = _error(element.get("steps", ()))
                name = element["name"].strip()
                results.append((name, element["status"], error))
    return results


def _error(steps):
    for step in steps:
        lines = step.get("result", {}).get("error_message", ())
        if lines:
            lines = lines.splitlines() if isinstance(lines, str) else lines
            return "\n".join(f"    {line}" for line in lines[-ERROR_LINES:])
    return ""


def run_behave(extra):
    """Run the scenarios.

    :param extra: further arguments for behave.
    :returns: list of ``(name, status, error)``; empty when behave could not start.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--format", "json"]
        command += ["--outfile", str(report), "--format", "progress"]
        command += ["--no-summary", *extra]
        subprocess.run(command, cwd=ROOT)
        if not report.exists():
            return []
        return scenario_results(report)


def main():
    """Run all checks; the last line printed is ``N passed, N failed``.

    :returns: exit code, 0 when nothing failed.
    """
    extra = sys.argv[1:]
    outcomes = [
        run_check("formatter check", "ruff", "format", "--check", "."),
        run_check("linter", "ruff", "check", "."),
    ]
    results = run_behave(extra)
    outcomes.append(bool(results))
    red = known_red_names()
    statuses = {name: status for name, status, _ in results}
    for name in red:
        status = statuses.get(name)
        if status == "failed":
            print(f"KNOWN RED {name}")
        elif not extra or status:
            print(f"FAILED KNOWN-RED.txt entry {name!r}: status is {status}")
            outcomes.append(False)
    for name, status, error in results:
        if name in red:
            continue
        outcomes.append(status == "passed")
        if status != "passed":
            print(f"FAILED {name}: {status}\n{error}")
    failed = outcomes.count(False)
    print(f"{outcomes.count(True)} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
