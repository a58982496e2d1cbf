import time
import unittest

from gateway_harness import GatewayTestCase
from standins import REQUEST_ID, TARGET

KEYS = 24
BODY = b"payload"
# More than the time from a change in the store until every host acts on it.
NOTICE_S = 2.5
# Ids that no header field carries as they are.
UNSOUND_KEYS = [
    "i-1\n", "i-1\r", "i-1\r\n", "\ni-1", "i-1\r\nX-Added: 1", "i-1\x00", "i-1 ", " i-1", "i-1\t", "",
    f"i-1\r\nContent-Length: 0\r\n\r\nPOST /w/other HTTP/1.1\r\n{REQUEST_ID}: unasked",
]
# Ids that a server may have.
SOUND_IDS = ["i 1", "i,1;q=\"1\"", "i\\n1"]


class ForeignEntryTest(GatewayTestCase):
    """Entries that another writer put in the list of servers changed requests on their way, and lines of the log."""

    def send(self, host):
        return {f"r{key}": host.request(f"/w/{key}", "POST", BODY, request_id=f"r{key}", key=str(key)) for key in range(KEYS)}

    # The id of a server ended the head of the requests to it, so that orders ran with an empty body, or others ran.
    def test_requests_reach_servers_unchanged_beside_keys_with_line_ends(self):
        backends = {name: self.backend(name) for name in ("i-1", "i-2")}
        for key in UNSOUND_KEYS:
            self.store.put("servers", key, backends["i-1"].row())
        host = self.started_host()
        for name in backends:
            host.await_log(f"backend server {name} ")
        results = self.send(host)
        self.assertEqual({request_id: result[0] for request_id, result in results.items()}, dict.fromkeys(results, 200))
        for name, backend in backends.items():
            for line, headers, body in backend.seen:
                request_id = headers[REQUEST_ID.lower()]
                self.assertEqual((line, body), (f"POST /w/{request_id[1:]} HTTP/1.1", BODY))
                self.assertEqual(headers[TARGET.lower()], name)
                self.assertNotIn("x-added", headers)
        runs = [request_id for backend in backends.values() for request_id in backend.runs]
        self.assertEqual(sorted(runs), sorted(results))

    def test_server_with_an_unusual_id_gets_requests(self):
        for name in SOUND_IDS:
            backend = self.backend(name)
            host = self.started_host(f"h{SOUND_IDS.index(name)}")
            results = self.send(host)
            self.assertEqual({result[0] for result in results.values()}, {200})
            self.assertEqual({request[1][TARGET.lower()] for request in backend.seen}, {name})
            host.stop()
            self.store.delete("servers", name)

    # The entry named no start, so that what was known of the server's leaving did not count for it.
    def test_server_that_left_is_not_used_for_an_entry_with_fields_missing(self):
        left, _ = self.backend("i-1"), self.backend("i-2")
        host = self.started_host()
        for name in ("i-1", "i-2"):
            host.await_log(f"backend server {name} ")
        self.store.delete("servers", "i-1")
        host.await_log("backend server i-1 is no longer listed")
        for missing in (["version"], ["sequence"], ["coldRemaining"], ["born"], ["version", "sequence", "born"]):
            for value in (None, True):
                row = {**left.row(sequence=9), **dict.fromkeys(missing, value)}
                self.store.put("servers", "i-1", row)
                time.sleep(NOTICE_S)
                self.assertEqual({result[2] for result in self.send(host).values()}, {b"from i-2"}, row)

    # On-call engineers read lines that the key of an entry had made up.
    def test_no_entry_begins_a_line_of_the_log(self):
        forged = "forged: host h1 stopped"
        backend = self.backend("i-1")
        self.store.put("servers", f"i-2\n{forged}\r{forged}\u2028{forged}", backend.row())
        self.store.put("servers", "i-3", {**backend.row(), "state": f"odd\n{forged}"})
        self.store.put("servers", "i-4", {**backend.row(), "zone": f"odd\n{forged}"})
        self.store.put("servers", f"i-5\n{forged}", b"\xff")
        self.store.put("servers", "i-6", {**backend.row(), "service": f"odd\n{forged}"})
        host = self.started_host()
        host.await_log("backend server i-6 ")
        text = "".join(host.history)
        self.assertGreaterEqual(text.count(forged), 5)
        self.assertEqual([line for line in text.splitlines() if line.startswith(forged)], [])


if __name__ == "__main__":
    unittest.main()
