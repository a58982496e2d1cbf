"""The checks of the process tests fail on a naive caller: random choice of a server, blind retries."""

import time
import unittest

from heather_harness import http_json
from load import Callers, Told, check_at_most_once, check_caps, check_refusals
from small_deployment import REGIONS, SmallDeployment

PHASE_S = 2


class NaiveCallers(Callers):
    """Sends straight to a random backend server of any region."""

    attempts = 2
    # What a broken connection is taken for.
    broken_outcome = "unknown"

    def _send(self, generator, key):
        service = "desk" if self.kind == "orders" else "view"
        for _ in range(self.attempts):
            region = generator.choice(REGIONS)
            port = generator.choice(self.deployment.backends[service, region])
            try:
                status, _, body = http_json(
                    "127.0.0.1", port, "POST", f"/work/{self.kind}", "b",
                    {"Idempotency-Key": key, "X-Exchange-Id": key})
            except Exception:  # A naive version asks no questions.
                continue
            if status == 200:
                if key not in str(body):
                    with self._lock:
                        self.broken.append((key, body))
                return Told(key, 200, "done", "", body["backend"])
            return Told(key, status, "not-run", "queue-full")
        return Told(key, 0, self.broken_outcome, "broken")


class HopefulCallers(NaiveCallers):
    """Takes a broken connection for work that was not run."""

    attempts = 1
    broken_outcome = "not-run"


class NaiveTest(unittest.TestCase):
    def check_fails(self, check, callers_class, text, kind="orders", **faults):
        with SmallDeployment() as deployment:
            for port in deployment.backend_ports():
                deployment.backend_faults(port, **faults)
            with callers_class(deployment, kind, seed=61, pause_s=0) as callers:
                time.sleep(PHASE_S)
            with self.assertRaisesRegex(AssertionError, text):
                check(deployment, callers)

    def test_blind_retries_run_twice(self):
        self.check_fails(lambda deployment, callers: check_at_most_once(self, deployment, callers),
                         NaiveCallers, "run twice", die_after_effect=20)

    def test_broken_connections_reported_as_not_run(self):
        self.check_fails(lambda deployment, callers: check_at_most_once(self, deployment, callers),
                         HopefulCallers, "reported as not run|ended as not run", die_after_effect=20)

    def test_crossed_answers_passed_on(self):
        self.check_fails(lambda deployment, callers: check_at_most_once(self, deployment, callers),
                         NaiveCallers, "answers to another request", swap_next=20)

    def test_random_choice_breaks_the_cap(self):
        self.check_fails(lambda _, callers: check_caps(self, 0.2, callers), NaiveCallers, "moved", "readings")

    def test_refusals_without_a_time_to_wait(self):
        with SmallDeployment() as deployment:
            with NaiveCallers(deployment, "readings", threads=40, seed=62, pause_s=0) as callers:
                time.sleep(PHASE_S)
            with self.assertRaises(AssertionError):
                check_refusals(self, callers)


if __name__ == "__main__":
    unittest.main()
