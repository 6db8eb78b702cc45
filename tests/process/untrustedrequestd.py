"""Cases with hostile clients of cowsliprockd: one daemon, the platform stand-in, four workers.

cowsliprockd reads no httpLimits; its limits are httpThreads, readTimeoutMs and bodyLimitBytes.
"""

import functools
import json
import pathlib
import resource

import steps
from cell import ROOT, Cell, call, free_ports, wait_until
from untrustedcell import ProcessMonitor
from untrustedchecks import PATIENCE_S, SMALLEST_MACHINE_MEMORY_MB, Limits
from untrustedclients import FIELD, LAST_CHUNK, flood, occupation, play
from untrustedcrowd import Script

NAME = "noord-1"
REGION = "noord"
WORKERS = 4
HTTP_THREADS = 32
READ_TIMEOUT_MS = 1000
RUN_LIMIT_S = 15
REQUEST = b"POST /v1/jobs HTTP/1.1\r\nHost: localhost\r\n"
CHUNKED = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n"
JOB = {"name": "ordinary", "team": "fleet", "policy": "pack", "kind": "batch", "taskCount": 1,
       "perTask": {"cpuMillis": 1000, "memoryMb": 512}, "expectedRunTimeMs": 300,
       "deadlineMs": 60000}


def configuration():
    """The example configuration, reduced to the region of the daemon."""
    document = steps.configuration_document()
    for caller in document["callers"]:
        caller["homeRegion"] = REGION
    return document


class RequestCell(Cell):
    """A cell of one daemon with limits of its own."""

    def __init__(self, limits):
        super().__init__()
        self.limits = limits
        self.monitor = None

    def start(self):
        settings = json.loads((ROOT / "examples/duinrand/settings.json").read_text())
        daemon = next(entry for entry in settings["daemons"] if entry["name"] == NAME)
        platform, http, peer, *workers = (f"127.0.0.1:{port}" for port in free_ports(3 + WORKERS))
        daemon.update(httpAddress=http, peerAddress=peer)
        settings.update(daemons=[daemon], storeAddress=platform, httpThreads=HTTP_THREADS,
                        readTimeoutMs=READ_TIMEOUT_MS)
        self.platform = platform
        self.daemons[NAME] = http
        self.data_centres[REGION] = daemon["dataCentre"]
        self.settings = pathlib.Path(self.folder.name) / "settings.json"
        self.settings.write_text(json.dumps(settings))
        self.spawn("platform", "standins/platform/standin-platform", "--listen", platform,
                   "--threads", "64")
        wait_until(PATIENCE_S, "platform responds", lambda: call(platform, "GET", "/v1/stats"))
        for index, address in enumerate(workers):
            self.start_worker(REGION, index, address)
        self.start_daemon(NAME)
        limit = (self.limits.descriptors, self.limits.descriptors)
        resource.prlimit(self.processes[NAME].pid, resource.RLIMIT_NOFILE, limit)
        self.monitor = ProcessMonitor(self.processes[NAME])
        steps.wait_until_daemons_ready(self)
        wait_until(PATIENCE_S, "configuration accepted",
                   lambda: steps.apply_configuration(self, NAME, lambda _: configuration()))

    def stop(self):
        if self.monitor:
            self.monitor.stop()
        super().stop()

    def address(self, _server):
        return self.daemons[NAME]

    def ready(self):
        return call(self.daemons[NAME], "GET", "/readyz")[0] == 200

    def run_job(self, patience_s):
        """An ordinary client: submits a job and asks for its state until it has succeeded."""
        job = steps.submit(self, NAME, JOB, patience_s)
        steps.wait_for_state(self, NAME, job, "succeeded", max(patience_s, RUN_LIMIT_S))


# cowsliprockd has no setting for its memory.
LIMITS = Limits(memory_mb=SMALLEST_MACHINE_MEMORY_MB)

ATTACKS = {
    "requestd_endless_trailers": flood(CHUNKED + LAST_CHUNK, FIELD, limits=LIMITS),
    "requestd_endless_trailer_line": flood(CHUNKED + LAST_CHUNK, b"a" * 64, limits=LIMITS),
    "requestd_endless_request_line": flood(b"GET /", b"a" * 64, limits=LIMITS),
    "requestd_incomplete_headers": occupation(Script(REQUEST)),
}

CASES = {name: functools.partial(play, attack, RequestCell) for name, attack in ATTACKS.items()}
