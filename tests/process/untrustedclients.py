"""Cases with hostile clients of cowsliprock-celld."""

import dataclasses
import functools

from untrustedcell import PREFIX, Cell, standins
from untrustedchecks import (CLIENT_CONNECTIONS, DESCRIPTORS, SMALLEST_MACHINE_DESCRIPTORS, Limits,
                             Report, check_process, check_service)
from untrustedcrowd import Crowd, Script

FLOOD_CONNECTIONS = 8
FLOOD_BYTES = 16 * 1024 * 1024
SETTLE_S = 10
# More connections than the daemon has descriptors.
EXCESS = 1.25
RECONNECTS_PER_CONNECTION = 20
# Keeps the daemon's send buffer small, so that few unread responses fill it.
SMALL_SEGMENT_BYTES = 536
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


def play(attack):
    report = Report()
    with Cell(attack.limits) as cell:
        with Crowd(cell.address(attack.server), attack.script, attack.connections,
                   attack.reconnects, attack.segment_bytes) as crowd:
            crowd.wait_until_settled(SETTLE_S)
            if check_process(cell, report, "clients sent all"):
                check_service(cell, report, "clients connected")
        if cell.monitor.alive():
            check_service(cell, report, "clients gone")
        check_process(cell, report, "at the end")
        report.figures += (f"; {attack.connections} clients sent {crowd.sent_bytes / 1e6:.1f} MB, "
                           f"{crowd.closed_by_peer} closed")
    return report


def flood(opening, repeated, server="front"):
    """Few connections that send without end."""
    return Attack(Script(opening, repeated, FLOOD_BYTES), server)


def occupation(script, server="front", segment_bytes=0, **http):
    """More connections than descriptors. Those that are closed are opened again."""
    connections = int(DESCRIPTORS * EXCESS)
    limits = Limits(http=dict({"clientConnections": CLIENT_CONNECTIONS}, **http))
    return Attack(script, server, connections, connections * RECONNECTS_PER_CONNECTION,
                  segment_bytes, limits)


def smallest_machine(script):
    """Incomplete header sections beyond the descriptors of the smallest machine, default limits."""
    connections = SMALLEST_MACHINE_DESCRIPTORS + DESCRIPTORS
    return Attack(script, "front", connections, connections,
                  limits=Limits(descriptors=SMALLEST_MACHINE_DESCRIPTORS))


PIPELINED = request("front", b"Content-Length: 0") + b"\r\n"

ATTACKS = {
    "endless_trailers": flood(chunked("front") + b"0\r\n", FIELD),
    "incomplete_headers": occupation(Script(request("front"))),
    "unread_responses": occupation(Script(b"", PIPELINED, 4096 * len(PIPELINED)),
                                   segment_bytes=SMALL_SEGMENT_BYTES, writeTimeoutMs=1000),
}

CASES = {name: functools.partial(play, attack) for name, attack in ATTACKS.items()}
