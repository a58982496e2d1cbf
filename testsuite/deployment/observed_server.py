"""A backend server that notes every request on its sockets, and may be cold, silent or reject requests."""

import asyncio
import collections
import random
import socket
import time

import rig
from fleet_rules import Arrival, ColdPeriod

TICK_S = 0.005
IDLE_SWEEP_S = 1
HEARTBEAT_S = 1.5
STORE_POLL_S = 0.02
QUEUED_PER_SLOT = 3
RESPONSE_BYTES = 600
BACKLOG = 256
SILENT_FILLERS = 4
CRASH_PATH = "/crash"
CRASH_DOWN_S = 2


class Ticks:
    """Notes when the event loop polled its sockets, as a request may have waited since the poll before the last."""

    def __init__(self):
        self.last = self.before = time.monotonic()
        self.longest = 0

    async def run(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            self.longest = max(self.longest, now - self.last)
            self.before, self.last = self.last, now


class Connection(asyncio.Protocol):
    def __init__(self, server):
        self.server = server
        self.buffer = b""
        self.active = None
        self.used = time.monotonic()

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)
        self.owner = self.server.owners.note(
            transport.get_extra_info("peername"), transport.get_extra_info("sockname"))

    def connection_lost(self, problem):
        self.server.connections.discard(self)
        if self.active:
            self.server.drop(self.active)

    def data_received(self, data):
        self.used = time.monotonic()
        self.buffer += data
        self.handle_next()

    def handle_next(self):
        end = self.buffer.find(b"\r\n\r\n")
        if self.active or end < 0:
            return
        first, *lines = self.buffer[:end].decode("latin-1").split("\r\n")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        size = end + 4 + int(fields.get("content-length", 0))
        if len(self.buffer) >= size:
            self.buffer = self.buffer[size:]
            self.active = Work(self, first, fields)
            self.server.handle(self.active)

    def respond(self, status, fields, body=b""):
        server, work = self.server, self.active
        self.active = None
        self.used = work.arrival.answered = time.monotonic()
        work.arrival.status = int(status.split(" ")[0])
        self.transport.write(
            f"HTTP/1.1 {status}\r\n{rig.REQUEST_ID}: {work.arrival.request_id}\r\n{fields}"
            f"{rig.LOAD}: {server.running},{len(server.queue)},{server.slots}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        self.handle_next()


class Work:
    """A request at a server."""

    def __init__(self, connection, first, fields):
        ticks, server = connection.server.ticks, connection.server
        self.connection, self.first = connection, first
        self.target = fields.get("heatherlever-target-instance")
        time_left = fields.get("heatherlever-deadline-remaining")
        self.arrival = Arrival(
            fields.get(rig.REQUEST_ID.lower(), ""), server.name, server.service, connection.owner, ticks.before,
            time.monotonic(), None if time_left is None else float(time_left) / 1000)
        self.end = self.arrival.arrived + (self.arrival.time_left_s or float("inf"))
        # Of the end of the work, and of a rejection.
        self.timer = self.rejection = None


class ObservedServer(rig.Backend):
    """`cold` holds the service's cold_s and cold_x of the site; `reject` the share of requests to reject and the seconds
    that Retry-After names then."""

    def __init__(self, case, store, ticks, owners, name, service, zone, slots, work_s, cold):
        self.store, self.ticks, self.owners, self.cold = store, ticks, owners, cold
        self.connections, self.queue = set(), collections.deque()
        self.arrivals, self.cold_periods, self.down = [], [], []
        # (path, time) of requests that the server crashed under.
        self.crashes = []
        self.reject, self.reject_delay_s = (0, 0), 0
        self.cold_until = 0
        self.is_silent = False
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        super().__init__(case.loop, case.record, name, service, zone, slots, work_s)
        self.address = "%s:%d" % self.listener.getsockname()
        self.loop.run(self.replace_server())
        self.loop.start(self.close_idle())

    async def replace_server(self):
        self.server.close()
        await self.listen()

    async def listen(self):
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), sock=self.listener.dup(), backlog=BACKLOG)

    async def close_idle(self):
        while True:
            await asyncio.sleep(IDLE_SWEEP_S)
            for connection in list(self.connections):
                if not connection.active and time.monotonic() - connection.used > rig.IDLE_S:
                    connection.transport.close()

    def handle(self, work):
        self.arrivals.append(work.arrival)
        connection = work.connection
        if work.target not in (None, self.name):
            connection.respond("421 Misdirected Request", f"Heatherlever-Instance-Id: {self.name}\r\n")
        elif work.first.startswith("GET /health "):
            cold_ms = max(0, int(1000 * (self.cold_until - time.monotonic())))
            connection.respond("200 OK", f"Heatherlever-Instance-Id: {self.name}\r\n"
                                         f"Heatherlever-Cold-Remaining: {cold_ms}\r\n")
        elif random.random() < self.reject[0]:
            work.rejection = asyncio.get_running_loop().call_later(self.reject_delay_s, self.reject_now, work)
        elif self.running < self.slots:
            self.run(work)
        elif len(self.queue) < QUEUED_PER_SLOT * self.slots:
            self.queue.append(work)
        else:
            connection.respond("503 Service Unavailable", f"{rig.NOT_EXECUTED}: 1\r\n")

    def reject_now(self, work):
        work.arrival.retry_after_s = self.reject[1]
        work.connection.respond(
            "503 Service Unavailable", f"{rig.NOT_EXECUTED}: 1\r\nRetry-After: {self.reject[1]:g}\r\n")

    def run(self, work):
        self.running += 1
        work.arrival.ran = True
        self.runs.append((self.record.now(), work.arrival.request_id))
        path = work.first.split(" ")[1]
        if path.endswith(CRASH_PATH):
            self.crashes.append((path, time.monotonic()))
            self.crash_task = asyncio.create_task(self.crash())
            return
        now = time.monotonic()
        factor = self.cold["cold_x"] if now < self.cold_until else 1
        work_s = self.work_s * factor * max(0.1, random.gauss(1, 0.15))
        work.timer = asyncio.get_running_loop().call_later(min(work_s, work.end - now), self.finish, work)

    def finish(self, work):
        self.running -= 1
        seal = f"{rig.SEAL}: 3e1b.{self.name}.{RESPONSE_BYTES}\r\n"
        if time.monotonic() < work.end:
            work.connection.respond("200 OK", seal, b"x" * RESPONSE_BYTES)
        else:
            work.connection.respond("504 Gateway Timeout", seal)
        self.run_next()

    def run_next(self):
        while self.queue and self.running < self.slots:
            work = self.queue.popleft()
            if time.monotonic() < work.end:
                self.run(work)
            else:
                work.connection.respond("503 Service Unavailable", f"{rig.NOT_EXECUTED}: 1\r\n")

    def drop(self, work):
        """Ends the work on a request whose connection closed."""
        if work.timer:
            work.timer.cancel()
            work.timer = None
            self.running -= 1
            self.run_next()
        elif work.rejection:
            work.rejection.cancel()
        elif work in self.queue:
            self.queue.remove(work)

    async def become_cold(self, silent_s=0):
        """Registers the server as cold, after a time in which it answers no packets if `silent_s` is positive."""
        if silent_s:
            await self.fall_silent(asyncio.sleep(silent_s))
        self.cold_until = time.monotonic() + self.cold["cold_s"]
        period = ColdPeriod(self.name, self.service, self.cold_until, self.cold_until)
        while (left_s := self.cold_until - time.monotonic()) > 0:
            await self.register(coldRemaining=f"{int(1000 * left_s)}ms")
            if period not in self.cold_periods:
                period.told = time.monotonic()
                self.cold_periods.append(period)
            await asyncio.sleep(min(HEARTBEAT_S, left_s))
        await self.register()

    async def register(self, **more):
        while self.store.down:
            await asyncio.sleep(STORE_POLL_S)
        await self.store.write([("servers", self.name, self.row(**more))], [])

    async def crash(self):
        begin = time.monotonic()
        address = self.listener.getsockname()
        self.server.close()
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()
        await asyncio.sleep(CRASH_DOWN_S)
        self.running = 0
        self.born = int(time.time() * 1000)
        self.listener = socket.create_server(address, backlog=BACKLOG)
        await self.listen()
        self.down.append((begin, time.monotonic()))
        await self.register()

    async def fall_silent(self, end):
        """Answers no packets until `end` has been awaited, and is a new incarnation then."""
        begin = time.monotonic()
        self.server.close()
        for connection in self.connections:
            connection.transport.pause_reading()
            if connection.active:
                self.drop(connection.active)
        # With a full queue of connections that nobody accepts, the kernel drops the opening packets.
        self.listener.listen(0)
        fillers = [socket.socket() for _ in range(SILENT_FILLERS)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
        self.is_silent = True
        await end
        self.is_silent = False
        for filler in fillers:
            filler.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self.born = int(time.time() * 1000)
        self.listener.listen(BACKLOG)
        await self.listen()
        self.down.append((begin, time.monotonic()))
