"""Cases with hostile clients of cowsliprock-celld."""

import contextlib
import dataclasses
import functools
import time

from cell import wait_until
from untrustedcell import PREFIX, Cell, standins
from untrustedchecks import (CLIENT_CONNECTIONS, DESCRIPTORS, PATIENCE_S,
                             SMALLEST_MACHINE_DESCRIPTORS, SMALLEST_MACHINE_MEMORY_MB, Limits,
                             Report, check_process, check_service)
from untrustedcrowd import Crowd, Script

FLOOD_CONNECTIONS = 8
FLOOD_BYTES = 16 << 20
SETTLE_S = 10
# Time for the daemon to accept and read what the clients have sent.
CATCH_UP_S = 1
# More connections than the daemon has descriptors.
EXCESS = 1.25
RECONNECTS_PER_CONNECTION = 20
# Keeps the daemon's send buffer small, so that few unread responses fill it.
SMALL_SEGMENT_BYTES = 536
SLOW_BYTES = 500
SLOW_INTERVAL_S = 0.2
SLOW_CONNECTIONS = 16
KIB = 1024
MAX_BODY_BYTES = 256 * KIB
BODY_CONNECTIONS = 400
FIELD = b"X-Padding: " + b"a" * 100 + b"\r\n"
TARGETS = {"front": (b"POST", (PREFIX + "00000000000000ff").encode()),
           "ready": (b"GET", b"/v1/readyz"), "control": (b"POST", b"/peer/none")}


def request(server, *fields):
    """Start of a request, up to and without the end of its header section."""
    method, target = TARGETS[server]
    lines = [method + b" " + target + b" HTTP/1.1", b"Host: " + standins.HOST.encode(), *fields]
    return b"\r\n".join(lines) + b"\r\n"


def chunked(server):
    return request(server, b"Transfer-Encoding: chunked") + b"\r\n"


@dataclasses.dataclass(frozen=True)
class Attack:
    """A crowd against one server of the daemon."""

    script: Script
    server: str = "front"
    connections: int = FLOOD_CONNECTIONS
    reconnects: int = 0
    segment_bytes: int = 0
    limits: Limits = Limits()


def play(attack, cell_type=Cell):
    report = Report()
    with cell_type(attack.limits) as cell:
        with Crowd(cell.address(attack.server), attack.script, attack.connections,
                   attack.reconnects, attack.segment_bytes) as crowd:
            crowd.wait_until_settled(SETTLE_S)
            time.sleep(CATCH_UP_S)
            if check_process(cell, report, "clients sent all"):
                check_service(cell, report, "clients connected")
        if cell.monitor.alive():
            check_service(cell, report, "clients gone")
        check_process(cell, report, "at the end")
        if crowd.failure:
            report.breaches.append(f"cannot be judged: the crowd ended early: {crowd.failure}")
        report.figures += (f"; {attack.connections} clients sent {crowd.sent_bytes / 1e6:.1f} MB, "
                           f"{crowd.closed_by_peer} closed")
    return report


def flood(opening, repeated, server="front", limits=Limits()):
    """Few connections that send without end."""
    return Attack(Script(opening, repeated, FLOOD_BYTES), server, limits=limits)


def occupation(script, server="front", segment_bytes=0, **http):
    """More connections than descriptors. Those that are closed are opened again."""
    connections = int(DESCRIPTORS * EXCESS)
    limits = Limits(http=dict({"clientConnections": CLIENT_CONNECTIONS}, **http))
    return Attack(script, server, connections, connections * RECONNECTS_PER_CONNECTION,
                  segment_bytes, limits)


def incomplete_headers_on_the_smallest_machine():
    """Default limits, and more connections than the smallest machine has descriptors."""
    connections = SMALLEST_MACHINE_DESCRIPTORS + DESCRIPTORS
    limits = Limits(SMALLEST_MACHINE_MEMORY_MB, SMALLEST_MACHINE_DESCRIPTORS)
    return Attack(Script(request("front")), "front", connections, connections, limits=limits)


