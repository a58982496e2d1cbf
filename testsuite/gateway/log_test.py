"""Hosts write their log lines to an output that is shared, full or limited."""

import fcntl
import os
import resource
import select
import signal
import subprocess
import tempfile
import time
import unittest

from gateway_harness import PROGRAM, GatewayTestCase, Host

# More than enough for every limit of a host to pass, so that a process that waits for a reader is noticed.
TIMEOUT_S = 30
FILE_LIMIT_BYTES = 400
READY_PATH = "/heatherlever/ready"


class OutputHost(Host):
    """A host whose standard output and error are a given descriptor."""

    def __init__(self, output, *arguments, file_limit=None, closed=(), **options):
        self.output = output
        self.closed = closed
        self.file_limit = file_limit
        super().__init__(*arguments, **options)

    def start(self):
        def limit():
            if self.file_limit is not None:
                resource.setrlimit(resource.RLIMIT_FSIZE, (self.file_limit, self.file_limit))
            for descriptor in self.closed:
                os.close(descriptor)

        self.process = subprocess.Popen(self.arguments, stdout=self.output, stderr=self.output, preexec_fn=limit)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.file.close()


def handles(status, number):
    """Whether a process, named by its status file, has a handler for the signal."""
    with open(status, encoding="ascii") as file:
        caught = next(line.split()[1] for line in file if line.startswith("SigCgt"))
    return bool(int(caught, 16) & 1 << (number - 1))


class LogTestCase(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.backend("i-1")

    def pipe(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        return reader, writer

    def output_host(self, output, name="h1", **options):
        host = OutputHost(output, name, self.store.port, **options)
        self.addCleanup(host.stop)
        wait_until(lambda: host.get(host.ready_port, READY_PATH)[0] == 200, TIMEOUT_S)
        wait_until(lambda: host.request("/x/1")[0] == 200, TIMEOUT_S)
        return host

    def read_until(self, reader, text):
        output = b""
        while text not in output:
            ready, _, _ = select.select([reader], [], [], TIMEOUT_S)
            self.assertTrue(ready, f"never wrote {text}")
            output += os.read(reader, 65536)

    # The event loop's own descriptors took the place of the closed ones, and the log was written into them.
    def test_closed_standard_streams_are_no_other_descriptors(self):
        host = self.output_host(subprocess.DEVNULL, closed=(0, 1, 2))
        for descriptor in (0, 1, 2):
            self.assertEqual(os.readlink(f"/proc/{host.process.pid}/fd/{descriptor}"), "/dev/null")

    # A stopping host changed the flags of the pipe for all that write into it, and the others waited for its reader.
    def test_hosts_that_share_a_full_pipe_answer_while_one_of_them_stops(self):
        _, writer = self.pipe()
        hosts = [self.output_host(writer, name) for name in ("h1", "h2", "h3")]
        fill(writer)
        hosts[0].process.send_signal(signal.SIGTERM)
        self.assertEqual(hosts[0].process.wait(timeout=TIMEOUT_S), 0)
        for number in range(30):
            for host in hosts[1:]:
                self.assertEqual(host.request(f"/x/{number}")[0], 200)
            # Lines are written together every 0.2 s.
            time.sleep(0.05)
        for host in hosts[1:]:
            host.process.send_signal(signal.SIGTERM)
        for host in hosts[1:]:
            self.assertEqual(host.process.wait(timeout=TIMEOUT_S), 0)

    def test_a_host_leaves_the_flags_of_its_output_as_they_are(self):
        for flag in (0, os.O_NONBLOCK):
            with self.subTest(flag=flag):
                reader, writer = self.pipe()
                flags = fcntl.fcntl(writer, fcntl.F_GETFL) | flag
                fcntl.fcntl(writer, fcntl.F_SETFL, flags)
                host = self.output_host(writer)
                self.assertEqual(fcntl.fcntl(writer, fcntl.F_GETFL), flags)
                host.process.send_signal(signal.SIGTERM)
                self.assertEqual(host.process.wait(timeout=TIMEOUT_S), 0)
                self.assertEqual(fcntl.fcntl(writer, fcntl.F_GETFL), flags)
                self.read_until(reader, b"stopped: 0 requests active")

    # Another process in the same pipe, such as an older build, may set the flag at any time.
    def test_lines_arrive_after_another_process_makes_the_full_pipe_nonblocking(self):
        reader, writer = self.pipe()
        host = self.output_host(writer)
        fill(writer)
        fcntl.fcntl(writer, fcntl.F_SETFL, fcntl.fcntl(writer, fcntl.F_GETFL) | os.O_NONBLOCK)
        self.assertEqual(host.request("/x/last", request_id="last")[0], 200)
        self.read_until(reader, b"request id=last ")

    def start_with_unusable_settings(self, *more):
        """Starts a process with an output that nobody reads."""
        _, writer = self.pipe()
        fill(writer)
        settings = tempfile.NamedTemporaryFile("w", suffix=".json")
        self.addCleanup(settings.close)
        settings.write("{}")
        settings.flush()
        process = subprocess.Popen([PROGRAM, "--settings", settings.name, *more], stdout=writer, stderr=writer)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_a_failed_check_ends_although_nobody_reads_its_message(self):
        process = self.start_with_unusable_settings("--check")
        self.assertEqual(process.wait(timeout=TIMEOUT_S), 2)

    def test_a_host_that_waits_for_settings_stops_although_nobody_reads_its_message(self):
        process = self.start_with_unusable_settings()
        status = f"/proc/{process.pid}/status"
        wait_until(lambda: handles(status, signal.SIGTERM), TIMEOUT_S)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(timeout=TIMEOUT_S), 0)

    # A log file at the limit of its size ended the process by SIGXFSZ.
    def test_a_host_goes_on_when_its_log_file_may_not_grow(self):
        with tempfile.NamedTemporaryFile() as log:
            host = self.output_host(log.fileno(), file_limit=FILE_LIMIT_BYTES)
            for number in range(10):
                self.assertEqual(host.request(f"/x/{number}")[0], 200)
                # Lines are written together every 0.2 s.
                time.sleep(0.05)
            wait_until(lambda: host.metric("heather_log_lines_dropped_total") > 0, TIMEOUT_S)
            self.assertEqual(os.path.getsize(log.name), FILE_LIMIT_BYTES)
            host.process.send_signal(signal.SIGTERM)
            self.assertEqual(host.process.wait(timeout=TIMEOUT_S), 0)


def wait_until(condition, timeout_s):
    """The time limit only ends a test that would hang."""
    end = time.monotonic() + timeout_s
    while True:
        try:
            if condition():
                return
        except OSError:
            pass
        if time.monotonic() > end:
            raise AssertionError("waited in vain")
        time.sleep(0.05)


def fill(writer):
    """Fills a pipe through a description of its own, which leaves the flags of the shared one as they are."""
    own = os.open(f"/proc/self/fd/{writer}", os.O_WRONLY | os.O_NONBLOCK)
    try:
        for size in (4096, 1):
            try:
                while True:
                    os.write(own, b"x" * size)
            except BlockingIOError:
                pass
    finally:
        os.close(own)


if __name__ == "__main__":
    unittest.main()
