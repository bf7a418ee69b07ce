"""Fits a straight line to two columns of a CSV file by least squares and prints slope, intercept and residual.

usage: fit.py FILE X Y [COLUMN=VALUE ...]     rows that match all conditions, lines with # left out
"""

import csv
import statistics
import sys


def main():
    name, x, y, *conditions = sys.argv[1:]
    wanted = dict(c.split("=", 1) for c in conditions)
    with open(name) as file:
        rows = list(csv.DictReader(line for line in file if not line.startswith("#")))
    rows = [r for r in rows if all(r[k] == v for k, v in wanted.items())]
    xs, ys = [float(r[x]) for r in rows], [float(r[y]) for r in rows]
    line = statistics.linear_regression(xs, ys)
    residuals = [b - (line.intercept + line.slope * a) for a, b in zip(xs, ys)]
    worst = max(abs(r) for r in residuals)
    root = (sum(r * r for r in residuals) / len(residuals)) ** 0.5
    print(f"{name} {' '.join(conditions)}: {y} = {line.intercept:.6g} + {line.slope:.6g} * {x}; {len(xs)} points, {x} {min(xs):g} to {max(xs):g}; residual root mean square {root:.4g}, largest {worst:.4g}, r2 {statistics.correlation(xs, ys) ** 2:.4f}")


if __name__ == "__main__":
    main()
