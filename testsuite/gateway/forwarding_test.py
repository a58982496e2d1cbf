import socket
import unittest

from gateway_harness import GatewayTestCase
from standins import DEADLINE, REQUEST_ID, SEAL, TARGET, make_response


class ForwardingTest(GatewayTestCase):
    def host_with(self, *names):
        host = self.started_host()
        for name in names:
            host.await_log(f"backend server {name} ")
        return host

    def test_request_and_response_are_forwarded_unchanged(self):
        backend = self.backend("i-1")
        host = self.host_with("i-1")
        status, headers, body = host.request("/w/1?a=b", "POST", b"payload", request_id="abc")
        self.assertEqual((status, body), (200, b"from i-1"))
        self.assertEqual(headers[REQUEST_ID], "abc")
        self.assertEqual(headers[SEAL], "sealed")
        line, sent, payload = backend.seen[0]
        self.assertEqual(line, "POST /w/1?a=b HTTP/1.1")
        self.assertEqual(payload, b"payload")
        self.assertEqual(sent[TARGET.lower()], "i-1")
        self.assertLessEqual(int(sent[DEADLINE.lower()]), 8000)

    def test_requests_without_route_or_configuration_get_404_or_503(self):
        self.backend("i-1")
        host = self.host_with("i-1")
        self.assertEqual(host.request("/none/1")[0], 404)
        self.store.delete("op", "config")
        other = self.host("h2", domain="e-a")
        other.await_log("registered")
        self.assertEqual(other.request("/x/1")[0], 503)
        self.assertEqual(other.get(other.ready_port, "/heatherlever/ready")[0], 503)

    def test_request_that_a_server_has_not_run_is_sent_to_another(self):
        refusing = self.backend("i-1", "shed")
        serving = self.backend("i-2")
        host = self.host_with("i-1", "i-2")
        for number in range(8):
            status, _, body = host.request(f"/w/{number}", "POST", b"x", request_id=f"r{number}", key=str(number))
            self.assertEqual((status, body), (200, b"from i-2"))
        self.assertGreater(len(refusing.seen), 0)
        self.assertEqual(len(serving.runs), len(set(serving.runs)))

    def test_caller_gets_retry_after_when_every_server_refuses(self):
        self.backend("i-1", "shed")
        self.backend("i-2", "shed")
        host = self.host_with("i-1", "i-2")
        status, headers, _ = host.request("/w/1", "POST", b"x", deadline_ms=900)
        self.assertEqual(status, 503)
        self.assertLessEqual(float(headers["Retry-After"]), 0.3)

    def test_non_idempotent_request_is_not_retried_once_it_may_have_run(self):
        first = self.backend("i-1", "run_and_close")
        second = self.backend("i-2", "run_and_close")
        host = self.host_with("i-1", "i-2")
        self.assertEqual(host.request("/w/1", "POST", b"x")[0], 502)
        self.assertEqual(len(first.runs) + len(second.runs), 1)
        self.assertIn("the connection ended", host.await_log("request id=id-1 broken at "))

    def test_idempotent_request_is_retried(self):
        self.backend("i-1", "run_and_close")
        self.backend("i-2")
        host = self.host_with("i-1", "i-2")
        for key in range(4):
            self.assertEqual(host.request("/x/1", key=str(key))[2], b"from i-2")

    def test_503_that_does_not_rule_out_a_run_is_not_forwarded(self):
        def run_then_busy(request, connection):
            backend.run(request)
            return make_response(request, b"", "503 Service Unavailable")

        backend = self.backend("i-1", run_then_busy)
        host = self.host_with("i-1")
        status, headers, _ = host.request("/w/1", "POST", b"x")
        self.assertEqual(status, 502)
        self.assertIsNone(headers[SEAL])

    def test_late_response_to_another_request_is_dropped(self):
        def foreign_first(request, connection):
            connection.sendall(make_response(request, b"foreign", request_id="other"))
            return make_response(request, b"own")

        self.backend("i-1", foreign_first)
        host = self.host_with("i-1")
        for number in range(3):
            self.assertEqual(host.request("/x/1", request_id=f"r{number}")[2], b"own")

    def test_second_response_does_not_reach_the_next_request(self):
        def twice(request, connection):
            return make_response(request, b"own") + make_response(request, b"again")

        self.backend("i-1", twice)
        host = self.host_with("i-1")
        connection = host.connect()
        for number in range(4):
            result = host.request("/x/1", request_id=f"r{number}", connection=connection)
            self.assertEqual(result[2], b"own")
            self.assertEqual(result[1][REQUEST_ID], f"r{number}")

    def test_truncated_response_is_not_reported_as_complete(self):
        def cut(request, connection):
            connection.sendall(make_response(request, b"0123456789")[:-5])
            return None

        self.backend("i-1", cut)
        host = self.host_with("i-1")
        self.assertEqual(host.request("/w/1", "POST", b"x")[0], 502)

    def test_an_unsigned_or_encoded_success_is_not_passed_on(self):
        def encoded(request, connection):
            return make_response(request, b"x", extra="Content-Encoding: gzip\r\n")

        self.backend("i-1", encoded)
        host = self.host_with("i-1")
        self.assertEqual(host.request("/w/1", "POST", b"x")[0], 502)

    def test_connection_to_the_server_is_closed_when_the_caller_disconnects(self):
        def wait_for_end(request, connection):
            # Returns once the gateway closes the connection.
            connection.recv(1)
            backend.run(request)
            return None

        backend = self.backend("i-1", wait_for_end)
        host = self.host_with("i-1")
        connection = host.connect()
        connection.request("GET", "/x/1", headers={REQUEST_ID: "a", DEADLINE: "9000", "Host": "a.example"})
        backend.wait_for(lambda: backend.seen)
        connection.close()
        backend.wait_for(lambda: backend.runs)

    def test_request_without_response_fails_at_its_deadline(self):
        def send_nothing(request, connection):
            backend.run(request)
            connection.recv(1)
            return None

        backend = self.backend("i-1", send_nothing)
        host = self.host_with("i-1")
        self.assertEqual(host.request("/w/1", "POST", b"x", deadline_ms=300)[0], 504)

    def test_malformed_and_smuggled_requests_are_refused(self):
        backend = self.backend("i-1")
        host = self.host_with("i-1")
        for text in (
            b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"GET /x/1 HTTP/1.1\r\nHost : a.example\r\n\r\n",
            b"nonsense\r\n\r\n",
        ):
            with socket.create_connection(("127.0.0.1", host.caller_port)) as raw:
                raw.sendall(text)
                received = b"".join(iter(lambda: raw.recv(4096), b""))
                self.assertTrue(received.startswith(b"HTTP/1.1 400 "), received)
        self.assertEqual(backend.seen, [])

    def test_oversize_requests_are_refused(self):
        backend = self.backend("i-1")
        host = self.host_with("i-1")
        self.assertEqual(host.request("/w/1", "POST", b"x" * 65537)[0], 413)
        connection = host.connect()
        connection.request("GET", "/x/1", headers={"Host": "a.example", "X": "y" * 5000})
        self.assertEqual(connection.getresponse().status, 431)
        connection.close()
        self.assertEqual(backend.seen, [])

if __name__ == "__main__":
    unittest.main()
