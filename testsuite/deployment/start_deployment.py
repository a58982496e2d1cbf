"""Starts the whole deployment of a site file as real processes on loopback, again and again, and loads each start.

Every host runs with the command of the deploy file; backend servers, kinds of requests and rates are those of the site
file. Reports, for each start: hosts that ended by themselves, the time until all were ready, and the requests of each
kind that got no answer. Hosts may be stopped while they start, and faults drawn from the seed may come during the load.
Exits with 1 if a host ended by itself, was not ready in time or did not stop in its grace, if a request got no answer
though its host was neither killed nor paused, if one that may run once ran twice or was rejected after it had run, or if
a rule on the sums over all hosts was broken (docs/design/deployment-judge.md).
`python3 start_deployment.py --help` lists the options."""

import argparse
import asyncio
import collections
import os
import random
import signal
import sys
import time
import tomllib

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "review"))
import rig
import herd_faults
from caller import Caller
from faults import Faults
from fleet_judgement import FleetJudgement, site_bounds
from host_machine import HostMachine
from observed_server import CRASH_PATH, ObservedServer, Ticks
from socket_owners import SocketOwners

READY_TIMEOUT_S = 20
# Grace of the settings, and what a busy machine may add to it.
STOP_TIMEOUT_S = 6 + 2
RESTART_DELAY_S = 0.5
START_SPREAD_S = 0.3
SEEDS = 3
SHARED_FIRST_PORT, SHARED_LAST_PORT = 12000, 30000


class QuietRecord(rig.Record):
    """Keeps only the lines that name a process or a lost request."""

    def __call__(self, text):
        if not text.startswith(("client sends", "client gets", "backend")):
            super().__call__(text)


