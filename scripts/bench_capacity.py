"""Measures what one host costs as the number of entry hosts grows, and works the costs out at the target size.

Real processes on loopback addresses, each size in three windows: no callers, configuration changes, look-ups. Then the
virtual-time bench of the membership and the bench of the table of client blocks. Run it by `scripts/bench.sh capacity`.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import threading
import time

import http.client

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "testsuite", "harness"))

from heather_harness import Deployment  # noqa: E402  (the path is set above)

TARGET_HOSTS = 1000
REGIONS = 3
DOMAINS_PER_REGION = 2
CHANGES = 5
LOOKUP_THREADS = 4
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
FLEET_SIZES = "20,40,100,200,500,1000"


class Sample:
    """Counters of all entry hosts, the planner and the platform at one time."""

    def __init__(self, deployment, entries, planner):
        self.time_s = time.monotonic()
        self.cpu_s = [cpu_seconds(entry.popen.pid) for entry in entries]
        self.planner_cpu_s = cpu_seconds(planner.popen.pid)
        states = [deployment.state(entry) for entry in entries]
        self.bytes = [state.get("peer_bytes_in", 0) + state.get("peer_bytes_out", 0) for state in states]
        stats = deployment.platform_stats()
        self.reads = stats["reads"]
        self.writes = stats["writes"]


def cpu_seconds(pid):
    """Processor time of a process, user and system, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid):
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def window_figures(before, after):
    """Means a host and second over one window; cpu in % of a core."""
    seconds = after.time_s - before.time_s
    cpu = [(b - a) / seconds * 100 for a, b in zip(before.cpu_s, after.cpu_s)]
    sent = [(b - a) / seconds for a, b in zip(before.bytes, after.bytes)]
    return {
        "seconds": seconds,
        "cpu_percent": statistics.mean(cpu),
        "cpu_percent_max": max(cpu),
        "peer_bytes_per_s": statistics.mean(sent),
        "peer_bytes_per_s_max": max(sent),
        "planner_cpu_percent": (after.planner_cpu_s - before.planner_cpu_s) / seconds * 100,
        "platform_reads_per_s": (after.reads - before.reads) / seconds,
        "platform_writes_per_s": (after.writes - before.writes) / seconds,
    }


def deployment_text(ports, note):
    regions = [f"region-{number}" for number in range(REGIONS)]
    lines = [f"name: capacity  # {note}", "regions:"]
    for region in regions:
        domains = ", ".join(f"{region}-{number}" for number in range(DOMAINS_PER_REGION))
        lines.append(f"  - {{name: {region}, domains: [{domains}]}}")
    lines.append("links:")
    lines += [f"  - {{from: {a}, to: {b}, delay: 12ms, capacity: 4000Mbit/s}}"
              for a in regions for b in regions if a < b]
    lines.append("kinds: [{name: readings, service: view, rank: second, idempotent: true, deadline: 3s, "
                 "service_time: 20ms}]")
    lines.append("rules: [{name: all, max_shift: 50%}]")
    lines.append("backends:")
    for number, port in enumerate(ports):
        region = regions[number % REGIONS]
        lines.append(f"  - {{name: view-{number}, service: view, region: {region}, domain: {region}-0, "
                     f"address: 127.0.0.1, port: {port}, slots: 4, max_connections: 660}}")
    lines.append("blocks:")
    lines += [f"  - {{prefix: 127.{number + 1}0.0.0/16, region: {region}}}" for number, region in enumerate(regions)]
    return "\n".join(lines) + "\n"


def start_hosts(deployment, count, poll_interval):
    entries = []
    for number in range(count):
        region = number % REGIONS
        domain = number // REGIONS % DOMAINS_PER_REGION
        entries.append(deployment.start_entry(
            f"entry-{number}", f"region-{region}", f"region-{region}-{domain}", f"127.0.{region + 1}.{number + 1}",
            poll_interval=poll_interval))
    return entries


def change_configuration(deployment, entries, ports):
    """Applies changes one by one; returns the seconds from each acceptance until the last host has it in force."""
    seconds = []
    for number in range(CHANGES):
        path = deployment.write("deployment.yaml", deployment_text(ports, f"change {number}"))
        version = deployment.apply(path)
        accepted = time.monotonic()
        waiting = list(entries)
        while waiting:
            waiting = [entry for entry in waiting if deployment.state(entry)["config_version"] < version]
        seconds.append(time.monotonic() - accepted)
    return seconds


def look_up(entries, number, stop, counts):
    """One caller: look-ups in turn at the entry hosts, over kept connections."""
    connections = [http.client.HTTPConnection(entry.address, entry.ports[0], timeout=10) for entry in entries]
    while not stop.is_set():
        for connection in connections:
            connection.request("GET", "/v1/lookup?kind=readings")
            connection.getresponse().read()
            counts[number] += 1
    for connection in connections:
        connection.close()


def lookup_window(deployment, entries, planner, window_s):
    stop = threading.Event()
    counts = [0] * LOOKUP_THREADS
    threads = [threading.Thread(target=look_up, args=(entries, number, stop, counts))
               for number in range(LOOKUP_THREADS)]
    before = Sample(deployment, entries, planner)
    for thread in threads:
        thread.start()
    time.sleep(window_s)
    stop.set()
    for thread in threads:
        thread.join()
    figures = window_figures(before, Sample(deployment, entries, planner))
    figures["lookups_per_s"] = sum(counts) / figures["seconds"] / len(entries)
    return figures


