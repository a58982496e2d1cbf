import threading
import time
import unittest

from gateway_harness import GatewayTestCase
from standins import NOT_EXECUTED, REQUEST_ID, make_response

ORDERS = 12
KEY = "7"
WORK_S = 0.4
SHED = f"HTTP/1.1 503 Service Unavailable\r\n{NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n".encode()
MISDIRECTED = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nlate"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nlate"


class UnidentifiedResponseTest(GatewayTestCase):
    """Bytes that followed a response were taken for the response to the next request on the connection."""

    def stray_backend(self, name, stray, work_s=0):
        """Sends `stray` before its response to each order but the first on a connection."""
        used = set()

        def answer(request, connection):
            if connection in used:
                connection.sendall(stray)
            used.add(connection)
            backend.run(request)
            time.sleep(work_s)
            return make_response(request, b"own")

        backend = self.backend(name, answer)
        return backend

    def refusing_backend(self, name, refusal):
        """Refuses each order but the first on a connection, without its id."""
        used = set()

        def answer(request, connection):
            if connection in used:
                backend.refused.append(request[1][REQUEST_ID.lower()])
                return refusal
            used.add(connection)
            backend.run(request)
            return make_response(request, b"own")

        backend = self.backend(name, answer)
        backend.refused = []
        return backend

    def order(self, host, name, path="/w/1"):
        return host.request(path, "POST", b"x", request_id=name, key=KEY)

    def assert_each_runs_once(self, stray, work_s=0):
        backends = [self.stray_backend(name, stray, work_s) for name in ("i-1", "i-2")]
        host = self.started_with("i-1", "i-2")
        orders = [f"o-{n}" for n in range(ORDERS)]
        answers = [self.order(host, name) for name in orders]
        self.assertEqual([(answer[0], answer[2]) for answer in answers], [(200, b"own")] * ORDERS)
        runs = [run for backend in backends for run in backend.runs]
        self.assertEqual(sorted(runs), sorted(orders))

    # The order went to another server, and ran at both.
    def test_late_refusal_is_not_taken_for_the_response_to_the_next_order(self):
        self.assert_each_runs_once(SHED)

    def test_late_refusal_is_not_taken_for_that_of_a_long_order(self):
        self.assert_each_runs_once(SHED, WORK_S)

    def test_late_refusal_of_another_server_is_not_taken_for_the_response(self):
        self.assert_each_runs_once(MISDIRECTED)

    # The caller got it in place of the response to its own order.
    def test_late_failure_is_not_delivered(self):
        self.assert_each_runs_once(FAILED)

    def test_late_client_error_is_not_delivered(self):
        self.assert_each_runs_once(NOT_FOUND, WORK_S)

    def test_refusal_without_an_id_goes_to_another_server(self):
        for refusal in (SHED, SHED.replace(b"Content", b"Connection: close\r\nContent")):
            backends = [self.refusing_backend(name, refusal) for name in ("i-1", "i-2")]
            host = self.started_with("i-1", "i-2")
            first, second = self.order(host, "a"), self.order(host, "b")
            self.assertEqual((first[0], second[0]), (200, 200))
            self.assertEqual([backend.refused for backend in backends if backend.refused], [["b"]])
            self.assertEqual(sorted(run for backend in backends for run in backend.runs), ["a", "b"])
            host.stop()

    def test_own_failure_without_an_id_is_delivered_at_once(self):
        self.refusing_backend("i-1", FAILED)
        host = self.started_with("i-1")
        self.assertEqual(self.order(host, "a")[0], 200)
        start = time.monotonic()
        status, _, body = self.order(host, "b")
        self.assertEqual((status, body), (500, b"late"))
        self.assertLess(time.monotonic() - start, 5)

    # Some servers echo the id of a request that has none.
    def test_refusal_is_confirmed_by_a_check_with_another_id(self):
        backend = self.refusing_backend("i-1", SHED)
        backend.check_health = lambda: SHED.replace(b"Content", f"{REQUEST_ID}: None\r\nContent".encode())
        host = self.started_with("i-1")
        self.assertEqual([self.order(host, "a")[0], self.order(host, "b")[0]], [200, 503])

    # The order would have run twice: it still runs when the check is sent.
    def test_second_response_to_the_order_before_confirms_nothing(self):
        def answer(request, connection):
            backend.run(request)
            if request[1][REQUEST_ID.lower()] == "b":
                connection.sendall(SHED)
                time.sleep(WORK_S / 2)
                connection.sendall(make_response(request, b"own", request_id="a"))
                time.sleep(WORK_S / 2)
            return make_response(request, b"own")

        backend = self.backend("i-1", answer)
        host = self.started_with("i-1")
        answers = [self.order(host, name) for name in ("a", "b")]
        self.assertEqual([(answer[0], answer[1][REQUEST_ID]) for answer in answers], [(200, "a"), (200, "b")])
        self.assertEqual(backend.runs, ["a", "b"])

    # A server that is full refuses the check, too.
    def test_refusal_is_confirmed_by_a_refused_check(self):
        full = threading.Event()

        def answer(request, connection):
            if full.is_set():
                return SHED
            backend.run(request)
            return make_response(request, b"own")

        backend = self.backend("i-1", answer)
        backend.check_health = lambda: SHED
        host = self.started_with("i-1")
        self.assertEqual(self.order(host, "a")[0], 200)
        full.set()
        self.assertEqual(self.order(host, "b")[0], 503)
        self.assertEqual(backend.runs, ["a"])


if __name__ == "__main__":
    unittest.main()
