#!/usr/bin/env python3
"""store_load.py LOG [STEP_S]: what a fleet asks of the store, from the logs of all its nodes.

Reads lines "TIME NODE ... event=store_traffic ..." and prints for each step of time, topic and reason: the nodes that
called, calls, how they ended, megabytes received and how many of them were discarded. Nodes report twice a second.
"""
import collections
import re
import sys

EVENT = re.compile(r"^\s*(-?\d+\.\d+) (\S+) .*?event=store_traffic (.*)")
SUMS = ("calls", "answered", "refused", "unanswered", "bytes", "unused_bytes")


def main():
    step = float(sys.argv[2]) if len(sys.argv) > 2 else 1.0
    rows = collections.defaultdict(collections.Counter)
    nodes = collections.defaultdict(set)
    with open(sys.argv[1], errors="replace") as log:
        for line in log:
            match = EVENT.match(line)
            if not match:
                continue
            fields = dict(part.split("=", 1) for part in match[3].split() if "=" in part)
            key = (int(float(match[1]) // step), fields["topic"].split("/")[-1], fields["reason"])
            nodes[key].add(match[2])
            for name in SUMS:
                rows[key][name] += int(fields[name])
    print("    time topic reason nodes calls answered refused unanswered MB discarded_MB")
    for key in sorted(rows):
        sums = rows[key]
        print(f"{key[0] * step:8.1f} {key[1]} {key[2]} {len(nodes[key])} {sums['calls']} {sums['answered']} {sums['refused']} "
              f"{sums['unanswered']} {sums['bytes'] / 1e6:.2f} {sums['unused_bytes'] / 1e6:.2f}")


if __name__ == "__main__":
    main()
