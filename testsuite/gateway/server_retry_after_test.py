import threading
import time
import unittest

from gateway_harness import GatewayTestCase, config, route
from standins import NOT_EXECUTED, REQUEST_ID, SEAL, identified, make_response

BACKOFF_S = 2
# Requests from one host that may still reach the server from this time after its answer until the end of its backoff.
NOTICE_S = 0.5
ALLOWED = 2
LONG_BACKOFF = "60"
CLIENTS = 4


def turn_away(retry_after):
    return (f"HTTP/1.1 503 Service Unavailable\r\n{NOT_EXECUTED}: 1\r\n"
            f"Retry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n").encode()


class ServerRetryAfterTestCase(GatewayTestCase):
    """Requests went on to servers that had asked for none with Retry-After in a 503."""

    def hosts_of(self, count, *backends):
        hosts = [self.started_host(f"h{number + 1}") for number in range(count)]
        for host in hosts:
            for backend in backends:
                host.await_log(f"backend server {backend.name} ")
        return hosts

    def load(self, hosts, end):
        """Sends requests for many objects until `end` from some clients a host; returns the responses."""
        results = []

        def send(host, client):
            connection = host.connect()
            number = 0
            while time.monotonic() < end:
                number += 1
                request_id = f"{host.name}-{client}-{number}"
                results.append(host.request(request_id=request_id, key=request_id, connection=connection))
                time.sleep(0.01)
            connection.close()

        threads = [threading.Thread(target=send, args=(host, client)) for host in hosts for client in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def send(self, host, count=8):
        """Sends requests for `count` objects; returns their statuses."""
        return [host.request(request_id=f"{host.name}-{key}", key=str(key))[0] for key in range(count)]

    def host_of_server_that_answers(self, answer):
        """A host that has one request turned away by i-1, beside which i-2 serves."""
        asking = self.backend("i-1", lambda request, connection: answer, slots=100)
        serving = self.backend("i-2", slots=100)
        host, = self.hosts_of(1, asking, serving)
        for key in range(100):
            self.assertEqual(host.request(request_id=f"first-{key}", key=str(key))[0], 200)
            if asking.seen:
                return host, asking
        self.fail("no request reached i-1")

    def test_server_gets_no_requests_from_a_host_before_the_end_of_its_backoff(self):
        arrivals = {"h1": [], "h2": []}

        def turn_away_first_host(request, connection):
            host = request[1][REQUEST_ID.lower()].split("-")[0]
            arrivals[host].append(time.monotonic())
            return identified(turn_away(f"{BACKOFF_S}.0"), request) if host == "h1" else make_response(request, b"")

        asking = self.backend("i-1", turn_away_first_host, slots=100)
        serving = self.backend("i-2", slots=100)
        hosts = self.hosts_of(2, asking, serving)
        results = self.load(hosts, time.monotonic() + 2 * BACKOFF_S + 1)
        turned_away = arrivals["h1"]
        late = [sum(at + NOTICE_S < other < at + BACKOFF_S for other in turned_away) for at in turned_away]
        self.assertLessEqual(max(late), ALLOWED)
        self.assertEqual({200}, {status for status, _, _ in results})
        # The server is asked again afterwards, and by the other host all the time.
        self.assertGreater(turned_away[-1] - turned_away[0], BACKOFF_S)
        longest_gap = max(after - at for at, after in zip(arrivals["h2"], arrivals["h2"][1:]))
        self.assertLess(longest_gap, BACKOFF_S)
        hosts[0].await_log(f"backend server i-1 wants no requests from this host for {BACKOFF_S} s")
        self.assertGreater(hosts[0].metric("heather_server_backoffs_total"), 0)
        self.assertEqual(hosts[1].metric("heather_server_backoffs_total"), 0)

    def test_request_is_rejected_at_once_while_all_servers_want_none(self):
        self.store.put("op", "config", config(read=route(), other=route(prefix="/o/", service="t")))
        backends = [self.backend(name, lambda request, connection: turn_away(LONG_BACKOFF)) for name in ("i-1", "i-2")]
        other = self.backend("i-3")
        self.store.put("servers", "i-3", {**other.row(), "service": "t"})
        host, = self.hosts_of(1, *backends, other)
        self.assertEqual(503, host.request(request_id="first")[0])
        status, headers, _ = host.request(request_id="second", deadline_ms=900)
        self.assertEqual(503, status)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertLessEqual(float(headers["Retry-After"]), 0.3)
        line = host.await_log("request id=second ")
        self.assertIn('reason="servers want no requests"', line)
        self.assertIn("sends=0 servers= ", line)
        self.assertEqual([1, 1], [len(backend.seen) for backend in backends])
        self.assertEqual(host.metric("heather_backed_off_servers"), 2)
        self.assertEqual(200, host.request("/o/1", request_id="other")[0])

    def test_request_in_the_queue_is_rejected_once_the_only_server_wants_none(self):
        release = threading.Event()

        def turn_away_on_release(request, connection):
            release.wait()
            return identified(turn_away(LONG_BACKOFF), request)

        # The queue outlasts the test.
        self.store.put("op", "config", config(read=route(timeout="200s", targetLatency="200s")))
        backend = self.backend("i-1", turn_away_on_release, slots=1)
        host, = self.hosts_of(1, backend)
        clients = [threading.Thread(target=host.request, kwargs={"request_id": f"r{number}", "deadline_ms": 200000})
                   for number in range(4)]
        for client in clients:
            client.start()
        backend.wait_for(lambda: backend.seen)
        end = time.monotonic() + 20
        while host.metric("heather_requests_active") < len(clients) and time.monotonic() < end:
            time.sleep(0.01)
        release.set()
        for number in range(len(clients)):
            self.assertIn('status=503 reason="servers want no requests"', host.await_log(f"request id=r{number} route"))
        for client in clients:
            client.join()
        self.assertEqual(1, len(backend.seen))

    def test_backoff_ends_with_the_incarnation_and_not_with_its_listing(self):
        host, asking = self.host_of_server_that_answers(turn_away(LONG_BACKOFF))
        self.store.delete("servers", "i-1")
        host.await_log("backend server i-1 is no longer listed")
        self.store.put("servers", "i-1", asking.row(slots=100, sequence=2))
        host.await_new_log("backend server i-1 of s")
        self.assertEqual({200}, set(self.send(host)))
        self.assertEqual(1, len(asking.seen))
        self.store.put("servers", "i-1", {**asking.row(slots=100), "born": 2})
        end = time.monotonic() + 20
        while len(asking.seen) == 1:
            self.assertLess(time.monotonic(), end, "the server gets no requests after its start")
            self.send(host)

    def test_503_after_a_run_counts(self):
        host, asking = self.host_of_server_that_answers(
            turn_away(LONG_BACKOFF).replace(f"{NOT_EXECUTED}: 1".encode(), f"{SEAL}: sealed".encode()))
        self.assertEqual({200}, set(self.send(host)))
        self.assertEqual(1, len(asking.seen))

    def test_caller_of_a_request_that_may_have_run_is_not_told_to_wait_for_one_server(self):
        answer = turn_away(LONG_BACKOFF).replace(f"{NOT_EXECUTED}: 1".encode(), f"{SEAL}: sealed".encode())
        backend = self.backend("i-1", lambda request, connection: answer)
        host, = self.hosts_of(1, backend)
        status, headers, _ = host.request("/w/1", "POST", b"x")
        self.assertEqual(502, status)
        self.assertIsNone(headers["Retry-After"])

    def test_other_answers_and_malformed_values_change_nothing(self):
        answers = [turn_away(text) for text in ("-1", "nan", "inf", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "0", "1e3", "")]
        answers.append(turn_away(LONG_BACKOFF).replace(b"503 Service Unavailable", b"429 Too Many Requests"))
        answers.append(b"HTTP/1.1 503 Service Unavailable\r\n" + NOT_EXECUTED.encode() + b": 1\r\nContent-Length: 0\r\n\r\n")
        answers.append(turn_away(LONG_BACKOFF).replace(b"503 Service Unavailable", b"421 Misdirected Request"))
        remaining = list(answers)
        asking = self.backend("i-1", lambda request, connection: identified(remaining.pop(0), request), slots=100)
        host, = self.hosts_of(1, asking)
        for number in range(len(answers)):
            self.assertEqual(503, host.request(request_id=f"r{number}", deadline_ms=100)[0])
            self.assertEqual(number + 1, len(asking.seen))
        self.assertIn('"Wed, 21 Oct 2026 07:28:00 GMT" of i-1 ignored', host.await_log("request id=r4 Retry-After="))
        self.assertEqual(host.metric("heather_server_backoffs_total"), 0)


if __name__ == "__main__":
    unittest.main()
