import unittest

from gateway_harness import GatewayTestCase, config, route


class ConfigurationTest(GatewayTestCase):
    def test_a_newer_version_is_taken_and_an_older_or_broken_one_is_not(self):
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

    def test_a_draining_server_an_evacuated_domain_and_a_forged_row(self):
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

    def test_the_last_belief_stays_while_the_store_is_down(self):
        self.backend("i-1")
        host = self.started_host()
        host.await_log("backend server i-1 ")
        self.store.down = True
        host.await_log("backend servers not read")
        self.assertEqual(host.request("/x/1")[0], 200)
        self.store.down = False
        self.store.put("op", "config", config(2, moved=route(prefix="/y/")))
        host.await_log("configuration 2 in force")

if __name__ == "__main__":
    unittest.main()
