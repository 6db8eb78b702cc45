"""Tasks that last fail from time to time. Each has to be started again, however it ended.

18 tasks of 2 cores last on 6 workers of 32 cores. With TROUBLE=1 each run fails after 10 to 30 s;
with TROUBLE=0 no run fails.
"""

import random
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import cell as standins  # noqa: E402

WORKERS = 6
JOBS = 6
TASKS = 3
CPU = 2000
WATCHED_S = 90
# LOST: from 6 s after its last run, for 3 s.
STANDS_STILL_S = 6 + 3


async def play(cell):
    draw = random.Random(11)

    def behaviour(task, run):
        return (draw.uniform(10, 30) if cell.trouble else 1000.0), "failed"

    async def make_workers(target):
        for number in range(WORKERS):
            worker = await target.add_worker("i-%08x" % (0x7f3a91c0 + number),
                                             {"cpu": 32000, "mem_mb": 65536, "gpu": 0},
                                             ["a", "r1-1"], behaviour)
            worker.lasting = True

    cell.route("r-lasting", "/pule252/", priority=1, max_attempts=2)
    await cell.start(make_workers)
    jobs = ["5c0e7a21d94b%04x" % number for number in range(JOBS)]
    job = {"spec": "lasting", "steps": [{"count": TASKS, "cpu": CPU, "mem_mb": 2048,
                                         "estimate_ms": 400, "long_running": True,
                                         "anti_affinity": 1}]}
    for identity in jobs:
        if not await cell.submit("/pule252/", identity, job):
            raise standins.CannotRun("a job was not accepted")
    tasks = ["%s.0.0.%d" % (identity, index) for identity in jobs for index in range(TASKS)]

    async def all_run():
        return cell.tasks_running() == len(tasks)
    await cell.until("all tasks run", all_run, 15)

    breaches = {}
    end = cell.record.now() + WATCHED_S
    while cell.record.now() < end:
        await asyncio.sleep(0.5)
        running = cell.tasks_running()
        cell.record.note("%d of %d tasks are running" % (running, len(tasks)))
        half_free = 2 * running * CPU < WORKERS * 32000
        for task in tasks:
            if cell.is_running(task) or task in breaches or not half_free:
                continue
            still = cell.record.now() - cell.last_end(task)
            if still > STANDS_STILL_S:
                breaches[task] = ("LOST: %s lasts, its job is not cancelled, and it has not run for "
                                  "%.1f s; %d tasks of 2 cores run on %d sound workers of 32 cores"
                                  % (task, still, running, WORKERS))
                cell.record.note(breaches[task])
    for identity in jobs:
        await cell.state("/pule252/", identity)
    return list(breaches.values())


standins.run_case(os.path.dirname(os.path.abspath(__file__)), play, limit_s=114)
