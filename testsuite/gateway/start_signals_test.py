"""Signals and changes of the settings that come while a host starts. A pipe in place of the rules holds the start."""

import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest

from gateway_harness import PROGRAM, START_TIMEOUT_S, GatewayTestCase

NO_RULES = "rules: []\n"


class StartSignalsTestCase(GatewayTestCase):
    def setUp(self):
        super().setUp()
        # Only for its settings and ports.
        self.model = self.host()
        self.model.process.kill()
        self.model.process.wait()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = os.path.join(folder.name, "settings.json")
        self.rules = os.path.join(folder.name, "rules.yaml")
        os.mkfifo(self.rules)
        self.write_settings(0)

    def write_settings(self, change_time_s):
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(self.model.settings, file)
        os.utime(self.settings, (change_time_s, change_time_s))

    def replace_rules(self):
        """Replaces the pipe with a file; who has opened the pipe still reads from it."""
        with open(self.rules + ".new", "w", encoding="utf-8") as file:
            file.write(NO_RULES)
        os.replace(self.rules + ".new", self.rules)

    def start(self):
        process = subprocess.Popen(
            [PROGRAM, "--settings", self.settings, "--rules", self.rules], stdout=subprocess.PIPE, text=True)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def await_bound(self):
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                socket.create_connection(("127.0.0.1", self.model.caller_port)).close()
                return
            except ConnectionRefusedError:
                self.assertLess(time.monotonic(), end)
                time.sleep(0.02)

    # A signal that came before main() ended the process.
    def test_reload_signal_before_main_does_not_end_the_host(self):
        result = subprocess.run([PROGRAM + "-hangup", "--version"], capture_output=True, text=True)
        self.assertEqual(result.returncode, 0, result.stderr)

    # The change time was read after the start, so that the host ran with settings that were no longer in the file.
    def test_settings_that_change_while_the_host_starts_are_read_again(self):
        process = self.start()
        # The settings have been read once the pipe opens.
        with open(self.rules, "w", encoding="utf-8") as rules:
            self.replace_rules()
            self.write_settings(1)
            process.send_signal(signal.SIGHUP)
            rules.write(NO_RULES)
        limit = threading.Timer(START_TIMEOUT_S, process.kill)
        limit.start()
        self.addCleanup(limit.cancel)
        self.assertTrue(any("read again" in line for line in process.stdout))

    # The process ended by the signal after it had bound its ports, before it handled signals.
    def test_stop_signal_while_the_host_starts_is_a_planned_stop(self):
        process = self.start()
        with open(self.rules, "w", encoding="utf-8") as rules:
            rules.write(NO_RULES)
        self.await_bound()
        with open(self.rules, "w", encoding="utf-8") as rules:
            process.send_signal(signal.SIGTERM)
            rules.write(NO_RULES)
        output, _ = process.communicate(timeout=START_TIMEOUT_S)
        self.assertEqual(process.returncode, 0, output)
        self.assertIn("stopping", output)


if __name__ == "__main__":
    unittest.main()
