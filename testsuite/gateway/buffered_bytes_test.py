"""Large requests: a host's resident memory stays within the limit of its settings."""

import os
import threading
import time

from gateway_harness import GatewayTestCase, config

MB = 1 << 20
MEMORY_MB = 80
MAX_BODY_BYTES = 64 * MB


class BufferedBytesTestCase(GatewayTestCase):
    def setUp(self):
        super().setUp()
        document = config()
        document["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        self.store.put("op", "config", document)
        self.peak = 0
        self.watching = True

    def limited_host(self):
        host = self.host()
        host.settings["limits"] = {"memoryMb": MEMORY_MB}
        host.write_settings()
        host.process.kill()
        host.process.wait()
        host.start()
        host.await_log("in force")
        watcher = threading.Thread(target=self.watch, args=(host.process.pid,))
        watcher.start()
        self.addCleanup(watcher.join)
        self.addCleanup(self.end_watch)
        return host

    def watch(self, pid):
        while self.watching:
            with open(f"/proc/{pid}/statm", encoding="ascii") as file:
                self.peak = max(self.peak, int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE"))
            time.sleep(0.002)

    def end_watch(self):
        self.watching = False

    def check_peak(self):
        self.end_watch()
        self.assertLessEqual(self.peak, MEMORY_MB * MB, f"{self.peak // MB} MB were resident, {MEMORY_MB} are allowed")

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
        self.check_peak()
