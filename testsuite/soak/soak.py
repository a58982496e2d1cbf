"""A fault soak: runs real processes on one machine, injects faults that are drawn from a seed, and checks invariants
against what callers and backend servers have seen. `python3 soak.py --help` lists the options."""

import argparse
import random
import signal
import subprocess
import sys
import tempfile
import time

from actors import Callers, Crashes, SoakBackend, SoakStore, find_exceeded_limits, find_violations, send
from departures import Departures
from gateway_harness import Host, config, route
from links import LinkSet
from standins import REQUEST_ID

DOMAINS = ("d-a", "d-a", "d-b", "e-a")
BACKENDS = 4
# With requests that crash servers, enough for others to be served beside them.
CRASH_BACKENDS = 12
# Number of backend servers that state a limit in a run with limits.
LIMITED_BACKENDS = 2
# Time for hosts to serve again once every fault is over; far more than they need, as it only ends a run that hangs.
RECOVERY_S = 40
# Time within which a host must end after a stop signal: the grace in its settings plus scheduling delays.
GRACE_S = 12
# Ranges of the pause between two faults and of the duration of a fault.
PAUSE_S = (0.1, 0.9)
FAULT_S = (0.3, 2.5)


def soak_config(version):
    routes = {"read": route(timeout="2000ms"), "write": route("non_idempotent", "/w/", timeout="2000ms")}
    routes[f"version-{version}"] = route(prefix=f"/v{version}/", timeout="2000ms")
    return config(version, **routes)


