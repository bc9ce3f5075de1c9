"""Starts the stand-ins and the system's processes on loopback.

Used by the demo, by the few scenarios with real processes and by measurements.
"""

import json
import os
import pathlib
import queue
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
START_LIMIT_S = 20.0
STOP_LIMIT_S = 10.0
POLL_S = 0.02
STANDIN_LINE = re.compile(r"standin=(\S+) port=(\d+)")
STARTED_LINE = re.compile(r"event=started .*peer_port=(\d+) http_port=(\d+)")


class Process:
    """A started process whose output is read line by line.

    :param name: name for messages.
    :param command: arguments of the Python interpreter.
    """

    def __init__(self, name, command):
        self.name = name
        self.lines = []
        self._fresh = queue.Queue()
        environment = dict(os.environ, PYTHONPATH=str(ROOT), PYTHONUNBUFFERED="1")
        self._process = subprocess.Popen(
            [sys.executable, *command],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        threading.Thread(target=self._read, daemon=True).start()

    @property
    def pid(self):
        """Process identifier."""
        return self._process.pid

    @property
    def exit_code(self):
        """Exit code, None while the process runs."""
        return self._process.poll()

    def _read(self):
        for line in self._process.stdout:
            self.lines.append(line.rstrip("\n"))
            self._fresh.put(line)

    def wait_for(self, pattern, limit_s=START_LIMIT_S):
        """Wait for a line of output.

        :param pattern: compiled regular expression.
        :param limit_s: longest wait.
        :returns: the match.
        :raises TimeoutError: when no line matches in time.
        """
        deadline_s = time.monotonic() + limit_s
        for line in list(self.lines):
            match = pattern.search(line)
            if match:
                return match
        while time.monotonic() < deadline_s:
            try:
                match = pattern.search(self._fresh.get(timeout=POLL_S))
            except queue.Empty:
                if self.exit_code is not None and self._fresh.empty():
                    break
                continue
            if match:
                return match
        shown = "\n".join(self.lines[-20:])
        raise TimeoutError(f"{self.name}: no line matches {pattern.pattern}\n{shown}")

    def signal(self, number):
        """Send a signal."""
        if self.exit_code is None:
            self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self._process.wait()

    def wait_stopped(self, limit_s=STOP_LIMIT_S):
        """Wait for the end of the process.

        :returns: exit code.
        """
        return self._process.wait(timeout=limit_s)


class Deployment:
    """A platform of stand-ins and the processes of the system.

    :param chunk_bytes: chunk size of published weights.
    """

    def __init__(self):
        self.processes = {}
        self.ports = {}
        self.instances = {}
        self._folder = tempfile.TemporaryDirectory()

    def __enter__(self):
        return self

    def __exit__(self, *details):
        self.stop_all()

    def path(self, name):
        """Return a path in the deployment's folder."""
        return pathlib.Path(self._folder.name) / name

    # The platform.

    def start_standin(self, module, *arguments):
        """Start one stand-in process.

        :param module: module below ``standins``.
        :param arguments: its arguments.
        """
        process = Process(module, ["-m", f"standins.{module}", *arguments])
        self.processes[f"standin-{module}-{len(self.processes)}"] = process
        process.wait_for(STANDIN_LINE)
        return process

    def start_platform(self, engines=(), services=(), engine_options=(), origin=()):
        """Start table service, list of instances, object store, origin and back ends.

        :param engines: engine names, all in one process.
        :param services: service names, all in one process.
        :param engine_options: further arguments of the engines.
        :param origin: further arguments of the origin.
        """
        started = [
            ("tables", ["--port=0"]),
            ("instances", ["--port=0"]),
            ("objects", ["--port=0"]),
            ("origins", ["--port=0", *origin]),
        ]
        if engines:
            names = ",".join(f"{name}:0" for name in engines)
            started.append(("engines", [f"--engines={names}", *engine_options]))
        if services:
            names = ",".join(f"{name}:0" for name in services)
            started.append(("services", [f"--services={names}"]))
        launched = [
            (module, Process(module, ["-m", f"standins.{module}", *arguments]))
            for module, arguments in started
        ]
        wanted = {"tables", "instances", "objects", "origins", *engines, *services}
        for module, process in launched:
            self.processes[f"standin-{module}"] = process
        deadline_s = time.monotonic() + START_LIMIT_S
        while wanted - self.ports.keys():
            for _, process in launched:
                for line in list(process.lines):
                    match = STANDIN_LINE.search(line)
                    if match:
                        self.ports[match.group(1)] = int(match.group(2))
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"not listening: {wanted - self.ports.keys()}")
            time.sleep(POLL_S)

    def url(self, name):
        """Return the base URL of a stand-in or process."""
        return f"http://{HOST}:{self.ports[name]}"

    def set_faults(self, name, *faults):
        """Replace the faults of a stand-in."""
        return self.call(name, "POST", "/faults", {"faults": list(faults)})

    def counters(self, name):
        """Return the counters of a stand-in."""
        return self.call(name, "GET", "/counters")

    # Processes of the system.

    def settings(self, name, role, region, data_centre, **sections):
        """Write a settings file.

        :returns: its path.
        """
        document = {
            "name": name,
            "role": role,
            "region": region,
            "data_centre": data_centre,
            "listen": {"host": HOST, "peer_port": 0, "http_port": 0},
            "platform": {
                "table_url": self.url("tables"),
                "instances_url": self.url("instances"),
                "objects_url": self.url("objects"),
                "origin_url": self.url("origins"),
                "origin_region": sections.pop("origin_region", "norte"),
            },
            **sections,
        }
        path = self.path(f"{name}.json")
        path.write_text(json.dumps(document))
        return path

    def launch(self, name, role, region="norte", data_centre="", **sections):
        """Start a process without waiting for it; see :meth:`await_started`."""
        data_centre = data_centre or f"{region}-1"
        path = self.settings(name, role, region, data_centre, **sections)
        command = ["-m", "cicadaplank", role, str(path)]
        self.processes[name] = Process(name, command)
        self.instances[name] = {
            "role": role,
            "host": HOST,
            "port": 0,
            "region": region,
            "data_centre": data_centre,
            "half": "",
        }

    def await_started(self, *names):
        """Wait until processes listen, and put them in the list of instances."""
        for name in names:
            match = self.processes[name].wait_for(STARTED_LINE)
            self.instances[name]["port"] = int(match.group(1))
            self.ports[name] = int(match.group(2))
            self.list_instance(name)

    def list_instance(self, name, state="live"):
        """Put a process in the platform's list of instances."""
        document = dict(self.instances[name], state=state)
        self.call("instances", "PUT", f"/instances/{name}", document)

    def status(self, name):
        """Return ``/status`` of a process."""
        return self.call(name, "GET", "/status")

    def command(self, *arguments, check=True):
        """Run one command of the product.

        :returns: ``(exit code, standard output, standard error)``.
        """
        environment = dict(os.environ, PYTHONPATH=str(ROOT))
        done = subprocess.run(
            [sys.executable, "-m", "cicadaplank", *map(str, arguments)],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check and done.returncode:
            raise RuntimeError(f"{arguments}: {done.stdout}{done.stderr}")
        return done.returncode, done.stdout, done.stderr

    def call(self, name, method, path, document=None, headers=None, limit_s=10.0):
        """Send a request to a stand-in or process and return its JSON answer."""
        status, _, body = self.send(name, method, path, document, headers, limit_s)
        if status != 200:
            raise RuntimeError(f"{name} {path}: status {status}: {body[:300]}")
        return json.loads(body)

    def send(self, name, method, path, document=None, headers=None, limit_s=10.0):
        """Send a request.

        :returns: ``(status, headers, body)``.
        """
        data = None if document is None else json.dumps(document).encode()
        return self.send_bytes(name, method, path, data, headers, limit_s)

    def send_bytes(self, name, method, path, data, headers=None, limit_s=10.0):
        """Send a request with this body; see :meth:`send`."""
        request = urllib.request.Request(
            self.url(name) + path, data=data, method=method, headers=headers or {}
        )
        try:
            with urllib.request.urlopen(request, timeout=limit_s) as response:
                return response.status, response.headers, response.read()
        except urllib.error.HTTPError as error:
            return error.code, error.headers, error.read()

    def wait_until(self, what, condition, limit_s=START_LIMIT_S):
        """Wait until a condition holds.

        :param what: text for the error.
        :param condition: callable.
        :returns: its first true value.
        :raises TimeoutError: when it does not hold in time.
        """
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            try:
                value = condition()
            except (OSError, RuntimeError):
                value = None
            if value:
                return value
            time.sleep(POLL_S)
        raise TimeoutError(f"{what}: not within {limit_s} s")

    def stop_all(self):
        """Kill every process."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.kill()
        self._folder.cleanup()
