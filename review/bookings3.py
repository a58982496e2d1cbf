"""Bookings at backends of which some are faulty: some of their complete answers are followed by additional bytes. Counts the
bookings that began to run at more than one backend."""

import asyncio
import random
import time

from rig3 import ID, TROUBLE, Backend, Host, config, read_message, request, route

BACKENDS = 5
FAULTY = 3  # a share of 0.6
EXTRA_SHARE = 0.03
FAULT_S = 5
FAULTS_AT_S = (3, 13, 23, 33, 43)
SLOTS = 6
WORK_S = 0.64
CLIENTS = 24
LEFT_MS = 3000
LENGTH_S = 52


class SlottedBackend(Backend):
    """Runs as many requests at once as it has slots; the others wait. Serves one request at a time on a connection. If it
    is faulty, some complete answers are followed by additional bytes that come late."""

    def __init__(self, case, name, send_extra):
        super().__init__(case, name, "cartage", slots=SLOTS, work_s=WORK_S)
        self.send_extra = send_extra
        self.free = asyncio.Semaphore(SLOTS)

    async def respond(self, first, headers, body):
        name = headers.get(ID.lower(), "")
        if first.startswith("GET /health "):
            async with self.free:
                return await super().respond(first, headers, body)
        async with self.free:
            began = len(self.runs)
            response = await super().respond(first, headers, body)
            if len(self.runs) > began:
                self.case.began.append((name, self.name))
            return response

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self.respond(*message))
                await writer.drain()
                if self.send_extra and self.case.is_faulty() and " /b/" in message[0] and random.random() < EXTRA_SHARE:
                    asyncio.create_task(self.send_extra(self, writer, message[1].get(ID.lower())))
        except ConnectionError:
            pass
        finally:
            writer.close()


async def client(case, host, number, until):
    count = 0
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(*host.front)
            while time.monotonic() < until:
                count += 1
                name = f"b{number}-{count}"
                writer.write(request("POST", f"/b/{number}", name, LEFT_MS, body=b"one truck", key=name))
                message = await asyncio.wait_for(read_message(reader), LEFT_MS / 1000 + 1)
                if message is None:
                    break
                case.answers[name] = int(message[0].split()[1])
                if message[1].get("connection") == "close":
                    break
                await asyncio.sleep(float(message[1].get("retry-after", 0)))
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()


async def run_bookings(case, send_extra):
    """`send_extra(backend, writer, name)` sends the additional bytes after the answer to a booking. Returns whether one ran twice."""
    case.began, case.answers = [], {}
    await case.start(config(1, {"bookings": route("cartage", "/b/", "non_idempotent", "3000ms")}))
    for number in range(BACKENDS):
        await SlottedBackend(case, f"c-{number}", send_extra if number < FAULTY else None).open()
    host = Host(case, 1, "suva-depot")
    host.start()
    await case.wait_ready(host)
    begin = time.monotonic()
    case.is_faulty = lambda: TROUBLE and any(at <= time.monotonic() - begin < at + FAULT_S for at in FAULTS_AT_S)
    until = begin + LENGTH_S
    await asyncio.gather(*(client(case, host, number, until) for number in range(CLIENTS)))
    await asyncio.sleep(4)
    runs = {}
    for name, backend in case.began:
        runs.setdefault(name, []).append(backend)
    twice = {name: backends for name, backends in runs.items() if len(backends) > 1}
    refused = [name for name, status in case.answers.items() if status in (408, 421, 429, 503) and name in runs]
    for name, backends in twice.items():
        case.record(f"booking {name} ran at {', '.join(backends)}; its client got {case.answers.get(name)}")
    case.record(f"{len(case.answers)} bookings answered, {len(runs)} ran, {len(twice)} ran twice, "
                f"{len(refused)} were refused and ran")
    return bool(twice)
