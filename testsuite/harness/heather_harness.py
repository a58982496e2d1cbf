"""Runs a small deployment as separate processes, for tests and the demonstration.

A Deployment starts the platform's stand-in, backend servers, entry hosts and planners on loopback addresses, and ends
exactly the processes that it started. Every process says `ready PORT...` on its standard output once it listens.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

READY_TIMEOUT_S = 20
WAIT_TIMEOUT_S = 30
STOP_TIMEOUT_S = 40


class HarnessError(Exception):
    """A process that did not do what was asked of it."""


class Process:
    """One process of the deployment, by name."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        with open(log_path, "a") as log:
            self.popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log, text=True)
        self.ports = self._read_ready()

    def _read_ready(self):
        line = self.popen.stdout.readline()
        words = line.split()
        if not words or words[0] != "ready":
            with open(self.log_path) as log:
                raise HarnessError(f"{self.name} is not ready: '{line.strip()}'\n{log.read()[-2000:]}")
        return [int(word) for word in words[1:]]

    def signal(self, number):
        """Sends a signal if the process still runs."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        """Ends the process at once."""
        self.signal(signal.SIGKILL)
        self.popen.wait()
        self.popen.stdout.close()

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def stop(self):
        """Ends the process gracefully and returns its exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            code = self.popen.wait(timeout=STOP_TIMEOUT_S)
            self.popen.stdout.close()
            return code
        except subprocess.TimeoutExpired:
            self.kill()
            raise HarnessError(f"{self.name} did not stop within {STOP_TIMEOUT_S} s") from None


