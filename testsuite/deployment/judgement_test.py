"""What counts as a breach of a deployment under faults."""

import asyncio
import collections
import random
import types
import unittest
import unittest.mock

from caller import ANSWER_SLACK_S, Attempt, Caller
from faults import Faults


class JudgementTest(unittest.TestCase):
    def setUp(self):
        self.host = types.SimpleNamespace(name="host")
        self.caller = Caller(random.Random(1))
        self.faults = Faults([self.host], None, lambda text: None, random.Random(1))
        self.runs = collections.Counter()

    def breaches(self, **changes):
        attempt = Attempt("a", "orders", self.host, safe=False, begin=10, sent=10, end=10.1, **changes)
        return self.judge(attempt)

    def judge(self, attempt):
        self.caller.attempts = [attempt]
        return [what for what, _ in self.caller.breaches(self.runs, self.faults.excused, self.faults.stopping)]

    def test_connection_that_ends_is_a_loss_at_a_calm_host(self):
        self.assertEqual(self.breaches(), ["lost"])

    def test_kept_connection_may_end_before_its_request_is_read(self):
        self.assertEqual(self.breaches(kept=True), [])

    def test_new_connection_may_end_unread_at_a_stop(self):
        self.faults.stopped.append([self.host, 9, 11])
        self.assertEqual(self.breaches(), [])

    def test_request_that_ran_is_lost_also_at_a_stop(self):
        self.faults.stopped.append([self.host, 9, 11])
        self.runs["a"] = 1
        self.assertEqual(self.breaches(kept=True), ["lost"])

    def test_request_that_waited_is_lost_also_at_a_stop(self):
        self.faults.stopped.append([self.host, 9, 11])
        self.assertEqual(self.judge(Attempt("a", "orders", self.host, False, 10, sent=10, end=10.3, kept=True)), ["lost"])

    def test_silence_is_a_loss_also_at_a_stop(self):
        self.faults.stopped.append([self.host, 9, 11])
        self.assertEqual(self.breaches(kept=True, status=-1), ["lost"])

    def test_only_faults_of_its_host_meanwhile_excuse_a_request(self):
        self.runs["a"] = 1
        self.faults.harmed += [[self.host, 8, 9], [self.host, 11, 12], [types.SimpleNamespace(name="other"), 9, 11]]
        self.assertEqual(self.breaches(), ["lost"])
        self.faults.harmed.append([self.host, 10.05, float("inf")])
        self.assertEqual(self.breaches(), [])

    def test_request_that_may_run_once_ran_twice(self):
        self.runs["a"] = 2
        self.assertEqual(self.breaches(status=200), ["twice"])

    def test_rejected_request_has_not_run(self):
        self.runs["a"] = 1
        self.assertEqual(self.breaches(status=503), ["refused"])
        self.assertEqual(self.breaches(status=504), [])

    def test_response_names_its_request(self):
        self.assertEqual(self.breaches(status=200, mixed=True), ["mixed"])

    def test_answer_that_a_patient_caller_gets_too_late_is_a_loss(self):
        attempt = asyncio.run(self.send_to_late_host())
        self.assertEqual((-1, "no answer in time"), (attempt.status, attempt.problem))

    @staticmethod
    async def send_to_late_host():
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(2 * ANSWER_SLACK_S)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        kind = {"name": "reads", "kind": "safe", "method": "GET", "deadline_ms": 0, "things": 1}
        host = unittest.mock.Mock(front=server.sockets[0].getsockname())
        attempt = await Caller(random.Random(1), patience_s=60).send(kind, host, "/", b"")
        server.close()
        return attempt


if __name__ == "__main__":
    unittest.main()
