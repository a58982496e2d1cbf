import json
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

    # On-call engineers read it in the log of whatever starts the program.
    def test_error_stays_one_line_whatever_the_settings_hold(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump({"nodeName": "h1", "ip": "127.0.0.1\nforged: host h1 stopped"}, file)
            file.flush()
            result = subprocess.run([PROGRAM, "--settings", file.name, "--check"], capture_output=True, text=True)
            self.assertEqual(result.returncode, 2)
            self.assertIn("\\nforged", result.stderr)
            self.assertEqual(len(result.stderr.splitlines()), 1, result.stderr)


if __name__ == "__main__":
    unittest.main()
