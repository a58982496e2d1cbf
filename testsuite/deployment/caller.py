"""A caller of a deployment that keeps connections and holds every attempt that got no answer."""

import asyncio
import collections
import dataclasses
import time

import rig

# A request that is unanswered so long after its time-out is lost.
ANSWER_SLACK_S = 0.5
# Without a run, a connection that ends sooner after the request may have ended before the request was read.
CROSSING_S = 0.2


@dataclasses.dataclass
class Attempt:
    request_id: str
    kind: str
    host: object
    safe: bool
    begin: float
    sent: float | None = None
    end: float = 0
    status: int = 0
    kept: bool = False
    problem: str = ""
    mixed: bool = False
    path: str = ""


class Caller:
    """`patience_s` is how long a caller keeps a connection open after its time-out; an answer then is a loss like none."""

    def __init__(self, draw, patience_s=ANSWER_SLACK_S):
        self.draw, self.patience_s = draw, max(patience_s, ANSWER_SLACK_S)
        self.idle = collections.defaultdict(list)
        self.attempts = []

    async def send(self, kind, host, path, body, key=None):
        """Sends one request over a kept connection of the host or a new one, and returns the attempt. Without a key it
        is about any object."""
        attempt = Attempt(rig.new_id(), kind["name"], host, kind["kind"] == "safe", time.monotonic(), path=path)
        key = self.draw.randrange(kind["things"]) if key is None else key
        self.attempts.append(attempt)
        connection = None
        try:
            async with asyncio.timeout(kind["deadline_ms"] / 1000 + self.patience_s):
                idle = self.idle[host]
                if idle and self.draw.random() < 0.5:
                    connection, attempt.kept = idle.pop(), True
                else:
                    connection = await asyncio.open_connection(*host.front)
                reader, writer = connection
                writer.write(self.head(kind, attempt, path, body, key) + body)
                attempt.sent = time.monotonic()
                await writer.drain()
                first, fields, _ = await rig.read_message(reader)
                attempt.status = int(first.split(" ")[1])
                attempt.mixed = fields.get(rig.REQUEST_ID.lower(), attempt.request_id) != attempt.request_id
                if fields.get("connection", "").lower() != "close":
                    idle.append(connection)
                    connection = None
                if time.monotonic() - attempt.begin > kind["deadline_ms"] / 1000 + ANSWER_SLACK_S:
                    raise TimeoutError
        except TimeoutError:
            attempt.status, attempt.problem = -1, "no answer in time"
        except (OSError, asyncio.IncompleteReadError) as problem:
            attempt.problem = repr(problem)
        finally:
            attempt.end = time.monotonic()
            if connection:
                connection[1].close()
        return attempt

    def head(self, kind, attempt, path, body, key):
        length = f"Content-Length: {len(body)}\r\n" if kind["method"] != "GET" else ""
        return (f"{kind['method']} {path} HTTP/1.1\r\nHost: jepu9.example\r\n{rig.REQUEST_ID}: {attempt.request_id}\r\n"
                f"Heatherlever-Affinity-Key: {key}\r\n"
                f"Heatherlever-Deadline-Remaining: {int(kind['deadline_ms'])}\r\n{length}\r\n").encode()

    def close(self):
        for connections in self.idle.values():
            for _, writer in connections:
                writer.close()

    def breaches(self, runs, excused, stopping):
        """Returns (what, attempt) of each breach. `runs` counts the runs of each request id; `excused(attempt)` tells
        whether its host was killed or paused meanwhile, `stopping(attempt)` whether it stopped or started."""
        found = []
        for attempt in self.attempts:
            ran = runs[attempt.request_id]
            if attempt.mixed:
                found.append(("mixed", attempt))
            if not attempt.safe and ran > 1:
                found.append(("twice", attempt))
            if not attempt.safe and ran and attempt.status in rig.PROMISES:
                found.append(("refused", attempt))
            if attempt.status > 0 or excused(attempt):
                continue
            crossed = attempt.sent is None or attempt.end - attempt.sent < CROSSING_S
            # A kept connection may close while a request is on its way; a stop or start may end others unread.
            unread = not ran and crossed and attempt.status == 0 and (attempt.kept or stopping(attempt))
            if not unread:
                found.append(("lost", attempt))
        return found
