"""Requests to a stopping host's own endpoints: its directory, its readiness, its metrics, and queries of other hosts."""

import http.client
import socket
import threading
import time

from gateway_harness import START_TIMEOUT_S, GatewayTestCase

ROUNDS = 3
CALLERS = 4
GRACE_S = 1.0
# Less than the idle time of callers, after which the connection ends in any case.
LONG_GRACE_S = 14
PATHS = {
    "directory_port": "/heatherlever/resolve?name=a.example&region=r-d&zone=d-a",
    "ready_port": "/heatherlever/ready",
    "metrics_port": "/metrics",
    "control_port": "/none",
}


class StoppingServersTest(GatewayTestCase):
    # They ended with the process: connections that were open or established were reset.
    def test_requests_that_callers_send_until_the_end_of_a_stopping_host_are_answered(self):
        self.answered, self.lost = 0, []
        for number in range(ROUNDS):
            host = self.started_host(f"h{number}", bounds={"grace": f"{int(GRACE_S * 1000)}ms"})
            threads = [threading.Thread(target=self.ask_until_refused, args=(getattr(host, port), path))
                       for port, path in PATHS.items() for _ in range(CALLERS)]
            for thread in threads:
                thread.start()
            time.sleep(0.1)
            host.process.terminate()
            self.assertEqual(0, host.process.wait(timeout=GRACE_S + 1))
            for thread in threads:
                thread.join()
        self.assertGreater(self.answered, ROUNDS * CALLERS * len(PATHS))
        self.assertEqual([], self.lost, f"of {self.answered + len(self.lost)}")

    # A host waited for the rest of the request until the end of its grace.
    def test_unfinished_request_at_an_own_endpoint_does_not_hold_a_stop(self):
        host = self.started_host(bounds={"grace": f"{LONG_GRACE_S * 1000}ms"})
        with socket.create_connection(("127.0.0.1", host.metrics_port)) as connection:
            connection.sendall(b"POST /metrics HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\nx")
            self.assertEqual(host.get(host.ready_port, "/heatherlever/ready")[0], 200)
            host.process.terminate()
            self.assertEqual(0, host.process.wait(timeout=LONG_GRACE_S * 3 / 4))

    def ask_until_refused(self, port, path):
        """Sends requests on a connection until a response ends it, then on the next one."""
        while True:
            try:
                connection = socket.create_connection(("127.0.0.1", port), timeout=START_TIMEOUT_S)
            except OSError:
                return
            with connection:
                while self.ask(connection, path):
                    pass

    def ask(self, connection, path):
        response = http.client.HTTPResponse(connection)
        try:
            connection.sendall(f"GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n".encode())
            response.begin()
            response.read()
        except (http.client.HTTPException, OSError) as error:
            self.lost.append((path, type(error).__name__))
            return False
        self.answered += 1
        return not response.will_close
