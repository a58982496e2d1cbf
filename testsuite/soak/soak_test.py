"""A short soak of kept seeds; `soak.py` plays others."""

import os
import unittest

from soak import Soak

SECONDS = 5
SEEDS_FILE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "seeds.txt")


def kept_seeds():
    with open(SEEDS_FILE, encoding="utf-8") as file:
        lines = [line for line in file if line.strip() and not line.startswith("#")]
    return [int(line.split()[0]) for line in lines]


class SoakTest(unittest.TestCase):
    def test_kept_seeds_break_no_promise(self):
        for seed in kept_seeds():
            with self.subTest(seed=seed):
                soak = Soak(seed)
                try:
                    soak.run(SECONDS)
                    self.assertEqual([], soak.findings, f"logs: {soak.logs() if soak.findings else 'not kept'}")
                finally:
                    soak.close()


if __name__ == "__main__":
    unittest.main()
