"""Service goes on on the last configuration and epoch while the platform is down, slow or behind."""

import time
import unittest

from heather_harness import wait_until
from load import Callers, check_at_most_once
from small_deployment import CALLER, SmallDeployment

PHASE_S = 1.5
OUTAGE_S = 7


class StaticStabilityTest(unittest.TestCase):
    def run_outage(self, seed, fault, planners=1):
        """Every request has to be done, whatever `fault` does to the platform and the planners."""
        with SmallDeployment(planners=planners) as deployment:
            with Callers(deployment, "orders", seed=seed) as orders, \
                 Callers(deployment, "readings", seed=seed + 1) as readings:
                time.sleep(PHASE_S)
                fault(deployment)
                time.sleep(OUTAGE_S)
            for callers in (orders, readings):
                self.assertEqual({"done"}, set(callers.counts()), callers.counts())
            check_at_most_once(self, deployment, orders)

    def test_platform_down_and_planner_killed(self):
        def fault(deployment):
            deployment.platform_faults(down=True)
            deployment.processes["planner-0"].kill()
        self.run_outage(41, fault)

    def test_platform_slow(self):
        self.run_outage(43, lambda deployment: deployment.platform_faults(delay_ms=1500))

    def test_platform_killed(self):
        self.run_outage(45, lambda deployment: deployment.platform.kill())

    def test_planner_killed_and_another_takes_over(self):
        with SmallDeployment(planners=2) as deployment:
            holder = next(name for name in ("planner-0", "planner-1") if "lease taken" in deployment.log(name))
            other = "planner-1" if holder == "planner-0" else "planner-0"
            deployment.processes[holder].kill()
            deployment.start_entry("west-c", "west", "west-a", "127.0.1.3")
            wait_until(lambda: "lease taken" in deployment.log(other), "the other planner takes the lease")
            deployment.wait_ready(deployment.entries.values(), 5)

    def test_killed_host_that_the_list_still_shows(self):
        with SmallDeployment() as deployment:
            deployment.platform_faults(list_lag_ms=5000)
            home = deployment.home_of("west")
            with Callers(deployment, "orders", seed=47) as orders, Callers(deployment, "readings", seed=48) as readings:
                time.sleep(PHASE_S)
                home.kill()
                time.sleep(2 * PHASE_S)
            print("told:", orders.counts(), readings.counts(), flush=True)
            check_at_most_once(self, deployment, orders)
            alive = next(entry for entry in deployment.entries.values() if entry is not home)
            for number in range(20):
                status, headers, _ = deployment.work(alive, "readings", f"b{number}", None, CALLER["west"])
                self.assertEqual((200, "done"), (status, headers["Heather-Outcome"]))


if __name__ == "__main__":
    unittest.main()
