import subprocess
import tempfile
import unittest

from gateway_harness import PROGRAM


class CommandLineTest(unittest.TestCase):
    def test_settings_are_checked_with_a_clear_error(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write("{}")
            file.flush()
            result = subprocess.run([PROGRAM, "--settings", file.name, "--check"], capture_output=True, text=True)
            self.assertEqual(result.returncode, 2)
            self.assertIn(file.name, result.stderr)
            self.assertIn("nodeName", result.stderr)

if __name__ == "__main__":
    unittest.main()
