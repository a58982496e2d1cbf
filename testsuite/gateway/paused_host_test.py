import os
import threading
import time
import unittest

from gateway_harness import PROGRAM, GatewayTestCase, config, route
from pause_harness import paused
from standins import DEADLINE, REQUEST_ID

PAUSE_S = 2
REQUESTS = 20
# Time for which a host pauses again and again.
REPEATED_S = 6
# Rate of cold servers with which the requests of one host are served at once.
COLD_ENOUGH_PER_S = 1000
# Program of an earlier build that runs beside the present one in an upgrade; the present one if it is not given.
OLD_PROGRAM = os.environ.get("HEATHER_OLD_PROGRAM", PROGRAM)
# What a cold server may get in one second, from all hosts together: 10 requests/s in the configuration.
COLD_ALLOWED = 1.5 * 10 + 5


class PausedHostTest(GatewayTestCase):
    """What a host that stood still sends before it has read what changed meanwhile."""

    def test_waiting_requests_reach_no_server_that_was_drained_meanwhile(self):
        drained, hosts = self.start("h1")
        self.assert_drained_server_gets_nothing(drained, hosts, hosts)
        hosts[0].await_log("newer state is known")

    def test_waiting_requests_at_a_follower_reach_no_server_that_was_drained_meanwhile(self):
        drained, hosts = self.start("h1", "h2")
        hosts[1].await_log("news come from h1")
        self.assert_drained_server_gets_nothing(drained, hosts[1:], hosts[1:])
        hosts[1].await_log("newer state is known")

    def test_waiting_requests_reach_no_drained_server_when_all_hosts_stood_still(self):
        drained, hosts = self.start("h1", "h2", "h3")
        hosts[2].await_log("news come from h1")
        self.assert_drained_server_gets_nothing(drained, hosts, hosts)

    def test_follower_of_a_relay_of_an_earlier_build_waits_for_what_that_reads_after_the_pause(self):
        drained, hosts = self.start("h1", "h2", old=("h1",))
        hosts[1].await_log("news come from h1")
        self.assert_drained_server_gets_nothing(drained, hosts, hosts[1:])

    def test_follower_of_an_earlier_build_learns_from_its_relay_what_changed_in_a_pause(self):
        drained, hosts = self.start("h1", "h2", old=("h2",))
        hosts[1].await_log("news come from h1")
        with paused(*hosts, seconds=PAUSE_S):
            connections = self.send(hosts[1])
            self.store.put("servers", "i-1", drained.row(slots=100, state="draining", sequence=2))
        self.assertEqual({200}, {connection.getresponse().status for connection in connections})
        hosts[1].await_log(f"backend server i-1 of s at 127.0.0.1:{drained.port} in d-a: draining", timeout_s=5)

    def test_server_that_started_cold_while_all_hosts_stood_still_is_not_flooded(self):
        cold, hosts = self.start("h1", "h2", "h3")
        hosts[2].await_log("news come from h1")
        arrivals = []

        def record(request, connection):
            arrivals.append(time.monotonic())
            return cold.succeed(request, connection)

        cold.behave = record
        with paused(*hosts, seconds=PAUSE_S):
            connections = [connection for host in hosts for connection in self.send(host)]
            self.store.put("servers", "i-1", {**cold.row(slots=100), "born": 2, "coldRemaining": "60000ms"})
        self.assertEqual({200}, {connection.getresponse().status for connection in connections})
        busiest = max((sum(first <= at < first + 1 for at in arrivals) for first in arrivals), default=0)
        self.assertLessEqual(busiest, COLD_ALLOWED)

    def test_server_that_may_be_cold_is_not_flooded_while_the_store_is_away(self):
        server, hosts = self.start("h1", "h2", "h3")
        hosts[2].await_log("news come from h1")
        for host in hosts:
            host.await_log("3 hosts share the rates of cold servers")
        arrivals = []

        def record(request, connection):
            arrivals.append(time.monotonic())
            return server.succeed(request, connection)

        server.behave = record
        with paused(*hosts, seconds=PAUSE_S):
            self.store.down = True
            connections = [connection for host in hosts for connection in self.send(host)]
        for connection in connections:
            self.assertIn(connection.getresponse().status, (200, 503))
        self.assertGreater(len(arrivals), 0)
        busiest = max(sum(first <= at < first + 1 for at in arrivals) for first in arrivals)
        self.assertLessEqual(busiest, COLD_ALLOWED)

    def test_waiting_requests_are_served_within_a_second_while_the_store_is_away(self):
        self.set_cold_rate(COLD_ENOUGH_PER_S)
        _, (host,) = self.start("h1")
        self.store.down = True
        with paused(host, seconds=PAUSE_S):
            connections = self.send(host)
        resumed = time.monotonic()
        self.assertEqual({200}, {connection.getresponse().status for connection in connections})
        self.assertLess(time.monotonic() - resumed, 1)

    def test_requests_are_served_while_a_host_pauses_again_and_again(self):
        self.set_cold_rate(COLD_ENOUGH_PER_S)
        _, (host,) = self.start("h1")
        self.store.down = True
        end = time.monotonic() + REPEATED_S

        def pause_again():
            while time.monotonic() < end:
                with paused(host, seconds=0.4):
                    pass
                time.sleep(0.05)

        with paused(host, seconds=0.4):
            connections = self.send(host)
        pauses = threading.Thread(target=pause_again)
        pauses.start()
        self.assertEqual({200}, {connection.getresponse().status for connection in connections})
        self.assertLess(time.monotonic(), end)
        pauses.join()

    def test_waiting_requests_of_a_short_queue_time_are_not_rejected(self):
        _, (host,) = self.start("h1", targetLatency="100ms")
        with paused(host, seconds=PAUSE_S):
            connections = self.send(host)
        self.assertEqual({200}, {connection.getresponse().status for connection in connections})

    def test_pause_is_logged_and_counted(self):
        _, (host,) = self.start("h1")
        self.assertEqual(0, host.metric("heather_pauses_total"))
        with paused(host, seconds=PAUSE_S):
            pass
        host.await_log("the event loop did not run for ")
        self.assertEqual(1, host.metric("heather_pauses_total"))
        self.assertGreaterEqual(host.metric("heather_paused_ms_total"), PAUSE_S * 1000)

    def set_cold_rate(self, requests_per_s):
        value = config()
        value["services"]["s"]["coldPerS"] = requests_per_s
        self.store.put("op", "config", value)

    def start(self, *names, old=(), **settings):
        """Returns the server to be drained and the hosts."""
        if settings:
            self.store.put("op", "config", config(read=route(**settings)))
        drained = self.backend("i-1", slots=100)
        self.backend("i-2", slots=100)
        hosts = []
        for name in names:
            host = self.host(name, program=OLD_PROGRAM if name in old else None)
            host.await_log("in force")
            for server in ("i-1", "i-2"):
                host.await_log(f"backend server {server} ")
            hosts.append(host)
        return drained, hosts

    def assert_drained_server_gets_nothing(self, drained, stopped, asked):
        with paused(*stopped, seconds=PAUSE_S):
            connections = [connection for host in asked for connection in self.send(host)]
            self.store.put("servers", "i-1", drained.row(slots=100, state="draining", sequence=2))
        self.assertEqual({200}, {connection.getresponse().status for connection in connections})
        self.assertEqual([], drained.runs)

    def send(self, host):
        connections = []
        for number in range(REQUESTS):
            connection = host.connect()
            self.addCleanup(connection.close)
            headers = {REQUEST_ID: f"{host.name}-{number}", DEADLINE: "10000", "Host": "a.example",
                       "Heatherlever-Affinity-Key": str(number)}
            connection.request("GET", "/x/1", headers=headers)
            connections.append(connection)
        return connections


if __name__ == "__main__":
    unittest.main()
