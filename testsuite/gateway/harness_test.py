"""Checks the harness that the other tests use."""

import concurrent.futures
import unittest

from gateway_harness import free_ports

CALLS = 150
PORTS = 6


def take_ports(_):
    return free_ports(PORTS)


class HarnessTest(unittest.TestCase):
    def test_no_port_is_returned_twice(self):
        with concurrent.futures.ProcessPoolExecutor(3) as pool:
            ports = [port for taken in pool.map(take_ports, range(CALLS)) for port in taken]
        self.assertEqual(CALLS * PORTS, len(set(ports)))


if __name__ == "__main__":
    unittest.main()
