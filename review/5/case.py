"""A backend leaves while the store is down and says so in its answers; machines go on sending to it until it exits."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from rig import DRAIN_S, TROUBLE, client_request, config, main, route

SERVICE = "wuno96b"
OUTAGE_S = 4.5
# The backend serves for `drain` after its entry is gone and a little longer.
LONGER_S = 1.5


def run(case):
    record = case.record
    store = case.store()
    store.put("op", "config", config(7, {"r-2": route("/xapu221/", "non_idempotent", SERVICE, 3000, 800, 2)}, (SERVICE,)))
    zones = ("suva-depot", "nausori-works", "nadi-works", "labasa-depot")
    backends = [case.backend(f"i-{n}", SERVICE, zones[n], 6, 0.64) for n in range(4)]
    for backend in backends:
        store.put("servers", backend.name, backend.row())
    for number in (1, 2, 3):
        case.machine(number, zones[number - 1], store.address)
    case.await_ready()
    time.sleep(5)
    leaving = backends[0]
    answers, sent = {}, {}
    # Machine -> when it first passed on an answer with Server-Leaving.
    passed_on = {}
    state = {"over": False}

    async def book(machine, key):
        at = record.now()
        request_id, status, fields, _ = await client_request(record, machine.front, "POST", "/xapu221/2f", 3000, key,
                                                             b"booking")
        sent[request_id] = (at, machine.name)
        answers[request_id] = status
        if "server-leaving" in fields:
            passed_on.setdefault(machine.name, record.now())

    async def traffic():
        tasks = []
        while not state["over"]:
            for machine in case.machines:
                tasks.append(asyncio.create_task(book(machine, len(tasks))))
            await asyncio.sleep(0.2)
        await asyncio.gather(*tasks)

    bookings = case.loop.start(traffic())
    time.sleep(3)
    if TROUBLE:
        store.set_down(True)
        record(f"the store is down for {OUTAGE_S} s")
    begin = record.now()
    store.delete("servers", leaving.name)
    leaving.extra = "Server-Leaving: 1\r\n"
    record(f"the entry of {leaving.name} is gone; its answers say Server-Leaving: 1")
    time.sleep(DRAIN_S + LONGER_S)
    leaving.exit()
    left = record.now()
    record(f"{leaving.name} exits, {left - begin:.2f} s after its entry was removed")
    time.sleep(OUTAGE_S - DRAIN_S - LONGER_S)
    store.set_down(False)
    time.sleep(1)
    state["over"] = True
    bookings.result(10)
    late, cut = [], 0
    for at, request_id in leaving.runs:
        sent_at, machine = sent[request_id]
        if machine in passed_on and sent_at > passed_on[machine] + DRAIN_S:
            late.append(f"DRAIN: {request_id}, sent {sent_at - passed_on[machine]:.2f} s after {machine} had passed on an "
                        f"answer with Server-Leaving, reached {leaving.name} from it; the client got {answers[request_id]}")
            cut += answers[request_id] != 200
    print(f"{len(late)} late requests, {cut} of them bookings that the exit of {leaving.name} cut off")
    return late


main(FOLDER, run)
