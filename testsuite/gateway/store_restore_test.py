"""The store returns from a copy: what was written since is lost, and its versions are given out again."""

import time
import unittest

from gateway_harness import GatewayTestCase, config, route

# More than the hosts take to notice the restore, and to drop servers that did not register again.
SETTLED_S = 4


class StoreRestoreTest(GatewayTestCase):
    def test_configuration_at_a_version_that_is_given_out_again_is_applied(self):
        host, follower = self.two_hosts()
        copy = self.store.copy()
        for version in range(2, 8):
            self.store.put("op", "config", config(version, moved=route(prefix="/y/")))
        for each in (host, follower):
            each.await_log("configuration 7 in force")
        self.store.restore(copy)
        host.await_log("store restored from a copy")
        self.store.put("op", "config", config(8, moved=route(prefix="/z/")))
        for each in (host, follower):
            each.await_log("configuration 8 in force")

    def test_change_made_before_the_restore_is_noticed_is_not_missed(self):
        host, follower = self.two_hosts()
        copy = self.store.copy()
        for version in range(2, 8):
            self.store.put("op", "config", config(version, moved=route(prefix="/y/")))
        host.await_log("configuration 7 in force")
        self.store.refuse(self.store.port)
        host.await_log("operator's state not read")
        self.store.restore(copy)
        self.store.put("op", "config", config(8, moved=route(prefix="/z/")))
        for _ in range(20):
            self.store.put("other", "row", {})
        self.store.refuse(self.store.port, False)
        for each in (host, follower):
            each.await_log("configuration 8 in force")

    def test_starting_host_gets_the_configuration_that_the_store_has_lost(self):
        host, _ = self.two_hosts()
        copy = self.store.copy()
        self.store.put("op", "config", config(7, moved=route(prefix="/y/")))
        host.await_log("configuration 7 in force")
        self.store.restore(copy)
        host.await_log("store restored from a copy")
        third = self.started_host("h3")
        third.await_log("configuration 7 in force")

    def test_evacuation_that_the_store_has_lost_holds_until_it_is_written_again(self):
        self.backend("i-1")
        self.backend("i-2", domain="d-b")
        host = self.started_host()
        host.await_log("backend server i-2 ")
        copy = self.store.copy()
        self.store.put("op", "evacuate/d-a", {})
        host.await_log("domain d-a evacuated")
        self.store.restore(copy)
        host.await_log("store restored from a copy")
        end = time.monotonic() + 1
        while time.monotonic() < end:
            self.assertEqual(host.request(key=str(time.monotonic()))[2], b"from i-2")
        self.store.put("op", "evacuate/d-a", {})
        time.sleep(SETTLED_S)
        self.assertFalse(any("taken back" in line for line in self.read(host)))
        self.store.delete("op", "evacuate/d-a")
        host.await_log("domain d-a taken back")

    def test_server_that_was_draining_before_the_restore_gets_no_requests(self):
        leaving = self.backend("i-1", sequence=3)
        self.backend("i-2")
        host = self.started_host()
        host.await_log("backend server i-2 ")
        copy = self.store.copy()
        self.store.put("servers", "i-1", leaving.row(state="draining", sequence=4))
        host.await_log("draining")
        self.store.restore(copy)
        host.await_log("store restored from a copy")
        self.expect_only("i-2", host)

    def test_server_that_had_left_before_the_restore_gets_no_requests(self):
        self.backend("i-1", sequence=3)
        self.backend("i-2")
        host = self.started_host()
        host.await_log("backend server i-2 ")
        copy = self.store.copy()
        self.store.delete("servers", "i-1")
        host.await_log("i-1 is no longer listed")
        self.store.restore(copy)
        host.await_log("store restored from a copy")
        self.expect_only("i-2", host)

    def test_server_that_registered_after_the_copy_stays_until_it_registers_again(self):
        self.backend("i-1")
        host = self.started_host()
        host.await_log("backend server i-1 ")
        copy = self.store.copy()
        joined = self.backend("i-2")
        host.await_log("backend server i-2 ")
        self.store.restore(copy)
        host.await_log("store restored from a copy")
        self.store.put("servers", "i-2", joined.row(sequence=2))
        time.sleep(SETTLED_S)
        self.assertFalse(any("no longer listed" in line for line in self.read(host)))

    def test_host_whose_registration_is_lost_registers_again(self):
        copy = self.store.copy()
        self.backend("i-1")
        host, follower = self.two_hosts()
        for each in (host, follower):
            each.await_log("2 hosts are registered")
        self.store.restore(copy)
        host.await_log("store restored from a copy")
        time.sleep(SETTLED_S)
        with self.store.condition:
            registered = [key for table, key in self.store.rows if table == "heather-hosts"]
        self.assertEqual(["h1", "h2"], sorted(registered))
        lines = self.read(host)
        since = next(number for number, line in enumerate(lines) if "store restored from a copy" in line)
        # A limit or a cold server's rate is never divided by fewer hosts than there are.
        self.assertFalse(any("1 hosts are registered" in line for line in lines[since:]))

    def two_hosts(self):
        """Starts the host that reads the store for its domain and one that follows it."""
        host = self.started_host("h1")
        follower = self.started_host("h2")
        follower.await_log("news come from h1")
        return host, follower

    def expect_only(self, name, host):
        end = time.monotonic() + 2
        while time.monotonic() < end:
            self.assertEqual(host.request(key=str(time.monotonic()))[2], b"from " + name.encode())

    def read(self, host):
        """Returns all lines that the host has written so far."""
        while not host.lines.empty():
            host.history.append(host.lines.get())
        return host.history


if __name__ == "__main__":
    unittest.main()
