"""Servers that answer with a failure of their own, where the request can't be sent to another one."""

import threading
from concurrent.futures import ThreadPoolExecutor

from gateway_harness import START_TIMEOUT_S, GatewayTestCase
from standins import SEAL, make_response

REQUESTS = 40


class ServerFailureTest(GatewayTestCase):
    def failing(self, name, **row):
        def fail(request, connection):
            server.run(request)
            return make_response(request, b"own failure", status="599 Own Failure")

        server = self.backend(name, fail, **row)
        return server

    def assert_own_failure(self, answer):
        status, headers, body = answer
        self.assertEqual((599, b"own failure", "sealed"), (status, body, headers[SEAL]))

    # 502 before, after the time that a request may wait for a slot.
    def test_failure_of_the_only_server_is_delivered(self):
        server = self.failing("i-1")
        host = self.started_with("i-1")
        self.assert_own_failure(host.request())
        self.assertEqual(["id-1"], server.runs)

    def test_failure_is_delivered_if_the_other_servers_are_full(self):
        def hold(request, connection):
            busy.run(request)
            self.release.wait(START_TIMEOUT_S)
            return make_response(request, b"held")

        self.release = threading.Event()
        self.addCleanup(self.release.set)
        busy = self.backend("i-2", hold, slots=1)
        host = self.started_with("i-2")
        holder = threading.Thread(target=host.request, kwargs={"request_id": "held"})
        holder.start()
        self.addCleanup(holder.join)
        self.addCleanup(self.release.set)
        busy.wait_for(lambda: busy.runs)
        self.failing("i-1", slots=1)
        host.await_log("backend server i-1 ")
        self.assert_own_failure(host.request())

    # Each of them counted as served, too, so that requests went on to servers that can't answer in time.
    def test_failures_that_are_delivered_at_the_deadline_count_as_timed_out(self):
        def hang(request, connection):
            self.release.wait(START_TIMEOUT_S)
            return None

        self.release = threading.Event()
        self.addCleanup(self.release.set)
        self.failing("i-1", slots=2 * REQUESTS)
        self.backend("i-2", hang, slots=2 * REQUESTS)
        host = self.started_with("i-1", "i-2")
        with ThreadPoolExecutor(REQUESTS) as pool:
            for wave in range(2):
                answers = list(pool.map(lambda n, wave=wave: host.request(
                    request_id=f"id-{wave}-{n}", key=str(n), deadline_ms=400)[0], range(REQUESTS)))
        host.await_log('reason="deadline passed"')
        # None was served, so that nearly all are rejected.
        self.assertGreater(answers.count(503), REQUESTS * 5 / 6, answers)

    # Not delivered before: the second server's refusal took its place.
    def test_failure_is_delivered_if_the_other_server_does_not_run_the_request(self):
        self.failing("i-1")
        host = self.started_with("i-1")
        self.backend("i-2", "shed")
        host.await_log("backend server i-2 ")
        for key in range(4):
            self.assert_own_failure(host.request(request_id=f"id-{key}", key=str(key)))
