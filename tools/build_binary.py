"""Builds the one file that ships, a shiv program, and checks it.

The program runs in the interpreter's own process and unpacks itself once into the
folder that ``SHIV_ROOT`` names, which may be in a memory file system.
"""

import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "cicadaplank"
# No service listens on this port; an entry process starts without the platform.
ABSENT_URL = "http://127.0.0.1:9"


def build():
    """Build the program from the pinned requirements."""
    BINARY.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        site = pathlib.Path(folder) / "site"
        pip = [sys.executable, "-m", "pip", "install", "--quiet"]
        pip += ["--disable-pip-version-check", "--target", str(site)]
        subprocess.run(
            [*pip, "--requirement", str(ROOT / "requirements.txt")], check=True
        )
        # Copied, not installed: the package needs no build step.
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / "cicadaplank", site / "cicadaplank", ignore=ignored)
        command = [sys.executable, "-m", "shiv.cli", "--site-packages", str(site)]
        command += ["--compressed", "--python", "/usr/bin/env python3"]
        command += ["--entry-point", "cicadaplank.cli.main:main"]
        command += ["--output-file", str(BINARY)]
        subprocess.run(command, check=True)


def timed_version(environment):
    """Run ``cicadaplank version`` and return the elapsed seconds."""
    began_s = time.monotonic()
    command = [sys.executable, str(BINARY), "version"]
    subprocess.run(command, check=True, env=environment)
    return time.monotonic() - began_s


def entry_settings(folder):
    """Write settings of an entry process without a platform and return their path."""
    urls = ("table_url", "instances_url", "objects_url", "origin_url")
    document = {
        "name": "check-entry-1",
        "role": "entry",
        "region": "norte",
        "data_centre": "norte-1",
        "listen": {"host": "127.0.0.1", "peer_port": 0, "http_port": 0},
        "platform": {**dict.fromkeys(urls, ABSENT_URL), "origin_region": "norte"},
        "drain_limit_s": 1,
    }
    path = pathlib.Path(folder) / "entry.json"
    path.write_text(json.dumps(document))
    return path


def count_children(folder, environment):
    """Run an entry process, count its child processes and stop it.

    :returns: ``(children, exit code)``.
    """
    command = [sys.executable, str(BINARY), "entry", str(entry_settings(folder))]
    process = subprocess.Popen(
        command, env=environment, stderr=subprocess.PIPE, text=True
    )
    for line in process.stderr:
        if "event=started" in line:
            break
    tasks = pathlib.Path(f"/proc/{process.pid}/task").glob("*/children")
    children = sum(len(path.read_text().split()) for path in tasks)
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=30)
    return children, process.returncode


def main():
    """Build and print size and start times.

    :returns: exit code.
    """
    build()
    with tempfile.TemporaryDirectory() as folder:
        environment = dict(os.environ, SHIV_ROOT=folder)
        for name in ("PYTHONPATH", "PYTHONDONTWRITEBYTECODE"):
            environment.pop(name, None)
        first_s = timed_version(environment)
        again_s = timed_version(environment)
        children, exit_code = count_children(folder, environment)
    size_mb = BINARY.stat().st_size / 1e6
    print(f"{BINARY.relative_to(ROOT)}: {size_mb:.1f} MB")
    print(f"first start {first_s:.2f} s, next start {again_s:.2f} s")
    print(f"child processes {children}, exit code after SIGTERM {exit_code}")
    return 0 if children == 0 and exit_code == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
