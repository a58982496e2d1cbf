import re
import subprocess
import unittest

from gateway_harness import PROGRAM

SYSTEM_LIBRARIES = {"libc.so.6", "libm.so.6"}


class SharedLibrariesTest(unittest.TestCase):
    # The program could not be loaded where a library was missing or of another version.
    def test_program_needs_no_shared_library_but_the_systems(self):
        dynamic = subprocess.run(["readelf", "--dynamic", PROGRAM], capture_output=True, text=True, check=True).stdout
        needed = set(re.findall(r"\(NEEDED\).*\[(.*)\]", dynamic))
        self.assertIn("libc.so.6", needed)
        loaders = {library for library in needed if library.startswith("ld-linux")}
        self.assertEqual(needed - loaders - SYSTEM_LIBRARIES, set())


if __name__ == "__main__":
    unittest.main()
