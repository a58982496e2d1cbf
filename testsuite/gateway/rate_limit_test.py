import signal
import threading
import time
import unittest

from gateway_harness import GatewayTestCase
from standins import make_response

LIMIT_PER_S = 10
# The rate counts from this time after the limit was first stated, in any window of this length.
NOTICE_S = 3
WINDOW_S = 4
ALLOWED = 1.5 * WINDOW_S * LIMIT_PER_S + 5
DURATION_S = 9
CLIENTS = 4
# Rate of a cold server, and number of hosts that share it.
COLD_PER_S = 10
HOSTS = 22
# A host that has just learnt of all hosts sends nothing to cold servers for 1 s.
COLD_START_DELAY_S = 1.1
# Longer than the first interval between reads of the registrations.
HOSTS_READ_S = 15


class RateLimitTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.hosts = {}

    def test_server_gets_no_more_than_its_stated_limit_from_all_hosts(self):
        arrivals = []

        def state_limit(request, connection):
            arrivals.append(time.monotonic())
            return make_response(request, b"limited", extra=f"Server-Limit: {LIMIT_PER_S}\r\n")

        self.backend("i-1", state_limit, slots=100)
        self.backend("i-2", slots=100)
        hosts = [self.started_host("h1"), self.started_host("h2"), self.started_host("h3", domain="d-b")]
        for host in hosts:
            host.await_log("backend server i-2 ")
            host.await_log("3 hosts are registered")
        begin = time.monotonic()
        statuses = self.load(hosts, begin + DURATION_S)
        self.assertEqual({200}, set(statuses))
        hosts[0].await_log(f"backend server i-1 states limit={LIMIT_PER_S} requests/s")
        bound = [at for at in arrivals if at >= begin + NOTICE_S]
        busiest = max(sum(first <= at < first + WINDOW_S for at in bound) for first in bound)
        self.assertLessEqual(busiest, ALLOWED)

    def test_request_is_rejected_at_once_while_all_servers_are_at_their_limits(self):
        def state_limit(request, connection):
            return make_response(request, b"limited", extra="Server-Limit: 0.01\r\n")

        self.backend("i-1", state_limit)
        host = self.started_host("h1")
        host.await_log("backend server i-1 ")
        self.assertEqual(200, host.request()[0])
        status, headers, _ = host.request(request_id="id-2")
        self.assertEqual(503, status)
        self.assertGreater(float(headers["Retry-After"]), 0)
        line = host.await_log("request id=id-2 ")
        self.assertIn('reason="servers at their rate limits"', line)
        self.assertIn("sends=0 servers= ", line)

    def test_hosts_that_never_sent_to_a_server_know_its_limit_and_the_end_of_it(self):
        extra = ["Server-Limit: 10\r\n"]

        def state_limit(request, connection):
            return make_response(request, b"limited", extra=extra[0])

        self.backend("i-1", state_limit)
        relay = self.started_host("h1")
        hosts = [relay, self.started_host("h2"), self.started_host("h3", domain="d-b")]
        for host in hosts:
            host.await_log("backend server i-1 ")
            host.await_log("3 hosts are registered")
        self.assertEqual(200, relay.request(request_id="first")[0])
        for host in hosts[1:]:
            host.await_log("backend server i-1 limit=10 requests/s, reported by a host")
        extra[0] = ""
        self.send_until(hosts[1], 200)
        for host in (relay, hosts[2]):
            host.await_log("backend server i-1 limit=0 requests/s, reported by a host")

    def test_limits_are_shared_after_the_relay_was_killed(self):
        def state_limit(request, connection):
            return make_response(request, b"limited", extra="Server-Limit: 10\r\n")

        self.backend("i-1", state_limit)
        hosts = [self.started_host("h1"), self.started_host("h2"), self.started_host("h3", domain="d-b")]
        for host in hosts:
            host.await_log("backend server i-1 ")
            host.await_log("3 hosts are registered")
        hosts[0].process.kill()
        hosts[1].await_log("news come from the store")
        self.assertEqual(200, hosts[1].request(request_id="first")[0])
        hosts[2].await_log("backend server i-1 limit=10 requests/s, reported by a host")

    def test_new_relay_divides_limits_by_the_hosts_that_are_registered_by_then(self):
        self.started_host("h1")
        second = self.started_host("h2")
        second.await_log("2 hosts are registered")
        # The host that follows no longer reads the registrations after this time.
        time.sleep(HOSTS_READ_S)
        third = self.started_host("h3", domain="d-b")
        third.await_log("3 hosts are registered")
        second.history.clear()
        self.hosts["h1"].process.kill()
        second.await_log("news come from the store")
        second.await_log("3 hosts are registered")

    def test_host_that_starts_in_an_outage_of_the_store_takes_no_whole_limit(self):
        self.backend("i-1")
        first = self.started_host("h1")
        self.started_host("h2")
        first.await_log("backend server i-1 ")
        first.await_log("2 hosts are registered")
        self.store.down = True
        third = self.started_host("h3", address="127.0.0.2", domain="e-a", seeds=[first])
        third.await_log("2 hosts are registered, by another host")

    def test_host_that_does_not_know_the_number_of_hosts_leaves_cold_servers_alone(self):
        cold = self.backend("i-1", slots=100)
        self.store.put("servers", "i-1", {**cold.row(slots=100), "coldRemaining": "60000ms"})
        self.backend("i-2", slots=100)
        self.refuse_registrations()
        host = self.started_host("h1")
        host.await_log("backend server i-2 ")
        host.await_log("registrations not read")
        # Alone, a host sends 10 requests/s to a cold server.
        for number in range(100):
            self.assertEqual(200, host.request(request_id=f"id-{number}", key=str(number))[0])
            time.sleep(0.02)
        self.assertLessEqual(len(cold.runs), 1)

    def test_host_that_does_not_know_the_number_of_hosts_takes_no_part_of_a_limit(self):
        def state_limit(request, connection):
            limited.run(request)
            return make_response(request, b"limited", extra="Server-Limit: 10\r\n")

        limited = self.backend("i-1", state_limit)
        self.refuse_registrations()
        host = self.started_host("h1")
        host.await_log("backend server i-1 ")
        host.await_log("registrations not read")
        statuses = []
        for number in range(50):
            statuses.append(host.request(request_id=f"id-{number}")[0])
            time.sleep(0.02)
        # The first response states the limit.
        self.assertEqual([200] + 49 * [503], statuses)
        self.assertEqual(1, len(limited.runs))

    def test_limited_server_gets_nothing_while_hosts_may_still_register(self):
        def state_limit(request, connection):
            return make_response(request, b"limited", extra="Server-Limit: 1000\r\n")

        self.backend("i-1", state_limit)
        host = self.started_host("h1", first_start=True)
        host.await_log("backend server i-1 ")
        host.await_log("1 hosts are registered")
        # The first response states the limit.
        statuses = [host.request(request_id=f"early-{number}")[0] for number in range(20)]
        self.assertEqual([200] + 19 * [503], statuses)
        host.await_log("1 hosts share the rates of cold servers")
        self.send_until(host, 200)

    def test_cold_server_gets_nothing_while_hosts_may_still_register(self):
        cold = self.cold_backend("i-1")
        self.backend("i-2", slots=100)
        host = self.started_host("h1", first_start=True)
        host.await_log("backend server i-2 ")
        host.await_log("1 hosts are registered")
        for number in range(50):
            self.assertEqual(200, host.request(request_id=f"early-{number}", key=str(number))[0])
        self.assertEqual(0, len(cold.runs))
        self.assertEqual(0, host.metric("heather_cold_rate_hosts"))
        host.await_log("1 hosts share the rates of cold servers")
        time.sleep(COLD_START_DELAY_S)
        for number in range(50):
            self.assertEqual(200, host.request(request_id=f"late-{number}", key=str(number))[0])
        self.assertGreaterEqual(len(cold.runs), 1)
        self.assertEqual(len(cold.runs), host.metric("heather_cold_sends_total"))

    def test_host_of_a_system_that_ran_before_needs_one_read_of_the_registrations(self):
        host = self.started_host("h1")
        host.await_log("1 hosts share the rates of cold servers", timeout_s=1.5)

    def test_request_is_rejected_at_once_while_all_servers_are_cold(self):
        cold = self.cold_backend("i-1")
        host = self.started_host("h1", first_start=True)
        host.await_log("backend server i-1 ")
        status, headers, _ = host.request(request_id="id-2")
        self.assertEqual(503, status)
        self.assertGreater(float(headers["Retry-After"]), 0)
        line = host.await_log("request id=id-2 ")
        self.assertIn('reason="servers are cold"', line)
        self.assertIn("sends=0 servers= ", line)
        # The queue time of the route is an eighth of 4 s.
        self.assertLess(int(line.split("took_ms=")[1].split()[0]), 500)
        self.assertEqual(1, host.metric("heather_cold_rejections_total"))
        self.assertEqual(0, len(cold.runs))

    def test_hosts_together_keep_to_the_rate_of_a_cold_server_after_a_common_stop(self):
        cold = self.cold_backend("i-1")
        self.backend("i-2", slots=1000)
        hosts = [self.started_host(f"h{number}", domain=("d-a", "d-b", "e-a")[number % 3])
                 for number in range(HOSTS)]
        for host in hosts:
            host.await_log("backend server i-2 ")
            host.await_log(f"{HOSTS} hosts share the rates of cold servers", timeout_s=HOSTS_READ_S)
        time.sleep(COLD_START_DELAY_S)
        end = time.monotonic() + 8
        stops = threading.Thread(target=self.stop_together, args=(hosts, end - 2))
        stops.start()
        self.load(hosts, end, clients=1, pause_s=0.05)
        stops.join()
        arrivals = sorted(cold.times)
        self.assertGreater(len(arrivals), COLD_PER_S)
        busiest = max(sum(first <= at < first + 1 for at in arrivals) for first in arrivals)
        self.assertLessEqual(busiest, COLD_PER_S * 1.5 + 5)

    def test_follower_reads_the_hosts_that_registered_after_it(self):
        self.started_host("h1")
        follower = self.started_host("h2")
        follower.await_log("news come from h1")
        follower.await_log("2 hosts share the rates of cold servers")
        # The relay reads the registrations at this interval.
        self.started_host("h3", domain="d-b")
        follower.await_log("3 hosts share the rates of cold servers", timeout_s=2 * HOSTS_READ_S)

    def refuse_registrations(self):
        """Lets reads of the hosts' registrations fail."""
        respond_to_get = self.store.on_get

        def refuse(handler):
            if "table=heather-hosts" in handler.path:
                self.store.respond(handler, 503, {})
            else:
                respond_to_get(handler)

        self.store.on_get = refuse

    def cold_backend(self, name):
        """A server that stays cold, with the times at which it got requests."""
        backend = self.backend(name, slots=1000)
        backend.times = []

        def respond(request, connection):
            backend.times.append(time.monotonic())
            return backend.succeed(request, connection)

        backend.behave = respond
        self.store.put("servers", name, {**backend.row(slots=1000), "coldRemaining": "60000ms"})
        return backend

    @staticmethod
    def stop_together(hosts, end):
        """Stops all processes for a while, again and again."""
        while time.monotonic() < end:
            for host in hosts:
                host.process.send_signal(signal.SIGSTOP)
            time.sleep(1.2)
            for host in hosts:
                host.process.send_signal(signal.SIGCONT)
            time.sleep(1)

    def started_host(self, name, **options):
        host = super().started_host(name, **options)
        self.hosts[name] = host
        return host

    def send_until(self, host, expected):
        """Sends requests until one gets the expected status, as a host may have to wait for its part of a limit."""
        for number in range(1000):
            if host.request(request_id=f"until-{number}")[0] == expected:
                return
            time.sleep(0.01)
        self.fail(f"{host.name} never responded with {expected}")

    def load(self, hosts, end, clients=CLIENTS, pause_s=0.01):
        """Sends requests for many objects until `end` from some clients a host; returns the statuses."""
        statuses = []

        def send(host, client):
            connection = host.connect()
            number = 0
            while time.monotonic() < end:
                number += 1
                request_id = f"{host.name}-{client}-{number}"
                statuses.append(host.request(request_id=request_id, key=request_id, connection=connection)[0])
                time.sleep(pause_s)
            connection.close()

        threads = [threading.Thread(target=send, args=(host, client)) for host in hosts for client in range(clients)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses


if __name__ == "__main__":
    unittest.main()
