"""The long-poll connections to the store go silent; a configuration is not in force in time."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from rig import CONFIG_APPLY_S, CONTACT_S, TROUBLE, asyncio_server, client_request, config, main, route

OLD, NEW = "huvo11a", "kafi81c"
# Slack beyond the bounds of the rule, in favour of the program.
SLACK_S = 0.1


class Path:
    """The way from a machine to the store. Connections that are silent stay open and pass nothing."""

    def __init__(self, case, store):
        self.loop, self.record = case.loop, case.record
        self.target = store.address.split(":")
        self.open = []
        self.server = self.loop.run(asyncio_server(self.serve, "127.0.0.1"))
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        state = {"silent": False, "polls": False, "since": 0}
        there = await asyncio.open_connection(*self.target)
        self.open.append(state)

        async def pump(source, sink, upwards):
            try:
                while data := await source.read(65536):
                    if upwards:
                        state["polls"] = b"/heatherlever/rows-feed" in data
                        state["since"] = time.monotonic()
                    if not state["silent"]:
                        sink.write(data)
                        await sink.drain()
            except OSError:
                pass
            sink.close()

        try:
            await asyncio.gather(pump(reader, there[1], True), pump(there[0], writer, False))
        finally:
            self.open.remove(state)

    def polling(self):
        return [state for state in self.open if state["polls"] and not state["silent"]]


def run(case):
    store = case.store()
    record = case.record
    read = lambda service: {"r-1": route("/lepu270/", "idempotent", service, 2500, 300, 1),
                            "r-2": route("/xapu221/", "non_idempotent", service, 3000, 800, 2)}
    store.put("op", "config", config(7, read(OLD), (OLD, NEW)))
    backends = [case.backend(f"i-{service}-{n}", service, zone, 9, 0.02)
                for service in (OLD, NEW) for n, zone in enumerate(("suva-depot", "nadi-works", "labasa-depot"))]
    for backend in backends:
        store.put("servers", backend.name, backend.row())
    paths = []
    for number, zone in enumerate(("suva-depot", "nadi-works", "labasa-depot"), 1):
        paths.append(Path(case, store))
        case.machine(number, zone, paths[-1].address)
    case.await_ready()
    time.sleep(8)
    # A long poll of each machine is pending and has begun lately.
    end = time.monotonic() + 10
    while time.monotonic() < end:
        states = [path.polling() for path in paths]
        if all(len(polls) == 1 and time.monotonic() - polls[0]["since"] < 1 for polls in states):
            break
        time.sleep(0.02)
    silence = record.now()
    if TROUBLE:
        for path in paths:
            for state in path.polling():
                state["silent"] = True
        record("the long-poll connections to the store go silent; other and new connections work")
    time.sleep(0.5)
    store.put("op", "config", config(12, read(NEW), (OLD, NEW)))
    ack = record.now()
    record(f"the store acknowledges configuration 12: /lepu270/ moves from {OLD} to {NEW}")
    sent = {}

    async def traffic():
        tasks = []
        while record.now() < silence + 8:
            for machine in case.machines:
                async def one(machine=machine, call=(("GET", "/lepu270/2f"), ("POST", "/xapu221/2f"))[len(tasks) // 3 % 2]):
                    at = record.now()
                    answer = await client_request(record, machine.front, *call, 2500, len(sent) % 40)
                    sent[answer[0]] = (at, machine.name)
                tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    case.loop.run(traffic())
    breaches = []
    bound = max(ack + CONFIG_APPLY_S, silence + CONTACT_S) + SLACK_S
    for backend in backends:
        for at, request_id in backend.runs:
            if backend.service == OLD and sent.get(request_id, (0,))[0] > bound:
                breaches.append(f"CONFIG: {request_id}, sent {sent[request_id][0] - ack:.2f} s after the ack of version 12 "
                                f"and {sent[request_id][0] - silence:.2f} s after the connections went silent, to "
                                f"{sent[request_id][1]}, was run by {OLD}")
    if not any(backend.runs for backend in backends if backend.service == NEW):
        breaches.append(f"{NEW} has never run a request")
    return sorted(breaches)


main(FOLDER, run)
