#!/usr/bin/env python3
"""Measures what faults cost a small deployment: bench_faults.py [--json] [--rounds N]."""

import argparse
import base64
import json
import os
import statistics
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "testsuite", "harness"))
os.environ.setdefault("HEATHER_BIN_DIR", os.path.join(ROOT, "build", "release", "bin"))

from heather_harness import http_json, wait_until  # noqa: E402
from load import Callers  # noqa: E402
from small_deployment import CALLER, SmallDeployment  # noqa: E402

BEFORE_S = 1.5
AFTER_S = 6
# The platform's own checks take a dead host off the list after this time.
LIST_CHECK_S = 1
STEADY_S = 5
LATENCY_SAMPLES = 150
TABLE_DELAY_MS = 24


class TimedCallers(Callers):
    """Keeps when each request was done."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.done_at = []

    def _send(self, generator, key):
        told = super()._send(generator, key)
        if told.outcome == "done":
            self.done_at.append(time.monotonic())
        return told

    def longest_gap_s(self, start, end):
        times = [start] + sorted(at for at in self.done_at if start <= at <= end) + [end]
        return max(after - before for before, after in zip(times, times[1:]))


def host(deployment, role):
    """The home of the orders of west, its buddy, or the owner of the readings."""
    home = deployment.home_of("west")
    if role == "home":
        return home
    if role == "buddy":
        return next(entry for entry in deployment.entries.values() if entry.region == "west" and entry is not home)
    name = deployment.lookup(home, "readings", CALLER["west"])["entry_hosts"][0]["name"]
    return deployment.entries[name]


def fault_round(role, fault, seed):
    """One kill or freeze under load: outcomes of the orders and the longest time without a done request."""
    with SmallDeployment() as deployment:
        entry = host(deployment, role)
        with TimedCallers(deployment, "orders", seed=seed) as orders, \
             TimedCallers(deployment, "readings", seed=seed + 1) as readings:
            time.sleep(BEFORE_S)
            start = time.monotonic()
            if fault == "killed":
                entry.kill()
            else:
                entry.freeze()
            # Callers leave a host that they do not reach; a frozen one would hold every thread.
            del deployment.entries[entry.name]
            time.sleep(LIST_CHECK_S)
            deployment.deregister(entry.name)
            time.sleep(AFTER_S - LIST_CHECK_S)
            end = time.monotonic()
        counts = orders.counts()
        return {"orders": len(orders.told), "unknown": counts.get("unknown", 0), "not_run": counts.get("not-run", 0),
                "orders_gap_s": orders.longest_gap_s(start, end), "readings_gap_s": readings.longest_gap_s(start, end)}


def measure_faults(rounds):
    rows = {}
    for role, fault in (("home", "killed"), ("buddy", "killed"), ("home", "frozen"), ("owner", "killed")):
        runs = [fault_round(role, fault, 1000 + 10 * number) for number in range(rounds)]
        orders = sum(run["orders"] for run in runs)
        unknown = sum(run["unknown"] for run in runs)
        rows[f"{role} {fault}"] = {
            "faults": rounds, "orders": orders, "unknown": unknown,
            "not_run": sum(run["not_run"] for run in runs),
            "unknown_per_1000_orders": 1000 * unknown / max(orders, 1),
            "unknown_per_1000_faults": 1000 * unknown / rounds,
            "longest_gap_orders_s": [round(run["orders_gap_s"], 2) for run in runs],
            "longest_gap_readings_s": [round(run["readings_gap_s"], 2) for run in runs]}
    return rows


def seconds_until(condition, what):
    start = time.monotonic()
    wait_until(condition, what)
    return time.monotonic() - start


def measure_configuration(rounds):
    up, down = [], []
    with SmallDeployment() as deployment:
        def everywhere(version):
            return lambda: set(deployment.config_versions().values()) == {version}
        entries = list(deployment.entries.values())
        for number in range(rounds):
            version = deployment.apply_config(f"up {number}")
            up.append(seconds_until(everywhere(version), "the version everywhere"))
            for entry in entries[1:]:
                entry.freeze()
            version = deployment.apply_config(f"down {number}")
            wait_until(lambda: deployment.state(entries[0])["config_version"] == version, "the version at one host")
            deployment.platform_faults(down=True)
            for entry in entries[1:]:
                entry.resume()
            down.append(seconds_until(everywhere(version), "the version everywhere, store down"))
            deployment.platform_faults(down=False)
    return {"store_up_s": [round(value, 2) for value in up], "store_down_s": [round(value, 2) for value in down]}


def store_rates(deployment):
    before = deployment.platform_stats()
    time.sleep(STEADY_S)
    after = deployment.platform_stats()
    seconds = after["seconds"] - before["seconds"]
    return {name: round((after[name] - before[name]) / seconds, 2) for name in ("reads", "writes")}


def measure_store():
    with SmallDeployment() as deployment:
        idle = store_rates(deployment)
        with Callers(deployment, "orders", seed=1):
            loaded = store_rates(deployment)
    return {"idle": idle, "under orders": loaded}


def median_ms(call):
    times = []
    for number in range(LATENCY_SAMPLES):
        start = time.monotonic()
        call(number)
        times.append(1000 * (time.monotonic() - start))
    return round(statistics.median(times), 2)


def claim(deployment, number):
    """One compare-and-swap that claims a row of the table, as a claim for each order would."""
    key = base64.b64encode(f"claim/{number}".encode()).decode()
    http_json("127.0.0.1", deployment.platform_port, "POST", "/v3/kv/txn", json.dumps({
        "compare": [{"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": "0"}],
        "success": [{"requestPut": {"key": key, "value": key}}], "failure": []}))


def measure_latency():
    with SmallDeployment(service_ms=1) as deployment:
        home, owner = host(deployment, "home"), host(deployment, "owner")
        port = deployment.backends["desk", "west"][0]
        rows = {
            "backend_server_direct_ms": median_ms(lambda number: http_json(
                "127.0.0.1", port, "POST", "/work/orders", "x", {"X-Exchange-Id": f"direct-{number}"})),
            "reading_at_owner_ms": median_ms(
                lambda number: deployment.work(owner, "readings", f"b{number}", None, CALLER["west"])),
            "order_at_home_ms": median_ms(
                lambda number: deployment.work(home, "orders", "b", f"latency-{number}", CALLER["west"]))}
        deployment.platform_faults(delay_ms=TABLE_DELAY_MS)
        rows["table_claim_ms"] = median_ms(lambda number: claim(deployment, number))
    rows["added_by_at_most_once_ms"] = round(rows["order_at_home_ms"] - rows["reading_at_owner_ms"], 2)
    return rows


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--rounds", type=int, default=3, help="faults of each sort")
    options = parser.parse_args()
    results = {"faults": measure_faults(options.rounds), "configuration": measure_configuration(options.rounds),
               "store_per_s": measure_store(), "latency": measure_latency()}
    if options.json:
        print(json.dumps(results))
        return
    for part, rows in results.items():
        print(part)
        for name, value in rows.items():
            print(f"  {name}: {value}")


if __name__ == "__main__":
    main()
