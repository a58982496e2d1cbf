"""What a soak's hosts talk to: a store, backend servers and callers that keep what they have seen."""

import http.client
import random
import threading
import time

from gateway_harness import Host
from standins import DEADLINE, REQUEST_ID, SEAL, Backend, Store, answer

# Statuses by which a host states that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
CALLER_TIMEOUT_S = 4
DEADLINE_MS = 3000


class SoakStore(Store):
    """A store that may be slow, lose answers to writes or forget its history."""

    def __init__(self):
        self.delay_s = 0
        self.lose_write_responses = False
        self.forgotten = 0
        super().__init__()
        # Connections that a fault broke are no news.
        self.servers[0].handle_error = lambda request, address: None

    def heal(self):
        self.down = False
        self.delay_s = 0
        self.lose_write_responses = False

    def forget_history(self):
        self.forgotten = self.version

    def on_get(self, handler):
        time.sleep(self.delay_s)
        after = handler.path.partition("&after=")[2].partition("&")[0]
        if after and int(after) < self.forgotten:
            self.answer(handler, 410, {})
            return
        super().on_get(handler)

    def on_post(self, handler):
        time.sleep(self.delay_s)
        super().on_post(handler)

    def answer(self, handler, status, body):
        if self.lose_write_responses and handler.command == "POST":
            handler.close_connection = True
            return
        super().answer(handler, status, body)


class SoakBackend(Backend):
    """Runs each request it reads, but for those it sheds, and keeps the body that it answered with."""

    def __init__(self, name, seed):
        self.random = random.Random(seed)
        self.mode = "ok"
        self.bodies = {}
        super().__init__(name)

    def behave_ok(self, request, connection):
        return self.run_and_respond(request)

    def run_and_respond(self, request):
        self.run(request)
        request_id = request[1].get(REQUEST_ID.lower())
        body = f"{self.name} ran {request_id} as {request[0]} with {request[2]!r}".encode()
        body += b"." * self.random.randrange(4000)
        with self.condition:
            self.bodies[request_id] = body
        return answer(request, body, extra="Heatherlever-Server-Load: 1,0,3\r\n")

    def behave_slow(self, request, connection):
        time.sleep(0.4)
        return self.run_and_respond(request)

    def behave_lost(self, request, connection):
        self.run_and_respond(request)

    def behave_truncated(self, request, connection):
        whole = self.run_and_respond(request)
        connection.sendall(whole[:-3])

    def behave_doubled(self, request, connection):
        return self.run_and_respond(request) + answer(request, b"late", request_id="of-another-request")

    def behave_crossed(self, request, connection):
        self.run(request)
        return answer(request, b"crossed", request_id="of-another-request")

    def behave_unresponsive(self, request, connection):
        self.run(request)
        time.sleep(CALLER_TIMEOUT_S)

    MODES = ("slow", "lost", "truncated", "doubled", "crossed", "unresponsive", "shed")

    def serve(self, connection):
        self.behave = self.behave_now
        super().serve(connection)

    def behave_now(self, request, connection):
        if self.mode == "shed":
            return self.shed(request, connection)
        return getattr(self, "behave_" + self.mode)(request, connection)


class Callers:
    """Threads that send requests to any host, and come back as callers may."""

    def __init__(self, hosts, seed, threads=6):
        self.hosts = hosts
        self.lock = threading.Lock()
        self.attempts = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(f"{seed}-{n}",)) for n in range(threads)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, name):
        generator = random.Random(name)
        count = 0
        while not self.stopping.is_set():
            count += 1
            idempotent = generator.random() < 0.5
            for attempt in range(3):
                status = self.attempt(generator, f"{name}-{count}-{attempt}", idempotent)
                if status == 200 or not (idempotent or status in NOT_RUN):
                    break
            time.sleep(generator.random() * 0.03)

    def attempt(self, generator, request_id, idempotent):
        host = generator.choice(self.hosts)
        method, path, body = ("GET", f"/x/{request_id}", b"") if idempotent else ("POST", f"/w/{request_id}", request_id.encode())
        status, headers, received = send(host, method, path, body, request_id, str(generator.randrange(40)))
        with self.lock:
            self.attempts.append((request_id, idempotent, f"{method} {path} HTTP/1.1", body, status, headers, received))
        return status


def send(host, method, path, body, request_id, key):
    """(status, headers, body); status 0 for a connection that ended without a whole answer."""
    connection = http.client.HTTPConnection("127.0.0.1", host.caller_port, timeout=CALLER_TIMEOUT_S)
    headers = {REQUEST_ID: request_id, DEADLINE: str(DEADLINE_MS), "Host": "a.example", "Heatherlever-Affinity-Key": key}
    try:
        connection.request(method, path, body=body or None, headers=headers)
        response = connection.getresponse()
        return response.status, dict(response.headers), response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def find_violations(attempts, backends, check_ids):
    """What callers and backend servers saw that must never be, a line each. `check_ids` are those of further requests."""
    runs = {}
    lines = {}
    bodies = {}
    for backend in backends:
        with backend.condition:
            for request_id in backend.runs:
                runs[request_id] = runs.get(request_id, 0) + 1
            for line, headers, body in backend.seen:
                lines.setdefault(headers.get(REQUEST_ID.lower()), set()).add((line, body))
            for request_id, body in backend.bodies.items():
                bodies.setdefault(request_id, set()).add(body)
    broken = []
    sent = set(check_ids)
    for request_id, idempotent, line, body, status, headers, received in attempts:
        sent.add(request_id)
        count = runs.get(request_id, 0)
        if not idempotent and count > 1:
            broken.append(f"{request_id} ran {count} times")
        if not idempotent and status in NOT_RUN and count:
            broken.append(f"{request_id} was told {status} and has run")
        if status == 200 and (SEAL not in headers or received not in bodies.get(request_id, ())):
            broken.append(f"{request_id} got an answer that is not its own: {received[:60]!r}")
        if status == 200 and headers.get(REQUEST_ID) != request_id:
            broken.append(f"{request_id} got the answer to {headers.get(REQUEST_ID)}")
        for seen in lines.get(request_id, ()):
            if seen != (line, body):
                broken.append(f"{request_id} reached a server as {seen}")
    for request_id in set(runs) - sent:
        broken.append(f"{request_id} ran and nobody sent it")
    return broken
