import socket
import threading
import time
import unittest

from gateway_harness import GatewayTestCase
from standins import DEADLINE, REQUEST_ID, make_response, read_message


class SlowCallerTest(GatewayTestCase):
    """Peers that are alive and read late."""

    def connected(self, host):
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.settimeout(20)
        caller.connect(("127.0.0.1", host.caller_port))
        return caller

    def test_response_is_complete_for_a_caller_that_reads_after_seconds(self):
        body = b"0123456789" * 800000
        self.backend("i-1", lambda request, connection: make_response(request, body))
        host = self.started_host()
        host.await_log("backend server i-1 ")
        caller = self.connected(host)
        caller.sendall(f"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: slow\r\n{DEADLINE}: 9000\r\n\r\n".encode())
        host.await_log("request id=slow ")
        time.sleep(8)
        stream = bytearray()
        while not stream.endswith(body):
            data = caller.recv(65536)
            self.assertNotEqual(data, b"", f"the connection ended after {len(stream)} of {len(body)} bytes")
            stream += data

    def test_request_is_complete_for_a_server_that_reads_late(self):
        body = b"0123456789" * 6000

        def read_late():
            connection, _ = listener.accept()
            with connection, connection.makefile("rb") as stream:
                time.sleep(3)
                request = read_message(stream)
                received.append(request[2] if request else None)
                if request:
                    connection.sendall(make_response(request, b"done"))
                    connection.recv(1)

        received = []
        server = self.backend("i-1")
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        threading.Thread(target=read_late, daemon=True).start()
        self.store.put("servers", "i-1", {**server.row(sequence=2), "address": f"127.0.0.1:{listener.getsockname()[1]}"})
        host = self.started_host()
        host.await_log("backend server i-1 ")
        result = host.request("/w/1", method="POST", body=body)
        self.assertEqual((result[0], result[2]), (200, b"done"))
        self.assertEqual(received, [body])


if __name__ == "__main__":
    unittest.main()
