"""A job whose submission got no answer is cancelled. It must not run later.

Clients hand in jobs for one second and cancel each as soon as they know how its submission ended, as
users do who have changed their mind. With TROUBLE=1 the store does 35% of the writes of that second
1 to 6 s later and doesn't answer them (platform_lost, late); with TROUBLE=0 it answers all.
"""

import random
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import cell as standins  # noqa: E402

JOBS = 40
WINDOW_S = 1.0
SHARE = 0.35
PATIENCE_S = 1.0
CANCEL_S = standins.BOUNDS["cancel_ms"] / 1000
CONTACT_S = standins.BOUNDS["contact_ms"] / 1000


async def play(cell):
    draw = random.Random(5)
    window = {"end": None}
    acknowledged = {}

    def late_write(transaction):
        if window["end"] is None or cell.record.now() > window["end"] or draw.random() >= SHARE:
            return None
        return draw.uniform(1.0, 6.0)

    def behaviour(task, run):
        return 2.0, "done"

    async def make_workers(target):
        for number in range(4):
            await target.add_worker("i-%08x" % (0x7f3a91c0 + number),
                                    {"cpu": 32000, "mem_mb": 65536, "gpu": 0}, ["a", "r1-1"],
                                    behaviour)

    async def client(identity, number):
        daemon = cell.daemons[number % len(cell.daemons)]
        job = {"spec": "notice", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 512,
                                            "estimate_ms": 2000}]}
        await asyncio.sleep(WINDOW_S * number / JOBS)
        status, _ = await standins.call(daemon.front, "POST", "/lohu930/" + identity, job,
                                        timeout=PATIENCE_S)
        cell.record.note("client: POST %s at %s -> %s" % (identity, daemon.name, status))
        while identity not in acknowledged:
            status, _ = await standins.call(daemon.front, "DELETE", "/lohu930/" + identity)
            cell.record.note("client: DELETE %s at %s -> %s" % (identity, daemon.name, status))
            if 200 <= status < 300 or status == 410:
                acknowledged[identity] = (cell.record.now(), status)
            else:
                await asyncio.sleep(0.5)

    cell.route("r-notices", "/lohu930/")
    await cell.start(make_workers)
    await asyncio.sleep(2)
    if cell.trouble:
        window["end"] = cell.record.now() + WINDOW_S
        cell.record.note("writes of the store are late and unanswered for %.1f s" % WINDOW_S)
        cell.store.late_write = late_write
    calm = cell.record.now() + WINDOW_S + CONTACT_S
    identities = ["5c0e7a21d94b%04x" % number for number in range(JOBS)]
    await asyncio.gather(*[client(one, number) for number, one in enumerate(identities)])
    await asyncio.sleep(12)

    breaches = []
    for worker in cell.workers:
        for when, task, run in worker.starts:
            since, status = acknowledged[task.split(".")[0]]
            # The store has been without disruption for contact_ms, so that the machine is in touch.
            if when > since + CANCEL_S and when > calm:
                breaches.append("UNASKED: %s run %d is started at %.3f, %.1f s after the cancelling of "
                                "its job was acknowledged (%d); no disruption for %.1f s"
                                % (task, run, when, when - since, status,
                                   when - calm + CONTACT_S))
    for identity in sorted({breach.split()[1].split(".")[0] for breach in breaches}):
        await cell.state("/lohu930/", identity)
    return breaches


standins.run_case(os.path.dirname(os.path.abspath(__file__)), play)
