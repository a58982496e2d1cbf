"""Cuts hosts off from all backend servers."""

import http.client
import itertools
import json
import threading
import time

from gateway_harness import GatewayTestCase, config, route
from links import CutLinks, LinkSet
from standins import REQUEST_ID, make_response

UNREACHABLE = "no backend server is reachable"
REACHABLE = "backend servers are reachable again"
# Time within which a host that gets requests notices that it is cut off, and time in which it says that it is not.
NOTICE_S = 1
HEAL_S = 1.5
RECOVERY_S = 3
BACKEND_DELAY_S = 0.1
DEADLINE_MS = 2000
# Requests are sent in groups at the same time, so that a host needs several connections to each server.
GROUPS = 10
GROUP_SIZE = 8
GROUP_INTERVAL_S = 0.3


class UnreachableTestCase(GatewayTestCase):
    """Starts four backend servers in two regions, and hosts that reach them over links of their own."""

    def setUp(self):
        super().setUp()
        self.numbers = itertools.count()
        self.links = LinkSet()
        self.addCleanup(self.links.close)
        self.store.put("op", "config", config(
            1, read=route(), write=route("non_idempotent", "/w/"),
            home_d=route("non_idempotent", "/d/", homeRegions=["r-d"]),
            home_e=route("non_idempotent", "/e/", homeRegions=["r-e"])))
        self.backends = [self.backend(f"i-{n}", domain=("d-a", "e-a")[n % 2], slots=12) for n in range(4)]
        for backend in self.backends:
            backend.behave = lambda request, connection, backend=backend: self.respond_slowly(backend, request)

    def respond_slowly(self, backend, request):
        backend.run(request)
        time.sleep(BACKEND_DELAY_S)
        return make_response(request, b"from " + backend.name.encode(), extra=backend.extra)

    def linked_host(self, name, domain):
        """Starts a host that reaches the backend servers over links of its own, and returns both."""
        links = self.cut_links()
        return self.started_host(name, store_port=self.store.open_port(links.addresses), domain=domain), links

    def cut_links(self):
        return CutLinks(self.links, {backend.name: backend.port for backend in self.backends})

    def started_hosts(self, *domains):
        """Starts a host a domain, and returns (host, links) of each once all know the servers and one another."""
        hosts = [self.linked_host(f"h{n}", domain) for n, domain in enumerate(domains)]
        for host, _ in hosts:
            self.await_servers(host)
            host.await_log(f"{len(domains)} hosts are registered")
            self.await_status(host, 200)
        return hosts

    def await_servers(self, host):
        for backend in self.backends:
            host.await_log(f"backend server {backend.name} ")

    def await_status(self, host, status, path="/w/1", timeout_s=RECOVERY_S):
        end = time.monotonic() + timeout_s
        while (found := self.send(host, path)[0]) != status:
            self.assertLess(time.monotonic(), end, f"{host.name} answers {found} at {path}, not {status}")

    def send(self, host, path="/w/1", request_id="probe"):
        return host.request(path, "POST", b"payload", request_id=request_id, deadline_ms=DEADLINE_MS)

    def send_groups(self, host):
        """Sends groups of requests, half of them not idempotent. Returns (id, when sent since the start, status, time
        taken) of each; the status is None where the connection ended."""
        results = []
        start = time.monotonic()

        def send():
            number = next(self.numbers)
            kind = "xw"[number % 2]
            request_id = f"{host.name}-{kind}{number}"
            sent = time.monotonic()
            try:
                status = host.request(f"/{kind}/{number}", "GET" if kind == "x" else "POST", request_id=request_id,
                                      key=str(number), deadline_ms=DEADLINE_MS)[0]
            except (OSError, http.client.HTTPException):
                status = None
            results.append((request_id, sent - start, status, time.monotonic() - sent))

        threads = []
        for group in range(GROUPS):
            time.sleep(max(0, start + group * GROUP_INTERVAL_S - time.monotonic()))
            for _ in range(GROUP_SIZE):
                threads.append(threading.Thread(target=send))
                threads[-1].start()
        for thread in threads:
            thread.join()
        return sorted(results, key=lambda result: result[1])

    def check_run_once(self, results):
        self.assertEqual(len(results), GROUPS * GROUP_SIZE)
        runs = [run for backend in self.backends for run in backend.runs]
        for request_id, _, status, _ in results:
            if "-w" in request_id:
                self.assertLessEqual(runs.count(request_id), 0 if status == 503 else 1, request_id)

    def check_served(self, results):
        """Checks that requests run at most once, and that all are served from when the cut has to be known."""
        self.check_run_once(results)
        failed = [result for result in results if result[1] > NOTICE_S and result[2] != 200]
        late = sum(result[1] > NOTICE_S for result in results)
        self.assertEqual(len(failed), 0, f"of {late} sent after {NOTICE_S} s; {failed[:5]}")

    def check_cut(self, cut):
        (host, links), (other, _) = self.started_hosts("d-a", "e-a")
        getattr(links, cut)()
        self.check_served(self.send_groups(host))
        host.await_log(UNREACHABLE, NOTICE_S)
        self.assert_ready(host)
        links.heal()
        host.await_log(REACHABLE, HEAL_S)
        other.stop()
        self.check_served(self.send_groups(host))

    def cut_off(self, host, links):
        links.refuse_and_reset()
        self.send_groups(host)
        host.await_log(UNREACHABLE, NOTICE_S)

    def assert_ready(self, host):
        self.assertEqual(host.get(host.ready_port, "/heatherlever/ready")[0], 200)

    def written(self, host):
        return host.history + list(host.lines.queue)

    def await_directory(self, host, expected):
        """Waits until the directory names exactly the expected hosts; the host stays ready meanwhile."""
        endpoints = {f"127.0.0.1:{each.caller_port}" for each in expected}
        end = time.monotonic() + RECOVERY_S
        while True:
            status, body = host.get(host.directory_port, "/heatherlever/resolve?name=a.example&region=r-d&zone=d-a")
            named = set(json.loads(body)["addresses"]) if status == 200 else status
            self.assert_ready(host)
            if named == endpoints:
                return
            self.assertLess(time.monotonic(), end, f"{host.name} names {named}, not {endpoints}")
            time.sleep(0.02)

    def await_seen(self, request_id):
        """Returns the request as the first backend server got it."""
        end = time.monotonic() + RECOVERY_S
        while time.monotonic() < end:
            for request in [request for backend in self.backends for request in list(backend.seen)]:
                if request[1].get(REQUEST_ID.lower()) == request_id:
                    return request
            time.sleep(0.01)
        raise AssertionError(f"no backend server got request {request_id}")
