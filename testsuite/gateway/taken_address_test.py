"""Addresses of a host are taken by other sockets of its machine when it starts."""

import socket
import time
import unittest

from gateway_harness import GatewayTestCase

# Far more than an entry host needs to try once more.
RETRY_S = 2


def take(port):
    """Listens at the port, as the host's predecessor does in its grace period."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen()
    return listener


class TakenAddressTest(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.server = self.backend("i-1")
        self.subject = self.host()
        self.subject.await_log("in force")
        self.subject.kill()

    def start_beside(self, holder, purpose):
        self.addCleanup(holder.close)
        self.subject.start()
        self.subject.await_new_log(f"{purpose}: can't listen at ")
        time.sleep(RETRY_S)
        self.assertIsNone(self.subject.process.poll(), "the host has ended")

    def expect_service_after(self, holder, purpose):
        holder.close()
        self.subject.await_new_log(f"{purpose}: listening at ")
        self.subject.await_log("backend server i-1 ")
        self.assertEqual(200, self.subject.request()[0])
        self.assertEqual(200, self.ready())

    def ready(self):
        return self.subject.get(self.subject.ready_port, "/heatherlever/ready")[0]

    def test_host_whose_caller_address_is_taken_starts_and_serves_once_it_is_free(self):
        holder = take(self.subject.caller_port)
        self.start_beside(holder, "callers")
        self.assertEqual(503, self.ready())
        self.expect_service_after(holder, "callers")

    def test_host_whose_readiness_address_is_taken_starts_and_serves_once_it_is_free(self):
        holder = take(self.subject.ready_port)
        self.start_beside(holder, "readiness")
        self.expect_service_after(holder, "readiness")

    def test_host_whose_directory_address_is_taken_starts_and_serves_once_it_is_free(self):
        holder = take(self.subject.directory_port)
        self.start_beside(holder, "directory")
        self.assertEqual(503, self.ready())
        self.assertEqual(200, self.subject.request()[0])
        self.expect_service_after(holder, "directory")

    def test_host_whose_seed_address_is_taken_serves(self):
        holder = take(self.subject.control_port)
        self.start_beside(holder, "queries of starting hosts")
        self.assertEqual(200, self.ready())
        self.expect_service_after(holder, "queries of starting hosts")

    def test_host_whose_metrics_port_is_taken_serves(self):
        holder = take(self.subject.metrics_port)
        self.start_beside(holder, "metrics")
        self.assertEqual(200, self.ready())
        self.expect_service_after(holder, "metrics")

    def test_host_whose_relay_address_is_taken_serves_and_registers_once_it_is_free(self):
        holder = take(self.subject.internal_port)
        self.start_beside(holder, "relay")
        self.assertEqual(200, self.ready())
        self.assertFalse(any("registered as" in line for line in self.subject.history))
        self.expect_service_after(holder, "relay")
        self.subject.await_log("registered as")

    def test_host_whose_first_internal_port_is_taken_relays_at_another_one(self):
        self.addCleanup(take(self.subject.internal_port).close)
        self.subject.settings["internalPorts"][1] += 15
        self.subject.write_settings()
        self.subject.start()
        self.subject.await_new_log("registered as")
        follower = self.started_host("h2")
        follower.await_log("news come from h1")
        self.assertEqual(200, follower.request()[0])

    def test_host_whose_caller_address_is_the_source_of_an_outgoing_connection_starts(self):
        source = socket.socket()
        source.bind(("127.0.0.1", self.subject.caller_port))
        source.connect(("127.0.0.1", self.server.port))
        self.start_beside(source, "callers")
        source.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.expect_service_after(source, "callers")


if __name__ == "__main__":
    unittest.main()
