"""A worker has more than 500 ends of which the system has not taken note.

Two workers of 32 cores run 800 small tasks of 7 to 10 s. With TROUBLE=1 the store is down for 4.5 s
while they end, so that no end can be taken note of; with TROUBLE=0 it stays up.
"""

import random
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import cell as standins  # noqa: E402

JOBS = 20
TASKS = 40
SHORTEST_S = 7.0
LONGEST_S = 10.0
OUTAGE_S = 4.5


def starts_after_done(cell):
    """Starts of a task after a run of it had ended done, where that end was taken note of."""
    done = {}
    for worker in cell.workers:
        for when, task, run, how, _ in worker.ends:
            if how == "done" and (task, run) in worker.seen_ends:
                done.setdefault(task, []).append((when, run, worker.name))
    found = []
    for worker in cell.workers:
        for when, task, run in worker.starts:
            before = [end for end in done.get(task, []) if end[0] < when]
            if before:
                ended, first, name = before[0]
                found.append("TWICE: %s run %d was started at %.3f, after run %d of it had ended "
                             "done at %.3f on %s; that end was taken note of"
                             % (task, run, when, first, ended, name))
    return found


async def play(cell):
    draw = random.Random(7)
    lengths = {}

    def behaviour(task, run):
        return lengths.setdefault(task, draw.uniform(SHORTEST_S, LONGEST_S)), "done"

    async def make_workers(target):
        for number in range(2):
            await target.add_worker("i-%08x" % (0x7f3a91c0 + number),
                                    {"cpu": 32000, "mem_mb": 65536, "gpu": 0}, ["a", "r1-1"],
                                    behaviour)

    cell.route("r-small", "/pufi791/")
    await cell.start(make_workers)
    jobs = ["5c0e7a21d94b%04x" % number for number in range(JOBS)]
    job = {"spec": "small", "steps": [{"count": TASKS, "cpu": 40, "mem_mb": 40,
                                       "estimate_ms": 8500}]}
    accepted = await asyncio.gather(*[cell.submit("/pufi791/", one, job) for one in jobs])
    if not all(accepted):
        raise standins.CannotRun("a job was not accepted")

    async def all_started():
        return sum(len(worker.starts) for worker in cell.workers) >= JOBS * TASKS
    await cell.until("all tasks were started", all_started, 6)
    begun = min(start[0] for worker in cell.workers for start in worker.starts)
    await asyncio.sleep(max(0.0, begun + SHORTEST_S - 1.0 - cell.record.now()))
    if cell.trouble:
        cell.store.down = "busy"
        cell.record.note("the store is down (busy)")
    await asyncio.sleep(OUTAGE_S)
    if cell.trouble:
        cell.record.note("ends that were not taken note of, by worker: %s"
                         % [len(worker.finished) for worker in cell.workers])
        cell.store.down = ""
        cell.record.note("the store is up again")
    await asyncio.sleep(20)
    for identity in jobs:
        await cell.state("/pufi791/", identity)
    if any(worker.lapses for worker in cell.workers):
        raise standins.CannotRun("a lease lapsed, which excuses a second start")
    return starts_after_done(cell)


standins.run_case(os.path.dirname(os.path.abspath(__file__)), play)
