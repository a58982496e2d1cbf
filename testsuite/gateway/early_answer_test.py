"""Servers that answer before they have read the whole request, and then end the connection."""

import signal
import socket
import struct
import time

from gateway_harness import GatewayTestCase, config
from standins import DEADLINE, REQUEST_ID, make_response

ROUNDS = 5
MANY_ROUNDS = 40
# More than the kernel buffers on the way, so that the host still writes when the response comes.
BODY_BYTES = 8 << 20
MAX_BODY_BYTES = 16 << 20
# For the host to fill all buffers, and for the response and the reset to arrive while it is paused.
SETTLE_S = 0.05


class EarlyAnswerTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        limits = config(2)
        limits["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        self.store.put("op", "config", limits)

    def serve_early(self, server, answer, reset, pause):
        """The server reads the head only, responds and closes. The unread body makes its kernel reset the connection. With
        `pause` the host learns of the response and of the reset at once, as it waits for room to write."""
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
                request = None, {REQUEST_ID.lower(): name}, b""
                server.run(request)
                if pause:
                    time.sleep(SETTLE_S)
                    self.entry.process.send_signal(signal.SIGSTOP)
                connection.sendall(answer(request))
                if reset:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if pause:
                time.sleep(SETTLE_S)
                self.entry.process.send_signal(signal.SIGCONT)
        server.serve_requests = serve

    def answers(self, answer, reset, pause=True, rounds=ROUNDS):
        server = self.backend("i-1")
        self.serve_early(server, answer, reset, pause)
        self.entry = self.started_host()
        self.entry.await_log("backend server i-1 ")
        answers = []
        for number in range(rounds):
            connection = self.entry.connect()
            connection.request("POST", "/w/1", body=b"x" * BODY_BYTES, headers={
                "Host": "a.example", REQUEST_ID: f"r-{number}", DEADLINE: "10000"})
            response = connection.getresponse()
            answers.append((response.status, response.read()))
            connection.close()
        return answers

    def too_long(self, request):
        return make_response(request, b"too long", status="413 Payload Too Large", extra="Connection: close\r\n")

    def half_of_an_answer_without_length(self, request):
        return self.too_long(request).replace(b"Content-Length: 8\r\n", b"")[:-4]

    # 502: the host noticed the end of the connection as it wrote.
    def test_answer_of_a_server_that_closes_with_unread_body_is_delivered(self):
        self.assertEqual([(413, b"too long")] * ROUNDS, self.answers(self.too_long, reset=False))

    def test_answer_of_a_server_that_resets_the_connection_is_delivered(self):
        self.assertEqual([(413, b"too long")] * ROUNDS, self.answers(self.too_long, reset=True))

    # The reset was taken for the end of the response, which was delivered as a complete one.
    def test_answer_that_a_reset_cuts_off_is_not_delivered_as_a_complete_one(self):
        answers = self.answers(self.half_of_an_answer_without_length, reset=True, pause=False, rounds=MANY_ROUNDS)
        self.assertNotIn((413, b"too "), answers)
