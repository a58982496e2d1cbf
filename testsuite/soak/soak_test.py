"""A short soak of kept seeds; `soak.py` plays others. Each says why it is kept."""

import unittest

from soak import Soak

SECONDS = 5


class SoakTest(unittest.TestCase):
    def play(self, seed):
        soak = Soak(seed)
        try:
            soak.run(SECONDS)
            self.assertEqual([], soak.findings, f"logs: {soak.logs() if soak.findings else 'not kept'}")
        finally:
            soak.close()

    # The first one; no promise was broken.
    def test_seed_1(self):
        self.play(1)

    # A host is frozen while it stops: the soak itself waited for it for good.
    def test_seed_4(self):
        self.play(4)

    # A host is stopped twice: the soak itself waited for the process that it had started since.
    def test_seed_132(self):
        self.play(132)

    # A reload reached a host that was reading its settings, and ended it (platform/main.cc).
    def test_seed_238(self):
        self.play(238)


if __name__ == "__main__":
    unittest.main()
