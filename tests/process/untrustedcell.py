"""Runs one cowsliprock-celld with the stand-ins of the review: a store, workers, a policy service.

The stand-ins run in a thread of their own, so that a test can block. stop() ends the daemon by its
process id.
"""

import asyncio
import importlib.util
import itertools
import json
import os
import pathlib
import resource
import shutil
import tempfile
import threading
import time

from cell import BUILD, ROOT, call, wait_until

START_LIMIT_S = 30
RECORD = "record.txt"
PREFIX = "/untrusted/"
ADVISED_PREFIX = "/advised/"
WORKER_CAPACITY = {"cpu": 32000, "mem_mb": 65536, "gpu": 0}
RUN_S = 0.2
KIB = 1024


def load_standins():
    path = ROOT / "review" / "standins" / "cell.py"
    spec = importlib.util.spec_from_file_location("reviewstandins", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


standins = load_standins()


def raise_descriptor_limit():
    """A crowd has more connections than the daemon has descriptors."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class ProcessMonitor:
    """Samples the open descriptors of a process until it is stopped."""

    INTERVAL_S = 0.05

    def __init__(self, process):
        self.process = process
        self.peak_descriptors = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopping.wait(self.INTERVAL_S) and self.alive():
            self.sample()

    def sample(self):
        try:
            self.peak_descriptors = max(self.peak_descriptors, self.descriptors())
        except OSError:  # The process has ended.
            return

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def stop(self):
        self.stopping.set()
        self.thread.join()

    def alive(self):
        return self.process.poll() is None

    def peak_memory_mb(self):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / KIB
        raise ValueError("no VmHWM in the status of the process")


class PolicyService:
    """Allows each worker for each step."""

    VALIDITY_MS = 60000

    def __init__(self):
        self.http = standins.HttpServer(self.handle)
        self.asked = 0
        self.address = ""

    async def start(self, ip):
        port = standins.free_port(ip)
        await self.http.listen(ip, port)
        self.address = f"{ip}:{port}"

    async def handle(self, method, target, headers, body):
        self.asked += 1
        question = json.loads(body)
        rows = [[worker, f"ticket-{self.asked}-{index}"]
                for index, worker in enumerate(question["workers"])]
        return 200, {"allowed": rows, "validity_ms": self.VALIDITY_MS}


class Daemon(standins.Daemon):
    """A daemon with limits of its own."""

    def __init__(self, record, folder, store, limits, policy):
        command = [str(BUILD / "platform" / "cowsliprock-celld")]
        super().__init__(record, folder, "edge-sofia-a-1", standins.own_address(10), store, command)
        self.limits = limits
        self.policy = policy

    def settings(self, bootstrap):
        settings = super().settings(bootstrap)
        settings["limits"]["memory_mb"] = self.limits.memory_mb
        settings["limits"]["max_fds"] = self.limits.descriptors
        if self.limits.http:
            settings["httpLimits"] = self.limits.http
        settings["advice"] = self.policy.address
        return settings

    def start(self, bootstrap=False):
        super().start(bootstrap)
        limit = (self.limits.descriptors, self.limits.descriptors)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limit)


class Cell:
    """One daemon with its stand-ins. `limits` has memory_mb, descriptors and http (settings)."""

    def __init__(self, limits, workers=2):
        self.limits = limits
        self.worker_count = workers
        self.folder = tempfile.mkdtemp(prefix="cowsliprock-untrusted-")
        self.record = standins.Record(os.path.join(self.folder, RECORD))
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.workers = []
        self.daemon = None
        self.monitor = None
        self.jobs = itertools.count(1)

    def __enter__(self):
        self.thread.start()
        try:
            self.run(self.start_standins())
            self.daemon = Daemon(self.record, self.folder, self.store, self.limits, self.policy)
            self.daemon.start(bootstrap=True)
            self.monitor = ProcessMonitor(self.daemon.process)
            wait_until(START_LIMIT_S, "the daemon is ready", self.ready)
            self.run_job(START_LIMIT_S)
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(START_LIMIT_S)

    async def start_standins(self):
        self.store = standins.Store(self.record)
        await self.store.start(standins.own_address(1))
        self.policy = PolicyService()
        await self.policy.start(standins.own_address(2))
        self.configure()
        for number in range(self.worker_count):
            worker = standins.Worker(self.record, self.store, f"i-{0x7f3a91c0 + number:08x}",
                                     WORKER_CAPACITY, ["a", "r1-1"], lambda *_: (RUN_S, "done"))
            ip = standins.own_address(50 + number)
            await worker.boot(ip, standins.free_port(ip))
            self.workers.append(worker)

    def configure(self):
        def route(name, prefix, **fields):
            return dict({"name": name, "host": standins.HOST, "prefix": prefix,
                         "kind": "non_idempotent", "timeout_ms": 3000, "target_runtime_ms": 500,
                         "priority": 0, "service": standins.SERVICE, "max_attempts": 3,
                         "extension": 1.5}, **fields)
        advice = {"decision_ms": 20, "period_ms": 100, "validity_ms": PolicyService.VALIDITY_MS}
        self.store.put("op/config", json.dumps({
            "version": 3,
            "routes": [route("plain", PREFIX), route("advised", ADVISED_PREFIX, advice=advice)],
            "services": [{"name": standins.SERVICE, "health_path": "/healthz", "max_conns": 64,
                          "protocol": "h1", "tls": False, "enforces_capacity": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}}).encode())

    async def stop_standins(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in (self.store.http, self.policy.http, *(w.http for w in self.workers)):
            server.close()

    def address(self, server):
        return getattr(self.daemon, server)

    def ready_status(self):
        return call(self.daemon.ready, "GET", "/v1/readyz")[0]

    def ready(self):
        return self.ready_status() == 200

    def new_job(self):
        return f"{next(self.jobs):016x}"

    def post(self, job, prefix=PREFIX):
        body = {"spec": "ordinary", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 512,
                                               "estimate_ms": int(RUN_S * 1000)}]}
        headers = {"Host": standins.HOST, "Deadline-Ms": "3000",
                   "Content-Type": "application/json"}
        return call(self.daemon.front, "POST", prefix + job, body, headers)[0]

    def state(self, job, prefix=PREFIX):
        headers = {"Host": standins.HOST}
        status, _, text = call(self.daemon.front, "GET", prefix + job, headers=headers)
        return json.loads(text).get("state") if status == 200 else None

    def run_job(self, patience_s, prefix=PREFIX):
        """An ordinary client: submits a job and asks for its state until it has completed."""
        job = self.new_job()
        end = time.monotonic() + patience_s
        wait_until(patience_s, "a job is accepted", lambda: self.post(job, prefix) == 200)
        left = max(end - time.monotonic(), 1)
        wait_until(left, "the job has completed", lambda: self.state(job, prefix) == "completed")

    def stop(self):
        if self.monitor:
            self.monitor.stop()
        if self.daemon and self.daemon.process:
            self.daemon.process.kill()
            self.daemon.process.wait()
        if self.thread.is_alive():
            self.run(self.stop_standins())
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join()
        self.loop.close()
        target = os.environ.get("COWSLIPROCK_KEEP_LOGS")
        if target:
            shutil.copytree(self.folder, os.path.join(target, os.path.basename(self.folder)))
        shutil.rmtree(self.folder, ignore_errors=True)
