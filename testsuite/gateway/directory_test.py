import json
import unittest

from gateway_harness import GatewayTestCase, config, route
from standins import DEADLINE, REQUEST_ID, make_response


class DirectoryTest(GatewayTestCase):
    def caller_endpoints(self, host):
        status, body = host.get(host.directory_port, "/heatherlever/resolve?name=a.example&region=r-d&zone=d-a")
        self.assertEqual(status, 200)
        return set(json.loads(body)["addresses"])

    def await_caller_endpoints(self, host, expected):
        expected_endpoints = {f"127.0.0.1:{each.caller_port}" for each in expected}
        for _ in range(2000):
            if self.caller_endpoints(host) == expected_endpoints:
                return
            host.get(host.ready_port, "/heatherlever/ready")
        self.fail(f"{host.name} lists {self.caller_endpoints(host)}, not {expected_endpoints}")

    def test_one_host_of_a_domain_reads_the_store_and_the_next_takes_over(self):
        self.backend("i-1")
        first = self.started_host("h1")
        second = self.started_host("h2")
        second.await_log("news come from h1")
        second.await_log("backend server i-1 ")
        self.await_caller_endpoints(first, [first, second])
        self.await_caller_endpoints(second, [first, second])
        self.store.put("op", "config", config(2, moved=route(prefix="/y/")))
        second.await_log("configuration 2 in force")
        first.stop()
        second.await_log("news come from the store")
        self.await_caller_endpoints(second, [second])
        self.store.put("op", "config", config(3, moved=route(prefix="/z/")))
        second.await_log("configuration 3 in force")
        self.assertEqual(second.request("/z/1")[0], 200)

    def test_stopping_host_responds_to_pending_requests_and_leaves_the_directory(self):
        def wait_for_release(request, connection):
            backend.run(request)
            backend.wait_for(lambda: release)
            return make_response(request, b"held")

        release = []
        backend = self.backend("i-1", wait_for_release)
        first = self.started_host("h1")
        second = self.started_host("h2")
        first.await_log("backend server i-1 ")
        self.await_caller_endpoints(first, [first, second])
        connection = first.connect()
        connection.request("POST", "/w/1", b"x", {REQUEST_ID: "a", DEADLINE: "8000", "Host": "a.example"})
        backend.wait_for(lambda: backend.runs)
        first.process.terminate()
        first.await_log("stopping")
        self.assertEqual(first.get(first.ready_port, "/heatherlever/ready")[0], 503)
        self.await_caller_endpoints(second, [second])
        with backend.condition:
            release.append(True)
            backend.condition.notify_all()
        response = connection.getresponse()
        self.assertEqual((response.status, response.read()), (200, b"held"))
        self.assertEqual(response.headers["Connection"], "close")
        connection.close()
        self.assertEqual(first.process.wait(timeout=30), 0)

if __name__ == "__main__":
    unittest.main()
