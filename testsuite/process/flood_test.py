"""Floods: urgent work first, floors for the rest, early truthful refusals, and orders still at most once."""

import time
import unittest

from load import Callers, check_at_most_once, check_refusals
from small_deployment import SmallDeployment

PHASE_S = 5
SERVICE_MS = 100
FLOOD_THREADS = 80  # Ten times the slots of the service in one region.
FLOOD_DEADLINE_MS = 400
READINGS_FLOOR = 0.2

# Both kinds share the slots of one service.
KINDS = f"""kinds:
  - {{name: orders, service: desk, rank: first, idempotent: false, deadline: 4s, service_time: {SERVICE_MS}ms,
     retention: 5min, floor: 30%}}
  - {{name: readings, service: desk, rank: second, idempotent: true, deadline: 3s, service_time: {SERVICE_MS}ms,
     floor: {READINGS_FLOOR:.0%}}}
"""


class FloodTest(unittest.TestCase):
    def run_flood(self, flood, other, seed, check):
        """Callers of one kind flood the pool while a few callers of the other kind go on."""
        with SmallDeployment(kinds=KINDS, service_ms=SERVICE_MS, max_shift="20%") as deployment:
            with Callers(deployment, other, seed=seed, threads=8, pause_s=0) as others, \
                 Callers(deployment, flood, seed=seed + 1, threads=FLOOD_THREADS, pause_s=0,
                         deadline_ms=FLOOD_DEADLINE_MS) as flooding:
                time.sleep(PHASE_S)
            print(f"{other}:", others.counts(), f"{flood}:", flooding.counts(), flush=True)
            check_refusals(self, flooding)
            check_at_most_once(self, deployment, others, flooding)
            self.assertEqual(0, deployment.over_slots())
            check(others.counts(), flooding.counts())

    def test_flood_of_readings_leaves_orders_alone(self):
        def check(orders, _):
            self.assertEqual({"done"}, set(orders), orders)
        self.run_flood("readings", "orders", 71, check)

    def test_flood_of_orders_leaves_readings_their_floor(self):
        def check(readings, orders):
            done = readings.get("done", 0)
            self.assertGreaterEqual(done, 0.75 * READINGS_FLOOR * (done + orders.get("done", 0)))
        self.run_flood("orders", "readings", 73, check)


if __name__ == "__main__":
    unittest.main()
