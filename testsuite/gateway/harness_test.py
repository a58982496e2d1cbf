"""What the other tests rely on."""

import concurrent.futures
import unittest

from gateway_harness import free_ports

CALLS = 150
PORTS = 6


def take(_):
    return free_ports(PORTS)


class HarnessTest(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        with concurrent.futures.ProcessPoolExecutor(3) as pool:
            ports = [port for given in pool.map(take, range(CALLS)) for port in given]
        self.assertEqual(CALLS * PORTS, len(set(ports)))


if __name__ == "__main__":
    unittest.main()
