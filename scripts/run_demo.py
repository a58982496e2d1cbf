"""Demonstrates the whole path: entry hosts of three regions, backend servers, the platform's stand-in and a load.

Prints a table by kind of work. Exits 0 only if every request was accounted for and every promise kept.
"""

import json
import os
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "testsuite", "harness"))

from heather_harness import Deployment  # noqa: E402  (the path is set above)

LOAD_S = 8
HOSTS_PER_DOMAIN = 1
STREAMS = {
    "vatuwaqa": [("disconnections", 40), ("reconnections", 20), ("readings", 400), ("bookings", 120)],
    "pragova": [("rush-orders", 80), ("proofs", 250), ("print-jobs", 80)],
}
CALLERS = ["127.10.0.1", "127.20.0.1", "127.30.0.1"]


def start_backends(deployment, spec):
    """Starts one process for each run of backend servers on consecutive ports."""
    backends = sorted(spec["backends"], key=lambda backend: backend["port"])
    group = []
    for backend in backends + [None]:
        same = group and backend and backend["service"] == group[0]["service"] \
            and backend["port"] == group[-1]["port"] + 1
        if group and not same:
            deployment.start_backends(
                f"{group[0]['service']}-{group[0]['port']}", len(group), group[0]["slots"], 40, group[0]["port"])
            group = []
        group.append(backend)


def start_entries(deployment, spec):
    entries = []
    for number, region in enumerate(spec["regions"], 1):
        for domain_number, domain in enumerate(region["domains"], 1):
            for host in range(1, HOSTS_PER_DOMAIN + 1):
                entries.append(deployment.start_entry(
                    f"entry-{domain}-{host}", region["name"], domain, f"127.0.{number}.{domain_number * 10 + host}"))
    return entries


def write_load(deployment, name, deployment_file, entries):
    lines = [f"deployment: {deployment_file}", f"duration: {LOAD_S}s", "threads: 128", "entry_hosts:"]
    lines += [f"  - {entry.address}:{entry.ports[0]}" for entry in entries]
    lines.append("streams:")
    for kind, rate in STREAMS[name]:
        for number, caller in enumerate(CALLERS):
            lines.append(
                f"  - {{name: {kind}-{number}, kind: {kind}, rate_per_s: {max(1, rate // len(CALLERS))}, "
                f"first_caller: {caller}, callers: 20, body_bytes: 300}}")
    return deployment.write("load.yaml", "\n".join(lines) + "\n")


def main():
    bin_dir = sys.argv[1]
    name = sys.argv[2] if len(sys.argv) > 2 else "vatuwaqa"
    deployment_file = os.path.join(ROOT, "examples", name, "deployment.yaml")
    with Deployment(bin_dir) as deployment:
        print(f"starting {name}; logs are in {deployment.folder}", flush=True)
        deployment.start_platform()
        spec = json.loads(deployment.ctl("--json", "check", deployment_file)[1])
        start_backends(deployment, spec)
        entries = start_entries(deployment, spec)
        deployment.start_planner("planner-1")
        deployment.start_planner("planner-2")
        deployment.apply(deployment_file)
        deployment.wait_ready(entries, len(entries))
        print(f"{len(entries)} entry hosts serve; load for {LOAD_S} s", flush=True)
        load = write_load(deployment, name, deployment_file, entries)
        return subprocess.run([deployment.program("heather-load"), "--config", load, "--verbose"]).returncode


if __name__ == "__main__":
    sys.exit(main())
