"""Faults of hosts and of the store, drawn from a seed, while a deployment is under load."""

import asyncio
import signal
import time

RESTART_DELAY_S = 0.5
READY_TIMEOUT_S = 20
# A supervisor's own grace, that of the settings; what a busy machine may add to it without a supervisor.
GRACE_S = 6
STOP_SLACK_S = 2
MEAN_INTERVAL_S = 0.4
PAUSE_S = (1, 3)
STORE_DOWN_S = (1, 4)
# Time in which a host that ran again has read what came meanwhile.
CATCH_UP_S = 1


class Faults:
    def __init__(self, hosts, store, record, draw):
        self.hosts, self.store, self.record, self.draw = hosts, store, record, draw
        self.busy = set()
        self.store_busy = False
        # (host, begin, end) of kills and pauses, and of stops and starts.
        self.harmed, self.stopped = [], []
        # Of stalls of the machine that all hosts run on, which excuse unanswered requests but no rule on sums.
        self.stalled = []
        self.bad = []

    async def run(self, seconds):
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            await asyncio.sleep(self.draw.expovariate(1 / MEAN_INTERVAL_S))
            fault = self.draw.choice(
                [self.terminate, self.supervise, self.kill, self.hang_up, self.pause, self.break_store])
            tasks.append(asyncio.create_task(self.apply(fault)))
        await asyncio.gather(*tasks)

    async def hit_all(self, name, delay_s):
        """Applies a fault to all hosts at once."""
        await asyncio.sleep(delay_s)
        fault = getattr(self, name)
        await asyncio.gather(*(self.hit(fault, host) for host in self.hosts if host not in self.busy))

    async def apply(self, fault):
        if fault == self.break_store:
            await fault()
            return
        free = [host for host in self.hosts if host not in self.busy and host.process.poll() is None]
        # A third of the hosts stays, as callers need some.
        if 3 * len(free) <= len(self.hosts):
            return
        await self.hit(fault, self.draw.choice(free))

    async def hit(self, fault, host):
        self.busy.add(host)
        self.record(f"fault: {fault.__name__} {host.name}")
        try:
            await fault(host)
        finally:
            self.busy.discard(host)

    async def terminate(self, host):
        await self.stop(host, GRACE_S + STOP_SLACK_S)

    async def supervise(self, host):
        await self.stop(host, GRACE_S)

    async def stop(self, host, grace_s):
        begin = time.monotonic()
        interval = [host, begin, float("inf")]
        self.stopped.append(interval)
        host.expected_end = True
        host.signal(signal.SIGTERM)
        while host.process.poll() is None and time.monotonic() < begin + grace_s:
            await asyncio.sleep(0.01)
        if host.process.poll() != 0:
            self.bad.append((host.name, host.process.poll(), round(time.monotonic() - begin, 2)))
            self.record(f"bad stop of {host.name}: {host.process.poll()}")
            host.stop()
        await self.restart(host)
        interval[2] = time.monotonic()

    async def kill(self, host):
        interval = [host, time.monotonic(), float("inf")]
        self.harmed.append(interval)
        host.expected_end = True
        host.stop()
        await self.restart(host)
        interval[2] = time.monotonic()

    async def hang_up(self, host):
        host.signal(signal.SIGHUP)

    async def pause(self, host):
        interval = [host, time.monotonic(), float("inf")]
        self.harmed.append(interval)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self.draw.uniform(*PAUSE_S))
        host.signal(signal.SIGCONT)
        interval[2] = time.monotonic() + CATCH_UP_S

    async def break_store(self):
        if self.store_busy:
            return
        self.store_busy = True
        self.record("fault: store down")
        await asyncio.to_thread(self.store.set_down, True)
        await asyncio.sleep(self.draw.uniform(*STORE_DOWN_S))
        await asyncio.to_thread(self.store.set_down, False)
        self.record("fault: store up")
        self.store_busy = False

    async def restart(self, host):
        await asyncio.sleep(RESTART_DELAY_S)
        host.start()
        host.expected_end = False
        end = time.monotonic() + READY_TIMEOUT_S
        while not await asyncio.to_thread(host.is_ready):
            if host.process.poll() is not None:
                return
            if time.monotonic() > end:
                self.bad.append((host.name, "not ready", READY_TIMEOUT_S))
                return
            await asyncio.sleep(0.05)

    @staticmethod
    def overlaps(intervals, attempt):
        return any(host is attempt.host and begin <= attempt.end and attempt.begin <= end
                   for host, begin, end in intervals)

    def excused(self, attempt):
        return self.overlaps(self.harmed + self.stalled, attempt)

    def stopping(self, attempt):
        return self.overlaps(self.stopped, attempt)
