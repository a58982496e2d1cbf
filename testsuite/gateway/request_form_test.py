"""Requests in forms that the standard has any server accept."""

import http.client
import socket

from gateway_harness import START_TIMEOUT_S, GatewayTestCase
from standins import REQUEST_ID


class RequestFormTestCase(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.server = self.backend("i-1")
        self.entry = self.started_host()
        self.entry.await_log("backend server i-1 ")

    def exchange(self, *pieces):
        """Sends each piece once the host has read what came before it, and returns the status line."""
        with socket.create_connection(("127.0.0.1", self.entry.caller_port), timeout=START_TIMEOUT_S) as connection:
            for piece in pieces:
                connection.sendall(piece)
                # A request on another connection is answered after the host's turn for this one.
                self.entry.get(self.entry.ready_port, "/heatherlever/ready")
            return connection.makefile("rb").readline().strip().decode()

    def raw(self):
        connection = socket.create_connection(("127.0.0.1", self.entry.caller_port), timeout=START_TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    # 404 before: the whole URL counted as the path.
    def test_target_in_absolute_form_is_served(self):
        status = self.exchange(
            f"GET http://a.example/x/1?y HTTP/1.1\r\nHost: other.example\r\n{REQUEST_ID}: id-1\r\n\r\n".encode())
        self.assertEqual(status, "HTTP/1.1 200 OK")
        first, fields, _ = self.server.seen[-1]
        self.assertEqual(first, "GET /x/1?y HTTP/1.1")
        self.assertEqual(fields["host"], "a.example")

    # 400 before, if the body came after the head.
    def test_offer_of_another_protocol_is_ignored(self):
        head = (f"POST /x/1 HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: id-1\r\nContent-Length: 4\r\n"
                "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n\r\n")
        self.assertEqual(self.exchange(head.encode(), b"ab", b"cd"), "HTTP/1.1 200 OK")
        _, fields, body = self.server.seen[-1]
        self.assertEqual(body, b"abcd")
        self.assertNotIn("upgrade", fields)
        self.assertNotIn("http2-settings", fields)

    # The body of a CONNECT request was read as the next request, and run.
    def test_body_of_a_connect_request_is_not_run(self):
        inner = f"GET /x/smuggled HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: id-2\r\n\r\n".encode()
        head = f"CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\nContent-Length: {len(inner)}\r\n\r\n".encode()
        with socket.create_connection(("127.0.0.1", self.entry.caller_port), timeout=START_TIMEOUT_S) as connection:
            connection.sendall(head + inner)
            answer = connection.makefile("rb").read()
        self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer)
        self.assertEqual(answer.count(b"HTTP/1.1"), 1)
        self.assertEqual(self.server.seen, [])

    # Callers that speak HTTP/1.0 take a connection for kept only if the response says so (RFC 9112, C.2.2); these waited
    # for its end until the idle time was over.
    def test_http_1_0_response_on_a_kept_connection_says_so(self):
        connection = self.raw()
        for number in (1, 2):
            connection.sendall(f"GET /x/1 HTTP/1.0\r\nHost: a.example\r\nConnection: keep-alive\r\n"
                               f"{REQUEST_ID}: id-{number}\r\n\r\n".encode())
            response = http.client.HTTPResponse(connection)
            response.begin()
            self.assertEqual((response.status, response.read()), (200, b"from i-1"))
            self.assertEqual(response.headers["Connection"], "keep-alive")

    # RFC 9110, 10.1.1: HTTP/1.0 has no interim responses.
    def test_http_1_0_caller_gets_no_interim_response(self):
        head = (f"POST /x/1 HTTP/1.0\r\nHost: a.example\r\n{REQUEST_ID}: id-1\r\nContent-Length: 4\r\n"
                "Expect: 100-continue\r\n\r\n")
        self.assertEqual(self.exchange(head.encode(), b"ab", b"cd"), "HTTP/1.1 200 OK")

    # RFC 9110, 6.5.1: trailers are no header fields. They were passed on as such.
    def test_trailers_are_not_passed_on_as_header_fields(self):
        head = (f"POST /x/1 HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: id-1\r\n"
                "Transfer-Encoding: chunked\r\nTrailer: Digest\r\n\r\n4;ext=1\r\nabcd\r\n0\r\n")
        self.assertEqual(self.exchange(head.encode(), b"Digest: d1\r\nHost: b.example\r\n\r\n"), "HTTP/1.1 200 OK")
        _, fields, body = self.server.seen[-1]
        self.assertEqual(body, b"abcd")
        self.assertEqual(fields["host"], "a.example")
        self.assertNotIn("digest", fields)

    # RFC 9112, 5.2: a fold is replaced by spaces, or the request is refused.
    def test_folded_field_keeps_its_words_apart(self):
        status = self.exchange(f"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: id-1\r\n"
                               "Folded: one\r\n  two\r\n\r\n".encode())
        if status == "HTTP/1.1 200 OK":
            self.assertEqual(self.server.seen[-1][1]["folded"].split(), ["one", "two"])
        else:
            self.assertEqual(status, "HTTP/1.1 400 Bad Request")

    def test_many_fields_and_empty_values_are_passed_on(self):
        lines = "".join(f"Field-{number}: {'' if number % 2 else number}\r\n" for number in range(100))
        self.assertEqual(self.exchange(
            f"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: id-1\r\n{lines}\r\n".encode()), "HTTP/1.1 200 OK")
        fields = self.server.seen[-1][1]
        self.assertEqual([fields[f"field-{number}"] for number in range(100)],
                         ["" if number % 2 else str(number) for number in range(100)])

    def test_requests_before_the_one_that_closes_the_connection_are_answered(self):
        connection = self.raw()
        for number, more in enumerate(("", "Connection: close\r\n", "")):
            connection.sendall(f"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: id-{number}\r\n{more}\r\n".encode())
        stream = connection.makefile("rb")
        received = stream.read()
        self.assertEqual(received.count(b"HTTP/1.1 200 OK"), 2)
        self.assertEqual(self.server.runs, ["id-0", "id-1"])

    def test_unknown_methods_get_an_answer(self):
        for line in ("TRACE /x/1", "CONNECT a.example:80", "CONNECT /x/1", "UNHEARD /x/1"):
            status = self.exchange(f"{line} HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: id-1\r\n\r\n".encode())
            self.assertRegex(status, "HTTP/1.1 [245]..", line)