def measure_size(bin_dir, count, window_s, poll_interval):
    """The figures of one number of entry hosts."""
    with Deployment(bin_dir) as deployment:
        deployment.start_platform()
        ports = deployment.start_backends("view", REGIONS, 4).ports
        entries = start_hosts(deployment, count, poll_interval)
        planner = deployment.start_planner("planner", interval="500ms")
        text = deployment_text(ports, "start")
        deployment.apply(deployment.write("deployment.yaml", text))
        deployment.wait_ready(entries, count)
        time.sleep(window_s / 2)  # until the news of the start has been spread

        before = Sample(deployment, entries, planner)
        time.sleep(window_s)
        idle = window_figures(before, Sample(deployment, entries, planner))
        idle["resident_mb"] = statistics.mean(resident_mb(entry.popen.pid) for entry in entries)
        idle["planner_resident_mb"] = resident_mb(planner.popen.pid)

        before = Sample(deployment, entries, planner)
        in_force_s = change_configuration(deployment, entries, ports)
        changes = window_figures(before, Sample(deployment, entries, planner))
        extra = (changes["peer_bytes_per_s"] - idle["peer_bytes_per_s"]) * changes["seconds"]
        lookups = lookup_window(deployment, entries, planner, window_s)
        return {
            "hosts": count, "idle": idle, "configuration_bytes": len(text),
            "change": {"in_force_s_max": max(in_force_s), "peer_bytes_per_change": extra / CHANGES},
            "lookups": {
                "per_host_and_s": lookups["lookups_per_s"], "cpu_percent": lookups["cpu_percent"],
                "cpu_us_each": (lookups["cpu_percent"] - idle["cpu_percent"]) * 1e4 / lookups["lookups_per_s"],
                "resident_mb": statistics.mean(resident_mb(entry.popen.pid) for entry in entries)}}


def slope(rows, group, key):
    """Least squares over the sizes: change a host, and the value at the target size."""
    sizes = [row["hosts"] for row in rows]
    values = [row[group][key] for row in rows]
    if len(rows) < 2:
        return {"per_host": None, "at_target": None}
    line = statistics.linear_regression(sizes, values)
    return {"per_host": line.slope, "at_target": line.intercept + line.slope * TARGET_HOSTS}


def run_json(*command):
    done = subprocess.run(command, capture_output=True, text=True)
    return json.loads(done.stdout) if done.returncode == 0 else {"error": done.stderr.strip()}


def print_table(report):
    print("An entry host, no callers (cpu in % of a core, peers' bytes in and out together):")
    print(f"{'hosts':>6}{'cpu %':>8}{'max %':>8}{'MB':>7}{'bytes/s':>9}{'max':>8}{'reads/s':>9}{'writes/s':>9}"
          f"{'planner %':>10}{'planner MB':>11}{'change s':>9}{'B/change':>10}{'us/lookup':>10}")
    for row in report["sizes"]:
        idle = row["idle"]
        print(f"{row['hosts']:>6}{idle['cpu_percent']:>8.2f}{idle['cpu_percent_max']:>8.2f}{idle['resident_mb']:>7.1f}"
              f"{idle['peer_bytes_per_s']:>9.0f}{idle['peer_bytes_per_s_max']:>8.0f}"
              f"{idle['platform_reads_per_s']:>9.1f}{idle['platform_writes_per_s']:>9.1f}"
              f"{idle['planner_cpu_percent']:>10.2f}{idle['planner_resident_mb']:>11.1f}"
              f"{row['change']['in_force_s_max']:>9.2f}{row['change']['peer_bytes_per_change']:>10.0f}"
              f"{row['lookups']['cpu_us_each']:>10.0f}")
    for key, value in report["slopes"].items():
        if value["per_host"] is not None:
            print(f"{key}: {value['per_host']:.4g} a host more, {value['at_target']:.4g} at {TARGET_HOSTS} hosts")
    print("membership, virtual time:", json.dumps(report["membership"]))
    print("table of blocks:", json.dumps(report["placement"]))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bin_dir")
    parser.add_argument("--hosts", default="5,10,20,40", help="numbers of entry hosts")
    parser.add_argument("--window", type=float, default=10, help="length of a window, in seconds")
    parser.add_argument("--poll-interval", default="1000ms", help="poll_interval of the entry hosts")
    parser.add_argument("--processes-only", action="store_true", help="leave out the two benches in virtual time")
    parser.add_argument("--json", action="store_true", help="print JSON instead of a table")
    arguments = parser.parse_args()
    rows = []
    for count in [int(word) for word in arguments.hosts.split(",")]:
        rows.append(measure_size(arguments.bin_dir, count, arguments.window, arguments.poll_interval))
        print(f"measured {count} entry hosts, load average {os.getloadavg()[0]:.0f}", file=sys.stderr, flush=True)
    report = {"sizes": rows, "slopes": {}, "membership": None, "placement": None}
    for key in ("cpu_percent", "resident_mb", "peer_bytes_per_s", "platform_reads_per_s", "platform_writes_per_s",
                "planner_cpu_percent", "planner_resident_mb"):
        report["slopes"][key] = slope(rows, "idle", key)
    report["slopes"]["peer_bytes_per_change"] = slope(rows, "change", "peer_bytes_per_change")
    if not arguments.processes_only:
        report["membership"] = run_json(
            os.path.join(arguments.bin_dir, "heather-bench-membership"), "--hosts", FLEET_SIZES, "--json")
        report["placement"] = run_json(
            os.path.join(arguments.bin_dir, "heather-bench-placement"), "--speed-only", "--json")
    if arguments.json:
        print(json.dumps(report, indent=2))
    else:
        print_table(report)
    return 0


if __name__ == "__main__":
    sys.exit(main())
