"""Small stand-ins for parts of the users' platform: its store and its backend servers."""

import base64
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

REQUEST_ID = "Heatherlever-Request-Id"
SEAL = "Heatherlever-Response-Seal"
NOT_EXECUTED = "Heatherlever-Not-Executed"
LEAVING = "Server-Leaving: 1\r\n"
HEALTH_PATH = "/health"
TARGET = "Heatherlever-Target-Instance"
DEADLINE = "Heatherlever-Deadline-Remaining"


class Store:
    """The store's rows, served over HTTP as PROTOCOL.md says. `down` makes it
    respond with 503; `reads` counts reads by table. `open_port()` opens a further port
    to the same rows, at which requests can be refused separately, and at which the rows
    of the servers named in `addresses` (id -> "ip:port") show these addresses. `copy()`
    returns a copy of the rows for `restore()`, which begins a new timeline."""

    def __init__(self):
        self.condition = threading.Condition()
        self.rows = {}
        self.removed = {}
        self.version = 0
        self.down = False
        self.timeline = 0
        self.reads = {}
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                store.on_get(self)

            def do_POST(self):
                store.on_post(self)

        self.handler = Handler
        self.servers = []
        self.refused_ports = set()
        self.addresses = {}
        self.port = self.open_port()

    def open_port(self, addresses=None):
        server = ThreadingHTTPServer(("127.0.0.1", 0), self.handler)
        server.daemon_threads = True
        self.servers.append(server)
        self.addresses[server.server_address[1]] = addresses or {}
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server.server_address[1]

    def refuse(self, port, refused=True):
        """Responds with 429 at a port and ends the long polls that are pending there."""
        with self.condition:
            (self.refused_ports.add if refused else self.refused_ports.discard)(port)
            self.condition.notify_all()

    def reject_refused(self, handler):
        if handler.server.server_address[1] not in self.refused_ports:
            return False
        self.respond(handler, 429, {})
        return True

    def close(self):
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def value(self, table, key):
        with self.condition:
            return json.loads(base64.b64decode(self.rows[(table, key)][0]))

    def copy(self):
        with self.condition:
            return dict(self.rows), dict(self.removed), self.version

    def restore(self, copy):
        """Returns to a copy; all that was written since is lost, and its versions are given out again."""
        with self.condition:
            self.rows, self.removed, self.version = dict(copy[0]), dict(copy[1]), copy[2]
            self.timeline += 1
            self.condition.notify_all()

    def put(self, table, key, value):
        with self.condition:
            self.version += 1
            text = value if isinstance(value, bytes) else json.dumps(value).encode()
            self.rows[(table, key)] = (base64.b64encode(text).decode(), self.version)
            self.removed.pop((table, key), None)
            self.condition.notify_all()

    def delete(self, table, key):
        with self.condition:
            self.version += 1
            self.rows.pop((table, key), None)
            self.removed[(table, key)] = self.version
            self.condition.notify_all()

    def respond(self, handler, status, body):
        text = json.dumps(body).encode()
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(text)))
        handler.send_header("Store-Era", str(self.timeline))
        handler.end_headers()
        try:
            handler.wfile.write(text)
        except OSError:
            handler.close_connection = True  # The entry host has disconnected meanwhile.

    def on_get(self, handler):
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if self.reject_refused(handler):
            return
        if self.down:
            self.respond(handler, 503, {})
            return
        with self.condition:
            self.reads[query["table"]] = self.reads.get(query["table"], 0) + 1
            self.condition.notify_all()
            port = handler.server.server_address[1]
            if url.path == "/heatherlever/rows-get":
                rows = self.changed_rows(query["table"], 0)
            else:
                after = int(query["after"])
                timeline = self.timeline
                self.await_change(query["table"], after, int(query["waitMs"]) / 1000, port)
                if self.reject_refused(handler):
                    return
                if after > self.version or timeline != self.timeline:
                    self.respond(handler, 410, {})
                    return
                rows = self.changed_rows(query["table"], after) + self.removed_rows(query["table"], after)
            rows = [self.row_at(port, row) for row in rows]
            body = {"rows": rows, "hasMore": False, "objectVersion": self.version, "now": "1ms"}
        self.respond(handler, 200, body)

    def row_at(self, port, row):
        """Returns a row as it is shown at a port."""
        address = self.addresses[port].get(row["key"])
        if row["table"] != "servers" or "value" not in row or address is None:
            return row
        value = json.loads(base64.b64decode(row["value"]))
        value["address"] = address
        return {**row, "value": base64.b64encode(json.dumps(value).encode()).decode()}

    def changed_rows(self, table, after):
        return [
            {"table": table, "part": "", "key": key, "value": value, "objectVersion": version}
            for (of, key), (value, version) in sorted(self.rows.items())
            if of == table and version > after
        ]

    def removed_rows(self, table, after):
        return [
            {"table": table, "part": "", "key": key, "objectVersion": version, "removed": True}
            for (of, key), version in self.removed.items()
            if of == table and version > after
        ]

    def await_change(self, table, after, wait_s, port):
        end = time.monotonic() + wait_s
        timeline = self.timeline
        while (port not in self.refused_ports and timeline == self.timeline and after <= self.version
               and not self.changed_rows(table, after) and not self.removed_rows(table, after)):
            left = end - time.monotonic()
            if left <= 0:
                return
            self.condition.wait(left)

    def on_post(self, handler):
        body = json.loads(handler.rfile.read(int(handler.headers["Content-Length"])))
        if self.reject_refused(handler):
            return
        if self.down:
            self.respond(handler, 503, {})
            return
        for row in body["puts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        self.respond(handler, 200, {"objectVersion": self.version, "now": "1ms"})


class Link:
    """Forwards connections to a port of this machine. Subclasses decide in `pass_on` what passes."""

    CHUNK_BYTES = 65536

    def __init__(self, target_port):
        self.target_port = target_port
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        # A blocked accept() returns only after a shutdown.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def accept(self):
        while True:
            try:
                client = self.listener.accept()[0]
            except OSError:
                return
            try:
                server = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                client.close()
                continue
            # Small buffers, so that few bytes are in flight when the client ends the connection.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            threading.Thread(target=self.serve, args=(client, server), daemon=True).start()

    def serve(self, client, server):
        with client, server:
            requests = threading.Thread(target=self.pump, args=(client, server, client, False), daemon=True)
            requests.start()
            self.pump(server, client, client, True)
            requests.join()

    def pump(self, source, sink, client, is_response):
        try:
            while data := source.recv(self.chunk_bytes(is_response)):
                if self.pass_on(data, client, is_response):
                    sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def chunk_bytes(self, is_response):
        return self.CHUNK_BYTES

    def pass_on(self, data, client, is_response):
        """Returns whether the data passes. `client` identifies the connection."""
        return True


class PacedLink(Link):
    """All responses together pass at `bytes_per_s`. `passed` counts their bytes."""

    PIECE_S = 0.02

    def __init__(self, target_port, bytes_per_s):
        self.piece = int(bytes_per_s * self.PIECE_S)
        self.passed = 0
        self.turn = threading.Lock()
        super().__init__(target_port)

    def chunk_bytes(self, is_response):
        return self.piece if is_response else self.CHUNK_BYTES

    def pass_on(self, data, client, is_response):
        if is_response:
            with self.turn:
                time.sleep(self.PIECE_S)
                self.passed += len(data)
        return True


class SilentLink(Link):
    """`silence(only)` makes open connections pass nothing from then on, without ending them; new ones work. With `only`,
    just those whose last request contains these bytes. While `mute` is set, no connection passes anything.
    `end_on_request()` makes open connections end with their next request."""

    def __init__(self, target_port):
        self.last_requests = {}
        self.silent = set()
        self.mute = False
        self.ending = set()
        super().__init__(target_port)

    def silence(self, only=b""):
        """Returns the number of connections that went silent."""
        chosen = {client for client, request in list(self.last_requests.items()) if only in request}
        self.silent |= chosen
        return len(chosen)

    def end_on_request(self):
        self.ending = set(self.last_requests)

    def pending(self, request):
        return any(request in last for client, last in list(self.last_requests.items()) if client not in self.silent)

    def serve(self, client, server):
        super().serve(client, server)
        self.last_requests.pop(client, None)

    def pass_on(self, data, client, is_response):
        if not is_response:
            if client in self.ending:
                raise OSError("the connection ends")
            self.last_requests[client] = data
        return client not in self.silent and not self.mute


class Backend:
    """A backend server. `behave(request, connection)` returns the bytes of the
    response, or None to close the connection without one. `runs` lists the ids of
    the requests that it has run; `seen` holds all requests but status checks as (request line,
    headers, body). `extra` is a text of header lines for all responses of `succeed`."""

    def __init__(self, name, behave=None):
        self.name = name
        self.behave = behave or self.succeed
        self.extra = ""
        self.condition = threading.Condition()
        self.runs = []
        self.seen = []
        self.closed_by_peer = 0
        self.connections = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def crash(self):
        """Stops accepting, and ends all connections without a response."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.end_connections()

    def end_connections(self):
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The entry host has closed it.

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        self.connections.add(connection)
        try:
            self.serve_requests(connection)
        finally:
            self.connections.discard(connection)

    def serve_requests(self, connection):
        with connection, connection.makefile("rb") as stream:
            while True:
                request = read_message(stream)
                if request is None:
                    return
                response = self.respond(request, connection)
                if response is None:
                    return
                try:
                    connection.sendall(response)
                except OSError:
                    return

    def respond(self, request, connection):
        if request[0].startswith(f"GET {HEALTH_PATH} "):
            return self.check_health()
        with self.condition:
            self.seen.append(request)
            self.condition.notify_all()
        return self.behave(request, connection)

    def check_health(self):
        return b"HTTP/1.1 200 OK\r\nHeatherlever-Instance-Id: " + self.name.encode() + b"\r\nContent-Length: 0\r\n\r\n"

    def run(self, request):
        with self.condition:
            self.runs.append(request[1].get(REQUEST_ID.lower()))
            self.condition.notify_all()

    def succeed(self, request, connection):
        self.run(request)
        return make_response(request, b"from " + self.name.encode(), extra=self.extra)

    def shed(self, request, connection):
        return identified(b"HTTP/1.1 503 Service Unavailable\r\n" + NOT_EXECUTED.encode() + b": 1\r\nContent-Length: 0\r\n\r\n", request)

    def run_and_close(self, request, connection):
        self.run(request)
        return None

    def wait_for(self, predicate, timeout_s=20):
        with self.condition:
            if not self.condition.wait_for(predicate, timeout_s):
                raise AssertionError(f"{self.name}: the awaited state was not reached within {timeout_s} s")

    def row(self, domain="d-a", state="ready", slots=3, sequence=1):
        return {
            "service": "s", "address": f"127.0.0.1:{self.port}", "zone": domain, "version": "v1",
            "slots": slots, "state": state, "coldRemaining": "0ms", "sequence": sequence, "born": 1,
        }


def identified(response, request):
    """Returns a response with the id of its request, if that has one."""
    request_id = request[1].get(REQUEST_ID.lower())
    return response if request_id is None else response.replace(b"\r\n", f"\r\n{REQUEST_ID}: {request_id}\r\n".encode(), 1)


def make_response(request, body, status="200 OK", request_id=None, extra=""):
    head = f"HTTP/1.1 {status}\r\n{REQUEST_ID}: {request_id or request[1].get(REQUEST_ID.lower())}\r\n"
    head += f"{SEAL}: sealed\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


def read_message(stream):
    """Returns (first line, headers by lower-case name, body), or None at the end of the stream."""
    try:
        first = stream.readline().decode().strip()
        if not first:
            return None
        headers = {}
        while True:
            line = stream.readline().decode()
            if not line:
                return None
            if not line.strip():
                break
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        return first, headers, body
    except OSError:
        return None