class Soak:
    """One run. After it `findings` holds a line for each violated invariant. With `crashes` the store is also restored
    from older copies, and a request comes again and again that crashes each backend server that runs it. With `departures`
    backend servers leave in turn, say so with their responses, and start again."""

    def __init__(self, seed, limit_per_s=0, crashes=False, departures=False):
        self.fault_table = {**FAULTS, **CRASH_FAULTS} if crashes else FAULTS
        self.seed = seed
        self.random = random.Random(seed)
        self.links = LinkSet()
        self.store = SoakStore()
        self.version = 1
        self.store.put("op", "config", soak_config(1))
        self.backends = [SoakBackend(f"i-{n}", f"{seed}-{n}", limit_per_s if n < LIMITED_BACKENDS else 0)
                         for n in range(CRASH_BACKENDS if crashes else BACKENDS)]
        self.backend_links = [self.links.link(backend.port) for backend in self.backends]
        self.sequence = 0
        for n in range(len(self.backends)):
            self.register(n)
        self.crashes = Crashes(self.backends) if crashes else None
        self.store_links = [self.links.link(self.store.port) for _ in DOMAINS]
        self.hosts = [Host(f"h{n}", self.store_links[n].port, domain=domain) for n, domain in enumerate(DOMAINS)]
        self.departures = Departures(self) if departures else None
        self.faults = []
        self.check_ids = []
        self.findings = []

    def register(self, n, state="ready"):
        self.sequence += 1
        row = self.backends[n].row(domain=DOMAINS[n % len(DOMAINS)], state=state, sequence=self.sequence)
        row["born"] = self.backends[n].started
        row["address"] = f"127.0.0.1:{self.backend_links[n].port}"
        self.store.put("servers", f"i-{n}", row)

    def run(self, seconds):
        for host in self.hosts:
            host.await_log("in force")
        callers = Callers(self.hosts, self.seed)
        callers.start()
        if self.crashes:
            self.crashes.start(self.hosts, self.seed)
        if self.departures:
            self.departures.start()
        try:
            self.inject_faults(seconds)
        finally:
            if self.departures:
                self.departures.stop()
            if self.crashes:
                self.crashes.stop()
            callers.stop()
        self.findings += find_exceeded_limits(self.backends)
        self.findings += self.check_recovery()
        self.findings += self.check_drain()
        if self.departures:
            self.findings += self.departures.find_violations(callers.timeline)
        if self.crashes:
            self.findings += self.crashes.find_violations()
            self.check_ids += self.crashes.ids
        self.findings += find_violations(callers.attempts, self.backends, self.check_ids)
        self.succeeded = sum(attempt[4] == 200 for attempt in callers.attempts)
        self.attempted = len(callers.attempts)
        if not self.succeeded:
            self.findings.append("nothing was answered")

    def inject_faults(self, seconds):
        """Begins and ends faults until the time is over, then ends the active ones."""
        end = time.monotonic() + seconds
        active = []
        while time.monotonic() < end:
            name = self.random.choice(sorted(self.fault_table))
            heal = self.fault_table[name](self)
            self.faults.append(name)
            if heal:
                active.append((time.monotonic() + self.random.uniform(*FAULT_S), heal))
            time.sleep(self.random.uniform(*PAUSE_S))
            for fault in [each for each in active if each[0] <= time.monotonic()]:
                active.remove(fault)
                fault[1]()
        for _, heal in active:
            heal()
        for link in self.backend_links + self.store_links:
            link.heal()
        self.store.heal()
        for n, backend in enumerate(self.backends):
            backend.mode = "ok"
            self.register(n)

    def check_recovery(self):
        """Checks that every host serves the newest configuration once all faults are over."""
        self.change_config()
        end = time.monotonic() + RECOVERY_S
        findings = []
        for host in self.hosts:
            status = None
            while status != 200 and time.monotonic() < end:
                status = self.send_check(host, f"/v{self.version}/1", "1")
                time.sleep(0.05)
            if status != 200:
                findings.append(f"{host.name} answers {status} after all faults are over")
        return findings

    def check_drain(self):
        """Checks that a server gets no request once every host knows that it is draining."""
        # A fault may have drained it before: hosts must have seen that it is back.
        for host in self.hosts:
            self.await_listed(host, "i-0", "ready")
        self.register(0, "draining")
        for host in self.hosts:
            self.await_listed(host, "i-0", "draining")
        before = len(self.backends[0].seen)
        for host in self.hosts:
            for key in range(12):
                self.send_check(host, "/x/1", str(key))
        late = [(first, headers.get(REQUEST_ID.lower())) for first, headers, _ in self.backends[0].seen[before:]]
        return [f"{len(late)} requests reached a server that was draining: {late}"] if late else []

    def send_check(self, host, path, key):
        self.check_ids.append(f"check-{len(self.check_ids)}")
        return send(host, "GET", path, b"", self.check_ids[-1], key)[0]

    def await_listed(self, host, name, state):
        """Waits until the host's last log line on the listing of a server says that it is in this state."""
        end = time.monotonic() + RECOVERY_S
        while time.monotonic() < end:
            while not host.lines.empty():
                host.history.append(host.lines.get())
            # Lines on what the server or other hosts say of it do not tell its state in the list.
            about = [line for line in host.history
                     if f"backend server {name} " in line and "limit=" not in line and "is leaving" not in line]
            if about and state in about[-1]:
                return
            time.sleep(0.05)
        self.findings.append(f"{host.name} never listed {name} as {state}")

    def change_config(self):
        self.version += 1
        self.store.put("op", "config", soak_config(self.version))

    def note_disturbance(self, host):
        if self.departures:
            self.departures.disturb(host)

    def restart(self, host, process):
        """Restarts the host once `process` has ended, unless the end of an earlier fault has already done so."""
        if host.process is not process:
            return
        # Another fault may have frozen it since.
        host.process.send_signal(signal.SIGCONT)
        try:
            host.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.findings.append(f"{host.name} did not end within {GRACE_S} s of a stop signal")
            host.process.kill()
            host.process.wait()
        # A caller may send before start() returns.
        self.note_disturbance(host)
        host.start()

    def close(self):
        for host in self.hosts:
            if host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
            host.stop()
        for backend in self.backends:
            backend.close()
        self.store.close()
        self.links.close()

    def logs(self):
        """Writes the hosts' logs to a new folder and returns its path."""
        folder = tempfile.mkdtemp(prefix=f"heather-soak-{self.seed}-")
        for host in self.hosts:
            while not host.lines.empty():
                host.history.append(host.lines.get())
            with open(f"{folder}/{host.name}.log", "w", encoding="utf-8") as file:
                file.writelines(host.history)
        return folder


# Calling a fault begins it; the function that it returns ends it. A seed draws from the sorted names of the faults, so a
# renamed fault may change what every seed does.

def running_host(soak):
    """Returns a random host; None if its process does not run."""
    host = soak.random.choice(soak.hosts)
    return host if host.process.poll() is None else None


def kill_host(soak):
    host = running_host(soak)
    if host is None:
        return None
    process = host.process
    process.send_signal(signal.SIGKILL)
    return lambda: soak.restart(host, process)


def stop_host(soak):
    host = running_host(soak)
    if host is None:
        return None
    process = host.process
    process.send_signal(signal.SIGCONT)
    process.terminate()
    return lambda: soak.restart(host, process)


def freeze_host(soak):
    host = running_host(soak)
    if host is None:
        return None
    host.process.send_signal(signal.SIGSTOP)
    soak.note_disturbance(host)
    return lambda: host.process.poll() is None and host.process.send_signal(signal.SIGCONT)


