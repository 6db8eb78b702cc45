"""Three of nine machines are lost for good at once: the owner of the cell and its two successors."""

import asyncio
import base64
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import cell as standins

QUEUES = [("plan", 1, 2)]
ZONES = ["sofia-a"] * 4 + ["plovdiv-a"] * 3 + ["varna-a"] * 2
LASTING = "00000000000000a1"
CONTACT_S = 4
RECOVERY_S = 12
FINISH_S = 14


def successors(cell):
    """The daemons that the owner has named in the store as its successors."""
    for key, item in cell.store.items.items():
        if "/successors/" in key:
            record = json.loads(base64.b64decode(item["value"]))
            return [row[0] for row in record["successors"]]
    return []


async def play(cell):
    for number in range(8):
        await cell.add_worker(f"i-{number}", ["a", "r1-1"])
    await cell.add_daemons(ZONES)
    await cell.ready()
    await asyncio.sleep(5)
    step = {"count": 2, "cpu": 2000, "mem_mb": 512, "estimate_ms": 800}
    if not await cell.submit("plan", LASTING, [{**step, "long_running": True}], {"ms": 0}):
        raise RuntimeError("the job that lasts was not accepted")
    await asyncio.sleep(3)

    lost = []
    if standins.trouble():
        names = [cell.owner().name] + successors(cell)
        lost = [daemon for daemon in cell.daemons if daemon.name in names]
        for daemon in lost:
            daemon.send(signal.SIGKILL)
        cell.record.add("machines.lost", daemons=[daemon.name for daemon in lost])
    remaining = [daemon for daemon in cell.daemons if daemon not in lost]

    # The remaining machines and the store are in touch all the while. Clients come after recovery_s.
    await asyncio.sleep(CONTACT_S + RECOVERY_S)
    jobs = []
    for number in range(20):
        job = f"{number + 1:016x}"
        if await cell.submit("plan", job, [step], {"ms": 800}, remaining[number % len(remaining)]):
            jobs.append(job)
        await asyncio.sleep(0.25)
    await asyncio.sleep(FINISH_S + 3)

    broken = []
    for number, job in enumerate(jobs):
        status, state = await cell.request("GET", "plan", job, daemon=remaining[0])
        if state != "completed":
            broken.append(f"LOST: {job} was accepted, nothing of it has run for {FINISH_S} s with "
                          f"free workers, and it is answered {status} {state}")
    last = [line["t"] for line in cell.record.of("run.end", "run.lost")
            if line["task"].startswith(LASTING)]
    if not any(key[0].startswith(LASTING) for worker in cell.workers for key in worker.running):
        broken.append(f"LOST: nothing runs of {LASTING}, a job that lasts, since its last run "
                      f"ended {standins.now() - max(last):.0f} s ago")
    cell.record.add("owner.now", daemon=cell.owner().name if cell.owner() else None)
    return broken


standins.main(FOLDER, play, QUEUES)
