"""Hostile clients and peers. Each case starts its own daemon and stand-ins, one case after another.

A case asserts only what does not depend on the speed of the machine: the process lives, its memory
and open descriptors stay under a bound, and ordinary requests are answered. Failing cases of open
issues are listed in KNOWN-RED.txt in lines "untrusted NAME: WHAT WAS SEEN".
"""

import concurrent.futures
import re
import signal
import sys
import time

import untrustedclients
import untrustedpeers
import untrustedrequestd
from cell import ROOT, StepFailed
from untrustedcell import raise_descriptor_limit

CASES = {**untrustedclients.CASES, **untrustedpeers.CASES, **untrustedrequestd.CASES}


def known_red():
    text = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8")
    return set(re.findall(r"^untrusted (\w+)", text, re.MULTILINE))


def play(case):
    """Returns the breaches and the figures of one case."""
    try:
        report = case()
        return report.breaches, report.figures
    except (StepFailed, OSError, ValueError, concurrent.futures.TimeoutError) as error:
        return [f"cannot be judged: {type(error).__name__}: {error}"], ""


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    raise_descriptor_limit()
    unknown = set(sys.argv[1:]) - set(CASES)
    if unknown:
        sys.exit(f"no such case: {', '.join(sorted(unknown))}")
    red = known_red()
    unexpected = 0
    for name in sys.argv[1:] or CASES:
        start = time.monotonic()
        breaches, figures = play(CASES[name])
        verdict = "FAIL" if breaches else "PASS"
        note = ""
        if name in red:
            note = " (known red)" if breaches else " (listed in KNOWN-RED.txt, but passes)"
        elif breaches:
            unexpected += 1
        print(f"{verdict} {name}{note}: {time.monotonic() - start:.1f} s; {figures}", flush=True)
        for breach in breaches:
            print(f"     {breach}", flush=True)
    print(f"{unexpected} unexpected failures")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
