import http.client
import socket
import threading
import time
import unittest

from gateway_harness import GatewayTestCase
from standins import DEADLINE, REQUEST_ID, make_response


class HalfClosedCallerTest(GatewayTestCase):
    """Callers that end their sending side after a request and wait for the response."""

    def setUp(self):
        super().setUp()
        self.free = threading.Event()
        self.addCleanup(self.free.set)
        self.body = b"done"

    def held(self, request, connection):
        """Responds once the test sets `free`, except to the request `first`."""
        if request[1][REQUEST_ID.lower()] != "first":
            self.free.wait()
        return make_response(request, self.body)

    def started(self, behave=None, **row):
        self.server = self.backend("i-1", behave or self.held, **row)
        host = self.started_host()
        host.await_log("backend server i-1 ")
        return host

    def connected(self, host):
        caller = socket.create_connection(("127.0.0.1", host.caller_port), timeout=20)
        self.addCleanup(caller.close)
        return caller

    def send(self, caller, request_id, method="GET", body=b"", version="1.1"):
        head = f"{method} /x/1 HTTP/{version}\r\nHost: a.example\r\n{REQUEST_ID}: {request_id}\r\n{DEADLINE}: 9000\r\n"
        caller.sendall(head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    def response(self, caller):
        response = http.client.HTTPResponse(caller)
        response.begin()
        return response.status, response.read()

    def ids(self):
        return [headers[REQUEST_ID.lower()] for _, headers, _ in self.server.seen]

    def await_seen(self, request_id):
        self.server.wait_for(lambda: request_id in self.ids())

    def check_served(self, host, caller, **options):
        self.send(caller, "half", **options)
        caller.shutdown(socket.SHUT_WR)
        self.await_seen("half")
        self.free.set()
        self.assertEqual(self.response(caller), (200, self.body))
        self.assertEqual(caller.recv(1), b"")
        self.assertEqual(host.metric("heather_abandoned_total"), 0)

    def test_request_on_a_new_connection_is_served(self):
        host = self.started()
        self.check_served(host, self.connected(host))

    def test_request_with_a_body_is_served(self):
        host = self.started()
        self.check_served(host, self.connected(host), method="POST", body=b"x" * 40000)
        self.assertEqual(self.server.seen[-1][2], b"x" * 40000)

    def test_request_on_a_kept_connection_is_served(self):
        host = self.started()
        caller = self.connected(host)
        self.send(caller, "first")
        self.assertEqual(self.response(caller), (200, self.body))
        self.check_served(host, caller)

    def test_large_response_is_complete(self):
        self.body = b"0123456789" * 30000
        host = self.started()
        self.check_served(host, self.connected(host))

    def test_end_during_the_response_leaves_it_complete(self):
        self.body = b"0123456789" * 800000
        host = self.started()
        caller = self.connected(host)
        self.send(caller, "first")
        start = caller.recv(1000)
        caller.shutdown(socket.SHUT_WR)
        parts = [start]
        while parts[-1]:
            parts.append(caller.recv(65536))
        self.assertTrue(b"".join(parts).endswith(b"\r\n\r\n" + self.body))

    def test_waiting_request_is_served(self):
        host = self.started(slots=1)
        other, caller = self.connected(host), self.connected(host)
        self.send(other, "other")
        self.await_seen("other")
        self.send(caller, "half")
        caller.shutdown(socket.SHUT_WR)
        self.free.set()
        self.assertEqual(self.response(other), (200, self.body))
        self.assertEqual(self.response(caller), (200, self.body))

    def test_pipelined_requests_are_served(self):
        host = self.started()
        caller = self.connected(host)
        self.send(caller, "a")
        self.send(caller, "b")
        caller.shutdown(socket.SHUT_WR)
        self.await_seen("a")
        self.free.set()
        stream = caller.makefile("rb").read()
        self.assertEqual(stream.count(b"HTTP/1.1 200 "), 2, stream)
        self.assertEqual(self.ids(), ["a", "b"])

    # The probe waited behind the first response, and the caller was taken for one that had left.
    def test_pipelined_request_of_a_caller_that_reads_slowly_is_served(self):
        self.body = b"z" * 300000
        host = self.started()
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.settimeout(20)
        caller.connect(("127.0.0.1", host.caller_port))
        self.send(caller, "first")
        host.await_log("id=first ")
        self.send(caller, "half")
        caller.shutdown(socket.SHUT_WR)
        self.await_seen("half")
        time.sleep(1)
        self.free.set()
        received = caller.makefile("rb").read()
        self.assertEqual(received.count(b"HTTP/1.1 200 OK"), 2)
        self.assertEqual(received.count(b"z"), 2 * len(self.body))
        self.assertEqual(host.metric("heather_abandoned_total"), 0)

    def test_request_is_probed_once(self):
        host = self.started()
        caller = self.connected(host)
        self.send(caller, "half")
        caller.shutdown(socket.SHUT_WR)
        self.await_seen("half")
        time.sleep(0.5)
        self.free.set()
        stream = caller.makefile("rb").read()
        self.assertTrue(stream.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 "), stream)
        self.assertEqual(stream.count(b"HTTP/1.1 "), 2, stream)

    def test_http_1_0_caller_gets_no_interim_response(self):
        host = self.started()
        caller = self.connected(host)
        self.send(caller, "half", version="1.0")
        self.await_seen("half")
        caller.shutdown(socket.SHUT_WR)
        self.assertEqual(caller.recv(100), b"")

    def check_abandoned(self, leave):
        ended = threading.Event()

        def await_end(request, connection):
            connection.recv(1)
            ended.set()

        host = self.started(await_end)
        caller = self.connected(host)
        self.send(caller, "gone")
        self.await_seen("gone")
        leave(caller)
        self.assertTrue(ended.wait(8), "the host did not cancel the request")
        host.await_log('reason="client left"')

    def test_request_of_a_caller_that_closes_is_cancelled(self):
        self.check_abandoned(lambda caller: caller.close())

    def test_request_of_a_caller_that_closes_later_is_cancelled(self):
        def leave(caller):
            caller.shutdown(socket.SHUT_WR)
            time.sleep(0.3)
            # Closing with an unread interim response resets the connection.
            caller.close()

        self.check_abandoned(leave)


if __name__ == "__main__":
    unittest.main()
