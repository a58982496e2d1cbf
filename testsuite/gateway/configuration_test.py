import json
import os
import signal
import subprocess
import tempfile
import time
import unittest

from gateway_harness import PROGRAM, GatewayTestCase, config, route


class ConfigurationTest(GatewayTestCase):
    def test_newer_configuration_is_applied_and_older_or_invalid_one_is_not(self):
        self.backend("i-1")
        host = self.started_host()
        host.await_log("backend server i-1 ")
        self.store.put("op", "config", config(5, moved=route(prefix="/y/")))
        host.await_log("configuration 5 in force")
        self.assertEqual(host.request("/y/1")[0], 200)
        self.assertEqual(host.request("/x/1")[0], 404)
        self.store.put("op", "config", b"{broken")
        host.await_log("ignored")
        self.store.put("op", "config", config(4))
        self.store.put("op", "config", config(6, moved=route(prefix="/z/")))
        host.await_log("configuration 6 in force")
        self.assertFalse(any("configuration 4 in force" in line for line in host.history))
        self.assertEqual(host.request("/z/1")[0], 200)

    def test_draining_servers_evacuated_domains_and_invalid_rows_get_no_requests(self):
        self.backend("i-1")
        second = self.backend("i-2", domain="d-b")
        host = self.started_host()
        host.await_log("backend server i-2 ")
        self.store.put("servers", "forged", {"service": "s", "address": "127.0.0.1:1", "zone": 5})
        host.await_log("row servers/forged")
        self.store.put("op", "evacuate/d-a", {})
        host.await_log("d-a evacuated")
        for key in range(4):
            self.assertEqual(host.request("/x/1", key=str(key))[2], b"from i-2")
        self.store.put("servers", "i-2", second.row(domain="d-b", state="draining"))
        host.await_log("draining")
        self.assertEqual(host.request("/x/1", deadline_ms=500)[0], 503)
        self.store.delete("op", "evacuate/d-a")
        host.await_log("d-a taken back")
        self.assertEqual(host.request("/x/1")[2], b"from i-1")

    # The error message named the value, and the recursion for it ended every host that read the row.
    def test_rows_with_deeply_nested_values_are_ignored(self):
        deep = b"[" * 200000 + b"]" * 200000
        self.backend("i-1")
        host = self.started_host()
        host.await_log("backend server i-1 ")
        self.store.put("servers", "deep", b'{"service":' + deep + b"}")
        host.await_log("row servers/deep")
        self.store.put("op", "config", b'{"version":' + deep + b"}")
        host.await_log("configuration at version")
        self.assertEqual(host.request("/x/1")[0], 200)

    def test_last_known_state_stays_in_force_while_the_store_is_unavailable(self):
        self.backend("i-1")
        host = self.started_host()
        host.await_log("backend server i-1 ")
        self.store.down = True
        host.await_log("backend servers not read")
        self.assertEqual(host.request("/x/1")[0], 200)
        self.store.down = False
        self.store.put("op", "config", config(2, moved=route(prefix="/y/")))
        host.await_log("configuration 2 in force")

    def test_host_whose_list_is_newer_than_that_of_its_relay_does_not_poll_it_without_pause(self):
        port = self.store.open_port()
        relay = self.started_host("h1", store_port=port)
        follower = self.started_host("h2")
        follower.await_log("news come from h1")
        self.backend("i-1")
        follower.await_log("backend server i-1 ")
        self.store.refuse(port)
        relay.await_log("backend servers not read")
        # The follower reads the store itself once its state is stale.
        self.backend("i-2")
        follower.await_log("backend server i-2 ")
        before = follower.metric("heather_relay_requests_total")
        time.sleep(3)
        # A long poll waits for about a second; a few end early by updates.
        self.assertLess(follower.metric("heather_relay_requests_total") - before, 12)
        self.store.refuse(port, False)
        self.backend("i-3")
        for host in (relay, follower):
            host.await_log("backend server i-3 ")

    def test_hosts_that_the_store_refuses_get_updates_from_one_that_it_serves(self):
        self.backend("i-1")
        port = self.store.open_port()
        first = self.started_host("h1", store_port=port)
        third = self.started_host("h3")
        third.await_log("news come from h1")
        second = self.started_host("h2", store_port=port)
        second.await_log("news come from h1")
        for host in (first, second):
            host.await_log("3 hosts are registered")
        self.store.refuse(port)
        self.store.put("op", "config", config(2, moved=route(prefix="/y/")))
        for host in (third, second, first):
            host.await_log("configuration 2 in force")

    def test_host_cut_off_from_the_store_learns_that_a_server_is_no_longer_listed(self):
        self.backend("i-1")
        self.backend("i-2")
        port = self.store.open_port()
        first = self.started_host("h1", store_port=port)
        first.await_log("backend server i-2 ")
        second = self.started_host("h2")
        second.await_log("news come from h1")
        first.await_log("2 hosts are registered")
        self.store.refuse(port)
        self.store.delete("servers", "i-2")
        second.await_log("backend server i-2 is no longer listed")
        first.await_log("backend server i-2 is no longer listed")
        for key in range(4):
            self.assertEqual(first.request("/x/1", key=str(key))[2], b"from i-1")

    def test_host_started_during_a_store_outage_gets_its_state_from_a_seed(self):
        self.backend("i-1")
        first = self.started_host("h1")
        first.await_log("backend server i-1 ")
        self.store.down = True
        second = self.started_host("h2", address="127.0.0.2", domain="e-a", seeds=[first])
        second.await_log("backend server i-1 ")
        self.assertEqual(second.request("/x/1")[2], b"from i-1")

    # Hosts took a seed at their own address for themselves, whatever its port.
    def test_host_started_during_a_store_outage_gets_its_state_from_a_seed_at_its_own_address(self):
        self.backend("i-1")
        first = self.started_host("h1")
        first.await_log("backend server i-1 ")
        self.store.down = True
        second = self.started_host("h2", domain="e-a", seeds=[first])
        second.await_log("backend server i-1 ")
        self.assertEqual(second.request("/x/1")[2], b"from i-1")

    def test_changed_settings_are_applied_and_invalid_ones_are_not(self):
        self.backend("i-1", "shed")
        self.backend("i-2", "shed")
        host = self.started_host(bounds={"budgetExtra": 0, "budgetRatio": 0})
        host.await_log("backend server i-2 ")
        self.assertEqual(host.request("/x/1")[0], 503)
        self.assertEqual(self.metric(host, "heather_repeats_total"), 0)
        host.settings["zone"] = 5
        host.write_settings()
        host.process.send_signal(signal.SIGHUP)
        host.await_log("settings stay as they were")
        host.settings["zone"] = "d-a"
        host.settings["bounds"]["budgetExtra"] = 100
        host.write_settings()
        host.process.send_signal(signal.SIGHUP)
        host.await_log("read again")
        self.assertEqual(host.request("/x/1")[0], 503)
        self.assertEqual(self.metric(host, "heather_repeats_total"), 1)

    def test_reload_signal_during_the_start_does_not_end_the_host(self):
        host = self.started_host()
        host.stop()
        with tempfile.TemporaryDirectory() as folder:
            pipe = os.path.join(folder, "settings.json")
            os.mkfifo(pipe)
            process = subprocess.Popen([PROGRAM, "--settings", pipe], stdout=subprocess.PIPE, text=True)
            self.addCleanup(process.stdout.close)
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            # The pipe opens once the program reads its settings.
            with open(pipe, "w", encoding="utf-8") as settings:
                process.send_signal(signal.SIGHUP)
                json.dump(host.settings, settings)
            self.assertTrue(any("started" in line for line in process.stdout))

    def test_operator_rules_and_drains_are_enforced(self):
        self.backend("i-1")
        self.backend("i-2", domain="d-b")
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as rules:
            rules.write("rules:\n  - {name: reads, work: idempotent = yes, to: domain = d-b, max_shift: 100%}\n")
            rules.flush()
            host = self.started_host(rules=rules.name)
            host.await_log("backend server i-2 ")
            for key in range(6):
                self.assertEqual(host.request("/x/1", key=str(key))[2], b"from i-2")
            rules.write("drains:\n  - {name: move, select: domain = d-b}\n")
            rules.flush()
            host.process.send_signal(signal.SIGHUP)
            host.await_log("1 rules, 1 drains")
            self.assertEqual(host.request("/x/1", deadline_ms=300)[0], 503)
            self.assertEqual(host.request("/w/1", "POST", b"x")[2], b"from i-1")
            rules.write("rulez: []\n")
            rules.flush()
            host.process.send_signal(signal.SIGHUP)
            self.assertIn("rulez", host.await_log("rules stay as they were"))

    def metric(self, host, name):
        status, text = host.get(host.metrics_port, "/metrics")
        self.assertEqual(status, 200)
        values = [line.split()[1] for line in text.decode().splitlines() if line.startswith(name + " ")]
        self.assertEqual(len(values), 1, name)
        return float(values[0])


if __name__ == "__main__":
    unittest.main()
