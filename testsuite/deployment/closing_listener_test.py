"""Callers that connect at the moment at which a stopping host closes its listening socket. Run by hand, as it takes most
of a machine for half a minute and finds the fault in most runs only."""

import multiprocessing
import socket
import time

from gateway_harness import START_TIMEOUT_S, GatewayTestCase

ROUNDS = 12
PROCESSES = 3
CALLER_TIMEOUT_S = 3
GRACE_S = 1.5
# A host stops listening this long before the end of the grace, at the latest.
RESERVE_S = 0.25
MAX_CONNECTIONS = 6000


def connect_until_refused(port, start, results):
    """Connects again and again from `start` on; counts the connections that were established and then reset."""
    time.sleep(max(0.0, start - time.monotonic()))
    connections = []
    while len(connections) < MAX_CONNECTIONS:
        try:
            connections.append(socket.create_connection(("127.0.0.1", port), timeout=CALLER_TIMEOUT_S))
        except OSError:
            break
    reset = 0
    for connection in connections:
        try:
            connection.recv(1)
        except TimeoutError:
            pass  # The accept queue was full: the kernel had dropped the end of the handshake.
        except OSError:
            reset += 1
        connection.close()
    results.put((len(connections), reset))


class ClosingListenerTest(GatewayTestCase):
    # Those that the kernel established between the last accept and the close of the socket were reset.
    def test_connections_that_a_stopping_host_lets_callers_establish_are_not_reset(self):
        self.backend("i-1")
        established, reset = 0, 0
        for number in range(ROUNDS):
            host = self.started_host(f"h{number}", bounds={"grace": f"{int(GRACE_S * 1000)}ms"})
            context = multiprocessing.get_context("fork")
            results = context.Queue()
            start = time.monotonic() + GRACE_S - RESERVE_S - 0.1
            callers = [context.Process(target=connect_until_refused, args=(host.caller_port, start, results))
                       for _ in range(PROCESSES)]
            for caller in callers:
                caller.start()
            host.process.terminate()
            counts = [results.get(timeout=START_TIMEOUT_S) for _ in callers]
            for caller in callers:
                caller.join()
            self.assertEqual(0, host.process.wait(timeout=START_TIMEOUT_S))
            established += sum(count for count, _ in counts)
            reset += sum(count for _, count in counts)
        self.assertGreater(established, ROUNDS * PROCESSES)
        self.assertEqual(0, reset, f"of {established} connections")
