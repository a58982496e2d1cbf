"""Backend servers that leave during a soak, say so with their responses, and start again."""

import random
import threading
import time

from standins import LEAVING, REQUEST_ID

# Response header of the stand-ins that names the incarnation.
INCARNATION = "X-Incarnation"
# A host sends a leaving server no request that a caller sent later than this after the first response that said so.
DRAIN_S = 2
# Ranges of the time for which a server goes on while it leaves, and of the pause until the next one leaves.
LEAVING_S = (2.5, 4.5)
PAUSE_S = (0.2, 1.0)


class Departures:
    """Makes servers leave in turn. The list of servers shows it, or does not, or shows it as gone; then the server ends
    and starts again under its id. `disturb(host)` notes that a host was restarted or paused, and may have forgotten."""

    def __init__(self, soak):
        self.soak = soak
        self.random = random.Random(f"departures-{soak.seed}")
        self.count = 0
        self.disturbed = {host.name: [] for host in soak.hosts}
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)
        for backend in soak.backends:
            self.name_incarnation(backend)

    def disturb(self, host):
        self.disturbed[host.name].append(time.monotonic())

    def start(self):
        self.thread.start()

    def stop(self):
        self.stopping.set()
        self.thread.join()

    def run(self):
        while not self.stopping.wait(self.random.uniform(*PAUSE_S)):
            self.leave(self.random.randrange(len(self.soak.backends)))

    def leave(self, n):
        backend = self.soak.backends[n]
        self.count += 1
        self.name_incarnation(backend, LEAVING)
        shown = self.random.choice(("ready", "draining", "gone"))
        if shown == "gone":
            self.soak.store.delete("servers", backend.name)
        else:
            self.soak.register(n, shown)
        self.stopping.wait(self.random.uniform(*LEAVING_S))
        backend.started += 1
        self.name_incarnation(backend)
        backend.end_connections()
        self.soak.register(n)

    @staticmethod
    def name_incarnation(backend, more=""):
        backend.extra = f"{INCARNATION}: {backend.name}/{backend.started}\r\n{more}"

    def find_violations(self, timeline):
        """`timeline` holds (request id, host's name, when sent, when answered, response headers) of each attempt."""
        said_at = {}
        for _, host, _, answered, headers in timeline:
            if "Server-Leaving" in headers:
                key = host, headers[INCARNATION]
                said_at[key] = min(answered, said_at.get(key, answered))
        incarnations = {}
        for backend in self.soak.backends:
            with backend.condition:
                for _, headers, _ in backend.seen:
                    incarnations.setdefault(headers.get(REQUEST_ID.lower()), []).append(headers.get("x-reached"))
        violations = []
        for request_id, host, sent, _, _ in timeline:
            for incarnation in incarnations.get(request_id, ()):
                said = said_at.get((host, incarnation))
                if said is not None and sent > said + DRAIN_S and not any(
                        said < at < sent for at in self.disturbed[host]):
                    violations.append(f"{request_id} reached {incarnation} from {host} {sent - said:.1f} s after "
                                      "it had said that it leaves")
        return violations
