"""A host is stopped as planned, under load."""

import http.client
import signal
import socket
import threading
import time
import unittest

from gateway_harness import START_TIMEOUT_S, GatewayTestCase, config, route
from standins import DEADLINE, REQUEST_ID, Store, make_response

CALLERS = 8
# More than the connections whose input a host finds in one step of its event loop.
MANY_CALLERS = 300
# Time in which a host on loopback has certainly read what was sent to it.
SETTLE_S = 0.2


class RawCaller:
    """A connection to a host; `read_answer()` returns the status and the text of the head, or None if the connection
    ended without an answer."""

    def __init__(self, host):
        self.socket = socket.create_connection(("127.0.0.1", host.caller_port), timeout=START_TIMEOUT_S)

    def send(self, name, path="/x/1"):
        self.socket.sendall(
            f"GET {path} HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: {name}\r\n{DEADLINE}: 10000\r\n\r\n".encode())
        return self

    def read_answer(self):
        response = http.client.HTTPResponse(self.socket)
        try:
            response.begin()
            response.read()
        except (http.client.HTTPException, OSError):
            return None
        return response.status, dict(response.headers)

    def close(self):
        self.socket.close()


class PlannedStopTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.cut = []
        self.answered = 0
        self.gone = threading.Event()

    # Callers that keep to a stopping host kept it busy until its grace period ended; what then ran was cut off.
    def test_callers_that_keep_to_a_stopping_host_lose_no_request_that_a_server_ran(self):
        def work(request, connection):
            backend.run(request)
            time.sleep(0.4)
            return make_response(request, b"done")

        backend = self.backend("i-1", work, slots=100)
        host = self.started_host()
        host.await_log("backend server i-1 ")
        callers = [threading.Thread(target=self.keep_asking, args=(host, number)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(1)
        host.process.terminate()
        self.assertEqual(0, host.process.wait(timeout=30))
        self.gone.set()
        for caller in callers:
            caller.join()
        ran = set(backend.runs)
        self.assertEqual([], [each for each in self.cut if each in ran])
        self.assertGreater(self.answered, CALLERS)

    def caller(self, host):
        caller = RawCaller(host)
        self.addCleanup(caller.close)
        return caller

    def assert_all_answered(self, callers, statuses):
        answers = [caller.read_answer() for caller in callers]
        wrong = [number for number, answer in enumerate(answers) if answer is None or answer[0] not in statuses]
        self.assertEqual([], wrong, "callers without an answer, or with another one")
        return answers

    def assert_rejected(self, answer):
        self.assertIsNotNone(answer, "the connection ended without an answer")
        self.assertEqual((503, 0), (answer[0], float(answer[1]["Retry-After"])))

    # They waited until the end of the grace, and their connections were closed.
    def test_requests_that_wait_for_a_slot_are_rejected_when_the_host_stops_accepting(self):
        def work(request, connection):
            backend.run(request)
            time.sleep(1.4)
            return make_response(request, b"done")

        self.store.put("op", "config", config(2, read=route(targetLatency="60000ms", timeout="30000ms")))
        backend = self.backend("i-1", work, slots=1)
        host = self.started_host(bounds={"grace": "2s"})
        host.await_log("backend server i-1 ")
        callers = [self.caller(host).send(f"r-{number}") for number in range(6)]
        time.sleep(SETTLE_S)
        host.process.terminate()
        answers = {f"r-{number}": caller.read_answer() for number, caller in enumerate(callers)}
        self.assertEqual(0, host.process.wait(timeout=30))
        ran = set(backend.runs)
        self.assertLess(len(ran), len(callers))
        for name, answer in answers.items():
            if name in ran:
                self.assertEqual(200, (answer or [None])[0], name)
            else:
                self.assert_rejected(answer)

    def test_requests_that_wait_for_the_first_configuration_are_rejected_when_the_host_stops(self):
        empty = Store()
        self.addCleanup(empty.close)
        host = self.host(store_port=empty.port, bounds={"grace": "400ms"})
        host.await_log("started: ")
        caller = self.caller(host).send("r-1")
        host.process.terminate()
        self.assert_rejected(caller.read_answer())
        self.assertEqual(0, host.process.wait(timeout=30))

    def test_request_that_runs_when_the_grace_ends_gets_an_answer(self):
        def work(request, connection):
            backend.run(request)
            self.gone.wait(START_TIMEOUT_S)
            return make_response(request, b"done")

        backend = self.backend("i-1", work, slots=10)
        self.addCleanup(self.gone.set)
        host = self.started_host(bounds={"grace": "1s"})
        host.await_log("backend server i-1 ")
        caller = self.caller(host).send("r-1")
        time.sleep(SETTLE_S)
        host.process.terminate()
        answer = caller.read_answer()
        self.assertEqual(0, host.process.wait(timeout=30))
        self.assertEqual(["r-1"], backend.runs)
        self.assertIsNotNone(answer, "the connection ended without an answer")
        self.assertIn(answer[0], (502, 504))

    # A paused process finds the end of the idle time and the requests at the same moment, and reads the requests of some
    # connections only after the timers of all.
    def test_request_that_arrives_while_the_host_is_paused_is_read_before_its_connection_is_closed_as_idle(self):
        limits = config(2)
        limits["limits"]["idleTimeout"] = "2000ms"
        self.store.put("op", "config", limits)
        host = self.started_host()
        callers = [self.caller(host) for _ in range(MANY_CALLERS)]
        self.assertEqual(404, callers[-1].send("a", path="/none").read_answer()[0])
        host.process.send_signal(signal.SIGSTOP)
        time.sleep(2.5)
        for number, caller in enumerate(callers):
            caller.send(f"b-{number}", path="/none")
        host.process.send_signal(signal.SIGCONT)
        self.assert_all_answered(callers, (404,))

    def test_head_that_arrives_while_the_host_is_paused_is_read_before_its_time_is_over(self):
        limits = config(2)
        limits["limits"]["headerTimeout"] = "1000ms"
        self.store.put("op", "config", limits)
        host = self.started_host()
        callers = [self.caller(host) for _ in range(MANY_CALLERS)]
        for caller in callers:
            caller.socket.sendall(b"GET /none HTTP/1.1\r\n")
        time.sleep(SETTLE_S)
        host.process.send_signal(signal.SIGSTOP)
        time.sleep(1.5)
        for caller in callers:
            caller.socket.sendall(b"Host: a.example\r\n\r\n")
        host.process.send_signal(signal.SIGCONT)
        self.assert_all_answered(callers, (404,))

    # Connections that the kernel had accepted, and what had been sent on them, were reset when the process ended.
    def test_requests_that_a_stopping_host_has_not_read_are_answered_before_it_ends(self):
        self.backend("i-1")
        host = self.started_host()
        host.await_log("backend server i-1 ")
        kept = [self.caller(host) for _ in range(CALLERS)]
        for number, caller in enumerate(kept):
            self.assertEqual(200, caller.send(f"a-{number}").read_answer()[0])
        host.process.terminate()
        host.await_log("stopping: ")
        host.process.send_signal(signal.SIGSTOP)
        # Until the callers' entries of the directory have expired, but not the grace.
        time.sleep(3.3)
        callers = kept + [self.caller(host) for _ in range(2 * CALLERS)]
        for number, caller in enumerate(callers):
            caller.send(f"b-{number}")
        host.process.send_signal(signal.SIGCONT)
        for answer in self.assert_all_answered(callers, (200, 503)):
            self.assertEqual("close", answer[1].get("Connection"))
        self.assertEqual(0, host.process.wait(timeout=30))

    # A connection that the host had just accepted was closed as idle before its request arrived.
    def test_requests_on_connections_that_a_stopping_host_has_just_accepted_are_answered(self):
        self.backend("i-1")
        host = self.started_host()
        host.await_log("backend server i-1 ")
        lost = []
        answered = []

        def connect_and_ask():
            while True:
                try:
                    caller = RawCaller(host)
                except OSError:
                    return
                time.sleep(0.02)
                try:
                    answer = caller.send("a").read_answer()
                except OSError:
                    answer = None
                caller.close()
                (lost if answer is None else answered).append(time.monotonic())

        host.process.terminate()
        threads = [threading.Thread(target=connect_and_ask) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        self.assertEqual(0, host.process.wait(timeout=30))
        for thread in threads:
            thread.join()
        self.assertGreater(len(answered), CALLERS)
        self.assertEqual([], lost)

    def keep_asking(self, host, number):
        connection = None
        count = 0
        while not self.gone.is_set():
            count += 1
            name = f"{number}-{count}"
            try:
                connection = connection or host.connect()
                connection.request("GET", f"/x/{name}", headers={REQUEST_ID: name, DEADLINE: "3000", "Host": "a.example"})
                response = connection.getresponse()
                response.read()
            except (http.client.HTTPException, OSError):
                self.cut.append(name)
                connection = None
                continue
            self.answered += response.status == 200
            if response.headers["Connection"] == "close":
                connection.close()
                connection = None


if __name__ == "__main__":
    unittest.main()
