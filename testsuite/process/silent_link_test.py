"""Open connections to backend servers that go silent for good while new ones work."""

import time
import unittest

from heather_harness import wait_until
from load import Callers, check_at_most_once
from small_deployment import CALLER, SmallDeployment

PHASE_S = 1.5
CONNECTION_DOUBT_S = 0.5
# The deadline of orders; by then every request on a silent connection has ended.
DEADLINE_S = 4
WEST = (("desk", "west"), ("view", "west"))


class SilentLinkTest(unittest.TestCase):
    def test_orders_avoid_connections_that_were_silent_for_long(self):
        with SmallDeployment(relays=WEST) as deployment:
            with Callers(deployment, "orders", seed=51):
                time.sleep(PHASE_S)
            time.sleep(2 * CONNECTION_DOUBT_S)
            deployment.relay_faults("desk", "west", silence=True)
            with Callers(deployment, "orders", seed=52) as orders:
                time.sleep(PHASE_S)
            self.assertEqual({"done"}, set(orders.counts()), orders.counts())
            check_at_most_once(self, deployment, orders)

    def test_silence_under_load(self):
        with SmallDeployment(relays=WEST) as deployment:
            with Callers(deployment, "orders", seed=53, retries=2) as orders, \
                 Callers(deployment, "readings", seed=54) as readings:
                time.sleep(PHASE_S)
                for pool in WEST:
                    deployment.relay_faults(*pool, silence=True)
                time.sleep(DEADLINE_S + PHASE_S)
            print("told:", orders.counts(), readings.counts(), flush=True)
            check_at_most_once(self, deployment, orders)
            self.assertEqual(0, deployment.over_slots())
            with Callers(deployment, "orders", seed=55) as orders, Callers(deployment, "readings", seed=56) as readings:
                time.sleep(PHASE_S)
            for callers in (orders, readings):
                self.assertEqual({"done"}, set(callers.counts()), callers.counts())

    def test_readings_recover_from_a_silent_connection(self):
        with SmallDeployment(relays=WEST) as deployment:
            entry = deployment.entries["west-a"]

            def reading_is_done():
                return deployment.work(entry, "readings", "b", None, CALLER["west"])[0] == 200
            self.assertTrue(all(reading_is_done() for _ in range(5)))
            deployment.relay_faults("view", "west", silence=True)
            wait_until(lambda: all(reading_is_done() for _ in range(20)), "twenty readings done in a row")

    def test_answers_held_back_and_released_reach_nobody_else(self):
        with SmallDeployment(relays=WEST) as deployment:
            with Callers(deployment, "orders", seed=57, retries=2) as orders:
                time.sleep(PHASE_S)
                deployment.relay_faults("desk", "west", cut_from_target=True)
                time.sleep(DEADLINE_S + 0.5)
                deployment.relay_faults("desk", "west", cut_from_target=False)
                time.sleep(PHASE_S)
            print("told:", orders.counts(), flush=True)
            check_at_most_once(self, deployment, orders)


if __name__ == "__main__":
    unittest.main()