def handles_reload_signal(process):
    """Whether the program handles or ignores SIGHUP yet; until it does, the signal ends the process."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
            masks = [line.split()[1] for line in file if line.startswith(("SigIgn:", "SigCgt:"))]
    except OSError:
        return False
    return any(int(mask, 16) & (1 << (signal.SIGHUP - 1)) for mask in masks)


def reload_host(soak):
    host = running_host(soak)
    if host is not None and handles_reload_signal(host.process):
        host.process.send_signal(signal.SIGHUP)


def store_down(soak):
    soak.store.down = True
    return soak.store.heal


def store_slow(soak):
    soak.store.delay_s = 0.5
    return soak.store.heal


def store_loses_answers(soak):
    soak.store.lose_write_responses = True
    return soak.store.heal


def store_forgets(soak):
    soak.store.forget_history()


def store_refuses_a_host(soak):
    link = soak.random.choice(soak.store_links)
    link.refused = True
    link.reset()
    return link.heal


def store_cut_one_way(soak):
    link = soak.random.choice(soak.store_links)
    link.cut = soak.random.choice(("up", "down"))
    return link.heal


def store_connections_go_silent(soak):
    soak.random.choice(soak.store_links).stop_forwarding()


def server_cut_one_way(soak):
    link = soak.random.choice(soak.backend_links)
    link.cut = soak.random.choice(("up", "down"))
    return link.heal


def server_far(soak):
    link = soak.random.choice(soak.backend_links)
    link.delay_s = 0.15
    return link.heal


def server_connections_reset(soak):
    soak.random.choice(soak.backend_links).reset()


def server_connections_go_silent(soak):
    soak.random.choice(soak.backend_links).stop_forwarding()


def server_misbehaves(soak):
    backend = soak.random.choice(soak.backends)
    backend.mode = soak.random.choice(SoakBackend.MODES)

    def heal():
        backend.mode = "ok"
    return heal


def server_drains(soak):
    n = soak.random.randrange(BACKENDS)
    soak.register(n, "draining")
    return lambda: soak.register(n)


def server_leaves(soak):
    n = soak.random.randrange(BACKENDS)
    soak.store.delete("servers", f"i-{n}")
    return lambda: soak.register(n)


def change_config(soak):
    soak.change_config()


FAULTS = {
    function.__name__: function
    for function in (
        kill_host, stop_host, freeze_host, reload_host, store_down, store_slow, store_loses_answers, store_forgets,
        store_refuses_a_host, store_cut_one_way, store_connections_go_silent, server_cut_one_way, server_far,
        server_connections_reset, server_connections_go_silent, server_misbehaves, server_drains, server_leaves,
        change_config,
    )
}


def store_restored(soak):
    """The store returns to a copy; the operator and the servers write again what it has lost, a moment later."""
    copy = soak.store.copy()

    def restore():
        soak.store.restore(copy)
        time.sleep(soak.random.uniform(0, 0.5))
        soak.store.put("op", "config", soak_config(soak.version))
        for n in range(len(soak.backends)):
            soak.register(n)
    return restore


CRASH_FAULTS = {"store_restored": store_restored}


def run_seed(seed, seconds, **options):
    """Runs one seed and prints the result; returns whether every invariant held."""
    soak = Soak(seed, **options)
    try:
        soak.run(seconds)
        verdict = "kept" if not soak.findings else "BROKEN"
        print(f"seed {seed}: {verdict}; {soak.succeeded} of {soak.attempted} attempts answered, "
              f"{len(soak.faults)} faults" +
              (f", {len(soak.crashes.times)} servers crashed" if soak.crashes else "") +
              (f", {soak.departures.count} servers left" if soak.departures else ""), flush=True)
        for finding in soak.findings:
            print("  " + finding)
        if soak.findings:
            print(f"  faults: {', '.join(soak.faults)}\n  logs: {soak.logs()}", flush=True)
        return not soak.findings
    finally:
        soak.close()


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, epilog="example: HEATHER_BIN_DIR=build/release/bin python3 soak.py --first 100 --seeds 50")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, one after the other")
    parser.add_argument("--seconds", type=float, default=10, help="how long faults are injected in each run")
    parser.add_argument("--limit", type=float, default=0, help="requests/s that two backend servers accept; 0: no limit")
    parser.add_argument("--crashes", action="store_true",
                        help="restore the store from copies, and send a request that crashes servers")
    parser.add_argument("--departures", action="store_true",
                        help="backend servers leave in turn, say so with their responses, and start again")
    arguments = parser.parse_args()
    broken = [seed for seed in range(arguments.first, arguments.first + arguments.seeds)
              if not run_seed(seed, arguments.seconds, limit_per_s=arguments.limit, crashes=arguments.crashes,
                              departures=arguments.departures)]
    print(f"{arguments.seeds - len(broken)} passed, {len(broken)} failed")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
