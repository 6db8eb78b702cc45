"""Shows the system at work: one line for each thing asked. Exits non-zero if a line is not as
stated."""

import sys
import time

import steps
from cell import Cell, Failed

LINES = (
    ("nine daemons become ready", steps.daemons_ready),
    ("the first configuration is in force everywhere", steps.first_configuration),
    ("endpoints of fleetdesk start", steps.start_endpoints),
    ("desk checks are answered", steps.desk_checks),
    ("a batch run finishes", steps.batch_run),
    ("a gang job starts all at once", steps.gang_run),
    ("a job that can never run is refused", steps.infeasible_job),
    ("a configuration change is in force everywhere", steps.configuration_change),
    ("a killed daemon's work is taken over", steps.killed_daemon),
    ("a stopped daemon cuts off no request", steps.graceful_stop),
    ("no worker was overloaded, nothing ran twice", steps.guarantees_held),
)


def main():
    begin = time.monotonic()
    failures = 0
    with Cell() as cell:
        for asked, step in LINES:
            start = time.monotonic()
            try:
                result, mark = step(cell), "ok"
            except Exception as error:  # one failed line must not hide the others
                kind = "" if isinstance(error, Failed) else type(error).__name__ + ": "
                result, mark = f"{kind}{error}", "FAILED"
                failures += 1
            print(f"{mark:6} {asked:48} {time.monotonic() - start:6.1f} s  {result}", flush=True)
    total = time.monotonic() - begin
    print(f"{len(LINES) - failures} of {len(LINES)} lines as stated, {total:.0f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
