import os
import signal
import socket
import struct
import threading
import unittest

from gateway_harness import GatewayTestCase
from standins import DEADLINE, REQUEST_ID, make_response


class DepartedCallerTest(GatewayTestCase):
    """A host that has been blocked for a while reads requests whose callers have left meanwhile."""

    GET = f"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: %s\r\n{DEADLINE}: 9000\r\n\r\n"

    def connected(self, host):
        """Returns a connection that the host has accepted."""
        caller = socket.create_connection(("127.0.0.1", host.caller_port), timeout=20)
        self.addCleanup(caller.close)
        self.send(caller, "first")
        self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 200 "))
        return caller

    def send(self, caller, *request_ids):
        caller.sendall("".join(self.GET % request_id for request_id in request_ids).encode())

    def block(self, host):
        """Stops the process; it goes on when the test calls `unblock()`."""
        host.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, host.process.pid, os.WSTOPPED | os.WNOWAIT)

    def unblock(self, host):
        host.process.send_signal(signal.SIGCONT)

    def ids(self, backend):
        return [headers[REQUEST_ID.lower()] for _, headers, _ in backend.seen]

    def check_not_sent(self, leave, *request_ids):
        backend = self.backend("i-1")
        host = self.started_host()
        host.await_log("backend server i-1 ")
        caller = self.connected(host)
        self.block(host)
        self.send(caller, *request_ids)
        leave(caller)
        self.unblock(host)
        host.await_log(f"request id={request_ids[0]} ")
        self.assertEqual(host.request("/x/2", request_id="last")[0], 200)
        self.assertEqual(self.ids(backend), ["first", "last"])

    def test_request_of_a_closed_connection_is_not_sent(self):
        self.check_not_sent(lambda caller: caller.close(), "gone")

    def test_request_of_a_reset_connection_is_not_sent(self):
        def reset(caller):
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            caller.close()

        self.check_not_sent(reset, "gone")

    def test_pipelined_requests_of_a_closed_connection_are_not_sent(self):
        self.check_not_sent(lambda caller: caller.close(), "gone-1", "gone-2")

    def test_pipelined_request_is_no_end_of_the_connection(self):
        backend = self.backend("i-1")
        host = self.started_host()
        host.await_log("backend server i-1 ")
        caller = self.connected(host)
        self.block(host)
        self.send(caller, "a", "b")
        self.unblock(host)
        backend.wait_for(lambda: self.ids(backend) == ["first", "a", "b"])

    def test_waiting_request_of_a_closed_connection_is_not_sent(self):
        free, responded = threading.Event(), threading.Event()
        self.addCleanup(free.set)

        def occupy(request, connection):
            if request[1][REQUEST_ID.lower()] == "first":
                free.wait()
            connection.sendall(make_response(request, b"done"))
            responded.set()
            return b""

        backend = self.backend("i-1", occupy, slots=1)
        host = self.started_host()
        host.await_log("backend server i-1 ")
        callers = []
        for request_id in ("first", "gone"):
            caller = socket.create_connection(("127.0.0.1", host.caller_port), timeout=20)
            self.addCleanup(caller.close)
            self.send(caller, request_id)
            callers.append(caller)
            while host.metric("heather_requests_total") < len(callers):
                pass
        self.block(host)
        free.set()
        # The response arrives before the caller leaves, so the host handles it first.
        responded.wait()
        callers[1].close()
        self.unblock(host)
        host.await_log("request id=gone ")
        self.assertEqual(host.request("/x/2", request_id="last")[0], 200)
        self.assertEqual(self.ids(backend), ["first", "last"])


if __name__ == "__main__":
    unittest.main()
