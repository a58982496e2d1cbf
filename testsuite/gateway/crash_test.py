"""A request crashes each backend server that runs it."""

import http.client
import json
import threading
import time
import unittest

from gateway_harness import GatewayTestCase
from standins import make_response

# Crashes after which hosts may not know the request yet, and sends that may follow before all hosts know it.
MAX_CRASHES = 3 + 3
SERVERS = 14


class CrashTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.crashes = []
        self.backends = {}
        for number in range(SERVERS):
            name = f"i-{number}"
            self.backends[name] = self.backend(name, self.crash_or_serve(name), domain="de"[number % 2] + "-a")

    def crash_or_serve(self, name):
        def behave(request, connection):
            if "/fatal" not in request[0]:
                time.sleep(0.02)
                return make_response(request, b"from " + name.encode())
            self.crashes.append(name)
            # Whatever else runs there ends too, and the address accepts nothing more.
            self.backends[name].crash()
            return None

        return behave

    def start(self, *domains):
        hosts = [self.started_host(f"h{number}", domain=domain) for number, domain in enumerate(domains)]
        for host in hosts:
            host.await_log(f"backend server i-{SERVERS - 1} ")
            host.await_log(f"{len(hosts)} hosts are registered")
        return hosts

    def send_fatal(self, host, attempt, **options):
        return host.request("/x/fatal", request_id=f"fatal-{attempt}", deadline_ms=2000, **options)[0]

    def test_request_that_crashed_three_servers_gets_no_more_at_any_host(self):
        hosts = self.start("d-a", "d-a", "e-a")
        statuses = []
        for attempt in range(12):
            statuses.append(self.send_fatal(hosts[attempt % 3], attempt))
            time.sleep(0.3)
        self.assertLessEqual(len(self.crashes), MAX_CRASHES, statuses)
        self.assertEqual(503, statuses[-1])

    def test_other_requests_are_served_beside_it(self):
        hosts = self.start("d-a", "e-a")
        for attempt in range(8):
            self.send_fatal(hosts[attempt % 2], attempt)
            time.sleep(0.2)
        for number in range(30):
            self.assertEqual(200, hosts[number % 2].request(f"/x/{number}", request_id=f"other-{number}", key=str(number))[0])

    def test_request_with_another_body_is_served(self):
        hosts = self.start("d-a", "e-a")
        for attempt in range(8):
            self.send_fatal(hosts[attempt % 2], attempt, method="POST", body=b"one")
            time.sleep(0.2)
        before = len(self.crashes)
        self.send_fatal(hosts[0], "other", method="POST", body=b"two")
        self.assertGreater(len(self.crashes), before)

    def test_rejection_states_when_to_come_back(self):
        (host,) = self.start("d-a")
        for attempt in range(6):
            self.send_fatal(host, attempt)
        status, headers, _ = host.request("/x/fatal", request_id="last", deadline_ms=2000)
        self.assertEqual(503, status)
        self.assertGreater(float(headers["Retry-After"]), 2)

    def test_restarted_host_learns_it_from_the_others(self):
        hosts = self.start("d-a", "e-a")
        for attempt in range(8):
            self.send_fatal(hosts[attempt % 2], attempt)
            time.sleep(0.2)
        hosts[0].process.kill()
        hosts[0].process.wait()
        hosts[0].history.clear()
        hosts[0].start()
        hosts[0].await_log("hosts are registered")
        time.sleep(2)
        before = len(self.crashes)
        self.assertEqual(200, hosts[0].request("/x/other", request_id="other")[0])
        self.assertEqual(503, self.send_fatal(hosts[0], "again"))
        self.assertEqual(before, len(self.crashes))

    def test_news_of_many_suspects_reaches_followers_in_few_messages(self):
        relay, follower = self.start("d-a", "d-a")
        follower.await_log("news come from h0")
        before = follower.metric("heather_relay_requests_total")
        begin = time.monotonic()
        connection = http.client.HTTPConnection("127.0.0.1", relay.internal_port, timeout=5)
        for number in range(150):
            report = {"domain": "e-a", "suspects": [[number, -1, [[number, 0]]]], "needs_suspects": False}
            connection.request("POST", "/limits", json.dumps(report))
            response = connection.getresponse()
            response.read()
            self.assertEqual(200, response.status)
            time.sleep(0.02)
        connection.close()
        elapsed = time.monotonic() - begin
        requests = follower.metric("heather_relay_requests_total") - before
        # A message each 150 ms, some sooner at the beginning, and a long poll a second.
        self.assertLess(requests, elapsed / 0.15 + elapsed + 6)

    def test_requests_that_a_server_completes_are_not_held_back(self):
        (host,) = self.start("d-a")
        lost = threading.Event()

        def lose_or_serve(name):
            def behave(request, connection):
                if lost.is_set():
                    return None
                return make_response(request, b"from " + name.encode())

            return behave

        for name, backend in self.backends.items():
            backend.behave = lose_or_serve(name)
        for attempt in range(8):
            lost.set()
            host.request("/x/popular", request_id=f"lost-{attempt}", deadline_ms=1000)
            lost.clear()
            self.assertEqual(200, host.request("/x/popular", request_id=f"served-{attempt}")[0])


if __name__ == "__main__":
    unittest.main()
