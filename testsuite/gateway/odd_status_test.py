import time
import unittest

from gateway_harness import GatewayTestCase
from standins import REQUEST_ID, SEAL, make_response

# Statuses that HTTP doesn't have, and one that answers an offer that no request made.
ODD_STATUSES = ["000", "007", "099", "600", "700", "999", "101", "0200"]
DEADLINE_MS = 10000
# Far below the deadline, and more than a host needs on a loaded machine.
AT_ONCE_S = 5


class OddStatusTest(GatewayTestCase):
    """Callers got responses with a status that HTTP doesn't have, or waited for another one until their deadline."""

    def odd_backend(self, name, form=lambda response: response):
        """A server that answers with `self.status`, or with 200 while that is None."""
        def answer(request, connection):
            server.run(request)
            if self.status is None:
                return make_response(request, b"calm")
            return form(make_response(request, b"odd", status=f"{self.status} Odd"))

        self.status = None
        server = self.backend(name, answer)
        return server

    def assert_outcome_unknown(self, host, server):
        for status_text in ODD_STATUSES:
            for path, method in (("/w/1", "POST"), ("/x/1", "GET")):
                # After several failures the server isn't used for a while.
                self.status = None
                self.await_served(host)
                self.status = status_text
                request_id = f"{method}-{status_text}"
                start = time.monotonic()
                status, headers, _ = host.request(path, method, request_id=request_id, deadline_ms=DEADLINE_MS)
                self.assertEqual((status, headers[SEAL]), (502, None), request_id)
                self.assertLess(time.monotonic() - start, AT_ONCE_S, request_id)
                self.assertEqual(server.runs.count(request_id), 1, request_id)

    def await_served(self, host):
        end = time.monotonic() + AT_ONCE_S
        while host.request("/x/1", request_id="calm", deadline_ms=DEADLINE_MS)[0] != 200:
            self.assertLess(time.monotonic(), end, "the server is not used again")

    def test_response_with_a_body_is_no_answer(self):
        server = self.odd_backend("i-1")
        self.assert_outcome_unknown(self.started_with("i-1"), server)

    def test_response_without_a_body_is_no_answer(self):
        server = self.odd_backend("i-1", lambda response: response.replace(b"Content-Length: 3\r\n", b"").removesuffix(b"odd"))
        self.assert_outcome_unknown(self.started_with("i-1"), server)

    def test_idempotent_request_is_served_by_another_server(self):
        odd = self.odd_backend("i-1")
        self.status = "600"
        self.backend("i-2")
        host = self.started_with("i-1", "i-2")
        for key in range(24):
            status, _, body = host.request(request_id=f"id-{key}", key=str(key))
            self.assertEqual((status, body), (200, b"from i-2"))
        self.assertTrue(odd.runs)

    # A second response follows on the connection, which no request may get.
    def test_connection_is_not_used_after_it(self):
        def answer(request, connection):
            server.run(request)
            if request[1][REQUEST_ID.lower()] == "odd":
                return make_response(request, b"odd", status="600 Odd") + make_response(request, b"late", request_id="next")
            return make_response(request, b"own")

        server = self.backend("i-1", answer)
        host = self.started_with("i-1")
        self.assertEqual(host.request("/w/1", "POST", request_id="odd")[0], 502)
        self.assertEqual(host.request("/w/1", "POST", request_id="next")[2], b"own")


if __name__ == "__main__":
    unittest.main()
