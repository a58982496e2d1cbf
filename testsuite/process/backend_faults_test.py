"""Backend servers that are dead, slow, cold, shedding or lying."""

import time
import unittest

from load import Callers, check_at_most_once
from small_deployment import SmallDeployment

PHASE_S = 1.5
WEST = (("desk", "west"), ("view", "west"))


class BackendFaultsTest(unittest.TestCase):
    def run_faults(self, seed, fault, kind, relays=()):
        """One server of each service in west is faulty: slots, at most once, and all work of `kind` is done."""
        with SmallDeployment(relays=relays) as deployment:
            with Callers(deployment, "orders", seed=seed) as orders, \
                 Callers(deployment, "readings", seed=seed + 1) as readings:
                time.sleep(PHASE_S)
                for service, region in WEST:
                    fault(deployment, service, deployment.backends[service, region][0])
                time.sleep(3 * PHASE_S)
            for callers in (orders, readings):
                print("told:", callers.kind, callers.counts(), callers.reasons(), flush=True)
            check_at_most_once(self, deployment, orders)
            self.assertEqual(0, deployment.over_slots())
            checked = orders if kind == "orders" else readings
            # An order that ran when its server died is unknown.
            self.assertNotIn("not-run", checked.counts())

    @staticmethod
    def cut_off(deployment, service, _):
        deployment.backend_faults(deployment.relays[service, "west"][0].ports[1], cut=True)

    @staticmethod
    def shed(deployment, _, port):
        deployment.backend_faults(port, leaving=True)

    def test_orders_go_on_with_one_server_dead(self):
        self.run_faults(101, self.cut_off, "orders", WEST)

    def test_readings_go_on_with_one_server_dead(self):
        self.run_faults(103, self.cut_off, "readings", WEST)

    def test_orders_go_on_with_one_server_that_sheds_all(self):
        self.run_faults(105, self.shed, "orders")

    def test_readings_go_on_with_one_server_that_sheds_all(self):
        self.run_faults(107, self.shed, "readings")

    def test_one_server_slow(self):
        self.run_faults(109, lambda deployment, _, port: deployment.backend_faults(port, slow_factor=20), "readings")

    def test_one_server_lies_about_health_and_load(self):
        self.run_faults(111, lambda deployment, _, port: deployment.backend_faults(port, unhealthy=True, load_lie=100),
                        "readings")


if __name__ == "__main__":
    unittest.main()
