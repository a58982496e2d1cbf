"""Many hosts are stopped at overlapping times, under more load than the backend servers take."""

import http.client
import os
import random
import signal
import socket
import threading
import time
import unittest

from gateway_harness import START_TIMEOUT_S, GatewayTestCase, config, route
from standins import DEADLINE, REQUEST_ID, make_response

SEED = int(os.environ.get("HEATHER_SEED", "1"))
HOSTS = 10
SERVERS = 3
SLOTS = 1
CALLERS = 60
ROUNDS = int(os.environ.get("HEATHER_ROUNDS", "2"))
# Pause of a caller after a failure, so that it doesn't spin on hosts that are gone.
PAUSE_S = 0.01


class Caller(threading.Thread):
    """Sends requests to random hosts until `gone` is set, on kept connections or on a new one for each request. `lost`
    lists (name, whether the connection was new, error) of the requests that were sent whole and not answered."""

    def __init__(self, number, hosts, stopping, seed, gone):
        super().__init__()
        self.number, self.hosts, self.stopping, self.gone = number, hosts, stopping, gone
        self.random = random.Random(f"{seed}/{number}")
        self.kept = number % 2 == 0
        self.lost = []
        self.statuses = {}
        self.refused = 0

    def run(self):
        connection, used = None, 0
        for count in range(1, 1 << 30):
            if self.gone.is_set():
                break
            if connection is None:
                try:
                    connection, used = self.connect(), 0
                except OSError:
                    self.refused += 1
                    time.sleep(PAUSE_S)
                    continue
            name = f"{self.number}-{count}"
            if self.random.random() < 0.2:
                time.sleep(0.02 * self.random.random())
            keep = self.ask(connection, name, used == 0)
            used += 1
            if not keep or not self.kept:
                connection.close()
                connection = None
            elif self.random.random() < 0.3:
                time.sleep(0.2 * self.random.random())
        if connection is not None:
            connection.close()

    def connect(self):
        # Most callers keep to hosts that are stopping, like callers with old entries of the directory.
        stopping = list(self.stopping)
        port = self.random.choice(stopping if stopping and self.random.random() < 0.8 else self.hosts).caller_port
        return socket.create_connection(("127.0.0.1", port), timeout=START_TIMEOUT_S)

    def ask(self, connection, name, new):
        """Returns whether the connection can be used again."""
        method, path = ("GET", "/x/1") if self.random.random() < 0.5 else ("POST", "/w/1")
        text = (f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: {name}\r\n{DEADLINE}: 10000\r\n"
                f"Content-Length: 0\r\n\r\n")
        try:
            connection.sendall(text.encode())
        except OSError:
            return False
        response = http.client.HTTPResponse(connection, method=method)
        try:
            response.begin()
            response.read()
        except (http.client.HTTPException, OSError) as error:
            self.lost.append((name, new, type(error).__name__))
            time.sleep(PAUSE_S)
            return False
        self.statuses[response.status] = self.statuses.get(response.status, 0) + 1
        if response.status == 503:
            time.sleep(PAUSE_S)
        return not response.will_close


class OverlappingStopsTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.random = random.Random(SEED)
        self.gone = threading.Event()
        self.backends = []
        self.stopping = []
        self.exit_codes = []
        self.store.put("op", "config", config(2, read=route(targetLatency="8000ms"),
                                              write=route("non_idempotent", "/w/", targetLatency="8000ms")))

    def start_servers(self):
        for number in range(SERVERS):
            def work(request, connection, number=number):
                self.backends[number].run(request)
                time.sleep(0.02 + 0.3 * random.random() ** 3)
                return make_response(request, b"done" * 100)
            self.backends.append(self.backend(f"i-{number}", work, slots=SLOTS))

    def stop_and_restart(self, host):
        """Stops a host after a random time, with SIGHUP around it, and perhaps its successor while that still starts."""
        time.sleep(2 * self.random.random())
        self.stopping.append(host)
        host.process.send_signal(signal.SIGHUP)
        host.process.terminate()
        host.process.send_signal(signal.SIGHUP)
        self.await_end(host)
        self.stopping.remove(host)
        host.start()
        if self.random.random() < 0.3:
            host.await_new_log("started: ")
            host.process.terminate()
            self.await_end(host)
            host.start()

    def await_end(self, host):
        self.exit_codes.append(host.process.wait(timeout=30))
        # What follows in the log comes from the successor.
        host.await_new_log("stopped: ")

    def test_requests_of_callers_that_keep_to_stopping_hosts_are_answered(self):
        self.start_servers()
        hosts = [self.host(f"h{number}", bounds={"grace": "5s"}) for number in range(HOSTS)]
        for host in hosts:
            host.await_log("in force")
        callers = [Caller(number, hosts, self.stopping, SEED, self.gone) for number in range(CALLERS)]
        self.addCleanup(self.gone.set)
        for caller in callers:
            caller.start()
        for _ in range(ROUNDS):
            time.sleep(0.5)
            stopping = [threading.Thread(target=self.stop_and_restart, args=(host,))
                        for host in self.random.sample(hosts, HOSTS // 2)]
            for each in stopping:
                each.start()
            for each in stopping:
                each.join()
        self.gone.set()
        for caller in callers:
            caller.join()
        ran = {name for backend in self.backends for name in backend.runs}
        lost = [(name, "new" if new else "kept", error, "ran" if name in ran else "not run")
                for caller in callers for name, new, error in caller.lost]
        statuses = {}
        for caller in callers:
            for status, count in caller.statuses.items():
                statuses[status] = statuses.get(status, 0) + count
        summary = f"seed {SEED}: statuses {statuses}, refused {sum(caller.refused for caller in callers)}, lost {lost}"
        if "HEATHER_SEED" in os.environ:
            print(summary)
        self.assertGreaterEqual(len(self.exit_codes), ROUNDS * HOSTS // 2, summary)
        self.assertEqual({0}, set(self.exit_codes), summary)
        self.assertGreater(statuses.get(200, 0), CALLERS, summary)
        self.assertEqual([], [each for each in lost if each[3] == "ran"], summary)
        # A request may cross the close of a kept connection; a connection that the host accepts carries at least one.
        self.assertEqual([], [each for each in lost if each[1] == "new"], summary)


if __name__ == "__main__":
    unittest.main()
