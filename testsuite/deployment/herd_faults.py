"""Faults of many hosts at once, and backend servers that are cold, silent or reject requests meanwhile."""

import asyncio
import signal
import time

import faults

CHOICES = ("one", "zone", "service")
SERVERS_OF_A_SERVICE = 4
# Time after a cold period before the next fault, in which hosts are calm again.
REST_S = 2
FIRST_FAULT_S = 2
HERD_STORE_DOWN_S = 4
SPREAD_AT_STORE_RETURN_S = (-1, 0.5)


def add_options(parser):
    parser.add_argument("--cold", choices=CHOICES,
                        help="servers that become cold together, again and again: one, a zone's, or some of a service")
    parser.add_argument("--silent-s", type=float, default=0, help="time before in which cold servers answer no packets")
    parser.add_argument("--stall-s", type=float, nargs=2, metavar=("FROM", "TO"),
                        help="all hosts stop together, for a time in this range, whenever servers become cold")
    parser.add_argument("--stall-share", type=float, default=1, help="share of the hosts that stop together")
    parser.add_argument("--herd-kill", action="store_true",
                        help=f"all hosts are killed at once, and the store is away for {HERD_STORE_DOWN_S} s")
    parser.add_argument("--reject", type=float, nargs=3, metavar=("SERVERS", "REQUESTS", "SECONDS"),
                        help="a share of the servers rejects a share of its requests, with so much in Retry-After")
    parser.add_argument("--reject-delay-s", type=float, default=0, help="time that a request waits before it is rejected")


class HerdFaults:
    """`single` holds the faults of single hosts, which are recorded there."""

    def __init__(self, options, single, servers, draw):
        self.options, self.single, self.servers, self.draw = options, single, servers, draw
        self.hosts, self.store, self.record = single.hosts, single.store, single.record
        self.tasks = []

    def reject(self):
        share, requests, seconds = self.options.reject
        for server in self.draw.sample(self.servers, round(share * len(self.servers))):
            server.reject, server.reject_delay_s = (requests, seconds), self.options.reject_delay_s

    async def run(self, seconds):
        if self.options.reject:
            self.reject()
        end = time.monotonic() + seconds
        await asyncio.sleep(FIRST_FAULT_S)
        if self.options.herd_kill:
            await self.kill_all()
        while (self.options.cold or self.options.stall_s) and time.monotonic() < end:
            if self.options.stall_s:
                await self.stall()
            else:
                self.make_cold(0)
            await asyncio.sleep(self.servers[0].cold["cold_s"] + REST_S + self.options.silent_s)
        await asyncio.gather(*self.tasks)

    def chosen_servers(self):
        if self.options.cold == "one":
            return [self.draw.choice(self.servers)]
        if self.options.cold == "zone":
            zone = self.draw.choice(sorted({server.zone for server in self.servers}))
            return [server for server in self.servers if server.zone == zone]
        service = self.draw.choice(sorted({server.service for server in self.servers}))
        return self.draw.sample([server for server in self.servers if server.service == service], SERVERS_OF_A_SERVICE)

    def make_cold(self, delay_s):
        if not self.options.cold:
            return
        servers = self.chosen_servers()
        self.record(f"fault: cold {[server.name for server in servers]}")
        self.tasks += [asyncio.create_task(self.make_server_cold(server, delay_s)) for server in servers]

    async def make_server_cold(self, server, delay_s):
        await asyncio.sleep(delay_s)
        await server.become_cold(self.options.silent_s)

    async def stall(self):
        stall_s = self.draw.uniform(*self.options.stall_s)
        hosts = self.draw.sample(self.hosts, round(self.options.stall_share * len(self.hosts)))
        intervals = [[host, time.monotonic(), float("inf")] for host in hosts]
        self.single.stalled += intervals
        self.record(f"fault: stall of {len(hosts)} hosts for {stall_s:.2f} s")
        self.signal(hosts, signal.SIGSTOP)
        self.make_cold(self.draw.uniform(0, stall_s))
        await asyncio.sleep(stall_s)
        self.signal(hosts, signal.SIGCONT)
        for interval in intervals:
            interval[2] = time.monotonic() + faults.CATCH_UP_S

    @staticmethod
    def signal(hosts, number):
        for host in hosts:
            host.signal(number)

    async def kill_all(self):
        self.record("fault: all hosts killed, store down")
        self.store.down = True
        # All have ended before the first is waited for.
        self.signal(self.hosts, signal.SIGKILL)
        self.tasks += [asyncio.create_task(self.single.hit(self.single.kill, host)) for host in self.hosts]
        self.make_cold(HERD_STORE_DOWN_S + self.draw.uniform(*SPREAD_AT_STORE_RETURN_S))
        await asyncio.sleep(HERD_STORE_DOWN_S)
        self.store.down = False
        self.record("fault: store up")
