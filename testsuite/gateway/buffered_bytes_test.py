"""Large requests and responses: a host's resident memory stays within the limit of its settings."""

import http.client
import socket
import threading
import time

from gateway_harness import GatewayTestCase, config, route
from standins import REQUEST_ID, SEAL, make_response

MB = 1 << 20
MEMORY_MB = 80
MAX_BODY_BYTES = 64 * MB


class BufferedBytesTestCase(GatewayTestCase):
    def setUp(self):
        super().setUp()
        document = config(read=route(), write=route("non_idempotent", "/w/"),
                          other=route("non_idempotent", "/t/", service="t"))
        document["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        self.store.put("op", "config", document)

    def limited_host(self):
        host = self.host()
        host.settings["limits"] = {"memoryMb": MEMORY_MB}
        host.write_settings()
        host.process.kill()
        host.process.wait()
        host.start()
        host.await_log("in force")
        return host

    def check_peak(self, host):
        """Compares the most that was resident since the start of the process with the limit."""
        with open(f"/proc/{host.process.pid}/status", encoding="ascii") as file:
            peak_kb = next(int(line.split()[1]) for line in file if line.startswith("VmHWM:"))
        self.assertLessEqual(peak_kb, MEMORY_MB * 1024, f"{peak_kb // 1024} MB were resident, {MEMORY_MB} are allowed")

    def in_parallel(self, count, function):
        """Returns the results of `function(0)` to `function(count - 1)`."""
        results = [None] * count

        def run(number):
            results[number] = function(number)

        threads = [threading.Thread(target=run, args=(number,)) for number in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def test_responses_without_end_keep_the_memory_limit(self):
        """Twelve at a time, each up to the limit of one response; small ones of another service are passed on."""
        self.backend("i-1", behave=self.respond_without_end, slots=20)
        sound = self.backend("i-2", behave=self.respond_slowly)
        self.store.put("servers", "i-2", {**sound.row(slots=20), "service": "t"})
        host = self.limited_host()
        host.await_log("backend server i-2 of t")
        statuses = self.in_parallel(16, lambda n: host.request(
            "/t/1" if n % 4 == 0 else "/w/1", method="POST", body=b"b", request_id=f"id-{n}")[0])
        self.assertEqual(statuses[::4], [200] * 4)
        self.assertIn(502, statuses)
        self.assertEqual(set(statuses[1::4] + statuses[2::4] + statuses[3::4]) - {502, 503}, set())
        self.check_peak(host)

    def respond_slowly(self, request, connection):
        response = make_response(request, b"z" * 200000)
        for begin in range(0, len(response), 20000):
            connection.sendall(response[begin:begin + 20000])
            time.sleep(0.1)
        return b""

    def respond_without_end(self, request, connection):
        connection.sendall(f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request[1][REQUEST_ID.lower()]}\r\n{SEAL}: s\r\n\r\n".encode())
        piece = bytes(65536)
        try:
            while True:
                connection.sendall(piece)
        except OSError:
            return None

    def test_connections_that_rest_keep_nothing_of_large_requests(self):
        """One request at a time, at sixteen servers."""
        backends = [self.backend(f"i-{number}", slots=20) for number in range(16)]
        host = self.limited_host()
        for backend in backends:
            host.await_log(f"backend server {backend.name} of s")
        body = b"x" * (8 * MB)
        for number in range(60):
            self.assertEqual(host.request("/w/1", method="POST", body=body, request_id=f"id-{number}", key=str(number))[0], 200)
        self.assertGreaterEqual(sum(1 for backend in backends if backend.runs), 12)
        self.check_peak(host)

    def test_large_requests_at_once_are_served_or_rejected_within_the_memory_limit(self):
        """Those that find no room have not run, and the metrics tell how many there were."""
        backend = self.backend("i-1", slots=20)
        backend.behave = lambda request, connection: time.sleep(1) or backend.succeed(request, connection)
        host = self.limited_host()
        host.await_log("backend server i-1 of s")
        body = b"x" * (8 * MB)
        statuses = self.in_parallel(12, lambda n: self.status_of_large(host, body, n))
        self.assertEqual(set(statuses), {200, 503})
        self.assertEqual(len(backend.runs), statuses.count(200))
        self.assertEqual(host.metric("heather_buffer_rejections_total"), statuses.count(503))
        self.assertEqual(host.metric("heather_buffered_bytes"), 0)
        self.check_peak(host)

    def status_of_large(self, host, body, number):
        """Sends the whole body, even if the response comes before its end."""
        with socket.create_connection(("127.0.0.1", host.caller_port), timeout=30) as caller:
            caller.sendall(f"POST /w/1 HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: id-{number}\r\n"
                           f"Heatherlever-Deadline-Remaining: 8000\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            return int(caller.makefile("rb").readline().split()[1])

    def test_large_responses_to_callers_that_read_slowly_keep_the_memory_limit(self):
        """A response that is cut short does not look complete, and a later caller is served."""
        body = b"y" * (12 * MB)
        self.backend("i-1", behave=lambda request, connection: make_response(request, body), slots=20)
        host = self.limited_host()
        callers = []
        for number in range(8):
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.settimeout(30)
            caller.connect(("127.0.0.1", host.caller_port))
            self.addCleanup(caller.close)
            caller.sendall(f"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: id-{number}\r\n"
                           "Heatherlever-Deadline-Remaining: 8000\r\nConnection: close\r\n\r\n".encode())
            callers.append(caller)
            host.await_log(f"id=id-{number} ")
        self.assertEqual(host.request(request_id="last")[0], 200)
        self.check_peak(host)
        for caller in callers:
            self.check_complete_or_short(caller, body)

    def check_complete_or_short(self, caller, body):
        """A response is whole, ends before the length that it states, or says that the outcome is unknown."""
        response = http.client.HTTPResponse(caller)
        response.begin()
        try:
            received = response.read()
        except (http.client.HTTPException, OSError):
            return
        self.assertIn((response.status, received), [(200, body), (502, b"")])
