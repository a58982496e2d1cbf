"""Backend servers that are dead, slow, cold, shedding or lying."""

import time
import unittest

from load import Callers, check_at_most_once
from small_deployment import SmallDeployment

PHASE_S = 1.5
WEST = (("desk", "west"), ("view", "west"))


class BackendFaultsTest(unittest.TestCase):
    def run_faults(self, seed, fault, outcomes=("done",), relays=()):
        """One server of each service in west is faulty: outcomes of readings, slots, at most once."""
        with SmallDeployment(relays=relays) as deployment:
            with Callers(deployment, "orders", seed=seed) as orders, \
                 Callers(deployment, "readings", seed=seed + 1) as readings:
                time.sleep(PHASE_S)
                for service, region in WEST:
                    fault(deployment, service, deployment.backends[service, region][0])
                time.sleep(3 * PHASE_S)
            print("told:", orders.counts(), readings.counts(), flush=True)
            self.assertLessEqual(set(readings.counts()), set(outcomes))
            check_at_most_once(self, deployment, orders)
            self.assertEqual(0, deployment.over_slots())

    def test_one_server_dead(self):
        def fault(deployment, service, _):
            deployment.backend_faults(deployment.relays[service, "west"][0].ports[1], cut=True)
        self.run_faults(101, fault, relays=WEST)

    def test_one_server_slow(self):
        self.run_faults(103, lambda deployment, _, port: deployment.backend_faults(port, slow_factor=20))

    def test_one_server_lies_about_health_and_load(self):
        self.run_faults(105, lambda deployment, _, port: deployment.backend_faults(port, unhealthy=True, load_lie=100))

    def test_one_server_sheds_all_work(self):
        self.run_faults(107, lambda deployment, _, port: deployment.backend_faults(port, leaving=True))


if __name__ == "__main__":
    unittest.main()
