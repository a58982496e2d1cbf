"""DRAIN: a backend's older report, performed late by the store, makes a host use a backend again that has reported `draining`."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import rig2  # noqa: E402
from rig2 import REQUEST_ID, TROUBLE, Backend, Host, Store, make_response  # noqa: E402

DRAIN_S = 2.0
# Seconds from the report whose call gets no answer. The platform's store performs such a call up to 6 s later.
LATE_S = 5.1
DRAINING_AT_S = 3.5  # Over `contact` after the lost answer, so that the store is stable.
REPORTS = [(0.0, "ready"), (1.5, "ready"), (3.0, "ready"), (DRAINING_AT_S, "draining"), (5.0, "draining")]
CLIENTS_FROM_S, CLIENTS_TO_S = 5.6, 8.0
EXIT_S = 6.4  # A little longer than `drain` after the report.
CLIENTS = 8
WORK_S = 0.6


def case(record, folder, cleanups):
    store = Store()
    cleanups.append(store.close)
    store.put("op", "config", rig2.config(1, {"orders": rig2.route("non_idempotent", "/orders/")}))
    sent, arrived, answers = {}, {}, {}
    leaving = set()
    born = int(time.time() * 1000)

    def serve(name):
        def behave(request, connection):
            request_id = request[1].get(REQUEST_ID.lower())
            arrived[request_id] = (name, time.monotonic())
            backends[name].run(request)
            record.write(f"{name}: runs {request_id}")
            time.sleep(WORK_S)
            return make_response(request, b"ordered", extra="Server-Leaving: 1\r\n" if name in leaving else "")
        return behave

    def report(name, state, sequence):
        row = {**backends[name].row(domain="sofia-a", state=state, sequence=sequence), "slots": 6, "born": born}
        store.put("servers", name, row)
        record.write(f"store: servers/{name} is now state={state} sequence={sequence} born={born}")

    backends = {}
    for n in range(3):
        name = f"i-{n}"
        backends[name] = Backend(name, serve(name))
        cleanups.append(backends[name].close)
        report(name, "ready", 1)
    host = Host("edge-sofia-a-1", store.port, folder)
    cleanups.append(host.stop)
    host.start()
    host.await_log("in force")
    for n in range(3):
        host.await_log(f"backend server i-{n} ")
    time.sleep(3.2)  # The host is in touch.

    start = time.monotonic()
    acked = {}

    def reports():
        for sequence, (at, state) in enumerate(REPORTS, 2):
            time.sleep(max(0, start + at - time.monotonic()))
            if state == "draining":
                leaving.add("i-2")
            if TROUBLE and at == 0:
                record.write("the call with report 2 of i-2 gets no answer; the store performs it later")
                threading.Timer(LATE_S, report, ("i-2", state, sequence)).start()
                continue
            report("i-2", state, sequence)
            acked.setdefault(state, time.monotonic())
        time.sleep(max(0, start + EXIT_S - time.monotonic()))
        backends["i-2"].crash()
        store.delete("servers", "i-2")
        record.write("i-2 exits; its entry is removed")

    def client(number):
        count = 0
        time.sleep(max(0, start + CLIENTS_FROM_S - time.monotonic()))
        while time.monotonic() < start + CLIENTS_TO_S:
            request_id = f"order-{number}-{count:03}"
            sent[request_id] = time.monotonic()
            answer = rig2.ask(host, record, "POST", f"/orders/{number}/{count}", request_id, body=b"one mat", key=f"{number}-{count}")
            answers[request_id] = None if answer is None else answer[0]
            count += 1

    threads = [threading.Thread(target=reports)] + [threading.Thread(target=client, args=(n,)) for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    late = sorted(request_id for request_id, (name, at) in arrived.items()
                  if name == "i-2" and sent[request_id] > acked["draining"] + DRAIN_S)
    record.write(f"{len(sent)} orders sent; {len(late)} sent later than drain after the ack reached i-2, answered "
                 f"{[answers[request_id] for request_id in late]}")
    return [f"DRAIN: {request_id}, sent {sent[request_id] - acked['draining']:.2f} s after the ack of `draining`, reaches i-2, "
            f"answered {answers.get(request_id)}" for request_id in late]


rig2.main(case, FOLDER)
