import threading
import unittest

from standins import DEADLINE, REQUEST_ID
from unreachable_harness import DEADLINE_MS, HEAL_S, NOTICE_S, REACHABLE, UNREACHABLE, UnreachableTestCase

HOSTS_TABLE = "heather-hosts"
# Time beyond its deadline within which a request is answered.
ANSWER_SLACK_S = 0.5
# Log lines that a host may write in a cut.
MAX_LINES = 400


class UnreachableServersTest(UnreachableTestCase):
    """Hosts that no backend server was reachable from took callers on and served next to none of their requests."""

    def test_requests_are_served_when_connections_are_reset(self):
        self.check_cut("refuse_and_reset")

    def test_requests_are_served_when_only_new_connections_are_refused(self):
        self.check_cut("refuse_new")

    def test_requests_are_served_when_open_connections_are_silent_and_new_ones_refused(self):
        self.check_cut("refuse_and_silence")

    def test_requests_are_served_when_connections_hang(self):
        self.check_cut("hang_and_silence")

    def test_directory_names_only_the_host_that_reaches_servers(self):
        relay = self.started_host("h1")
        relay.await_log("registered as h1")
        links = self.cut_links()
        # Hosts of a domain share one list of servers, so the second gets other addresses on its way from the first.
        relay_link = self.links.link(relay.internal_port)
        relay_link.replaced = {
            f'"port":{backend.port},'.encode(): f'"port":{links.addresses[backend.name].rpartition(":")[2]},'.encode()
            for backend in self.backends}
        row = self.store.value(HOSTS_TABLE, "h1")
        self.store.put(HOSTS_TABLE, "h1", {**row, "relay_port": relay_link.port})
        follower = self.started_host("h2", store_port=self.store.open_port(links.addresses))
        follower.await_log("news come from h1")
        self.await_servers(follower)
        for host in (relay, follower):
            self.await_directory(host, [relay, follower])
        self.cut_off(follower, links)
        for host in (relay, follower):
            self.await_directory(host, [relay])
        self.assertFalse(any(UNREACHABLE in line for line in self.written(relay)))
        links.heal()
        for host in (relay, follower):
            self.await_directory(host, [relay, follower])

    def test_directory_of_a_domain_without_servers_names_hosts_of_others(self):
        (first, links), (second, _) = self.started_hosts("d-a", "e-a")
        self.cut_off(first, links)
        self.await_directory(first, [second])
        self.await_directory(second, [second])
        links.heal()
        self.await_directory(first, [first])
        first.await_log(REACHABLE, HEAL_S)

    def test_all_hosts_are_cut_off(self):
        hosts = self.started_hosts("d-a", "e-a")
        before = {host.name: len(self.written(host)) for host, _ in hosts}
        for _, links in hosts:
            links.refuse_and_reset()
        for host, _ in hosts:
            results = self.send_groups(host)
            self.check_run_once(results)
            self.assertLessEqual({result[2] for result in results}, {502, 503})
            self.assertLessEqual(max(result[3] for result in results), DEADLINE_MS / 1000 + ANSWER_SLACK_S)
            host.await_log(UNREACHABLE, NOTICE_S)
        for host, links in hosts:
            self.assertLess(len(self.written(host)) - before[host.name], MAX_LINES)
            self.assert_ready(host)
            links.heal()
        for host, _ in hosts:
            self.await_status(host, 200)

    def test_several_crashed_servers_are_no_cut(self):
        hosts = self.started_hosts("d-a", "e-a")
        for _, links in hosts:
            for link in list(links.by_id.values())[:2]:
                link.refuse()
                link.reset()
        for host, _ in hosts:
            self.check_served(self.send_groups(host))
        for host, _ in hosts:
            self.assertFalse(any(UNREACHABLE in line for line in self.written(host)))

    def test_host_that_reaches_few_of_many_servers_is_not_cut_off(self):
        crashed = self.backends + [self.backend(f"more-{n}", domain=("d-a", "e-a")[n % 2]) for n in range(4)]
        self.backends += [self.backend(f"left-{n}", domain=("d-a", "e-a")[n]) for n in range(2)]
        host = self.started_host("h1")
        host.await_log("backend server left-1 ")
        for backend in crashed:
            backend.crash()
        self.send_groups(host)
        self.assertFalse(any(UNREACHABLE in line for line in self.written(host)))

    def test_requests_with_homes_reach_only_hosts_there(self):
        (host, links), (same, same_links), (_, other_links) = self.started_hosts("d-a", "d-b", "e-a")
        self.cut_off(host, links)
        for path in ("/d/1", "/e/1"):
            self.await_status(host, 200, path)
        self.cut_off(same, same_links)
        self.await_status(host, 200, "/e/1")
        self.await_status(host, 503, "/d/1")
        same_links.heal()
        self.await_status(host, 200, "/d/1")
        other_links.refuse_and_reset()
        self.await_status(host, 503, "/e/1")
        self.assertEqual(self.send(host, "/d/1")[0], 200)

    def test_requests_with_homes_in_the_only_region_cut_off_are_rejected(self):
        (host, links), _ = self.started_hosts("e-a", "d-a")
        self.cut_off(host, links)
        self.await_status(host, 200, "/d/1")
        self.assertEqual(self.send(host, "/e/1", "home")[0], 503)
        self.assertFalse(any("home" in backend.runs for backend in self.backends))

    def test_request_ends_at_the_server_when_its_caller_disconnects(self):
        def wait_for_end(request, connection):
            connection.recv(1)
            if request[1].get(REQUEST_ID.lower()) == "left":
                ended.set()

        ended = threading.Event()
        (host, links), _ = self.started_hosts("d-a", "e-a")
        self.cut_off(host, links)
        self.await_status(host, 200)
        for backend in self.backends:
            backend.behave = wait_for_end
        connection = host.connect()
        connection.request("GET", "/x/1", headers={REQUEST_ID: "left", DEADLINE: "9000", "Host": "a.example"})
        self.await_seen("left")
        connection.close()
        self.assertTrue(ended.wait(NOTICE_S))

    def test_deadline_is_not_extended(self):
        (host, links), _ = self.started_hosts("d-a", "e-a")
        self.cut_off(host, links)
        self.assertEqual(self.send(host, request_id="timed")[0], 200)
        remaining = int(self.await_seen("timed")[1][DEADLINE.lower()])
        self.assertTrue(0 < remaining <= DEADLINE_MS, remaining)


if __name__ == "__main__":
    unittest.main()
