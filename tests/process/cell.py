"""Runs a cell on loopback: the platform and worker stand-ins, and nine daemons in three regions.

Used by the demo and the process tests. stop() ends every process that the cell started, by process
id, also after a failure.
"""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / os.environ.get("COWSLIPROCK_BUILD", "build")
REGIONS = ("noord", "midden", "zuid")
WORKERS_PER_REGION = 4


class StepFailed(Exception):
    """The result of a step differs from the expected one."""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for entry in sockets:
        entry.bind(("127.0.0.1", 0))
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


def call(address, method, path, body=None, headers=None, timeout=5.0):
    """Makes one HTTP call on a new connection. Returns status, headers and body text."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, body=data, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read().decode("utf-8", "replace")
    finally:
        connection.close()


def call_json(address, method, path, body=None, timeout=5.0):
    status, _, text = call(address, method, path, body, {"Content-Type": "application/json"},
                           timeout)
    return status, json.loads(text) if text else {}


def wait_until(limit_s, what, check):
    """Polls until check() returns a true value, and returns it. Connection errors count as false.
    Raises StepFailed after limit_s seconds."""
    end = time.monotonic() + limit_s
    last = None
    while time.monotonic() < end:
        try:
            last = check()
            if last:
                return last
        except (OSError, http.client.HTTPException, ValueError) as error:
            last = error
        time.sleep(0.1)
    raise StepFailed(f"timed out after {limit_s} s: {what} (last result: {last})")


class Cell:
    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="cowsliprock-")
        self.processes = {}
        self.daemons = {}
        self.workers = {}
        self.data_centres = {}
        self.exclusive_jobs = set()  # job ids

    def __enter__(self):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def spawn(self, name, program, *arguments):
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "ab")
        with log:
            self.processes[name] = subprocess.Popen(
                [str(BUILD / program), *arguments], stdout=log, stderr=subprocess.STDOUT)

    def start(self):
        settings = json.loads((ROOT / "examples/duinrand/settings.json").read_text())
        daemons = settings["daemons"]
        ports = free_ports(1 + 2 * len(daemons) + len(REGIONS) * WORKERS_PER_REGION)
        self.platform = f"127.0.0.1:{ports.pop()}"
        settings["storeAddress"] = self.platform
        for daemon in daemons:
            daemon["httpAddress"] = f"127.0.0.1:{ports.pop()}"
            daemon["peerAddress"] = f"127.0.0.1:{ports.pop()}"
            self.daemons[daemon["name"]] = daemon["httpAddress"]
            self.data_centres[daemon["region"]] = daemon["dataCentre"]
        self.settings = pathlib.Path(self.folder.name) / "settings.json"
        self.settings.write_text(json.dumps(settings))
        self.spawn("platform", "standins/platform/standin-platform", "--listen", self.platform,
                   "--threads", "256")
        wait_until(5, "platform responds", lambda: call(self.platform, "GET", "/v1/stats"))
        for region in REGIONS:
            for index in range(WORKERS_PER_REGION):
                self.start_worker(region, index, f"127.0.0.1:{ports.pop()}")
        for name in self.daemons:
            self.start_daemon(name)

    def start_worker(self, region, index, address):
        # Each process runs one worker, named <prefix>0, so that workers can be killed one by one.
        prefix = f"{region}-w{index}-"
        self.workers[prefix + "0"] = address
        self.spawn(prefix + "0", "standins/worker/standin-worker", "--listen-base", address,
                   "--name-prefix", prefix, "--region", region, "--data-centre",
                   self.data_centres[region], "--accelerators", "2", "--service-time-ms", "40",
                   "--platform", self.platform)

    def start_daemon(self, name):
        self.spawn(name, "apps/cowsliprockd/cowsliprockd", "--settings", str(self.settings),
                   "--set", f"name={name}")

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()
        del self.processes[name]

    def stop(self):
        for process in self.processes.values():
            process.kill()  # SIGKILL also ends a process paused by SIGSTOP
        for process in self.processes.values():
            process.wait()
        if os.environ.get("COWSLIPROCK_KEEP_LOGS"):
            target = pathlib.Path(os.environ["COWSLIPROCK_KEEP_LOGS"])
            target.mkdir(parents=True, exist_ok=True)
            for log in pathlib.Path(self.folder.name).glob("*.log"):
                (target / log.name).write_bytes(log.read_bytes())
        self.folder.cleanup()

    def running_daemons(self, region=""):
        return {name: address for name, address in self.daemons.items()
                if name in self.processes and name.startswith(region)}

    def faults(self, **faults):
        status, _ = call_json(self.platform, "POST", "/v1/faults", faults)
        if status != 200:
            raise StepFailed(f"setting faults failed with status {status}")

    def observations(self):
        """Returns the observations of all running workers."""
        return [call_json(address, "GET", "/v1/observations")[1]
                for name, address in self.workers.items() if name in self.processes]