def incomplete_bodies():
    """Each body is within the limit of a message, all together are not within the memory."""
    head = request("front", b"Content-Length: %d" % MAX_BODY_BYTES) + b"\r\n"
    script = Script(head, b"a" * 64, MAX_BODY_BYTES - KIB)
    limits = Limits(descriptors=2 * BODY_CONNECTIONS, http={"messageTimeoutMs": 2000})
    return Attack(script, "front", BODY_CONNECTIONS, limits=limits)


def slow(opening):
    return Script(opening, b"a", SLOW_BYTES, SLOW_INTERVAL_S)


PIPELINED = request("front", b"Content-Length: 0") + b"\r\n"
LAST_CHUNK = b"0\r\n"

ATTACKS = {
    "endless_trailers": flood(chunked("front") + LAST_CHUNK, FIELD),
    "endless_trailers_on_ready": flood(chunked("ready") + LAST_CHUNK, FIELD, "ready"),
    "endless_trailers_on_control": flood(chunked("control") + LAST_CHUNK, FIELD, "control"),
    "endless_request_line": flood(b"GET /", b"a" * 64),
    "endless_header_section": flood(request("front"), FIELD),
    "endless_header_line": flood(request("front") + b"X-Padding: ", b"a" * 64),
    "endless_chunk_extension": flood(chunked("front") + b"1", b";extension=" + b"a" * 53),
    "endless_body": flood(chunked("front"), b"40\r\n" + b"a" * 64 + b"\r\n"),
    "incomplete_bodies": incomplete_bodies(),
    "pipelining": flood(b"", PIPELINED),
    "incomplete_headers": occupation(Script(request("front"))),
    "incomplete_headers_on_ready": occupation(Script(request("ready")), "ready"),
    "incomplete_headers_on_control": occupation(Script(request("control")), "control"),
    "incomplete_headers_on_the_smallest_machine": incomplete_headers_on_the_smallest_machine(),
    "slow_headers": occupation(slow(request("front")), headerTimeoutMs=1000),
    "slow_bodies": occupation(slow(request("front", b"Content-Length: 1000") + b"\r\n"),
                              messageTimeoutMs=1000),
    "silent_connections": occupation(Script(), idleTimeoutMs=1000),
    "unread_responses": occupation(Script(b"", PIPELINED, 4096 * len(PIPELINED)),
                                   segment_bytes=SMALL_SEGMENT_BYTES, writeTimeoutMs=1000),
}

SLOW_CROWDS = {
    "header section": slow(request("front")),
    "body": slow(request("front", b"Content-Length: 1000") + b"\r\n"),
    "nothing": Script(),
}


def timeouts():
    """Slow clients are disconnected also while there are descriptors enough for all of them.
    Guards against timeouts that every received byte extends."""
    report = Report()
    http = {"headerTimeoutMs": 1000, "messageTimeoutMs": 1000, "idleTimeoutMs": 1000}
    with Cell(Limits(http=http)) as cell, contextlib.ExitStack() as stack:
        bound = cell.monitor.descriptors() + SLOW_CONNECTIONS
        crowds = {name: Crowd(cell.address("front"), script, SLOW_CONNECTIONS)
                  for name, script in SLOW_CROWDS.items()}
        for crowd in crowds.values():
            stack.enter_context(crowd)
            crowd.wait_until_settled(SETTLE_S)
        report.expect("slow clients", lambda: wait_until(
            PATIENCE_S, "all are disconnected",
            lambda: all(crowd.closed_by_peer == SLOW_CONNECTIONS for crowd in crowds.values())))
        report.expect("descriptors", lambda: wait_until(
            report.patience_s(), f"at most {bound} are open",
            lambda: cell.monitor.descriptors() <= bound))
        check_service(cell, report, "at the end")
        check_process(cell, report, "at the end")
        closed = ", ".join(f"{name} {crowd.closed_by_peer}" for name, crowd in crowds.items())
        report.figures += f"; disconnected of {SLOW_CONNECTIONS} each: {closed}"
    return report


CASES = {name: functools.partial(play, attack) for name, attack in ATTACKS.items()}
CASES["timeouts"] = timeouts
