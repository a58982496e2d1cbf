"""A planner whose lease lapsed while it was paused writes nothing when it resumes."""

import re
import time
import unittest

from heather_harness import wait_until
from small_deployment import SmallDeployment

PLANNERS = ("planner-0", "planner-1")


class LeaseTest(unittest.TestCase):
    def test_frozen_holder_is_followed_and_writes_nothing(self):
        self.run_freeze()

    def test_frozen_holder_with_a_slow_store(self):
        # The holder is then nearly always between a read and the write that follows it.
        self.run_freeze(delay_ms=100)

    def run_freeze(self, **faults):
        with SmallDeployment(planners=2) as deployment:
            deployment.platform_faults(**faults)
            holder = next(name for name in PLANNERS if "lease taken" in deployment.log(name))
            other = next(name for name in PLANNERS if name != holder)
            deployment.processes[holder].freeze()
            new = deployment.start_entry("west-c", "west", "west-a", "127.0.1.3")
            wait_until(lambda: "lease taken" in deployment.log(other), "the other planner takes the lease")
            wait_until(lambda: self.epochs(deployment, other), "the other planner writes an epoch")
            before = self.epochs(deployment, holder)
            deployment.processes[holder].resume()
            deployment.entries["east-b"].stop()
            wait_until(lambda: len(self.epochs(deployment, other)) > 1, "an epoch after the resumption")
            time.sleep(1)
            self.assertEqual(before, self.epochs(deployment, holder))
            written = before + self.epochs(deployment, other)
            self.assertEqual(sorted(set(written)), written, "epochs in the order in which they were written")
            wait_until(lambda: deployment.state(new)["epoch"] == written[-1], "the last epoch at the new host")

    @staticmethod
    def epochs(deployment, planner):
        """Numbers of the epochs that a planner wrote."""
        return [int(number) for number in re.findall(r"epoch (\d+) with \d+ members: written", deployment.log(planner))]


if __name__ == "__main__":
    unittest.main()
