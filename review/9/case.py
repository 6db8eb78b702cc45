"""A worker crashes six times; it is the only one with the label that two jobs require."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import cell as standins

QUEUES = [("plan", 1, 2)]
CRASHES = 6
DOWN_S = 1.0
UP_S = 2.0
LASTING, FINITE = "00000000000000a1", "00000000000000b2"


async def play(cell):
    for number in range(8):
        await cell.add_worker(f"i-{number}", ["a", "r1-1"] if number == 0 else ["b", "r1-1"])
    flaky = cell.workers[0]
    await cell.add_daemons(["sofia-a", "plovdiv-a", "varna-a"])
    await cell.ready()
    await asyncio.sleep(4)

    step = {"count": 1, "cpu": 2000, "mem_mb": 512, "requirements": "a"}
    accepted = [
        await cell.submit("plan", LASTING, [{**step, "estimate_ms": 1000, "long_running": True}],
                          {"ms": 0}),
        await cell.submit("plan", FINITE, [{**step, "estimate_ms": 12000}], {"ms": 12000})]
    if not all(accepted):
        raise RuntimeError("a job was not accepted")
    await asyncio.sleep(2)

    if standins.trouble():
        for _ in range(CRASHES):
            flaky.crash()
            await asyncio.sleep(DOWN_S)
            await flaky.start()
            await asyncio.sleep(UP_S)

    # Calm from here on: 10 s to be in touch again, and 14 s (finish_s) for the jobs.
    await asyncio.sleep(24)
    broken = []
    failed_ends = [line for line in cell.record.of("run.end") if line["how"] == "failed"]
    for job, expected in ((LASTING, "running"), (FINITE, "completed")):
        status, state = await cell.request("GET", "plan", job)
        if state == "failed" and not failed_ends:
            broken.append(f"LOST: {job} is shown as failed; no run of it has ended failed, and "
                          "nobody has cancelled it")
        elif (status, state) != (200, expected):
            broken.append(f"LOST: {job} is answered {status} {state}, not {expected}")
    if not any(key[0].startswith(LASTING) for worker in cell.workers for key in worker.running):
        broken.append(f"LOST: nothing runs of {LASTING}, a job that lasts, though its worker is "
                      "free and calm")
    return broken


standins.main(FOLDER, play, QUEUES)
