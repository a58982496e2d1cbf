import signal
import threading
import time
import unittest

from gateway_harness import config, route
from standins import DEADLINE, LEAVING, REQUEST_ID, SEAL, Backend, make_response
from unreachable_harness import DEADLINE_MS, HEAL_S, NOTICE_S, REACHABLE, UNREACHABLE, UnreachableTestCase

# Followers read the registrations for the last time this long after their start.
SECOND_READ_S = 2.5


class DetourTest(UnreachableTestCase):
    """Requests that a host cut off from all servers passed on to another one ended otherwise than at that one."""

    def test_request_is_not_handled_by_an_older_configuration(self):
        links = self.cut_links()
        ports = self.store.open_port(links.addresses), self.store.open_port()
        first = self.started_host("h1", store_port=ports[0], domain="d-a")
        second = self.started_host("h2", store_port=ports[1], domain="d-b")
        for host in (first, second):
            self.await_servers(host)
            host.await_log("2 hosts are registered")
        self.cut_off(first, links)
        self.await_status(first, 200)
        before, row_at = self.store.rows[("op", "config")][0], self.store.row_at
        self.store.row_at = lambda port, row: (
            {**row, "value": before} if port == ports[1] and row["key"] == "config" else row_at(port, row))
        self.store.put("op", "config", config(2, added=route(prefix="/n/")))
        first.await_log("configuration 2 in force")
        # Hosts that have the route at all know that it can't be served.
        self.assertEqual(self.send(first, "/n/1", "added")[0], 503)

    def test_request_with_a_head_of_the_maximum_size_is_served(self):
        def send(pad):
            connection = host.connect()
            connection.request("GET", "/x/1", headers={
                REQUEST_ID: f"pad-{pad}", DEADLINE: str(DEADLINE_MS), "Host": "a.example", "X-Pad": "p" * pad})
            status = connection.getresponse().status
            connection.close()
            return status

        (host, links), _ = self.started_hosts("d-a", "e-a")
        limit = config()["limits"]["maxHeaderBytes"]
        pad = next(pad for pad in range(limit, 0, -1) if len(f"GET /x/1 HTTP/1.1\r\nAccept-Encoding: identity\r\n"
                   f"{REQUEST_ID}: pad-{pad}\r\n{DEADLINE}: {DEADLINE_MS}\r\nHost: a.example\r\nX-Pad: \r\n\r\n") + pad <= limit)
        self.assertEqual(send(pad), 200)
        self.cut_off(host, links)
        self.await_status(host, 200)
        self.assertEqual(send(pad), 200)

    def test_follower_knows_a_host_that_registered_later(self):
        links = self.cut_links()
        port = self.store.open_port(links.addresses)
        relay = self.started_host("h1", store_port=port)
        relay.await_log("registered as h1")
        follower = self.started_host("h2", store_port=port)
        follower.await_log("news come from h1")
        time.sleep(SECOND_READ_S)
        late = self.started_host("h3", domain="e-a")
        self.await_servers(late)
        self.cut_off(follower, links)
        self.await_status(follower, 200)

    def test_paused_host_is_left_out(self):
        (host, links), (paused, _), _ = self.started_hosts("d-a", "e-a", "e-a")
        self.cut_off(host, links)
        self.await_status(host, 200)
        paused.process.send_signal(signal.SIGSTOP)
        self.addCleanup(paused.process.send_signal, signal.SIGCONT)
        statuses = [host.request("/x/1", request_id=f"p-{n}", deadline_ms=700)[0] for n in range(4)]
        self.assertLessEqual(sum(status != 200 for status in statuses), 1, statuses)

    # The host returned the statement of a leaving server to its callers without knowing which server it was.
    def test_cut_off_host_learns_of_a_leaving_server_from_the_host_that_serves_its_requests(self):
        (host, links), (other, _) = self.started_hosts("d-a", "e-a")
        self.cut_off(host, links)
        self.await_status(host, 200)
        leaving = self.backends[0]
        leaving.extra = LEAVING
        for key in range(16):
            headers = host.request("/w/1", "POST", b"x", request_id=f"cut-{key}", key=str(key))[1]
            self.assertNotIn("Heather-Leaving-Server", headers)
        links.heal()
        host.await_log(REACHABLE, HEAL_S)
        for key in range(16):
            result = host.request("/w/1", "POST", b"x", request_id=f"healed-{key}", key=str(key))
            self.assertEqual(result[0], 200)
            self.assertNotEqual(result[2], b"from " + leaving.name.encode())
        other.await_log(f"backend server {leaving.name} states that it is leaving")
        host.await_log(f"backend server {leaving.name} is leaving, reported by host {other.name}")

    # During an upgrade the other host may be of the version before this one or after it.
    def test_responses_of_hosts_of_other_versions_are_understood(self):
        other = Backend("other")
        self.addCleanup(other.close)
        self.store.put("heather-hosts", "h0", {
            "region": "r-e", "domain": "e-a", "front": f"127.0.0.1:{other.port}", "relay_address": "127.0.0.1",
            "relay_port": 1})
        host, links = self.linked_host("h1", "d-a")
        self.await_servers(host)
        host.await_log("2 hosts are registered")
        self.cut_off(host, links)
        for fields in ("", "Heather-Leaving-Server: malformed\r\n", "Heather-Leaving-Server: 1;i-9\r\nHeather-Later: 7\r\n"):
            other.extra = fields
            self.assertEqual(self.send(host)[::2], (200, b"from other"), fields)

    def test_request_reaches_no_more_servers_than_its_route_allows(self):
        (host, links), (first, _), (second, _) = self.started_hosts("d-a", "e-a", "e-a")
        self.cut_off(host, links)
        self.await_status(host, 200)
        reached = []
        lock = threading.Lock()

        def run(backend, request):
            if request[1].get(REQUEST_ID.lower()) != "counted":
                return self.respond_slowly(backend, request)
            with lock:
                reached.append(backend.name)
                if len(reached) != 2:
                    return None
            for other in (first, second):
                if other.metric("heather_requests_active") > 0:
                    other.process.kill()
            return None

        for backend in self.backends:
            backend.behave = lambda request, connection, backend=backend: run(backend, request)
        host.request("/x/1", request_id="counted", deadline_ms=4000)
        self.assertLessEqual(len(reached), 2)

    def test_request_at_several_servers_is_served_after_a_cut_that_resets_connections(self):
        def send(number):
            results.append(host.request("/w/same", "POST", b"one", request_id=f"same-{number}", key=None,
                                        deadline_ms=DEADLINE_MS)[0])

        results = []
        (host, links), (other, _) = self.started_hosts("d-a", "e-a")
        threads = [threading.Thread(target=send, args=(number,)) for number in range(12)]
        for thread in threads:
            thread.start()
        for number in range(12):
            self.await_seen(f"same-{number}")
        links.refuse_and_reset()
        for thread in threads:
            thread.join()
        self.send_groups(host)
        host.await_log(UNREACHABLE, NOTICE_S)
        links.heal()
        self.await_status(host, 200)
        for each in (other, host):
            self.assertEqual(each.request("/w/same", "POST", b"one", request_id="again", key=None)[0], 200)

    # The status of a server that HTTP doesn't have reached the caller.
    def test_response_without_a_status_of_http_at_the_second_host_is_no_answer(self):
        (host, links), _ = self.started_hosts("d-a", "e-a")
        self.cut_off(host, links)
        self.await_status(host, 200)
        for backend in self.backends:
            backend.behave = lambda request, connection: make_response(request, b"odd", status="600 Odd")
        status, headers, _ = self.send(host, request_id="odd")
        self.assertEqual((status, headers[SEAL]), (502, None))


if __name__ == "__main__":
    unittest.main()
