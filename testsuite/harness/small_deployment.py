"""A small deployment for tests: two regions of two failure domains, one entry host each, and few backend servers."""

import os

from heather_harness import Deployment

BIN_DIR = os.environ.get("HEATHER_BIN_DIR", "build/release/bin")

REGIONS = ["west", "east"]
CALLER = {"west": "127.10.0.1", "east": "127.20.0.1"}
SLOTS = 4
SERVERS = 2

KINDS = """kinds:
  - {name: orders, service: desk, rank: first, idempotent: false, deadline: 4s, service_time: 20ms, retention: 5min,
     floor: 30%}
  - {name: readings, service: view, rank: second, idempotent: true, deadline: 3s, service_time: 20ms, floor: 20%}
"""


class SmallDeployment(Deployment):
    """Platform, planner, four entry hosts and eight backend servers; ready when made."""

    def __init__(self, planners=1, service_ms=20, max_shift="50%", relays=(), kinds=KINDS):
        super().__init__(BIN_DIR)
        self.max_shift = max_shift
        self.kinds = kinds
        self.relayed = relays
        self.relays = {}
        self.backends = {}
        self.drains = []
        try:
            self._start(planners, service_ms)
        except BaseException:
            self.close()
            raise

    def _start(self, planners, service_ms):
        self.start_platform()
        for service in ("desk", "view"):
            for region in REGIONS:
                process = self.start_backends(f"{service}-{region}", SERVERS, SLOTS, service_ms)
                self.backends[service, region] = process.ports
                self.relays[service, region] = [
                    self.start_relay(f"relay-{service}-{region}-{port}", port)
                    for port in process.ports if (service, region) in self.relayed]
        self.entries = {}
        for number, region in enumerate(REGIONS, 1):
            for letter in "ab":
                name = f"{region}-{letter}"
                self.entries[name] = self.start_entry(
                    name, region, f"{region}-{letter}", f"127.0.{number}.{ord(letter) - ord('a') + 1}")
        for number in range(planners):
            self.start_planner(f"planner-{number}", lease_duration="2s", lease_renew_after="500ms", missing_time="1s")
        self.apply_config()
        self.wait_ready(self.entries.values(), len(self.entries))

    def relay_faults(self, service, region, **faults):
        """Sets faults of every link between the entry hosts and a pool."""
        for relay in self.relays[service, region]:
            self.backend_faults(relay.ports[1], **faults)

    def config_text(self, note=""):
        lines = [f"name: small  # {note}", "regions:"]
        for region in REGIONS:
            lines.append(f"  - {{name: {region}, domains: [{region}-a, {region}-b]}}")
        lines.append("links: [{from: west, to: east, delay: 12ms, capacity: 4000Mbit/s}]")
        lines.append(self.kinds + f"rules: [{{name: all, max_shift: {self.max_shift}}}]")
        lines.append("backends:")
        for (service, region), ports in self.backends.items():
            relays = self.relays[service, region]
            for index, port in enumerate([relay.ports[0] for relay in relays] or ports):
                domain = f"{region}-{'ab'[index % 2]}"
                lines.append(
                    f"  - {{name: {service}-{region}-{index}, service: {service}, region: {region}, domain: {domain}, "
                    f"address: 127.0.0.1, port: {port}, slots: {SLOTS}, max_connections: 100}}")
        lines.append("drains:" + ("" if self.drains else " []"))
        lines += [f"  - {{name: drain-{number}, select: {select}}}" for number, select in enumerate(self.drains)]
        lines.append("blocks:")
        lines += [f"  - {{prefix: {CALLER[region][:-3]}0.0/16, region: {region}}}" for region in REGIONS]
        return "\n".join(lines) + "\n"

    def apply_config(self, note=""):
        return self.apply(self.write("deployment.yaml", self.config_text(note)))

    def backend_ports(self, service=None):
        return [port for (name, _), ports in self.backends.items() for port in ports if service in (None, name)]

    def runs(self):
        """How often each key was run, over all backend servers."""
        counts = {}
        for port in self.backend_ports():
            for key, count in (self.backend_get(port, "/standin/runs") or {}).items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def over_slots(self):
        return sum(self.backend_get(port, "/standin/stats")["over_slots"] for port in self.backend_ports())

    def home_of(self, region):
        """The entry host that leads the orders of a region, by the look-up."""
        entry = next(iter(entry for entry in self.entries.values() if entry.popen.poll() is None))
        name = self.lookup(entry, "orders", CALLER[region])["entry_hosts"][0]["name"]
        return self.entries[name]

    def config_versions(self):
        return {name: self.state(entry)["config_version"] for name, entry in self.entries.items()
                if entry.popen.poll() is None}
