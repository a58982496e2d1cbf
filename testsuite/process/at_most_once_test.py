"""Orders run at most once and are reported truthfully, through kills, freezes and outages."""

import time
import unittest

from heather_harness import wait_until
from load import Callers, check_at_most_once
from small_deployment import CALLER, SmallDeployment

# Load before and after a fault; long enough for some hundred orders.
PHASE_S = 1.5


class AtMostOnceTest(unittest.TestCase):
    def run_fault(self, fault, seed, repair=None, retries=2):
        with SmallDeployment() as deployment:
            with Callers(deployment, seed=seed, retries=retries) as callers:
                time.sleep(PHASE_S)
                fault(deployment)
                time.sleep(2 * PHASE_S)
                if repair:
                    repair(deployment)
                time.sleep(PHASE_S)
            print("told:", callers.counts(), flush=True)
            self.assertGreater(callers.counts().get("done", 0), 100)
            check_at_most_once(self, deployment, callers)
            self.assertEqual(0, deployment.over_slots())

    def test_home_killed(self):
        self.run_fault(lambda deployment: deployment.home_of("west").kill(), seed=11)

    def test_home_killed_while_the_store_is_down(self):
        def fault(deployment):
            home = deployment.home_of("west")
            deployment.platform_faults(down=True)
            home.kill()
        self.run_fault(fault, seed=12, repair=lambda deployment: deployment.platform_faults(down=False))

    def test_home_frozen_and_resumed(self):
        frozen = []

        def fault(deployment):
            frozen.append(deployment.home_of("west"))
            frozen[0].freeze()
        self.run_fault(fault, seed=13, repair=lambda deployment: frozen[0].resume())

    def test_buddy_killed(self):
        def fault(deployment):
            home = deployment.home_of("west")
            for entry in deployment.entries.values():
                if entry.region == "west" and entry is not home:
                    entry.kill()
        self.run_fault(fault, seed=14)

    def test_home_killed_and_restarted_at_once(self):
        def fault(deployment):
            home = deployment.home_of("west")
            home.kill()
            deployment.entries[home.name] = deployment.start_entry(
                home.name, home.region, home.domain, home.address)
        self.run_fault(fault, seed=15)

    def test_backend_servers_that_die_after_the_effect(self):
        def fault(deployment):
            for port in deployment.backend_ports("desk"):
                deployment.backend_faults(port, die_after_effect=5)
        self.run_fault(fault, seed=16)

    def test_a_retry_gets_the_same_answer_at_any_host(self):
        with SmallDeployment() as deployment:
            answers = []
            for entry in deployment.entries.values():
                answers.append(deployment.work(entry, "orders", "b", "same-key", CALLER["west"]))
            self.assertEqual([200] * 4, [status for status, _, _ in answers])
            self.assertEqual(1, len({str(body) for _, _, body in answers}))
            self.assertEqual(1, deployment.runs()["same-key"])
            status, headers, body = deployment.work(entry, "orders", "other", "same-key", CALLER["west"])
            self.assertEqual((422, "key-reused"), (status, body["reason"]))


if __name__ == "__main__":
    unittest.main()
