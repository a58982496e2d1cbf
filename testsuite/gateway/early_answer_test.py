"""Servers that answer before they have read the whole request, and then end the connection."""

import socket
import struct

from gateway_harness import GatewayTestCase, config
from standins import DEADLINE, REQUEST_ID, make_response

ROUNDS = 20
# More than the kernel buffers on the way, so that the host still writes when the response comes.
BODY_BYTES = 8 << 20
MAX_BODY_BYTES = 16 << 20


class EarlyAnswerTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        limits = config(2)
        limits["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        self.store.put("op", "config", limits)

    def serve_early(self, server, reset):
        """The server reads the head only, responds and closes. The unread body makes its kernel reset the connection."""
        def serve(connection):
            with connection:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                received = b""
                while b"\r\n\r\n" not in received:
                    data = connection.recv(1024)
                    if not data:
                        return
                    received += data
                name = next(line.split(b": ", 1)[1] for line in received.split(b"\r\n")
                            if line.lower().startswith(REQUEST_ID.lower().encode() + b":")).decode()
                server.run((None, {REQUEST_ID.lower(): name}, b""))
                connection.sendall(make_response((None, {REQUEST_ID.lower(): name}, b""), b"too long",
                                                 status="413 Payload Too Large", extra="Connection: close\r\n"))
                if reset:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        server.serve_requests = serve

    def check_answers(self, reset):
        server = self.backend("i-1")
        self.serve_early(server, reset)
        host = self.started_host()
        host.await_log("backend server i-1 ")
        statuses = {}
        for number in range(ROUNDS):
            connection = host.connect()
            connection.request("POST", "/w/1", body=b"x" * BODY_BYTES, headers={
                "Host": "a.example", REQUEST_ID: f"r-{number}", DEADLINE: "10000"})
            status = connection.getresponse().status
            connection.close()
            statuses[status] = statuses.get(status, 0) + 1
        self.assertEqual({413: ROUNDS}, statuses)

    # 502 before, where the host noticed the end of the connection as it wrote.
    def test_answer_of_a_server_that_closes_with_unread_body_is_delivered(self):
        self.check_answers(reset=False)

    def test_answer_of_a_server_that_resets_the_connection_is_delivered(self):
        self.check_answers(reset=True)
