import threading
import unittest

from gateway_harness import GatewayTestCase, config, route

# Concurrent requests of one burst.
BURST = 12


class LoadTest(GatewayTestCase):
    def metric(self, host, name):
        status, text = host.get(host.metrics_port, "/metrics")
        self.assertEqual(status, 200)
        return next(float(line.split()[1]) for line in text.decode().splitlines() if line.startswith(name + " "))

    def test_requests_are_rejected_while_most_run_out_of_time(self):
        def send_nothing(request, connection):
            connection.recv(1)

        self.store.put("op", "config", config(2, read=route(timeout="200ms")))
        self.backend("i-1", send_nothing, slots=4 * BURST)
        host = self.started_host()
        host.await_log("backend server i-1 ")
        for _ in range(10):
            statuses = self.burst(host)
            if 503 in statuses:
                self.assertEqual(set(statuses) - {503}, set(statuses) & {504})
                self.assertGreater(self.metric(host, "heather_throttled_total"), 0)
                return
        self.fail(f"nothing was rejected; the last statuses: {statuses}")

    def burst(self, host):
        statuses = []
        threads = [
            threading.Thread(target=lambda n=n: statuses.append(host.request("/x/1", request_id=f"id-{n}")[0]))
            for n in range(BURST)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses


if __name__ == "__main__":
    unittest.main()
