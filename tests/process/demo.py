"""Demonstrates the system in a series of steps and prints one line for each. Exits with a non-zero
status if a step fails."""

import sys
import time

import steps
from cell import Cell, StepFailed

STEPS = (
    ("nine daemons become ready", steps.wait_until_daemons_ready),
    ("the first configuration is in force everywhere", steps.first_configuration),
    ("endpoints of fleetdesk start", steps.start_endpoints),
    ("desk check requests are answered", steps.desk_checks),
    ("a batch job finishes", steps.batch_run),
    ("all tasks of a gang job start together", steps.gang_run),
    ("a job that can never run is refused", steps.infeasible_job),
    ("a configuration change is in force everywhere", steps.configuration_change),
    ("the work of a killed daemon is taken over", steps.killed_daemon),
    ("a graceful stop interrupts no request", steps.graceful_stop),
    ("no worker overloaded, no duplicate execution", steps.check_guarantees),
)


def main():
    begin = time.monotonic()
    failures = 0
    with Cell() as cell:
        for description, step in STEPS:
            start = time.monotonic()
            try:
                result, verdict = step(cell), "ok"
            except Exception as error:  # a failed step must not prevent the others
                kind = "" if isinstance(error, StepFailed) else type(error).__name__ + ": "
                result, verdict = f"{kind}{error}", "FAILED"
                failures += 1
            print(f"{verdict:6} {description:48} {time.monotonic() - start:6.1f} s  {result}",
                  flush=True)
    total = time.monotonic() - begin
    print(f"{len(STEPS) - failures} of {len(STEPS)} steps passed, {total:.0f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
