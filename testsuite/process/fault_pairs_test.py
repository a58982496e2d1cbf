"""Two faults at once: orders stay at most once and truthful, and service comes back."""

import time
import unittest

from heather_harness import wait_until
from load import Callers, check_at_most_once
from small_deployment import CALLER, SmallDeployment

PHASE_S = 1.5


class FaultPairsTest(unittest.TestCase):
    def run_pair(self, fault, seed, repair=None, relays=()):
        with SmallDeployment(relays=relays) as deployment:
            with Callers(deployment, seed=seed, retries=2) as orders, \
                 Callers(deployment, "readings", seed=seed + 1) as readings:
                time.sleep(PHASE_S)
                fault(deployment)
                time.sleep(2 * PHASE_S)
                if repair:
                    repair(deployment)
                time.sleep(PHASE_S)
            print("told:", orders.counts(), readings.counts(), flush=True)
            check_at_most_once(self, deployment, orders)
            self.assertEqual(0, deployment.over_slots())
            alive = next(entry for entry in deployment.entries.values() if entry.popen.poll() is None)
            wait_until(lambda: all(
                deployment.work(alive, "readings", f"b{number}", None, CALLER["west"])[0] == 200
                for number in range(10)), "readings are done again")

    @staticmethod
    def buddy_of(deployment, region):
        home = deployment.home_of(region)
        return next(entry for entry in deployment.entries.values() if entry.region == region and entry is not home)

    @staticmethod
    def restart(deployment, entry):
        deployment.entries[entry.name] = deployment.start_entry(entry.name, entry.region, entry.domain, entry.address)

    def test_home_frozen_and_platform_down(self):
        frozen = []

        def fault(deployment):
            frozen.append(deployment.home_of("west"))
            deployment.platform_faults(down=True)
            frozen[0].freeze()

        def repair(deployment):
            frozen[0].resume()
            deployment.platform_faults(down=False)
        self.run_pair(fault, 81, repair)

    def test_buddy_killed_and_home_restarted(self):
        def fault(deployment):
            home = deployment.home_of("west")
            self.buddy_of(deployment, "west").kill()
            home.kill()
            self.restart(deployment, home)
        self.run_pair(fault, 83)

    def test_home_and_buddy_killed_and_both_restarted(self):
        def fault(deployment):
            pair = [deployment.home_of("west"), self.buddy_of(deployment, "west")]
            for entry in pair:
                entry.kill()
            for entry in pair:
                self.restart(deployment, entry)
        self.run_pair(fault, 85)

    def test_homes_of_both_regions_killed(self):
        def fault(deployment):
            homes = [deployment.home_of(region) for region in ("west", "east")]
            for home in homes:
                home.kill()
        self.run_pair(fault, 87)

    def test_backend_servers_cut_off_and_home_killed(self):
        def fault(deployment):
            home = deployment.home_of("west")
            deployment.relay_faults("desk", "west", cut=True)
            home.kill()

        def repair(deployment):
            deployment.relay_faults("desk", "west", cut=False)
        self.run_pair(fault, 89, repair, relays=(("desk", "west"),))

    def test_home_killed_and_links_to_backend_servers_silent(self):
        def fault(deployment):
            home = deployment.home_of("west")
            deployment.relay_faults("desk", "west", silence=True)
            home.kill()
        self.run_pair(fault, 91, relays=(("desk", "west"),))

    def test_home_frozen_resumed_and_buddy_killed(self):
        def fault(deployment):
            home = deployment.home_of("west")
            buddy = self.buddy_of(deployment, "west")
            home.freeze()
            time.sleep(PHASE_S)
            buddy.kill()
            home.resume()
        self.run_pair(fault, 93)


if __name__ == "__main__":
    unittest.main()
