#!/usr/bin/env python3
"""Turns the load tool's closing JSON line (standard input) into one line of counts.

Exits with 1 when an answer was lost, wrong or doubled, or a refusal wrongly said not run.
"""

import json
import sys

ASKED = ("asked", "whole", "refused_not_run", "unknown", "lost", "wrong")
AT_SERVICES = ("doubled", "wrongly_not_run")
MUST_BE_ZERO = ("lost", "wrong") + AT_SERVICES


def main():
    result = json.loads(sys.stdin.read())
    counts = {name: result[name] for name in ASKED}
    counts.update({name: result.get("service", {}).get(name, 0) for name in AT_SERVICES})
    print("counts:", " ".join(f"{name}={value}" for name, value in counts.items()))
    sys.exit(any(counts[name] for name in MUST_BE_ZERO))


if __name__ == "__main__":
    main()
