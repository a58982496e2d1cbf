"""What a backend server of the deployment notes, and whom it takes for the sender."""

import asyncio
import os
import socket
import subprocess
import sys
import tempfile
import time
import types
import unittest

import rig
from observed_server import ObservedServer, Ticks
from socket_owners import SocketOwners

COLD = {"cold_s": 5, "cold_x": 2}
TIMEOUT_S = 20
REQUEST = "GET /k0/2f HTTP/1.1\r\nHeatherlever-Request-Id: a\r\nHeatherlever-Deadline-Remaining: 1200\r\n\r\n"
# A process that opens a connection, sends what it is told, and prints the status line.
SENDER = """
import socket, sys
connection = socket.create_connection((sys.argv[1], int(sys.argv[2])))
connection.sendall(sys.argv[3].encode())
print(connection.recv(4096).decode(), flush=True)
sys.stdin.read()
"""


class ObservedServerTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        record = rig.Record(self.folder.name)
        self.case = types.SimpleNamespace(loop=rig.Loop(), record=record)
        self.hosts = []
        self.owners = SocketOwners(self.hosts)
        ticks = Ticks()
        self.case.loop.start(ticks.run())
        self.store = rig.Store(self.case.loop, record)
        self.server = ObservedServer(self.case, self.store, ticks, self.owners, "i-1", "s", "zone", 2, 0.01, COLD)

    def tearDown(self):
        self.owners.close()
        self.case.loop.run(self.close_server())
        self.case.record.file.close()
        self.folder.cleanup()

    async def close_server(self):
        self.server.server.close()
        self.server.listener.close()
        self.store.server.close()

    def sender(self, request):
        ip, port = self.server.address.split(":")
        process = subprocess.Popen([sys.executable, "-c", SENDER, ip, port, request], stdin=subprocess.PIPE,
                                   stdout=subprocess.PIPE, text=True)
        self.addCleanup(process.communicate)
        return process

    def get(self, request=REQUEST):
        ip, port = self.server.address.split(":")
        with socket.create_connection((ip, int(port)), timeout=TIMEOUT_S) as connection:
            connection.sendall(request.encode())
            return connection.recv(4096).decode()

    def test_arrivals_of_one_host_are_not_taken_for_anothers(self):
        processes = [self.sender(REQUEST) for _ in range(2)]
        self.hosts += [types.SimpleNamespace(name=f"h{n}", process=process) for n, process in enumerate(processes)]
        for process in processes:
            self.assertTrue(process.stdout.readline().startswith("HTTP/1.1 200"))
        end = time.monotonic() + TIMEOUT_S
        while (names := {self.owners.name_of(arrival.sender) for arrival in self.server.arrivals}) != {"h0", "h1"}:
            self.assertLess(time.monotonic(), end, names)
            time.sleep(0.01)

    def test_arrival_that_waited_while_the_server_was_busy_is_not_taken_for_a_late_one(self):
        ip, port = self.server.address.split(":")
        with socket.create_connection((ip, int(port)), timeout=TIMEOUT_S) as connection:
            # The event loop does not poll, as on a machine that is stalled.
            self.case.loop.loop.call_soon_threadsafe(time.sleep, 0.3)
            time.sleep(0.05)
            sent = time.monotonic()
            connection.sendall(REQUEST.encode())
            connection.recv(4096)
        arrival = self.server.arrivals[0]
        self.assertLessEqual(arrival.sent, sent)
        self.assertGreaterEqual(arrival.arrived, sent)

    def test_rejection_names_its_time(self):
        self.server.reject = (1, 2)
        self.assertIn("Retry-After: 2\r\n", self.get())
        arrival = self.server.arrivals[0]
        self.assertEqual((503, 2, False, 1.2),
                         (arrival.status, arrival.retry_after_s, arrival.ran, arrival.time_left_s))

    def test_silent_server_answers_no_packets(self):
        end_silence = self.case.loop.run(self.make_event())
        future = self.case.loop.start(self.server.fall_silent(end_silence.wait()))
        while not self.server.is_silent:
            time.sleep(0.01)
        ip, port = self.server.address.split(":")
        with self.assertRaises(TimeoutError):
            socket.create_connection((ip, int(port)), timeout=0.2)
        self.case.loop.loop.call_soon_threadsafe(end_silence.set)
        future.result(TIMEOUT_S)
        self.assertTrue(self.get().startswith("HTTP/1.1 200"))
        self.assertEqual(1, len(self.server.down))

    async def make_event(self):
        return asyncio.Event()

    def test_cold_period_begins_when_the_store_has_acknowledged_it(self):
        self.store.down = True
        future = self.case.loop.start(self.server.become_cold())
        time.sleep(0.1)
        back = time.monotonic()
        self.store.down = False
        end = time.monotonic() + TIMEOUT_S
        while not self.server.cold_periods and time.monotonic() < end:
            time.sleep(0.01)
        self.assertGreaterEqual(self.server.cold_periods[0].told, back)
        future.cancel()

    def test_server_that_crashes_under_a_request_does_not_answer_it_and_comes_back(self):
        self.assertEqual("", self.get(REQUEST.replace("/2f", "/crash")))
        self.assertEqual(["/k0/crash"], [path for path, _ in self.server.crashes])
        end = time.monotonic() + TIMEOUT_S
        while not self.server.down and time.monotonic() < end:
            time.sleep(0.01)
        self.assertTrue(self.get().startswith("HTTP/1.1 200"))


if __name__ == "__main__":
    unittest.main()
