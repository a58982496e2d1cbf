"""Settings and rules that are not there, or only in part, when a host starts."""

import json
import os
import signal
import subprocess
import tempfile

from gateway_harness import PROGRAM, START_TIMEOUT_S, GatewayTestCase

RULES = "rules: []\n"


class LateSettingsTestCase(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.model = self.host()
        self.model.kill()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.model.settings_path = os.path.join(folder.name, "settings.json")
        self.rules_path = os.path.join(folder.name, "rules.yaml")
        self.model.arguments = [PROGRAM, "--settings", self.model.settings_path, "--rules", self.rules_path]
        self.text = json.dumps(self.model.settings)
        self.write(self.rules_path, RULES)

    def write(self, path, text):
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)

    def check_host_starts_after_all(self, error):
        """Expects the error first, and then a host that serves."""
        self.model.await_log(error)
        self.write(self.rules_path, RULES)
        self.write(self.model.settings_path, self.text)
        self.model.await_log("started")
        self.backend("i-1")
        self.model.await_log("backend server i-1 ")
        self.assertEqual(self.model.request()[0], 200)

    # Each of these ended the process, as often as it was restarted.
    def test_host_waits_for_settings_that_are_not_there_yet(self):
        self.model.start()
        self.check_host_starts_after_all("can't be read")

    def test_host_waits_for_the_rest_of_settings_that_are_written_in_part(self):
        self.write(self.model.settings_path, self.text[: len(self.text) // 2])
        self.model.start()
        self.check_host_starts_after_all("is not JSON")

    def test_host_waits_for_settings_with_a_usable_address(self):
        self.write(self.model.settings_path, json.dumps({**self.model.settings, "ip": ""}))
        self.model.start()
        self.check_host_starts_after_all("is not an IPv4 address")

    # The settings were taken for usable; the exception of the address ended the process.
    def test_host_waits_for_settings_without_leading_zeros_in_addresses(self):
        self.write(self.model.settings_path, json.dumps({**self.model.settings, "ip": "127.0.0.01"}))
        self.model.start()
        self.check_host_starts_after_all("is not an IPv4 address")

    def test_host_waits_for_rules_that_are_not_there_yet(self):
        os.unlink(self.rules_path)
        self.write(self.model.settings_path, self.text)
        self.model.start()
        self.check_host_starts_after_all("rules.yaml")

    def test_reload_signal_does_not_end_a_host_that_waits_and_a_stop_signal_does(self):
        self.model.start()
        self.model.await_log("can't be read")
        self.model.process.send_signal(signal.SIGHUP)
        self.model.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.model.process.wait(START_TIMEOUT_S), 0)

    def test_check_of_settings_that_are_not_there_fails_at_once(self):
        result = subprocess.run(self.model.arguments + ["--check"], capture_output=True, text=True, timeout=START_TIMEOUT_S)
        self.assertEqual(result.returncode, 2)
        self.assertIn(self.model.settings_path, result.stderr)
