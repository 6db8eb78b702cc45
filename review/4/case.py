"""A task that lasts ends done. It has to be started again, however it ended.

A job of three tasks that last runs on four workers. With TROUBLE=1 the first run of one of them ends
done after 5 s; with TROUBLE=0 no run ends.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import cell as standins  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASKS = 3
ENDS_AFTER_S = 5.0
# LOST: from 6 s after its last run, for 3 s. Three more to be on the safe side.
WATCHED_S = 6 + 3 + 3


async def play(cell):
    def behaviour(task, run):
        first = not any(start[1] == task for worker in cell.workers for start in worker.starts)
        if cell.trouble and first and task == JOB + ".0.0.0":
            return ENDS_AFTER_S, "done"
        return 1000.0, "failed"

    async def make_workers(target):
        for number in range(4):
            worker = await target.add_worker("i-%08x" % (0x7f3a91c0 + number),
                                             {"cpu": 32000, "mem_mb": 65536, "gpu": 0},
                                             ["a", "r1-1"], behaviour)
            worker.lasting = True

    cell.route("r-lasting", "/pule252/", priority=1, max_attempts=2)
    await cell.start(make_workers)
    job = {"spec": "lasting", "steps": [{"count": TASKS, "cpu": 2000, "mem_mb": 2048,
                                         "estimate_ms": 400, "long_running": True}]}
    if not await cell.submit("/pule252/", JOB, job):
        raise standins.CannotRun("the job was not accepted")

    async def all_run():
        return cell.tasks_running() == TASKS
    await cell.until("the tasks run", all_run, 15)
    await asyncio.sleep(ENDS_AFTER_S + WATCHED_S)
    state = await cell.state("/pule252/", JOB)
    breaches = []
    for index in range(TASKS):
        task = "%s.0.0.%d" % (JOB, index)
        ended = cell.last_end(task)
        if not cell.is_running(task) and ended is not None and cell.record.now() - ended > 9:
            breaches.append("LOST: %s lasts, its job is not cancelled (shown as %s), and it has not "
                            "run for %.1f s; four sound workers have room"
                            % (task, state, cell.record.now() - ended))
    return breaches


standins.run_case(os.path.dirname(os.path.abspath(__file__)), play)
