"""Cases with a hostile worker, store or policy service of cowsliprock-celld."""

import asyncio
import functools
import time

from cell import wait_until
from untrustedcell import ADVISED_PREFIX, Cell
from untrustedchecks import PATIENCE_S, Limits, Report, check_process, check_service
from untrustedcrowd import Script

RESPONSE_BYTES = 96 << 20
MAX_RESPONSES = 8
BLOCK_BYTES = 256 * 1024
HOSTILE_S = 4
QUESTION_INTERVAL_S = 0.5
STATUS = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
FIELD = b"X-Padding: " + b"a" * 100 + b"\r\n"
RESPONSES = {
    "header_section": Script(STATUS, FIELD, RESPONSE_BYTES),
    "trailers": Script(CHUNKED + b"2\r\n{}\r\n0\r\n", FIELD, RESPONSE_BYTES),
    "body": Script(CHUNKED, b"40\r\n" + b" " * 64 + b"\r\n", RESPONSE_BYTES),
}


class HostileServer:
    """Listens in place of a stand-in's server and gives each request an endless response."""

    def __init__(self, script):
        self.script = script
        self.block = script.repeated * (BLOCK_BYTES // len(script.repeated))
        self.responses = 0
        self.sent_bytes = 0
        self.server = None
        self.tasks = set()

    async def listen(self, address):
        ip, port = address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.responses += 1
            if self.responses <= MAX_RESPONSES:
                await self.respond(writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def respond(self, writer):
        writer.write(self.script.opening)
        sent = 0
        while sent < self.script.limit_bytes:
            writer.write(self.block)
            await writer.drain()
            sent += len(self.block)
            self.sent_bytes += len(self.block)

    async def close(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def replace(http, address, script):
    """Ends a stand-in's server and listens at its address with a hostile one."""
    http.close()
    hostile = HostileServer(script)
    await hostile.listen(address)
    return hostile


async def restore(http, address, hostile):
    await hostile.close()
    ip, port = address.rsplit(":", 1)
    await http.listen(ip, int(port))


def front_answers(cell):
    """The daemon answers its clients with some status, also without its store."""
    return cell.post(cell.new_job()) > 0


def play_hostile(cell, report, standin, script, during):
    """Runs during() while the stand-in is hostile, then expects ordinary service."""
    hostile = cell.run(replace(standin.http, standin.address, script))
    during(hostile)
    check_process(cell, report, "peer hostile")
    cell.run(restore(standin.http, standin.address, hostile))
    if hostile.responses == 0:
        report.breaches.append("cannot be judged: the daemon never called the hostile peer")
    if cell.monitor.alive():
        check_service(cell, report, "peer restored")
    check_process(cell, report, "at the end")
    report.figures += f"; {hostile.responses} responses, {hostile.sent_bytes / 1e6:.0f} MB sent"


def wait_while_hostile(cell, hostile):
    end = time.monotonic() + HOSTILE_S
    while time.monotonic() < end and hostile.responses < MAX_RESPONSES and cell.monitor.alive():
        time.sleep(0.1)


def hostile_worker(script):
    """The other worker serves ordinary clients meanwhile."""
    report = Report()
    with Cell(Limits()) as cell:
        def during(hostile):
            wait_while_hostile(cell, hostile)
            check_service(cell, report, "worker hostile")
        play_hostile(cell, report, cell.workers[0], script, during)
    return report


def hostile_store(script):
    """Without a store no job can be accepted, but clients and load balancer get a response."""
    report = Report()
    with Cell(Limits()) as cell:
        def during(hostile):
            wait_while_hostile(cell, hostile)
            report.expect("store hostile: response to a client", lambda: wait_until(
                report.patience_s(), "a response", lambda: front_answers(cell)))
            report.expect("store hostile: response to the load balancer", lambda: wait_until(
                report.patience_s(), "a response", cell.ready_status))
        play_hostile(cell, report, cell.store, script, during)
    return report


def hostile_policy_service(script):
    """Jobs that need no advice run meanwhile."""
    report = Report()
    with Cell(Limits()) as cell:
        cell.run_job(PATIENCE_S, ADVISED_PREFIX)

        def during(hostile):
            end = time.monotonic() + HOSTILE_S
            while time.monotonic() < end and cell.monitor.alive():
                report.expect("policy service hostile: response to a client", lambda: wait_until(
                    report.patience_s(), "a response",
                    lambda: cell.post(cell.new_job(), ADVISED_PREFIX)))
                time.sleep(QUESTION_INTERVAL_S)
            check_service(cell, report, "policy service hostile")
        play_hostile(cell, report, cell.policy, script, during)
        if cell.monitor.alive():
            report.expect("policy service restored: job that needs advice",
                          lambda: cell.run_job(report.patience_s(), ADVISED_PREFIX))
    return report


PEERS = {"worker": hostile_worker, "store": hostile_store,
         "policy_service": hostile_policy_service}
CASES = {f"{peer}_with_endless_{part}": functools.partial(play, script)
         for peer, play in PEERS.items() for part, script in RESPONSES.items()}
