"""Pauses entry hosts as a machine that stands still does: their sockets go on taking bytes, and nothing reads them."""

import contextlib
import signal
import time


def is_stopped(process):
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        return file.read().rpartition(")")[2].split()[0] == "T"


def pause(hosts):
    for host in hosts:
        host.process.send_signal(signal.SIGSTOP)
    for host in hosts:
        while not is_stopped(host.process):
            time.sleep(0.001)


def resume(hosts):
    for host in hosts:
        host.process.send_signal(signal.SIGCONT)


@contextlib.contextmanager
def paused(*hosts, seconds=0):
    """Resumes the hosts at the end, once they have been paused for `seconds`."""
    pause(hosts)
    end = time.monotonic() + seconds
    try:
        yield
        time.sleep(max(0, end - time.monotonic()))
    finally:
        resume(hosts)