class Deployment:
    def __init__(self, site, options, folder):
        self.options, self.site = options, site
        self.case = rig.Case(folder)
        self.case.record = QuietRecord(folder)
        self.random = random.Random(options.seed)
        rig.ZONES.clear()
        rig.ZONES.update({zone["name"]: zone["region"] for zone in site["zones"]})
        self.store = self.case.store()
        self.routes = {kind["name"]: f"/k{number}/" for number, kind in enumerate(site["classes"])}
        self.store.put("op", "config", self.config())
        self.hosts = []
        self.ticks = Ticks()
        self.case.loop.start(self.ticks.run())
        self.owners = SocketOwners(self.hosts)
        self.backends = []
        for service in site["services"]:
            work_ms = [kind["work_ms"]["mean"] for kind in site["classes"] if kind["service"] == service["name"]]
            for place in service["servers"]:
                for _ in range(place["count"]):
                    name = f"i-{len(self.backends)}"
                    backend = ObservedServer(
                        self.case, self.store, self.ticks, self.owners, name, service["name"], place["zone"], service["slots"],
                        work_ms[0] / 1000 * options.work_share, {key: service[key] for key in ("cold_s", "cold_x")})
                    self.backends.append(backend)
                    self.store.put("servers", name, backend.row())
        self.shared_controls = []
        self.caller = Caller(random.Random(options.seed), options.caller_patience_s)
        self.faults = Faults(self.hosts, self.store, self.case.record, random.Random(options.seed))
        self.herd = herd_faults.HerdFaults(options, self.faults, self.backends, random.Random(options.seed))
        self.ends = collections.Counter()
        self.breaches = collections.Counter()
        self.statuses = collections.Counter()
        self.findings = []

    def config(self):
        config = rig.config(7, {
            kind["name"]: rig.route(
                self.routes[kind["name"]], "idempotent" if kind["kind"] == "safe" else "non_idempotent", kind["service"],
                int(kind["deadline_ms"]), kind["aim_ms"], kind["priority"])
            for kind in self.site["classes"]}, [service["name"] for service in self.site["services"]])
        for service in self.site["services"]:
            config["services"][service["name"]].update(
                maxConnections=service["conn_cap"], coldStart=f"{service['cold_s']:g}s", coldPerS=service["cold_per_s"])
        return config

    def make_hosts(self):
        """Makes every host without starting it."""
        zones = [zone for group in self.site["machines"] for zone in [group["zone"]] * group["count"]]
        for number, zone in enumerate(zones, 1):
            settings = self.shared_address(number) if self.options.shared_address else {}
            settings["bounds"] = site_bounds(self.site)
            self.hosts.append(HostMachine(self.case, number, zone, self.store.address, settings))
        if self.options.shared_address:
            for host in self.hosts:
                host.front, host.ready = (self.endpoint(host, name) for name in ("front", "ready"))

    def shared_address(self, number):
        """Settings of a host at the address that all share, with ports of its own."""
        base = SHARED_FIRST_PORT + (os.getpid() * 7919 + number * 30) % (SHARED_LAST_PORT - SHARED_FIRST_PORT)
        ip = f"{self.case.prefix}.1"
        self.shared_controls.append(f"{ip}:{base + 2}")
        return {"ip": ip, "internalPorts": [base + 5, base + 20],
                "listen": {name: f"{ip}:{base + n}" for n, name in enumerate(("front", "ready", "control", "directory"))},
                "seeds": self.shared_controls[:SEEDS]}

    def endpoint(self, host, name):
        ip, port = host.settings["listen"][name].split(":")
        return ip, int(port)

    def start(self):
        for host in self.random.sample(self.hosts, len(self.hosts)):
            host.start()
            if self.options.hangup_ms is not None:
                time.sleep(self.options.hangup_ms / 1000)
                host.signal(signal.SIGHUP)
            if self.options.terminate_ms:
                time.sleep(self.random.uniform(*self.options.terminate_ms) / 1000)
                self.terminate(host)
            time.sleep(START_SPREAD_S / len(self.hosts) * self.random.random())

    def terminate(self, host):
        host.expected_end = True
        host.terminated = time.monotonic()
        host.signal(signal.SIGTERM)

    def await_terminated(self):
        """Returns the hosts that did not end in their grace by the signal or with exit code 0, and all exit codes."""
        while any(host.process.poll() is None and time.monotonic() < host.terminated + STOP_TIMEOUT_S
                  for host in self.hosts):
            time.sleep(0.02)
        ends = collections.Counter(host.process.poll() for host in self.hosts)
        self.case.record(f"ends of stopped starts: {dict(ends)}")
        # Before its handler is there, the signal ends the process.
        bad = [(host.name, host.process.poll()) for host in self.hosts if host.process.poll() not in (0, -signal.SIGTERM)]
        return bad, dict(ends)

    def check_ends(self, restart=True):
        for host in self.hosts:
            if host.process.poll() is not None and not getattr(host, "expected_end", False):
                self.ends[host.name, host.process.returncode] += 1
                self.case.record(f"{host.name} ended by itself: {host.process.returncode}")
                if restart:
                    time.sleep(RESTART_DELAY_S)
                    host.start()

    def await_ready(self):
        """Returns the time that it took, or None. Restarts hosts that end."""
        begin = time.monotonic()
        waiting = list(self.hosts)
        while waiting:
            if time.monotonic() - begin > READY_TIMEOUT_S:
                self.case.record(f"not ready: {[host.name for host in waiting]}")
                return None
            self.check_ends()
            waiting = [host for host in waiting if not host.is_ready()]
            time.sleep(0.02)
        return time.monotonic() - begin

    async def load(self, seconds):
        tasks = [asyncio.create_task(self.load_kind(kind, seconds)) for kind in self.site["classes"]]
        if self.options.faults:
            tasks.append(asyncio.create_task(self.faults.run(seconds)))
        if self.options.all_at_once:
            tasks.append(asyncio.create_task(self.faults.hit_all(self.options.all_at_once, seconds / 2)))
        if self.options.crash_s:
            tasks.append(asyncio.create_task(self.send_crashing(seconds)))
        tasks.append(asyncio.create_task(self.herd.run(seconds)))
        await asyncio.gather(*tasks)
        self.judge()

    def judge(self):
        runs = collections.Counter(request_id for backend in self.backends for _, request_id in backend.runs)
        for what, attempt in self.caller.breaches(runs, self.faults.excused, self.faults.stopping):
            self.breaches[what, attempt.kind, attempt.status] += 1
            age_s = None if attempt.sent is None else round(attempt.end - attempt.sent, 3)
            self.case.record(
                f"{what}: {attempt.request_id}, {attempt.kind}, at {attempt.host.name}, status {attempt.status}, begun "
                f"{attempt.begin - self.case.record.begin:.3f}, ended {age_s} s after it was sent, "
                f"{'kept' if attempt.kept else 'new'} connection, stop or start {self.faults.stopping(attempt)}, "
                f"runs {runs[attempt.request_id]}, {attempt.problem}")
        judgement = FleetJudgement(self)
        self.findings = judgement.findings()
        self.case.record(judgement.text)
        print(f"  {judgement.text}")
        for finding in self.findings:
            self.case.record(str(finding))
            print(f"  {finding}")

    async def load_kind(self, kind, seconds):
        share = sum(place["mix"].get(kind["name"], 0) / sum(place["mix"].values()) * place["per_s"]
                    for place in self.site["traffic"])
        requests = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.random.expovariate(share * self.options.scale))
            requests.append(asyncio.create_task(self.request(kind)))
        await asyncio.gather(*requests)

    async def send_crashing(self, seconds):
        """Sends a request that crashes servers again and again, always the same."""
        kind = next(kind for kind in self.site["classes"] if kind["method"] == "GET")
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            path = self.routes[kind["name"]].rstrip("/") + CRASH_PATH
            await self.caller.send(kind, self.random.choice(self.hosts), path, b"", key=0)
            await asyncio.sleep(self.options.crash_s)

    async def request(self, kind):
        size = int(kind["req_bytes"]["mean"]) if kind["method"] != "GET" else 0
        attempt = await self.caller.send(
            kind, self.random.choice(self.hosts), self.routes[kind["name"]] + "2f", b"x" * size)
        self.statuses[kind["name"], attempt.status] += 1

    def stop(self):
        """Returns the hosts that did not end by SIGTERM with exit code 0."""
        self.check_ends(restart=False)
        for host in self.hosts:
            host.expected_end = True
            host.signal(signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_S
        while time.monotonic() < end and any(host.process.poll() is None for host in self.hosts):
            time.sleep(0.02)
        bad = [(host.name, host.process.poll()) for host in self.hosts if host.process.poll() != 0]
        self.case.record(f"stop: {bad or 'all ended'}")
        return bad

    def close(self):
        self.owners.close()
        self.case.loop.loop.call_soon_threadsafe(self.caller.close)
        for host in self.hosts:
            if host.process:
                host.stop()
        for server in [backend.server for backend in self.backends] + [self.store.server]:
            self.case.loop.run(self.close_server(server))

    async def close_server(self, server):
        server.close()


def judge_stops(deployment):
    bad_stops, ends = deployment.await_terminated()
    return not bad_stops, f"exit codes {ends}, bad stops {bad_stops}"


def judge_run(deployment, options):
    ready_s = deployment.await_ready()
    if options.load_s > 0:
        deployment.case.loop.run(deployment.load(options.load_s))
    deployment.check_ends(restart=False)
    bad_stops = deployment.faults.bad + (deployment.stop() if options.stop else [])
    kept = (ready_s is not None and not deployment.ends and not deployment.breaches and not bad_stops
            and not any(finding.cases for finding in deployment.findings))
    return kept, (f"ready after {ready_s if ready_s is None else round(ready_s, 2)} s, ends {dict(deployment.ends)}, "
                  f"breaches {dict(deployment.breaches)}, bad stops {bad_stops}, statuses {dict(deployment.statuses)}")


def run(site, options, number):
    folder = os.path.join(options.folder, f"start-{number}")
    os.makedirs(folder, exist_ok=True)
    deployment = Deployment(site, options, folder)
    try:
        deployment.make_hosts()
        deployment.start()
        kept, report = judge_stops(deployment) if options.terminate_ms else judge_run(deployment, options)
        print(f"start {number} of seed {options.seed}: {'kept' if kept else 'BROKEN'}, {report}", flush=True)
        if not kept:
            for host in deployment.hosts:
                if os.path.exists(host.log):
                    os.replace(host.log, os.path.join(folder, host.name + ".log"))
        return kept
    finally:
        deployment.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--site", required=True, help="site file of the bench (TOML)")
    parser.add_argument("--starts", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load-s", type=float, default=2, help="seconds of load after each start; 0 for none")
    parser.add_argument("--scale", type=float, default=1, help="share of the site's rates")
    parser.add_argument("--shared-address", action="store_true", help="all hosts at one address, with ports of their own")
    parser.add_argument("--hangup-ms", type=float, help="SIGHUP to each host so long after its start")
    parser.add_argument("--terminate-ms", type=float, nargs=2, metavar=("FROM", "TO"),
                        help="SIGTERM to each host a time in this range after its start, in place of load")
    parser.add_argument("--faults", action="store_true",
                        help="stops, kills, pauses and reloads of hosts and downtime of the store during the load")
    parser.add_argument("--all-at-once", choices=("terminate", "kill", "hang_up", "pause"),
                        help="fault of all hosts at once in the middle of the load")
    parser.add_argument("--caller-patience-s", type=float, default=0,
                        help="time after their time-out for which callers keep connections open")
    parser.add_argument("--crash-s", type=float, help="interval of a request that crashes each server that runs it")
    herd_faults.add_options(parser)
    parser.add_argument("--work-share", type=float, default=1 / 3,
                        help="share of the site's work that each request takes; warm servers take about a third")
    parser.add_argument("--stop", action="store_true", help="SIGTERM to all hosts at the end of each start")
    parser.add_argument("--folder", default="deployment-logs", help="for records, and for the logs of broken starts")
    parser.add_argument("--root", default=rig.ROOT, help="repository whose deploy file and build are run")
    options = parser.parse_args()
    rig.ROOT = os.path.abspath(options.root)
    with open(options.site, "rb") as file:
        site = tomllib.load(file)
    broken = 0
    for number in range(options.starts):
        broken += not run(site, options, number)
        options.seed += 1
    print(f"{options.starts - broken} of {options.starts} starts kept", flush=True)
    os._exit(1 if broken else 0)


if __name__ == "__main__":
    main()
