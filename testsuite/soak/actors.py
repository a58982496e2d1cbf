"""The store, backend servers and callers of a soak. Backend servers and callers record what they have seen."""

import bisect
import http.client
import random
import threading
import time

from gateway_harness import Host
from standins import DEADLINE, NOT_EXECUTED, REQUEST_ID, SEAL, Backend, Store, make_response

# Statuses by which a host states that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
CALLER_TIMEOUT_S = 4
DEADLINE_MS = 3000
# A stated limit binds from this time on, in any window of this length.
LIMIT_NOTICE_S = 3
LIMIT_WINDOW_S = 4


class SoakStore(Store):
    """A store that can be slow, lose the responses to writes or forget its history."""

    def __init__(self):
        self.delay_s = 0
        self.lose_write_responses = False
        self.forgotten_version = 0
        super().__init__()
        # Errors of connections that a fault has broken are expected, so they are not printed.
        self.servers[0].handle_error = lambda request, address: None

    def heal(self):
        self.down = False
        self.delay_s = 0
        self.lose_write_responses = False

    def forget_history(self):
        self.forgotten_version = self.version

    def on_get(self, handler):
        time.sleep(self.delay_s)
        after = handler.path.partition("&after=")[2].partition("&")[0]
        if after and int(after) < self.forgotten_version:
            self.respond(handler, 410, {})
            return
        super().on_get(handler)

    def on_post(self, handler):
        time.sleep(self.delay_s)
        super().on_post(handler)

    def respond(self, handler, status, body):
        if self.lose_write_responses and handler.command == "POST":
            handler.close_connection = True
            return
        super().respond(handler, status, body)


class SoakBackend(Backend):
    """Runs each request that it reads, except those that it sheds, and records the body of the response. With
    `limit_per_s` it states that limit with each response, and `arrivals` holds the times of the requests."""

    def __init__(self, name, seed, limit_per_s=0):
        self.random = random.Random(seed)
        self.mode = "ok"
        self.bodies = {}
        self.limit_per_s = limit_per_s
        self.limit_field = f"Server-Limit: {limit_per_s}\r\n" if limit_per_s else ""
        self.arrivals = []
        self.started = 1
        self.down_until = 0
        self.on_fatal = None
        super().__init__(name)

    def shed(self, request, connection):
        head = (f"HTTP/1.1 503 Service Unavailable\r\n{NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n{self.limit_field}"
                f"{self.extra}\r\n")
        return head.encode()

    def behave_ok(self, request, connection):
        return self.run_and_respond(request)

    def run_and_respond(self, request):
        self.run(request)
        request_id = request[1].get(REQUEST_ID.lower())
        body = f"{self.name} ran {request_id} as {request[0]} with {request[2]!r}".encode()
        body += b"." * self.random.randrange(4000)
        with self.condition:
            self.bodies[request_id] = body
        return make_response(request, body, extra="Heatherlever-Server-Load: 1,0,3\r\n" + self.limit_field + self.extra)

    def behave_slow(self, request, connection):
        time.sleep(0.4)
        return self.run_and_respond(request)

    def behave_lost(self, request, connection):
        self.run_and_respond(request)

    def behave_truncated(self, request, connection):
        response = self.run_and_respond(request)
        connection.sendall(response[:-3])

    def behave_doubled(self, request, connection):
        return self.run_and_respond(request) + make_response(request, b"late", request_id="of-another-request")

    def behave_crossed(self, request, connection):
        self.run(request)
        return make_response(request, b"crossed", request_id="of-another-request")

    def behave_unresponsive(self, request, connection):
        self.run(request)
        time.sleep(CALLER_TIMEOUT_S)

    MODES = ("slow", "lost", "truncated", "doubled", "crossed", "unresponsive", "shed")

    def serve(self, connection):
        self.behave = self.behave_now
        super().serve(connection)

    def behave_now(self, request, connection):
        if time.monotonic() < self.down_until:
            return None
        request[1]["x-reached"] = f"{self.name}/{self.started}"
        if self.on_fatal and Crashes.PATH in request[0]:
            self.run(request)
            self.on_fatal(self)
            return None
        with self.condition:
            self.arrivals.append(time.monotonic())
        if self.mode == "shed":
            return self.shed(request, connection)
        return getattr(self, "behave_" + self.mode)(request, connection)


