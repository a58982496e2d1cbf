import time
import unittest

from gateway_harness import GatewayTestCase

KEYS = 16
# More than the time from a change in the store until every host acts on it.
NOTICE_S = 2.5
# Three intervals of the servers' reports, after which the platform removes the entry of a silent one.
SILENCE_S = 4.5


class LateReportTest(GatewayTestCase):
    """Hosts used servers again that had said that they drain, or had left, as the store performed an earlier report late."""

    def setUp(self):
        super().setUp()
        self.sequence = 0
        self.server = self.backend("i-1")
        self.backend("i-2")

    def report(self, state="ready", sequence=None, born=7):
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        self.store.put("servers", "i-1", {**self.server.row(state=state, sequence=sequence), "born": born})

    def started_hosts(self):
        """Returns a host that reads the store, and one that follows it."""
        for _ in range(4):
            self.report()
        relay = self.started_host("h1")
        relay.await_log("registered as h1")
        follower = self.started_host("h2")
        follower.await_log("news come from h1")
        hosts = [relay, follower]
        for host in hosts:
            host.await_log("backend server i-1 ")
        return hosts

    def used(self, host):
        """Whether the host sends requests to the server."""
        results = [host.request("/w/1", "POST", b"x", request_id=f"{host.name}-{key}", key=str(key)) for key in range(KEYS)]
        self.assertEqual([result[0] for result in results], [200] * KEYS)
        return any(result[2] == b"from i-1" for result in results)

    def assert_used(self, hosts, expected):
        self.assertEqual([self.used(host) for host in hosts], [expected] * len(hosts))

    def await_used(self, hosts, timeout_s=NOTICE_S):
        end = time.monotonic() + timeout_s
        for host in hosts:
            while not self.used(host):
                self.assertLess(time.monotonic(), end, f"{host.name} does not use the server")

    def drain(self, hosts, **report):
        self.report("draining", **report)
        for host in hosts:
            host.await_log(f"backend server i-1 of s at 127.0.0.1:{self.server.port} in d-a: draining")

    def remove(self, hosts):
        self.store.delete("servers", "i-1")
        for host in hosts:
            host.await_log("backend server i-1 is no longer listed")

    # Orders ran at a server that was about to end, and were cut off by its end.
    def test_server_that_drains_is_not_used_again_for_an_earlier_report(self):
        hosts = self.started_hosts()
        self.drain(hosts)
        self.report(sequence=2)
        time.sleep(NOTICE_S)
        self.assert_used(hosts, False)

    def test_server_that_left_is_not_used_again_for_an_earlier_report(self):
        hosts = self.started_hosts()
        self.drain(hosts)
        self.remove(hosts)
        self.report(sequence=3)
        time.sleep(NOTICE_S)
        self.assert_used(hosts, False)

    def test_server_that_drains_is_not_used_again_for_a_report_of_the_start_before(self):
        hosts = self.started_hosts()
        self.sequence = 0
        self.report(born=9)
        time.sleep(NOTICE_S)
        self.drain(hosts, born=9)
        self.report(sequence=5)
        time.sleep(NOTICE_S)
        self.assert_used(hosts, False)

    def test_server_that_drains_is_not_used_again_for_an_earlier_report_after_a_restore(self):
        hosts = self.started_hosts()
        copy = self.store.copy()
        self.drain(hosts)
        self.store.restore(copy)
        self.report("draining")
        time.sleep(NOTICE_S)
        self.report(sequence=2)
        time.sleep(NOTICE_S)
        self.assert_used(hosts, False)

    def test_server_that_is_ready_again_is_used(self):
        hosts = self.started_hosts()
        self.drain(hosts)
        self.assert_used(hosts, False)
        self.report()
        self.await_used(hosts)

    # Such a server says nothing of its leaving before.
    def test_server_that_left_is_not_used_again_for_its_last_report(self):
        hosts = self.started_hosts()
        self.report()
        time.sleep(NOTICE_S)
        self.report()
        self.remove(hosts)
        self.report()
        time.sleep(NOTICE_S)
        self.assert_used(hosts, False)

    def test_server_whose_entry_was_lost_is_used_as_it_goes_on_reporting(self):
        hosts = self.started_hosts()
        self.report()
        self.remove(hosts)
        for _ in range(2):
            self.report()
            time.sleep(1)
        self.await_used(hosts)

    def test_server_that_was_silent_is_used_with_its_next_report(self):
        hosts = self.started_hosts()
        time.sleep(SILENCE_S)
        self.remove(hosts)
        self.report()
        self.await_used(hosts)

    def test_next_start_is_used_though_its_counts_begin_anew(self):
        hosts = self.started_hosts()
        self.drain(hosts)
        self.sequence = 0
        self.report(born=9)
        self.await_used(hosts)

    def test_next_start_with_a_clock_behind_is_used(self):
        hosts = self.started_hosts()
        self.drain(hosts)
        self.sequence = 0
        self.report(born=5)
        self.await_used(hosts)
        # The start before it has the higher start time.
        self.report("draining", sequence=9)
        time.sleep(NOTICE_S)
        self.assert_used(hosts, True)

    def test_server_is_used_with_its_next_report_after_another_writers(self):
        hosts = self.started_hosts()
        self.report()
        self.store.put("servers", "i-1", b"\xff")
        for host in hosts:
            host.await_log("backend server i-1 is no longer listed")
        self.report()
        self.await_used(hosts)


if __name__ == "__main__":
    unittest.main()
