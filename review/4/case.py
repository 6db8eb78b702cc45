"""A large gang waits for room that it does not get. A small task must be started meanwhile.

Two jobs of one task that lasts run on four workers of 32 cores. With TROUBLE=1 a gang of eight tasks
of 16 cores and a higher priority comes, which does not fit beside them. In both cases the task of the
second job fails once, one second later.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import cell as standins  # noqa: E402

FIRST = "00000000000000a1"
SECOND = "00000000000000a2"
GANG = "00000000000000b1"
# LOST: from 6 s after its last run, for 3 s.
STANDS_STILL_S = 6 + 3


async def play(cell):
    def behaviour(task, run):
        return 1000.0, "failed"

    async def make_workers(target):
        for number in range(4):
            worker = await target.add_worker("i-%08x" % (0x7f3a91c0 + number),
                                             {"cpu": 32000, "mem_mb": 65536, "gpu": 0},
                                             ["a", "r1-1"], behaviour)
            worker.lasting = True

    cell.route("r-lasting", "/pule252/", priority=1, max_attempts=2)
    cell.route("r-gang", "/pufi791/", priority=0, max_attempts=2, extension=2.2,
               target_runtime_ms=1200)
    await cell.start(make_workers)
    lasting = {"spec": "lasting", "steps": [{"count": 1, "cpu": 2000, "mem_mb": 2048,
                                             "estimate_ms": 400, "long_running": True}]}
    gang = {"spec": "gang", "steps": [{"count": 8, "cpu": 16000, "mem_mb": 20000,
                                       "estimate_ms": 15000, "gang": True}]}
    for identity in (FIRST, SECOND):
        if not await cell.submit("/pule252/", identity, lasting):
            raise standins.CannotRun("a job was not accepted")

    async def both_run():
        return cell.tasks_running() == 2
    await cell.until("both tasks run", both_run, 15)
    if cell.trouble and not await cell.submit("/pufi791/", GANG, gang):
        raise standins.CannotRun("the gang was not accepted")
    await asyncio.sleep(1)
    task = SECOND + ".0.0.0"
    for worker in cell.workers:
        for key in list(worker.running):
            if key[0] == task:
                worker.finish(key, "failed")
    ended = cell.last_end(task)
    while cell.record.now() - ended < 40:
        await asyncio.sleep(0.25)
        if cell.is_running(task):
            break
    still = cell.record.now() - ended
    cell.record.note("%s %s after %.1f s" % (task, "runs" if cell.is_running(task) else
                                             "does not run", still))
    if still <= STANDS_STILL_S:
        return []
    return ["LOST: %s lasts, its job is not cancelled, and it did not run for %.1f s, with 2 of 128 "
            "cores in use" % (task, still)]


standins.run_case(os.path.dirname(os.path.abspath(__file__)), play)
