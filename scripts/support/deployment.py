"""Starts programs of the project on loopback, on ports that the system chooses, and ends those again and nothing else."""

import hashlib
import json
import signal
import subprocess
import threading
import time
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
BIN = ROOT / "build" / "bin"
START_TIMEOUT_SECONDS = 30
SETTINGS_PEERS = 2
STOP_TIMEOUT_SECONDS = 15


class Process:
    """A running program and the addresses it said it listens on."""

    def __init__(self, folder, name, role, arguments):
        self.name = name
        self.role = role
        self.addresses = {}
        self._changed = threading.Condition()
        self._has_ended = False
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("w") as log:
            # Its own session: an interrupt from the terminal reaches this script only, which ends the programs in order.
            self._process = subprocess.Popen(
                [str(argument) for argument in arguments], stdout=subprocess.PIPE, stderr=log, text=True, start_new_session=True)
        threading.Thread(target=self._read, daemon=True).start()

    @property
    def pid(self):
        return self._process.pid

    def address(self, kind):
        """Waits until the program listens and returns for instance "127.0.0.1:8080" for "http"."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        with self._changed:
            while kind not in self.addresses:
                left = deadline - time.monotonic()
                if self._has_ended or left <= 0 or not self._changed.wait(left):
                    raise RuntimeError(f"{self.name} does not listen; see {self.log_path}:\n{self.log_path.read_text()[-2000:]}")
            return self.addresses[kind]

    def is_running(self):
        return self._process.poll() is None

    def begin_stop(self):
        """Asks the program to end."""
        if self.is_running():
            self._process.send_signal(signal.SIGTERM)

    def finish_stop(self):
        """Waits until the program has ended, and makes it end if it does not."""
        try:
            self._process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def describe(self):
        return {"name": self.name, "role": self.role, "pid": self.pid, "addresses": dict(self.addresses)}

    def _read(self):
        for line in self._process.stdout:
            words = line.split()
            if len(words) == 3 and words[0] == "listening":
                with self._changed:
                    self.addresses[words[1]] = words[2]
                    self._changed.notify_all()
        with self._changed:
            self._has_ended = True
            self._changed.notify_all()


class Deployment:
    """Routers, and backend servers with their agents; everything is ended when the block is left."""

    def __init__(self, folder, agent_settings=None):
        self._agent_settings = agent_settings or {}
        self._folder = Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._backends = {}
        self._callers = list_callers("kessick")
        self._platform_url = None
        self.processes = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        # Routers first, so that no request loses its backend server.
        for role in ("router", "agent", "engine", "service", "platform"):
            ending = [process for process in self.processes if process.role == role]
            for process in ending:
                process.begin_stop()
            for process in ending:
                process.finish_stop()

    def start(self, name, role, arguments):
        process = Process(self._folder, name, role, arguments)
        self.processes.append(process)
        return process

    def start_platform(self):
        """Starts the platform's stand-in; agents that are started later use it."""
        self._platform_url = "http://" + self.start("platform", "platform", [BIN / "verbena-standin", "platform"]).address("http")

    def apply_settings(self):
        """Accepts the settings tree, with all backend servers started so far, at the platform."""
        command = [BIN / "verbenactl", "--platform", self._platform_url, "settings", "apply", self._write_tree()]
        result = subprocess.run(command, check=False, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        if result.returncode != 0:
            raise RuntimeError(f"The settings were not accepted:\n{result.stdout}")

    def start_engine(self, name, *arguments):
        engine = self.start(name, "engine", [BIN / "verbena-standin", "engine", *arguments])
        self._start_agent(name, engine, {"models": ["analyst"]})
        return engine

    def start_service(self, name, *arguments):
        service = self.start(name, "service", [BIN / "verbena-standin", "service", *arguments])
        self._start_agent(name, service, {"service": "register"})
        return service

    def start_router(self, name):
        if self._platform_url:
            peers = [{"name": name, "endpoint": backend["endpoint"]} for name, backend in self._backends.items()]
            source = {"settings_peers": peers[:SETTINGS_PEERS], **self._platform()}
        else:
            source = {"settings_tree_files": [str(self._write_tree())]}
        router = self.start(name, "router", [BIN / "verbena-router", "--settings", self._write(f"{name}.yaml", {"name": name, **source})])
        router.address("http")
        return router

    @property
    def api_key(self):
        """The key of the largest caller."""
        return next(iter(self._callers.values()))

    def urls(self, role):
        return ["http://" + process.address("http") for process in self.processes if process.role == role]

    def wait_until_ready(self):
        """Waits until every router says that it can serve, and knows the caller."""
        for url in self.urls("router"):
            wait_for(url + "/readyz")
            wait_for(url + "/v1/models", {"Authorization": "Bearer " + self.api_key})

    def describe(self):
        return {"api_key": self.api_key, "processes": [process.describe() for process in self.processes]}

    def _platform(self):
        return {"platform_url": self._platform_url} if self._platform_url else {}

    def _start_agent(self, name, server, serves):
        settings = {"name": name, "kind": server.role, "endpoint": "tcp://127.0.0.1:*", "backend_url": "http://" + server.address("http")}
        settings |= self._platform() | self._agent_settings
        agent = self.start("agent-" + name, "agent", [BIN / "verbena-agent", "--settings", self._write(f"agent-{name}.yaml", settings)])
        self._backends[name] = {"endpoint": agent.address("zmq"), **serves}

    def _write_tree(self):
        organisations = {
            organisation: {
                "share": 1,
                "teams": {
                    "main": {
                        "share": 1,
                        "keys": [hashlib.sha256(key.encode()).hexdigest()],
                        "models": ["analyst"],
                        "services": ["register"],
                    }
                },
            }
            for organisation, key in self._callers.items()
        }
        tree = {
            "models": {"analyst": {"weights_version": "1"}},
            "services": {"register": {"non_idempotent_calls": ["append"]}},
            "backend_servers": self._backends,
            "organisations": organisations,
        }
        return self._write("tree.yaml", tree)

    def _write(self, name, settings):
        # JSON is YAML too.
        path = self._folder / name
        path.write_text(json.dumps(settings, indent=2) + "\n")
        return path


def list_callers(workload):
    """Organisation to API key of the callers that verbena-load has."""
    output = subprocess.run([BIN / "verbena-load", "--workload", workload, "--list-callers"], check=True, capture_output=True, text=True).stdout
    return dict(line.split() for line in output.splitlines())


def wait_for(url, fields=None):
    """Waits until a GET with these header fields is answered with success."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while True:
        try:
            with urllib.request.urlopen(urllib.request.Request(url, headers=fields or {}), timeout=5):
                return
        except OSError as problem:
            if time.monotonic() > deadline:
                raise RuntimeError(f"{url} is not ready: {problem}") from problem
            time.sleep(0.05)


def end_on_signals():
    """Turns the usual signals into an exit, so that everything is ended in order."""

    def leave(number, _frame):
        raise SystemExit(128 + number)

    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, leave)
