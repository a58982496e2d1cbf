"""Callers for tests: threads that send requests, retry as docs/CALLERS.md says, and keep what they were told."""

import collections
import random
import threading
import time

from small_deployment import CALLER

Told = collections.namedtuple("Told", "key status outcome reason")


class Callers:
    """Sends orders or readings from several threads until stopped."""

    def __init__(self, deployment, kind="orders", threads=8, seed=1, region="west", retries=0, pause_s=0.01):
        self.deployment = deployment
        self.kind = kind
        self.region = region
        self.retries = retries
        self.pause_s = pause_s
        self.told = []
        self.broken = []
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(seed, number)) for number in range(threads)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, seed, number):
        generator = random.Random(seed * 1000 + number)
        count = 0
        while not self._stop.is_set():
            count += 1
            key = f"{self.kind}-{seed}-{number}-{count}"
            for _ in range(self.retries + 1):
                told = self._send(generator, key)
                with self._lock:
                    self.told.append(told)
                if told.outcome == "done":
                    break
            time.sleep(self.pause_s)

    def _send(self, generator, key):
        entry = generator.choice(list(self.deployment.entries.values()))
        try:
            status, headers, body = self.deployment.work(
                entry, self.kind, "body-" + key, key if self.kind == "orders" else None, CALLER[self.region])
        except ConnectionRefusedError:
            return Told(key, 0, "not-sent", "connection refused")
        except OSError as error:
            return Told(key, 0, "unknown", type(error).__name__)
        outcome = headers.get("Heather-Outcome", "unknown")
        if outcome == "done" and self.kind == "orders" and key not in str(body):
            with self._lock:
                self.broken.append((key, body))
        return Told(key, status, outcome, body.get("reason") if isinstance(body, dict) else "")

    def counts(self):
        return dict(collections.Counter(told.outcome for told in self.told))


def check_at_most_once(test, deployment, *callers):
    """Compares what callers were told with what the backend servers ran."""
    runs = deployment.runs()
    test.assertEqual([], [key for key, count in runs.items() if key and count > 1], "keys that were run twice")
    for caller in callers:
        test.assertEqual([], caller.broken, "answers to another request")
        last = {}
        for told in caller.told:
            last.setdefault(told.key, []).append(told)
        for key, answers in last.items():
            outcomes = [told.outcome for told in answers]
            if "done" in outcomes:
                test.assertEqual(1, runs.get(key, 0), f"{key} was reported as done: {answers}")
            elif outcomes and all(outcome in ("not-run", "not-sent") for outcome in outcomes):
                test.assertEqual(0, runs.get(key, 0), f"{key} was reported as not run: {answers}")
            elif outcomes[-1] == "not-run":
                test.assertEqual(0, runs.get(key, 0), f"{key} ended as not run: {answers}")
