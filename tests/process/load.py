"""Sends requests to daemons and records the outcome of each."""

import dataclasses
import http.client
import itertools
import json
import threading
import time

from cell import call


@dataclasses.dataclass
class Answer:
    key: str
    idempotent: bool
    outcome: str  # "whole", "not-run", "unknown", "broken", or "foreign": answer to another request
    seconds: float
    sent: float  # on the monotonic clock
    detail: str


def send(address, key, idempotent, service="fleetdesk", query="", deadline_ms=2000):
    body = f"check {key}"
    headers = {"X-Caller": "booking-router", "X-Deadline-Ms": str(deadline_ms),
               "Content-Type": "text/plain", "Idempotency-Key": key,
               "X-Idempotent": "true" if idempotent else "false"}
    sent = time.monotonic()
    outcome, detail = "broken", ""
    try:
        status, answered, text = call(address, "POST", f"/services/{service}/check{query}", body,
                                      headers, timeout=deadline_ms / 1000 + 5)
        outcome = answered.get("X-Outcome") or f"status {status}"
        detail = text[:300]
        if outcome == "whole" and (status != 200 or json.loads(text).get("echo") != body):
            outcome = "foreign"
    except (OSError, http.client.HTTPException, ValueError) as error:
        detail = repr(error)
    return Answer(key, idempotent, outcome, time.monotonic() - sent, sent, detail)


class LoadGenerator:
    """Sends requests to daemons in turn until stopped. Every second request is not idempotent."""

    def __init__(self, name, addresses, threads=6, pause_s=0.05):
        self.answers = []
        self._name = name
        self._addresses = addresses
        self._pause_s = pause_s
        self._numbers = itertools.count()
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(threads)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self):
        while not self._stop.is_set():
            number = next(self._numbers)
            address = self._addresses[number % len(self._addresses)]
            self.answers.append(send(address, f"{self._name}-{number}", number % 2 == 0))
            self._stop.wait(self._pause_s)


def count_outcomes(answers):
    counts = {}
    for answer in answers:
        counts[answer.outcome] = counts.get(answer.outcome, 0) + 1
    return counts
