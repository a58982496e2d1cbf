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


class RateLimitTest(GatewayTestCase):
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

    def load(self, hosts, end):
        """Sends requests for many objects until `end` from some clients a host; returns the statuses."""
        statuses = []

        def send(host, client):
            connection = host.connect()
            number = 0
            while time.monotonic() < end:
                number += 1
                request_id = f"{host.name}-{client}-{number}"
                statuses.append(host.request(request_id=request_id, key=request_id, connection=connection)[0])
                time.sleep(0.01)
            connection.close()

        threads = [threading.Thread(target=send, args=(host, client)) for host in hosts for client in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses


if __name__ == "__main__":
    unittest.main()
