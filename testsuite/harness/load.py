"""Callers for tests: threads that send requests, retry as docs/CALLERS.md says, and keep what they were told."""

import collections
import random
import threading
import time
import types

from small_deployment import CALLER

Told = collections.namedtuple("Told", "key status outcome reason backend retry_after", defaults=("", ""))


class Callers:
    """Sends orders or readings from several threads until stopped."""

    def __init__(self, deployment, kind="orders", threads=8, seed=1, region="west", retries=0, pause_s=0.01,
                 deadline_ms=None):
        self.deployment = deployment
        self.kind = kind
        self.region = region
        self.retries = retries
        self.pause_s = pause_s
        self.headers = {"Heather_Deadline_Ms": deadline_ms} if deadline_ms else {}
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
        entry = self._choose(generator)
        try:
            status, headers, body = self.deployment.work(
                entry, self.kind, "body-" + key, key if self.kind == "orders" else None, CALLER[self.region],
                **self.headers)
        except ConnectionRefusedError:
            return Told(key, 0, "not-sent", "connection refused")
        except OSError as error:
            return Told(key, 0, "unknown", type(error).__name__)
        outcome = headers.get("Heather-Outcome", "unknown")
        if outcome == "done" and self.kind == "orders" and key not in str(body):
            with self._lock:
                self.broken.append((key, body))
        reason = body.get("reason") if isinstance(body, dict) else ""
        return Told(key, status, outcome, reason, headers.get("Heather-Backend", ""), headers.get("Retry-After", ""))

    def _choose(self, generator):
        return generator.choice(list(self.deployment.entries.values()))

    def counts(self):
        return dict(collections.Counter(told.outcome for told in self.told))

    def reasons(self):
        """Counts of what was not done, by outcome and reason."""
        return dict(collections.Counter(
            f"{told.outcome} {told.reason}" for told in self.told if told.outcome != "done"))


class LookupCallers(Callers):
    """Callers that use the first entry host of a look-up, and keep the answer as long as it says."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._cached = threading.local()

    def _choose(self, generator):
        if time.monotonic() >= getattr(self._cached, "until", 0):
            self._look_up(generator)
        return self._cached.host

    def _look_up(self, generator):
        asked_at = time.monotonic()
        try:
            answer = self.deployment.lookup(super()._choose(generator), self.kind, CALLER[self.region])
            url = answer["entry_hosts"][0]["url"]
        except (OSError, TypeError, KeyError):
            return self._look_up(generator)
        address, port = url.removeprefix("http://").split(":")
        self._cached.host = types.SimpleNamespace(address=address, ports=[int(port)])
        self._cached.until = asked_at + answer["ttl_s"]
        return None


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


def check_caps(test, max_shift, *callers):
    """No more than the share `max_shift` of a kind's requests from a region may have run elsewhere.

    Each entry host counts what it received, so that requests that no entry host took do not count.
    """
    for caller in callers:
        sent = [told for told in caller.told if told.outcome != "not-sent"]
        moved = [told for told in sent if told.backend and f"-{caller.region}-" not in told.backend]
        test.assertLessEqual(len(moved), max_shift * len(sent), f"{caller.kind} of {caller.region} moved")


def check_refusals(test, *callers):
    """Requests that a flood keeps out are refused as not run, with the time to wait."""
    for caller in callers:
        refused = [told for told in caller.told if told.reason in ("too-late", "queue-full")]
        test.assertTrue(refused, f"no {caller.kind} were refused: {caller.counts()}")
        test.assertEqual([], [told for told in refused if told.outcome != "not-run" or not told.retry_after])
