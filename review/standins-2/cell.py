"""Stand-ins of the platform around real daemons: store, workers, policy service, clients.

Every server listens on loopback. The daemons run as separate processes with the command of the
deploy file. Whatever is sent, answered and run is written to a record, from which the cases judge.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LOOPBACK = "127.0.0.1"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_TIMEOUT_MS = 900
STARTED = time.monotonic()


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - STARTED


class Record:
    """Lines of JSON in record.txt, and in memory."""

    def __init__(self, folder):
        self.lines = []
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, event, **details):
        line = {"t": round(now(), 3), "event": event, **details}
        self.lines.append(line)
        self.file.write(json.dumps(line) + "\n")

    def of(self, *events):
        return [line for line in self.lines if line["event"] in events]

    def close(self):
        self.file.close()


# HTTP


async def read_message(reader):
    """The first line, the headers and the body of a message; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """An HTTP server. `handle` returns (status, body), or None to leave the call unanswered."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await reader.read()
                    return
                status, content = answer
                text = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Closes the port and all connections, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, body=None, headers=None, timeout=3.0):
    """One call on a connection of its own. Returns (status, body), or (0, reason)."""
    try:
        return await asyncio.wait_for(exchange(address, method, target, body, headers), timeout)
    except asyncio.TimeoutError:
        return 0, "no answer"
    except (OSError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__


async def exchange(address, method, target, body, headers):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        text = json.dumps(body).encode() if body is not None else b""
        head = f"{method} {target} HTTP/1.1\r\nConnection: close\r\nContent-Length: {len(text)}\r\n"
        for name, value in (headers or {}).items():
            head += f"{name}: {value}\r\n"
        if text:
            head += "Content-Type: application/json\r\n"
        writer.write(head.encode() + b"\r\n" + text)
        line, _, answer = await read_message(reader)
        try:
            content = json.loads(answer) if answer else None
        except ValueError:
            content = None
        return int(line.split(" ")[1]), content
    finally:
        writer.close()


# The platform's store


class Store:
    """The store of the platform. `server` makes one port; a daemon may have one of its own."""

    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.delay_s = 0.004
        self.deaf_until = 0.0
        self.compacted = 0

    def put(self, key, value, lease=0):
        """Writes as the platform or the operator. `value` is text."""
        self.revision += 1
        self.write(key, base64.b64encode(value.encode()).decode(), lease)
        self.notify()

    def erase(self, key):
        if key in self.items:
            self.revision += 1
            self.drop(key)
            self.notify()

    def compact(self):
        """Watches hear nothing for a second; then the history is dropped, and they are cut."""
        self.deaf_until = time.monotonic() + 1.0
        asyncio.get_running_loop().call_later(1.0, self.drop_history)

    def drop_history(self):
        self.log.clear()
        self.compacted = self.revision
        self.notify()

    def write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.log.append((self.revision, key, item))

    def drop(self, key):
        del self.items[key]
        self.log.append((self.revision, key,
                         {"key": key, "revision": self.revision, "deleted": True}))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        for lease, (ttl, end) in list(self.leases.items()):
            if end <= time.monotonic():
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.drop(key)
            self.notify()

    async def handle(self, method, target, headers, body):
        if target.startswith("/v1/kv-watch"):
            answer = await self.execute(target, body)
            await asyncio.sleep(self.delay_s)
            return answer
        await asyncio.sleep(self.delay_s)
        return await self.execute(target, body)

    async def execute(self, target, body):
        path, _, query = target.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.expire()
        if path == "/v1/kv-key":
            item = self.items.get(values["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            return self.range(values)
        if path == "/v1/kv-watch":
            return await self.watch(values)
        content = json.loads(body) if body else {}
        if path == "/v1/kv-txn":
            return self.commit(content)
        if path == "/v1/kv-lease":
            self.next_lease += 1
            ttl = content["ttl_ms"]
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        self.end_lease(lease)
        return 200, {}

    def range(self, values):
        keys = sorted(key for key in self.items
                      if key.startswith(values["prefix"]) and key > values.get("after", ""))
        return 200, {"items": [self.items[key] for key in keys[:500]],
                     "has_more": len(keys) > 500, "as_of": self.revision}

    async def watch(self, values):
        after = int(values["after"])
        end = time.monotonic() + int(values.get("wait_ms", 0)) / 1000
        while True:
            self.expire()
            if after < self.compacted:
                return 410, {}
            deaf = time.monotonic() < self.deaf_until
            events = [] if deaf else [
                event for revision, key, event in self.log
                if revision > after and key.startswith(values["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": after if deaf else self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
            except asyncio.TimeoutError:
                pass

    def commit(self, content):
        conditions = content.get("expected_rev", [])
        revision_of = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(revision_of(row["key"]) != row["revision"] for row in conditions):
            return 412, {"items": [self.items[row["key"]] for row in conditions
                                   if row["key"] in self.items]}
        writes = content.get("writes", [])
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, {}
        self.revision += 1
        for row in writes:
            self.write(row["key"], row["value"], row.get("lease", 0))
        for key in content.get("remove", []):
            if key in self.items:
                self.drop(key)
        self.notify()
        return 200, {"revision": self.revision}


# Workers


class Worker:
    """A worker. The `spec` of a job tells how long its tasks run: {"ms": 800}, or 0 for ever."""

    def __init__(self, store, record, name, labels, cpu):
        self.store = store
        self.record = record
        self.id = name
        self.labels = labels
        self.cpu = cpu
        self.state = "ready"
        self.server = Server(self.handle)
        self.up = False
        self.registers = True
        self.life = 0
        self.beats = None
        self.losing = 0  # Starts whose answer will be lost.
        self.fails = False  # Whether what it starts ends failed soon.

    async def start(self):
        """Begins a life: it holds and knows nothing of before."""
        self.life += 1
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.running = {}
        self.finished = []
        self.closed = {}
        self.token = 0
        self.lease_end = 0
        self.last_end = 0
        self.seq = 0
        self.ended = asyncio.Event()
        await self.server.listen()
        self.up = True
        self.record.add("worker.up", worker=self.id, life=self.life, labels=self.labels)
        self.beats = asyncio.create_task(self.beat())

    def crash(self):
        """Ends the life at once. Its entry stays in the store until it lapses."""
        self.up = False
        self.beats.cancel()
        self.server.close()
        for task, run in self.running:
            self.record.add("run.lost", worker=self.id, life=self.life, task=task, run=run)
        self.running = {}
        self.record.add("worker.crash", worker=self.id, life=self.life)
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.lapse, self.id, self.life)

    def lapse(self, name, life):
        if name != self.id or (self.life == life and not self.up):
            self.store.erase("servers/" + name)

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000) + 1

    def register(self):
        self.seq += 1
        self.store.put("servers/" + self.id, json.dumps({
            "service": "planner", "address": self.server.address, "zone": "sofia-a",
            "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 64_000, "gpu": 0}, "labels": self.labels,
            "clock_ms": self.clock(), "seq": self.seq, "born": self.born}))

    async def beat(self):
        """Writes to the store every heartbeat, and ends the runs whose lease is over."""
        next_beat = 0.0
        while True:
            if self.registers and time.monotonic() >= next_beat:
                self.register()
                next_beat = time.monotonic() + HEARTBEAT_S
            self.expire()
            await asyncio.sleep(0.05)

    async def handle(self, method, target, headers, body):
        if target == "/healthz":
            return 200, {}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        content = json.loads(body)
        self.expire()
        if content.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "born": self.born, "reason": "fence"}
        self.token = max(self.token, content.get("fencing_token", 0))
        if target == "/v1/run-start":
            answer = self.begin(content)
            if self.losing and answer[0] == 200:
                self.losing -= 1
                self.record.add("answer.lost", worker=self.id, life=self.life,
                                task=content["task"], run=content["run"])
                return None
            return answer
        if target == "/v1/run-stop":
            return self.stop(content)
        if target == "/v1/hold":
            return await self.hold(content)
        return 404, {}

    def extend(self, deadline):
        if deadline is not None:
            self.lease_end = max(self.lease_end, min(deadline, self.clock() + HOLD_MAX_MS))

    def expire(self):
        if self.clock() >= self.lease_end:
            for key in list(self.running):
                self.finish(key, "lapsed")

    def begin(self, order):
        key = (order["task"], order["run"])
        answer = {"clock_ms": self.clock(), "born": self.born}
        if key in self.running:
            return 200, answer
        if order["run"] <= self.closed.get(order["task"], 0):
            self.extend(order["deadline_ms"])
            return 409, {**answer, "reason": "old"}
        if order["deadline_ms"] <= self.clock():
            return 409, {**answer, "reason": "late"}
        self.extend(order["deadline_ms"])
        plan = json.loads(order["spec"])
        self.running[key] = {"since": time.monotonic(), "plan": plan, "stopping": False}
        self.record.add("run.start", worker=self.id, life=self.life, task=key[0], run=key[1],
                        labels=self.labels)
        if self.fails:
            asyncio.get_running_loop().call_later(0.1, self.finish, key, "failed", self.life)
        elif plan["ms"]:
            asyncio.get_running_loop().call_later(
                plan["ms"] / 1000, self.finish, key, "done", self.life)
        return 200, answer

    def stop(self, order):
        key = (order["task"], order["run"])
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        if key in self.running and not self.running[key]["stopping"]:
            self.running[key]["stopping"] = True
            asyncio.get_running_loop().call_later(0.05, self.finish, key, "stopped", self.life)
        return 200, {"clock_ms": self.clock(), "born": self.born}

    def finish(self, key, how, life=None):
        if life not in (None, self.life) or key not in self.running or not self.up:
            return
        if how == "done" and self.running[key]["stopping"]:
            return
        del self.running[key]
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        self.last_end += 1
        self.finished.append([self.last_end, key[0], key[1], how, ""])
        self.record.add("run.end", worker=self.id, life=self.life, task=key[0], run=key[1], how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    async def hold(self, request):
        self.extend(request.get("deadline_ms"))
        seen = request.get("last_seen", 0)
        for number, task, run, how, _ in self.finished:
            if number <= seen:
                self.record.add("end.noted", worker=self.id, life=self.life, task=task, run=run,
                                how=how)
        self.finished = [end for end in self.finished if end[0] > seen]
        wait = min(request.get("wait_ms", 0), 2000) / 1000
        end = time.monotonic() + wait
        while not self.finished and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.ended.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
            self.expire()
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": self.rows(),
                     "finished": self.finished[:500]}

    def rows(self):
        rows = []
        for (task, run), state in self.running.items():
            length = state["plan"]["ms"] / 1000
            done = (time.monotonic() - state["since"]) / length if length else 1
            rows.append([task, run, "", min(100, int(100 * done)), 0])
        return rows


# Daemons


def free_port():
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class Daemon:
    """One process of the role of the deploy file."""

    def __init__(self, name, store_address, folder, zone):
        self.name = name
        ports = [free_port() for _ in range(3)]
        self.front, self.ready, self.control = (f"{LOOPBACK}:{port}" for port in ports)
        self.path = os.path.join(folder, name + ".json")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings(store_address, zone), file)

    def settings(self, store_address, zone):
        return {
            "node_name": self.name, "role": "celld", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": LOOPBACK, "zone": zone,
            "region": zone.partition("-")[0],
            "zones": {"sofia-a": "sofia", "plovdiv-a": "plovdiv", "varna-a": "varna"},
            "listen": {"front": self.front, "ready": self.ready, "control": self.control},
            "bootstrap": True, "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "bounds": {"contact_ms": 4000, "ack_ms": 5000, "drain_ms": 2500, "grace_s": 6,
                       "config_apply_ms": 2500, "recovery_s": 12, "hold_max_ms": HOLD_MAX_MS,
                       "stop_timeout_ms": STOP_TIMEOUT_MS, "gang_timeout_ms": 3000,
                       "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
                       "status_s": 120, "lease_ms": 3000},
            "orders": "call", "advice": f"{LOOPBACK}:1",
            "platform": {"address": store_address, "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "max_value_bytes": 1048576,
                         "ttl_min_ms": 1000}}

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1).split(" ")
        if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
            raise FileNotFoundError(command[0] + ": run the build of the deploy file first")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["COWSLIPROCK_NODE_FILE"] = self.path
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, command[0]), *command[1:], cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    def send(self, number):
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


MEMORY_MB = 260
RESTART_S = 0.5


def resident_mb(daemon):
    try:
        with open(f"/proc/{daemon.process.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
    except (OSError, IndexError):
        return 0.0


async def enforce_memory(cell):
    """The platform: kills a process that exceeds memory_mb, and starts it after a short delay."""
    noted = {}
    while True:
        for daemon in cell.daemons:
            if daemon.process.returncode is not None:
                cell.record.add("process.ended", daemon=daemon.name, code=daemon.process.returncode)
                noted[daemon.name] = 0
                await asyncio.sleep(RESTART_S)
                await daemon.start()
                continue
            used = resident_mb(daemon)
            if used > noted.get(daemon.name, 0) + 25:
                noted[daemon.name] = used
                cell.record.add("memory", daemon=daemon.name, mb=round(used))
            if used > MEMORY_MB:
                cell.record.add("memory.exceeded", daemon=daemon.name, mb=round(used))
                daemon.send(signal.SIGKILL)
                await daemon.process.wait()
        await asyncio.sleep(0.05)


def memory_faults(cell):
    """The rule on faults: on two machines at least, processes end by themselves three times."""
    kills = {}
    for line in cell.record.of("memory.exceeded"):
        kills[line["daemon"]] = kills.get(line["daemon"], 0) + 1
    if sum(count >= 3 for count in kills.values()) < 2:
        return []
    return [f"Fault: processes exceeded {MEMORY_MB} MB and were killed: {kills}"]


class Cell:
    """Store, workers and daemons of one small deployment."""

    def __init__(self, record, folder, queues):
        self.record = record
        self.folder = folder
        self.store = Store()
        self.workers = []
        self.daemons = []
        self.servers = []
        self.version = 0
        self.configure(queues)

    def configure(self, queues):
        """Queues are (name, priority, max_attempts)."""
        self.version += 1
        routes = [{"name": "r-" + name, "host": "cell.example", "prefix": f"/{name}/",
                   "kind": "non_idempotent", "timeout_ms": 3000, "target_runtime_ms": 1200,
                   "priority": priority, "service": "planner", "max_attempts": attempts,
                   "extension": 2.2} for name, priority, attempts in queues]
        self.store.put("op/config", json.dumps({
            "version": self.version, "routes": routes,
            "services": [{"name": "planner", "health_path": "/healthz", "max_conns": 64,
                          "protocol": "h1", "tls": False, "enforces_capacity": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}))

    async def add_worker(self, name, labels, cpu=16_000):
        worker = Worker(self.store, self.record, name, labels, cpu)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def add_daemons(self, zones):
        for number, zone in enumerate(zones):
            server = Server(self.store.handle)
            await server.listen()
            self.servers.append(server)
            daemon = Daemon(f"edge-{zone}-{number + 1}", server.address, self.folder, zone)
            self.daemons.append(daemon)
        for daemon in self.daemons:
            await daemon.start()

    async def ready(self, limit_s=15):
        for daemon in self.daemons:
            end = now() + limit_s
            while (await call(daemon.ready, "GET", "/v1/readyz", timeout=0.5))[0] != 200:
                if now() > end:
                    raise TimeoutError(daemon.name + " is not ready")
                await asyncio.sleep(0.1)

    def owner(self):
        """The daemon that owns the cell, as its record in the store names it."""
        for key, item in self.store.items.items():
            if "/owner/" in key:
                name = json.loads(base64.b64decode(item["value"]))["name"]
                return next((each for each in self.daemons if each.name == name), None)
        return None

    async def request(self, method, queue, job, body=None, daemon=None, timeout=3.0):
        """A call of a client, recorded with its answer."""
        target = daemon or self.daemons[zlib.crc32(job.encode()) % len(self.daemons)]
        self.record.add("client.sent", method=method, queue=queue, job=job, daemon=target.name)
        status, content = await call(target.front, method, f"/{queue}/{job}", body,
                                     {"Host": "cell.example", "Deadline-Ms": "3000"}, timeout)
        state = content.get("state") if isinstance(content, dict) else None
        self.record.add("client.answer", method=method, queue=queue, job=job, daemon=target.name,
                        status=status, state=state)
        return status, state

    async def submit(self, queue, job, steps, plan, daemon=None, attempts=8):
        """Hands a job in, with the retries that the pages allow. True if it was accepted."""
        for attempt in range(attempts):
            target = daemon or self.daemons[(zlib.crc32(job.encode()) + attempt) % len(self.daemons)]
            status, _ = await self.request("POST", queue, job,
                                           {"spec": json.dumps(plan), "steps": steps}, target)
            if status // 100 == 2:
                return True
            await asyncio.sleep(1.0)
        return False

    async def end(self):
        for daemon in self.daemons:
            await daemon.end()
        for worker in self.workers:
            if worker.beats:
                worker.beats.cancel()
            worker.up = False
            worker.server.close()
        for server in self.servers:
            server.close()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case_folder, play, queues, limit_s=115):
    """Plays a case. `play(cell)` returns the broken rules, as text. Exits with 0, 1 or 2."""
    record = Record(case_folder)
    status = 2

    async def run():
        with tempfile.TemporaryDirectory() as folder:
            cell = Cell(record, folder, queues)
            try:
                return await asyncio.wait_for(play(cell), limit_s)
            finally:
                await cell.end()

    try:
        broken = asyncio.run(run())
        for line in broken:
            record.add("broken", what=line)
            print(line)
        status = 1 if broken else 0
    except Exception as error:  # The case could not run.
        record.add("could not run", error=repr(error))
        print("could not run:", repr(error), file=sys.stderr)
    record.add("end", status=status, trouble=trouble())
    record.close()
    sys.exit(status)