class SourceConnection(http.client.HTTPConnection):
    """A connection from a given address. The system picks the port when it connects, not when it binds, as bound ports
    run out in a flood: each stays taken for a minute after its connection has ended."""

    # linux/in.h; Python's socket module has no name for it.
    IP_BIND_ADDRESS_NO_PORT = 24

    def __init__(self, address, port, source, timeout):
        super().__init__(address, port, timeout=timeout)
        self.source = source

    def connect(self):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.settimeout(self.timeout)
        if self.source:
            self.sock.setsockopt(socket.IPPROTO_IP, self.IP_BIND_ADDRESS_NO_PORT, 1)
            self.sock.bind((self.source, 0))
        self.sock.connect((self.host, self.port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def http_json(address, port, method, path, body=None, headers=None, source=None, timeout=10):
    """One HTTP request; returns status, headers and the decoded body (text if it is no JSON)."""
    connection = SourceConnection(address, port, source, timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        text = answer.read().decode(errors="replace")
        try:
            return answer.status, dict(answer.getheaders()), json.loads(text)
        except ValueError:
            return answer.status, dict(answer.getheaders()), text
    finally:
        connection.close()


def wait_until(condition, what, timeout=WAIT_TIMEOUT_S):
    """Waits for a condition; the time limit only ends tests that would hang."""
    limit = time.monotonic() + timeout
    while time.monotonic() < limit:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise HarnessError(f"waited {timeout} s in vain: {what}")


class Deployment:
    """The processes of one deployment, in a folder of their own."""

    def __init__(self, bin_dir):
        self.bin_dir = bin_dir
        self.folder = tempfile.mkdtemp(prefix="heatherlever-")
        self.processes = {}
        self.entry_configs = {}
        self.platform = None
        self.host_seed = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        """Ends every process that was started here, frozen ones too."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.kill()

    def program(self, name):
        return os.path.join(self.bin_dir, name)

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w") as file:
            file.write(text)
        return self.path(name)

    def start(self, name, command):
        process = Process(name, command, self.path(name + ".log"))
        self.processes[name] = process
        return process

    def log(self, name):
        with open(self.path(name + ".log")) as file:
            return file.read()

    # Platform and backend servers.

    def start_platform(self, port=0):
        self.platform = self.start(
            "platform", [self.program("heather-standin"), "--role", "platform", "--port", str(port)])
        return self.platform

    @property
    def platform_port(self):
        return self.platform.ports[0]

    def platform_faults(self, **faults):
        status, _, body = http_json("127.0.0.1", self.platform_port, "POST", "/standin/faults", json.dumps(faults))
        if status != 200:
            raise HarnessError(f"platform faults: {status} {body}")

    def platform_stats(self):
        return http_json("127.0.0.1", self.platform_port, "GET", "/standin/stats")[2]

    def deregister(self, name):
        """Takes a dead host off the platform's list, as the platform's own checks would."""
        http_json("127.0.0.1", self.platform_port, "PUT", f"/v1/agent/service/deregister/{name}")

    def start_backends(self, name, count, slots, service_ms=40, port=0, *options):
        return self.start(name, [
            self.program("heather-standin"), "--role", "backend", "--name", name, "--count", str(count), "--slots",
            str(slots), "--service-ms", str(service_ms), "--port", str(port), *options])

    def start_relay(self, name, port):
        """A relay to a port of 127.0.0.1; its ports are the one to connect to and the one for its faults."""
        return self.start(name, [
            self.program("heather-standin"), "--role", "relay", "--listen", "127.0.0.1:0", "--to", f"127.0.0.1:{port}"])

    @staticmethod
    def backend_get(port, path):
        return http_json("127.0.0.1", port, "GET", path)[2]

    @staticmethod
    def backend_faults(port, **faults):
        status, _, body = http_json("127.0.0.1", port, "POST", "/standin/faults", json.dumps(faults))
        if status != 200:
            raise HarnessError(f"backend faults: {status} {body}")

    # Entry hosts and planners.

    def start_entry(self, name, region, domain, address, **settings):
        """Starts an entry host, or the same one again on free ports."""
        if name not in self.entry_configs:
            lines = {
                "name": name, "region": region, "domain": domain, "address": address, "http_port": 0, "peer_port": 0,
                "admin_port": 0, "platform_address": "127.0.0.1", "platform_port": self.platform_port,
                "poll_interval": "200ms", **settings}
            text = "".join(f"{key}: {value}\n" for key, value in lines.items())
            self.entry_configs[name] = self.write(name + ".yaml", text)
        process = self.start(name, [self.program("heather-entry"), "--config", self.entry_configs[name]])
        process.address = address
        process.region = region
        process.domain = domain
        return process

    def start_planner(self, name, **settings):
        lines = {
            "name": name, "platform_address": "127.0.0.1", "platform_port": self.platform_port, "interval": "200ms",
            **settings}
        config = self.write(name + ".yaml", "".join(f"{key}: {value}\n" for key, value in lines.items()))
        return self.start(name, [self.program("heather-planner"), "--config", config])

    def ctl(self, *words):
        """Runs heatherctl; returns exit code, output and error text."""
        done = subprocess.run(
            [self.program("heatherctl"), "--platform", f"127.0.0.1:{self.platform_port}", *words],
            capture_output=True, text=True, timeout=30)
        return done.returncode, done.stdout, done.stderr

    def apply(self, path):
        code, output, error = self.ctl("--json", "apply", path)
        if code != 0:
            raise HarnessError(f"apply: {code} {output} {error}")
        return json.loads(output)["version"]

    def state(self, entry):
        return http_json(entry.address, entry.ports[2], "GET", "/state")[2]

    def wait_ready(self, entries, members, config_version=1):
        """Waits until each entry host has the configuration and an epoch of `members` hosts."""
        def ready():
            states = [self.state(entry) for entry in entries]
            return all(isinstance(state, dict) and state["config_version"] >= config_version and state["members"] == members
                       for state in states)
        wait_until(ready, f"{members} members with version {config_version}")

    def work(self, entry, kind, body="x", key=None, source=None, timeout=20, **headers):
        """One request of a caller."""
        sent = {name.replace("_", "-"): str(value) for name, value in headers.items()}
        if key:
            sent["Idempotency-Key"] = key
        return http_json(
            entry.address, entry.ports[0], "POST", f"/v1/work/{kind}", body, sent, source=source, timeout=timeout)

    def lookup(self, entry, kind, source=None):
        return http_json(entry.address, entry.ports[0], "GET", f"/v1/lookup?kind={kind}", source=source)[2]
