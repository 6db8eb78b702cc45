"""Bounds of a daemon under hostile clients, and the checks that each case makes."""

import concurrent.futures
import dataclasses

from cell import StepFailed, wait_until

SMALLEST_MACHINE_DESCRIPTORS = 3075
SMALLEST_MACHINE_MEMORY_MB = 120
# So low that a small crowd exceeds it.
MEMORY_MB = SMALLEST_MACHINE_MEMORY_MB // 2
DESCRIPTORS = 256
# Descriptors that must stay free for new connections to the store, workers and other daemons.
SPARE_DESCRIPTORS = 16
CLIENT_CONNECTIONS = 128
# Far above the time of a request on a busy machine. Only a failing check waits that long.
PATIENCE_S = 30
# Patience of the checks that follow a breach: the case has failed, they only complete the report.
PATIENCE_AFTER_BREACH_S = 5


@dataclasses.dataclass(frozen=True)
class Limits:
    memory_mb: int = MEMORY_MB
    descriptors: int = DESCRIPTORS
    http: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Report:
    """What a case saw."""

    breaches: list = dataclasses.field(default_factory=list)
    figures: str = ""

    def patience_s(self):
        return PATIENCE_AFTER_BREACH_S if self.breaches else PATIENCE_S

    def expect(self, what, check):
        """Records a breach if check() raises StepFailed."""
        try:
            check()
        except StepFailed as error:
            self.breaches.append(f"{what}: {error}")


def check_process(cell, report, when):
    if not cell.monitor.alive():
        report.breaches.append(f"{when}: the daemon has ended, {cell.monitor.process.returncode}")
        return False
    memory = cell.monitor.peak_memory_mb()
    if memory > cell.limits.memory_mb:
        report.breaches.append(f"{when}: peak memory {memory:.0f} MB, "
                               f"bound {cell.limits.memory_mb} MB")
    bound = cell.limits.descriptors - SPARE_DESCRIPTORS
    if cell.monitor.peak_descriptors > bound:
        report.breaches.append(f"{when}: {cell.monitor.peak_descriptors} open descriptors, "
                               f"bound {bound}")
    report.figures = f"peak {memory:.0f} MB, {cell.monitor.peak_descriptors} descriptors"
    return True


def check_service(cell, report, when):
    """An ordinary client and a load balancer are served."""
    patience_s = report.patience_s()
    with concurrent.futures.ThreadPoolExecutor() as threads:
        ready = threads.submit(wait_until, patience_s, "the daemon is ready", cell.ready)
        report.expect(f"{when}: ordinary request", lambda: cell.run_job(patience_s))
        report.expect(f"{when}: readiness", ready.result)
