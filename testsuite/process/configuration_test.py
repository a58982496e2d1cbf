"""An accepted configuration is in force everywhere within seconds and never reverts."""

import json
import subprocess
import unittest

from heather_harness import http_json, wait_until
from small_deployment import CALLER, SmallDeployment


class ConfigurationTest(unittest.TestCase):
    def test_racing_operators_one_wins(self):
        with SmallDeployment() as deployment:
            files = [deployment.write(f"race-{number}.yaml", deployment.config_text(f"race {number}"))
                     for number in range(4)]
            command = [deployment.program("heatherctl"), "--platform", f"127.0.0.1:{deployment.platform_port}", "--json",
                       "--expect-version", "1", "apply"]
            racers = [subprocess.Popen(command + [file], stdout=subprocess.PIPE, text=True) for file in files]
            results = [json.loads(racer.communicate()[0])["result"] for racer in racers]
            self.assertEqual(["accepted", "conflict", "conflict", "conflict"], sorted(results))
            wait_until(lambda: set(deployment.config_versions().values()) == {2}, "version 2 on every host")

    def test_a_lost_answer_of_the_store_is_settled(self):
        with SmallDeployment() as deployment:
            deployment.platform_faults(lose_next_answers=1)
            self.assertEqual(2, deployment.apply_config("lost answer"))

    def test_spreads_between_hosts_while_the_store_is_down(self):
        with SmallDeployment() as deployment:
            entries = list(deployment.entries.values())
            for entry in entries[1:]:
                entry.freeze()
            deployment.apply_config("second")
            wait_until(lambda: deployment.state(entries[0])["config_version"] == 2, "version 2 at the first host")
            deployment.platform_faults(down=True)
            for entry in entries[1:]:
                entry.resume()
            wait_until(lambda: set(deployment.config_versions().values()) == {2}, "version 2 on every host")

    def test_never_reverts_while_hosts_are_replaced(self):
        with SmallDeployment() as deployment:
            deployment.apply_config("second")
            wait_until(lambda: set(deployment.config_versions().values()) == {2}, "version 2 on every host")
            kept = deployment.entries["west-a"]
            for name, entry in list(deployment.entries.items()):
                if entry is not kept:
                    entry.kill()
                    deployment.entries[name] = deployment.start_entry(
                        name, entry.region, entry.domain, entry.address)
                    wait_until(lambda: deployment.state(kept)["config_version"] == 2, "version 2 at the kept host")
            wait_until(lambda: set(deployment.config_versions().values()) == {2}, "version 2 on every host")

    def test_a_host_that_starts_during_an_outage_gets_the_newest(self):
        with SmallDeployment() as deployment:
            deployment.apply_config("second")
            wait_until(lambda: set(deployment.config_versions().values()) == {2}, "version 2 on every host")
            deployment.platform_faults(down=True)
            seed = deployment.entries["west-b"]
            new = deployment.start_entry(
                "west-new", "west", "west-a", "127.0.1.9",
                seeds=f"[{{address: {seed.address}, peer_port: {seed.ports[1]}}}]")
            wait_until(lambda: deployment.state(new)["config_version"] == 2, "version 2 at the new host")
            wait_until(lambda: deployment.state(new)["members"] == 4, "the epoch at the new host")
            status, _, _ = deployment.work(new, "orders", "b", "during-outage", CALLER["west"])
            self.assertEqual(200, status)
            deployment.platform_faults(down=False)

    def test_bad_configurations_are_refused_whole(self):
        with SmallDeployment() as deployment:
            text = deployment.config_text().replace("rank: second", "rank: secnd")
            code, _, error = deployment.ctl("apply", deployment.write("bad.yaml", text))
            self.assertEqual(2, code)
            self.assertIn("did you mean 'second'?", error)
            code, _, error = deployment.ctl(
                "apply", deployment.write("bad.yaml", deployment.config_text().replace("max_shift: 50%", "max_shift: 50")))
            self.assertEqual(2, code)
            self.assertIn("bad.yaml:", error)
            self.assertEqual({1}, set(deployment.config_versions().values()))


if __name__ == "__main__":
    unittest.main()
