#!/usr/bin/env python3
"""Adds up a fleet's logs by second: one line a second with the sums of what all gateways did.

    tools/fleet_table.py FOLDER [--each]

FOLDER holds one log a gateway, whose lines begin with a time in seconds. `--each` prints a line for each gateway and
second instead. Reads nothing but lines of the form `12.345 did name=count ...`.
"""
import collections
import pathlib
import re
import sys

LINE = re.compile(r"^(\d+\.\d+) did (.*)$")
STATES = {"open", "out", "places", "hosts", "cold", "avoided", "clients", "late"}  # means and no sums


def read(folder):
    for log in sorted(pathlib.Path(folder).glob("*.log")):
        for line in log.read_text(errors="replace").splitlines():
            found = LINE.match(line)
            if found:
                pairs = dict(p.split("=", 1) for p in found.group(2).split() if "=" in p)
                yield log.stem, int(float(found.group(1))), {k: int(v) for k, v in pairs.items()}


def main(arguments):
    if not arguments or arguments[0].startswith("-"):
        sys.exit(__doc__)
    each = "--each" in arguments
    rows = collections.defaultdict(collections.Counter)
    for gateway, second, counts in read(arguments[0]):
        row = rows[(second, gateway) if each else (second,)]
        row.update(counts)
        row["gateways"] += 1
    names = []
    for row in rows.values():
        names += [n for n in row if n not in names]
    print("second", *(["gateway"] if each else []), *names, sep="\t")
    for key in sorted(rows):
        row = rows[key]
        value = {n: row[n] // row["gateways"] if n in STATES else row[n] for n in names}
        print(*key, *(value[n] for n in names), sep="\t")


if __name__ == "__main__":
    main(sys.argv[1:])
