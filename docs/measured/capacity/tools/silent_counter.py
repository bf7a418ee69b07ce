"""Computes what one gateway instance admits of a tenant while the counter is unresponsive.

A model of the rule of `take_units` (src/policy/quota.rs) and `customer_timer_fired` (src/policy/leases.rs), not a run of the program: a
full even share of the quota admits a request of one unit and goes into debt, and an account without a request for IDLE_TIMEOUT seconds is
dropped with its debt. Poisson arrivals. Rows go to standard output as CSV.
"""

import csv
import random
import sys

INSTANCES = 420
QUOTA = 97000 / 14000  # units a second
BURST = 2.0 * QUOTA
IDLE_TIMEOUT = 12.0  # seconds until an account is dropped
ARRIVALS = 400_000


def admitted(load, drops):
    """Shares of arrivals admitted, at `load` times the quota; `drops`: whether accounts are dropped when idle."""
    chance = random.Random(1)
    rate, most = QUOTA / INSTANCES, BURST / INSTANCES
    level, granted, now = most, 0, 0.0
    for _ in range(ARRIVALS):
        gap = chance.expovariate(load * rate)
        now += gap
        level = most if drops and gap >= IDLE_TIMEOUT else min(level + rate * gap, most)
        if level >= min(1.0, most):
            level -= 1.0
            granted += 1
    return granted / ARRIVALS, granted / now / rate


def main():
    print("# silent_counter.py: 420 front doors, quota 6.93 units a second, burst of two seconds")
    writer = csv.writer(sys.stdout)
    writer.writerow(["asked_of_quota", "admitted_share", "used_of_quota", "admitted_share_if_kept", "used_of_quota_if_kept"])
    for load in (0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0):
        share, used = admitted(load, True)
        kept, used_kept = admitted(load, False)
        writer.writerow([load, round(share, 3), round(used, 3), round(kept, 3), round(used_kept, 3)])


if __name__ == "__main__":
    main()
