"""An entry of another writer names no address; a request that runs is answered 503, and the client's retry runs too."""

import os
import sys
import time
import asyncio

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from rig import PROMISES, TROUBLE, client_request, config, main, new_id, route

SERVICE = "wuno96b"
BOOKINGS = 60
RETRIES = 1
OTHER_ADDRESS = os.environ.get("OTHER_ADDRESS", "http://127.0.0.1:8080")


def run(case):
    record = case.record
    store = case.store()
    # Many of these requests last longer than their route's timeout: 0.64 s on average, with a spread of .15.
    store.put("op", "config", config(7, {"r-2": route("/xapu221/", "non_idempotent", SERVICE, 500, 400, 2)}, (SERVICE,)))
    zones = ("suva-depot", "nausori-works", "nadi-works")
    backends = [case.backend(f"i-{n}", SERVICE, zones[n], 6, 0.64) for n in range(3)]
    for backend in backends:
        store.put("servers", backend.name, backend.row())
    if TROUBLE:
        # Another writer's entry: its address is of another type, a URL in place of "IP:port".
        store.put("servers", "other-1", {**backends[0].row(), "address": OTHER_ADDRESS})
        record("another writer's entry stands in servers/other-1")
    for number in (1, 2):
        case.machine(number, zones[number - 1], store.address)
    case.await_ready()
    time.sleep(2)
    answers = {}
    bookings = {}

    async def book(number):
        """A booking, which the client tries again after a promise that it has not run."""
        deadline = time.monotonic() + 3
        for attempt in range(1 + RETRIES):
            machine = case.machines[(number + attempt) % 2]
            request_id = new_id()
            bookings.setdefault(number, []).append(request_id)
            left_ms = int((deadline - time.monotonic()) * 1000)
            answers[request_id] = None
            _, status, fields, _ = await client_request(record, machine.front, "POST", "/xapu221/2f", left_ms, number,
                                                        b"booking %d" % number, request_id=request_id)
            answers[request_id] = status
            if status not in PROMISES:
                return
            wait_s = float(fields.get("retry-after", 0))
            await asyncio.sleep(min(wait_s, (deadline - time.monotonic()) / 3))

    async def traffic():
        tasks = []
        for number in range(BOOKINGS):
            tasks.append(asyncio.create_task(book(number)))
            await asyncio.sleep(0.35)
        await asyncio.gather(*tasks)

    case.loop.run(traffic())
    time.sleep(2)
    ran = {request_id for backend in backends for _, request_id in backend.runs}
    statuses = sorted(answers.values())
    doubled = [number for number, ids in bookings.items() if len(ran.intersection(ids)) > 1]
    print("answers:", {status: statuses.count(status) for status in sorted(set(statuses))},
          f"bookings that ran twice, as the client was told that they had not run: {len(doubled)}")
    record(f"bookings that ran twice: {doubled}")
    return [f"REFUSED: {request_id} was answered {status}, and has run"
            for request_id, status in sorted(answers.items()) if status in PROMISES and request_id in ran]


main(FOLDER, run)
