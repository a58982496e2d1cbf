"""A shift of traffic never exceeds its cap, and no backend server gets more than its slots."""

import time
import unittest

from heather_harness import wait_until
from load import Callers, check_at_most_once, check_caps
from small_deployment import SmallDeployment

PHASE_S = 1.5
CAP = 0.2
WEST = (("desk", "west"), ("view", "west"))


class CapsTest(unittest.TestCase):
    def run_fault(self, seed, faults, relays=()):
        """Load on both kinds while `faults` run one after the other; then the cap, the slots and the outcomes."""
        with SmallDeployment(max_shift=f"{CAP:.0%}", relays=relays) as deployment:
            with Callers(deployment, "orders", seed=seed) as orders, \
                 Callers(deployment, "readings", seed=seed + 1) as readings:
                for fault in faults:
                    time.sleep(PHASE_S)
                    fault(deployment)
                time.sleep(2 * PHASE_S)
            print("told:", orders.counts(), readings.counts(), flush=True)
            moved = [told for told in readings.told if "-east-" in told.backend]
            self.assertTrue(moved, "nothing moved, so the cap was not tried")
            check_caps(self, CAP, orders, readings)
            check_at_most_once(self, deployment, orders)
            self.assertEqual(0, deployment.over_slots())

    def test_backend_servers_of_the_home_region_dead(self):
        def cut(deployment):
            for pool in WEST:
                deployment.relay_faults(*pool, cut=True)
        self.run_fault(31, [cut], WEST)

    def test_entry_hosts_of_the_home_region_dead(self):
        def kill(deployment):
            for name in ("west-a", "west-b"):
                deployment.entries[name].kill()
        self.run_fault(33, [kill])

    def test_entry_hosts_of_the_home_region_dead_and_the_store_down(self):
        def down(deployment):
            deployment.platform_faults(down=True)

        def kill(deployment):
            for name in ("west-a", "west-b"):
                deployment.entries[name].kill()
        self.run_fault(35, [down, kill])

    def test_a_cap_that_is_lowered_under_load(self):
        with SmallDeployment(max_shift="60%", relays=WEST) as deployment:
            deployment.relay_faults("view", "west", cut=True)
            with Callers(deployment, "readings", seed=37) as readings:
                time.sleep(PHASE_S)
                deployment.max_shift = "10%"
                version = deployment.apply_config("lower")
                wait_until(lambda: set(deployment.config_versions().values()) == {version}, "the lower cap")
                # Requests that were placed before may still end.
                time.sleep(PHASE_S)
                before = len(readings.told)
                time.sleep(2 * PHASE_S)
            check_caps(self, 0.6, readings)
            readings.told = readings.told[before:]
            check_caps(self, 0.1 + 4 / len(readings.told), readings)


if __name__ == "__main__":
    unittest.main()
