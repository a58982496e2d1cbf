"""Starts heather-platform-entry processes on loopback, with a stand-in store and stand-in backend servers."""

import fcntl
import http.client
import json
import os
import queue
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest

from standins import DEADLINE, REQUEST_ID, Backend, Store

PROGRAM = os.path.join(os.environ["HEATHER_BIN_DIR"], "heather-platform-entry")
START_TIMEOUT_S = 30


# Below the kernel's ephemeral ports: an outgoing connection could otherwise take a host's port while it restarts.
FIRST_PORT, LAST_PORT = 10000, 32000
# Holds the port that was returned last, shared by all tests on this machine.
PORTS_FILE = os.path.join(tempfile.gettempdir(), "heather-test-ports")


def free_ports(count):
    """Returns free ports. All processes take them in turn from one sequence, so that concurrent tests, and hosts that
    have not bound their ports yet, get different ones."""
    with open(PORTS_FILE, "a+", encoding="ascii") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        file.seek(0)
        port = int(file.read() or FIRST_PORT)
        ports = []
        while len(ports) < count:
            port = FIRST_PORT if port >= LAST_PORT else port + 1
            if is_free(port):
                ports.append(port)
        file.truncate(0)
        file.write(str(port))
    return ports


def is_free(port):
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


class Host:
    """One entry host process. `await_log(text)` waits for a log line that contains the text and returns it."""

    def __init__(self, name, store_port, domain="d-a", address="127.0.0.1", seeds=(), bounds=None, rules=None,
                 first_start=False, program=None):
        self.name = name
        self.caller_port, self.ready_port, self.directory_port, self.control_port, self.internal_port, self.metrics_port = (
            free_ports(6))
        self.settings = {
            "nodeName": name, "ip": address, "zone": domain, "region": "r-" + domain[0],
            "zones": {"d-a": "r-d", "d-b": "r-d", "e-a": "r-e"},
            "listen": {
                "front": f"127.0.0.1:{self.caller_port}", "ready": f"127.0.0.1:{self.ready_port}",
                "directory": f"127.0.0.1:{self.directory_port}", "control": f"{address}:{self.control_port}",
            },
            "seeds": [f"{seed.settings['ip']}:{seed.control_port}" for seed in seeds],
            "internalPorts": [self.internal_port, self.internal_port],
            "bounds": {"grace": "6s", "ttl_max": "5s", "budgetRatio": 0.2, "budgetWindow": "10s", "budgetExtra": 100, **(bounds or {})},
            "platform": {"address": f"127.0.0.1:{store_port}"},
            "bootstrap": first_start,
        }
        self.file = tempfile.NamedTemporaryFile("w", suffix=".json")
        self.write_settings()
        self.arguments = [program or PROGRAM, "--settings", self.file.name, "--metrics-port", str(self.metrics_port)]
        if rules is not None:
            self.arguments += ["--rules", rules]
        self.lines = queue.Queue()
        self.history = []
        self.start()

    def start(self):
        """Starts the process, or restarts it after it has ended."""
        self.process = subprocess.Popen(self.arguments, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        self.reader = threading.Thread(target=self.read_log, args=(self.process.stdout,), daemon=True)
        self.reader.start()

    def kill(self):
        """Ends the process and forgets what it wrote."""
        self.process.kill()
        self.process.wait()
        self.reader.join()
        self.process.stdout.close()
        self.lines = queue.Queue()
        self.history = []

    def write_settings(self):
        self.file.seek(0)
        self.file.truncate()
        json.dump(self.settings, self.file)
        self.file.flush()

    def read_log(self, output):
        for line in output:
            self.lines.put(line)

    def await_log(self, text, timeout_s=START_TIMEOUT_S):
        for line in self.history:
            if text in line:
                return line
        return self.await_new_log(text, timeout_s)

    def await_new_log(self, text, timeout_s=START_TIMEOUT_S):
        """Ignores the lines that earlier calls have seen."""
        end = time.monotonic() + timeout_s
        while True:
            try:
                line = self.lines.get(timeout=max(0, end - time.monotonic()))
            except queue.Empty:
                raise AssertionError(f"{self.name} never wrote '{text}'; it wrote:\n{''.join(self.history)}") from None
            self.history.append(line)
            if text in line:
                return line

    def connect(self):
        return http.client.HTTPConnection("127.0.0.1", self.caller_port, timeout=START_TIMEOUT_S)

    def request(self, path="/x/1", method="GET", body=None, request_id="id-1", key="7", deadline_ms=10000, connection=None):
        """Sends a request and returns (status, headers, body)."""
        used = connection or self.connect()
        headers = {REQUEST_ID: request_id, DEADLINE: str(deadline_ms), "Host": "a.example"}
        if key is not None:
            headers["Heatherlever-Affinity-Key"] = key
        used.request(method, path, body=body, headers=headers)
        response = used.getresponse()
        result = (response.status, response.headers, response.read())
        if connection is None:
            used.close()
        return result

    def get(self, port, path, address="127.0.0.1"):
        connection = http.client.HTTPConnection(address, port, timeout=START_TIMEOUT_S)
        connection.request("GET", path)
        response = connection.getresponse()
        result = (response.status, response.read())
        connection.close()
        return result

    def metric(self, name):
        text = self.get(self.metrics_port, "/metrics")[1].decode()
        return float(next(line.split()[1] for line in text.splitlines() if line.startswith(name + " ")))

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.process.stdout.close()
        self.file.close()


def route(kind="idempotent", prefix="/x/", **more):
    entry = {
        "host": "a.example", "prefix": prefix, "kind": kind, "timeout": "8000ms", "targetLatency": "4000ms",
        "priority": 1, "service": "s", "maxAttempts": 2, "sticky": True, "homeRegions": [],
    }
    entry.update(more)
    return entry


def config(version=1, **routes):
    return {
        "version": version,
        "routes": routes or {"read": route(), "write": route("non_idempotent", "/w/")},
        "services": {
            name: {"healthPath": "/health", "maxConnections": 100, "coldStart": "3s", "coldPerS": 10}
            for name in ("s", "t")
        },
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
    }


class GatewayTestCase(unittest.TestCase):
    """Starts a store with one configuration; stops everything that a test has started."""

    def setUp(self):
        self.store = Store()
        self.addCleanup(self.store.close)
        self.store.put("op", "config", config())

    def backend(self, name, behave=None, **row):
        backend = Backend(name)
        if behave is not None:
            backend.behave = getattr(backend, behave) if isinstance(behave, str) else behave
        self.addCleanup(backend.close)
        self.store.put("servers", name, backend.row(**row))
        return backend

    def host(self, name="h1", store_port=None, **options):
        host = Host(name, store_port or self.store.port, **options)
        self.addCleanup(host.stop)
        return host

    def started_host(self, name="h1", **options):
        host = self.host(name, **options)
        host.await_log("in force")
        return host

    def started_with(self, *servers):
        """Starts a host and waits until it knows these servers."""
        host = self.started_host()
        for server in servers:
            host.await_log(f"backend server {server} ")
        return host
