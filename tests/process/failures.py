"""Process-level failure tests. Each test starts its own cell, sends requests while processes fail,
and compares the answers with the observations of the workers."""

import signal
import sys
import time

import steps
from cell import Cell, StepFailed, call_json
from load import LoadGenerator, count_outcomes


def prepare(cell):
    steps.wait_until_daemons_ready(cell)
    steps.first_configuration(cell)
    steps.start_endpoints(cell)
    steps.wait_for_first_answers(cell)


def owner_killed(cell):
    """Kills an owner. Nothing may run twice or beyond capacity while other daemons take over."""
    job = steps.submit(cell, "noord-1", {"name": "long-sweep"})
    with LoadGenerator("kill", list(cell.daemons.values())) as load:
        time.sleep(3)
        cell.kill("noord-1")
        steps.wait_until_workers_owned(cell, "noord", 40)
        steps.wait_for_state(cell, "noord-2", job, "succeeded", 60)
    return load.answers


def owner_paused(cell):
    """Pauses an owner beyond its lease. It must not assign work after it resumes."""
    job = steps.submit(cell, "noord-1", {"name": "long-sweep"})
    with LoadGenerator("pause", list(cell.daemons.values())) as load:
        time.sleep(3)
        cell.send_signal("noord-1", signal.SIGSTOP)
        time.sleep(18)
        cell.send_signal("noord-1", signal.SIGCONT)
        steps.wait_for_state(cell, "noord-2", job, "succeeded", 60)
        time.sleep(5)
    steps.wait_until_daemons_ready(cell)
    return load.answers


def store_down_for_all(cell):
    """During a store outage, idempotent requests are served and others are refused as not run."""
    with LoadGenerator("outage", list(cell.daemons.values())) as load:
        time.sleep(2)
        cell.faults(outage=True)
        begin = time.monotonic()
        time.sleep(25)
        end = time.monotonic()
        cell.faults(outage=False)
        time.sleep(8)
    during = [a for a in load.answers if begin + 8 < a.sent < end - 3]
    idempotent = count_outcomes(a for a in during if a.idempotent)
    others = count_outcomes(a for a in during if not a.idempotent)
    steps.require(idempotent.get("whole", 0) > 0 and set(idempotent) == {"whole"},
                  f"idempotent requests during the outage: {idempotent}")
    steps.require(set(others) == {"not-run"}, f"other requests during the outage: {others}")
    return load.answers


def store_down_for_one(cell):
    """Cuts off one owner from the store while successors can take over its partitions."""
    with LoadGenerator("partial", list(cell.daemons.values())) as load:
        time.sleep(2)
        cell.faults(outageFor=["noord-1"])
        time.sleep(25)
        cell.faults(outageFor=[])
        time.sleep(8)
        steps.wait_until_workers_owned(cell, "noord", 40)
    return load.answers


def worker_killed(cell):
    """Tasks of a killed worker are restarted on others, but only after their runs on it ended."""
    job = steps.submit(cell, "zuid-1", {"name": "long-sweep"})
    steps.wait_for_state(cell, "zuid-1", job, "running", 20)
    with LoadGenerator("worker", list(cell.daemons.values())) as load:
        time.sleep(2)
        cell.kill("zuid-w0-0")
        call_json(cell.platform, "DELETE", "/v1/vms?name=zuid-w0-0")
        steps.wait_for_state(cell, "zuid-1", job, "succeeded", 90)
    return load.answers


TESTS = (owner_killed, owner_paused, store_down_for_all, store_down_for_one, worker_killed)


def main():
    selected = [test for test in TESTS if not sys.argv[1:] or test.__name__ in sys.argv[1:]]
    failures = 0
    for test in selected:
        start = time.monotonic()
        try:
            with Cell() as cell:
                prepare(cell)
                answers = test(cell)
                result = f"{steps.check_guarantees(cell, answers)}; {count_outcomes(answers)}"
            verdict = "ok"
        except StepFailed as error:
            result, verdict = str(error), "FAILED"
            failures += 1
        print(f"{verdict:6} {test.__name__:20} {time.monotonic() - start:6.1f} s  {result}",
              flush=True)
    print(f"{len(selected) - failures} passed, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
