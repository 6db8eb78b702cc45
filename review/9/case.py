"""A worker restarts between two polls, runs a task whose first answer is lost, and forgets its end."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import cell as standins

QUEUES = [("photo", 0, 2)]
RESTARTED = 3  # Of eight workers, one at a time.
CYCLES = 9
DOWN_S = 0.3
LOAD_PER_S = 7


async def background(cell, end):
    """Single tasks on the other workers."""
    step = {"count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": 200, "requirements": "other"}
    number = 0x100000
    while standins.now() < end:
        number += 1
        asyncio.create_task(cell.submit("photo", f"{number:016x}", [step], {"ms": 200}, attempts=1))
        await asyncio.sleep(1 / LOAD_PER_S)


async def play(cell):
    for number in range(8):
        kind = f"k{number}" if number < RESTARTED else "other"
        await cell.add_worker(f"i-{number}", [kind, "r1-1"])
    await cell.add_daemons(["sofia-a", "plovdiv-a", "varna-a"])
    await cell.ready()
    await asyncio.sleep(4)
    load = asyncio.create_task(background(cell, standins.now() + CYCLES * 7))

    for cycle in range(CYCLES):
        worker = cell.workers[cycle % RESTARTED]
        step = {"count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": 80,
                "requirements": worker.labels[0]}
        # The life that ends has an end that was noted.
        await cell.submit("photo", f"{cycle + 0x1000:016x}", [step], {"ms": 80})
        await asyncio.sleep(1.6 + 0.13 * cycle)
        if standins.trouble():
            cell.store.compact()
            worker.crash()
            await asyncio.sleep(DOWN_S)
            await worker.start()
            worker.losing = 1
        await cell.submit("photo", f"{cycle + 0x2000:016x}", [step], {"ms": 80})
        await asyncio.sleep(4)
        worker.losing = 0
    await load
    await asyncio.sleep(4)

    broken = []
    noted = {(line["task"], line["run"]) for line in cell.record.of("end.noted")
             if line["how"] == "done"}
    done = {}
    for line in cell.record.of("run.end", "run.start"):
        key = line["task"]
        if line["event"] == "run.end":
            if line["how"] == "done" and (key, line["run"]) in noted:
                done.setdefault(key, line)
        elif key in done:
            broken.append(f"TWICE: {key} run {line['run']} was started at {line['t']}, after run "
                          f"{done[key]['run']} had ended done at {done[key]['t']}, which was noted")
    starts = len(cell.record.of("run.start"))
    lost = len(cell.record.of("answer.lost"))
    cell.record.add("summary", starts=starts, lost_answers=lost, share=round(lost / starts, 4))
    return broken


standins.main(FOLDER, play, QUEUES)
