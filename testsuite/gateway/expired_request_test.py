import threading
import unittest

from gateway_harness import GatewayTestCase, config, route
from pause_harness import paused
from standins import DEADLINE, REQUEST_ID

PAUSE_S = 1.2
# A server may be told of this much more time than the caller has left.
EXCESS_S = 0.5


class ExpiredRequestTest(GatewayTestCase):
    """What a host that stood still tells servers of the time that is left, and what it still sends."""

    def test_request_is_not_sent_again_after_its_deadline(self):
        arrived, release = threading.Event(), threading.Event()
        late = []

        def reject(request, connection):
            if request[1][REQUEST_ID.lower()] != "late":
                return backends[0].succeed(request, connection)
            late.append(request)
            arrived.set()
            release.wait()
            return backends[0].shed(request, connection)

        backends = [self.backend("i-1", reject), self.backend("i-2", reject)]
        host = self.started_host()
        self.await_servers(host, "i-1", "i-2")
        for number in range(100):
            # Either server gets a kept connection, on which a request is sent at once.
            self.assertEqual(200, host.request(request_id=f"before-{number}", key=str(number))[0])
            if all(backend.seen for backend in backends):
                break
        connection = self.send(host, "late", deadline_ms=500)
        self.assertTrue(arrived.wait(10))
        with paused(host, seconds=PAUSE_S):
            release.set()
        self.assertEqual(503, connection.getresponse().status)
        self.assertEqual(1, len(late))

    def test_request_that_expired_in_a_kept_connection_is_not_sent(self):
        host, backend = self.host_with_backend()
        connection = host.connect()
        self.assertEqual(200, host.request(connection=connection, request_id="before")[0])
        with paused(host, seconds=PAUSE_S):
            self.send(host, "late", deadline_ms=500, connection=connection)
        self.assertEqual(503, connection.getresponse().status)
        self.assertEqual(["before"], backend.runs)

    def test_request_that_expired_in_a_new_connection_is_not_sent(self):
        host, backend = self.host_with_backend()
        with paused(host, seconds=PAUSE_S):
            connection = self.send(host, "late", deadline_ms=500)
        self.assertEqual(503, connection.getresponse().status)
        self.assertEqual([], backend.runs)

    def test_time_in_a_kept_connection_counts_as_used(self):
        host, backend = self.host_with_backend()
        connection = host.connect()
        self.assertEqual(200, host.request(connection=connection, request_id="before")[0])
        with paused(host, seconds=PAUSE_S):
            self.send(host, "late", deadline_ms=5000, connection=connection)
        self.assert_time_left(backend, connection, 5 - PAUSE_S + EXCESS_S)

    def test_time_in_the_accept_queue_counts_as_used(self):
        host, backend = self.host_with_backend()
        with paused(host, seconds=PAUSE_S):
            connection = self.send(host, "late", deadline_ms=5000)
        self.assert_time_left(backend, connection, 5 - PAUSE_S + EXCESS_S)

    def test_time_in_the_accept_queue_counts_as_used_under_the_timeout_of_the_route(self):
        self.store.put("op", "config", config(read=route(timeout="2000ms")))
        host, backend = self.host_with_backend()
        with paused(host, seconds=PAUSE_S):
            connection = self.send(host, "late", deadline_ms=20000)
        self.assert_time_left(backend, connection, 2 - PAUSE_S + EXCESS_S)

    def host_with_backend(self):
        backend = self.backend("i-1")
        host = self.started_host()
        self.await_servers(host, "i-1")
        return host, backend

    def await_servers(self, host, *names):
        for name in names:
            host.await_log(f"backend server {name} ")

    def send(self, host, request_id, deadline_ms, connection=None):
        connection = connection or host.connect()
        self.addCleanup(connection.close)
        headers = {REQUEST_ID: request_id, DEADLINE: str(deadline_ms), "Host": "a.example"}
        connection.request("GET", "/x/1", headers=headers)
        return connection

    def assert_time_left(self, backend, connection, most_s):
        self.assertEqual(200, connection.getresponse().status)
        named_s = int(backend.seen[-1][1][DEADLINE.lower()]) / 1000
        self.assertGreater(named_s, 0)
        self.assertLessEqual(named_s, most_s)


if __name__ == "__main__":
    unittest.main()