class Crashes:
    """A caller whose request crashes each backend server that runs it. The server is back after `DOWN_S`, as a new
    incarnation whose next report shows it."""

    PATH = "/x/fatal"
    DOWN_S = 1
    PAUSE_S = 0.2
    # Servers that may crash before hosts can know the request, and by those that do not know it yet.
    MAX_CRASHES = 3 + 3
    # Time within which all hosts know the request once three servers have crashed.
    CONTACT_S = 3

    def __init__(self, backends):
        self.backends = backends
        self.times = []
        self.ids = []
        self.stopping = threading.Event()
        self.thread = None
        for backend in backends:
            backend.on_fatal = self.on_fatal

    def on_fatal(self, backend):
        self.times.append(time.monotonic())
        backend.down_until = time.monotonic() + self.DOWN_S
        backend.started += 1
        backend.end_connections()

    def start(self, hosts, seed):
        self.thread = threading.Thread(target=self.run, args=(hosts, f"fatal-{seed}"))
        self.thread.start()

    def stop(self):
        self.stopping.set()
        self.thread.join()

    def run(self, hosts, name):
        generator = random.Random(name)
        while not self.stopping.wait(self.PAUSE_S):
            self.ids.append(f"{name}-{len(self.ids)}")
            send(generator.choice(hosts), "GET", self.PATH, b"", self.ids[-1], "fatal")

    def find_violations(self):
        late = [at for at in self.times if len(self.times) >= 3 and at > self.times[2] + self.CONTACT_S]
        if len(late) > self.MAX_CRASHES - 3:
            return [f"{len(late)} of {len(self.times)} servers crashed later than {self.CONTACT_S} s after the third"]
        return []


class Callers:
    """Threads that send requests to random hosts and retry those that callers may retry."""

    def __init__(self, hosts, seed, threads=6):
        self.hosts = hosts
        self.lock = threading.Lock()
        self.attempts = []
        # (request id, host's name, when sent, when answered, response headers) of each attempt.
        self.timeline = []
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
        sent = time.monotonic()
        status, headers, received = send(host, method, path, body, request_id, str(generator.randrange(40)))
        with self.lock:
            self.timeline.append((request_id, host.name, sent, time.monotonic(), headers))
            self.attempts.append((request_id, idempotent, f"{method} {path} HTTP/1.1", body, status, headers, received))
        return status


def send(host, method, path, body, request_id, key):
    """Returns (status, headers, body); status 0 if the connection ended without a complete response."""
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


def find_exceeded_limits(backends):
    """Returns a line for each backend server that got more requests in a window than the limit that it states allows."""
    violations = []
    for backend in backends:
        with backend.condition:
            arrivals = sorted(backend.arrivals)
        if not backend.limit_per_s or not arrivals:
            continue
        bound = [at for at in arrivals if at >= arrivals[0] + LIMIT_NOTICE_S]
        allowed = 1.5 * LIMIT_WINDOW_S * backend.limit_per_s + 5
        busiest = max((bisect.bisect_left(bound, first + LIMIT_WINDOW_S) - n for n, first in enumerate(bound)), default=0)
        if busiest > allowed:
            violations.append(f"{backend.name} got {busiest} requests in {LIMIT_WINDOW_S} s, {allowed:.0f} allowed")
    return violations


def describe_difference(received, bodies):
    """Says where a response differs from those that servers have returned for the request."""
    text = f"{len(received)} bytes received, servers returned {sorted(map(len, bodies))}"
    for body in bodies:
        at = next((i for i, (a, b) in enumerate(zip(body, received)) if a != b), min(len(body), len(received)))
        text += f", differs at {at}: {body[at:at + 40]!r} became {received[at:at + 40]!r}"
    return text


def find_violations(attempts, backends, check_ids):
    """Returns a line for each violated invariant in what callers and backend servers have seen. `check_ids` are the ids of
    requests that the soak's own checks have sent."""
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
    violations = []
    sent = set(check_ids)
    for request_id, idempotent, line, body, status, headers, received in attempts:
        sent.add(request_id)
        count = runs.get(request_id, 0)
        if not idempotent and count > 1:
            violations.append(f"{request_id} ran {count} times")
        if not idempotent and status in NOT_RUN and count:
            violations.append(f"{request_id} got status {status}, which states that it has not run, but it has run")
        if status == 200 and (SEAL not in headers or received not in bodies.get(request_id, ())):
            violations.append(f"{request_id} got a response that is not its own: {received[:60]!r}; "
                              f"{describe_difference(received, bodies.get(request_id, ()))}, signed: {SEAL in headers}")
        if status == 200 and headers.get(REQUEST_ID) != request_id:
            violations.append(f"{request_id} got the response to {headers.get(REQUEST_ID)}")
        for seen in lines.get(request_id, ()):
            if seen != (line, body):
                violations.append(f"{request_id} reached a server as {seen}")
    for request_id in set(runs) - sent:
        violations.append(f"{request_id} ran, but was never sent")
    return violations
