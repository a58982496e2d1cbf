"""Many callers keep connections open to two entry hosts; one host is lost. Does the other one still take connections?"""

import asyncio
import os
import resource
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from rig3 import *  # pylint: disable=wildcard-import,unused-wildcard-import

CLIENTS = 3200
PAUSE_S = 8  # below four fifths of the idleTimeout of 15 s
GROUP = 100  # clients that share one cached answer of the directory
LEFT_MS = 2500
CONTACT_S = 3
WATCH_S = 24
TRIES = 7


class Client:
    """A client of PROTOCOL.md with one connection. Abandons an attempt that is not answered after a second on a new
    connection, or at its time budget."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.failed = set()

    async def run(self):
        while True:
            choices = [address for address in self.world.addresses[self.number // GROUP] if address not in self.failed]
            if not choices:
                self.failed.clear()
                await asyncio.sleep(0.5)
                continue
            address = random.choice(choices)
            if not await self.use(address):
                self.failed.add(address)
            await asyncio.sleep(0.5)

    async def use(self, address):
        """Returns whether the address took the connection."""
        tried_at, answered = time.monotonic(), False
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
        except (OSError, asyncio.TimeoutError):
            self.world.tries.append((tried_at, address, None))
            return False
        try:
            while True:
                self.world.sent += 1
                name = f"q{self.world.sent}"
                writer.write(request("GET", f"/r/{self.number % 91}", name, LEFT_MS, key=str(self.number % 91)))
                message = await asyncio.wait_for(read_message(reader), LEFT_MS / 1000 if answered else 1)
                if message is None:
                    break
                status = int(message[0].split()[1])
                self.world.answers.append((time.monotonic(), address, status))
                if not answered:
                    self.world.tries.append((tried_at, address, status))
                answered = True
                if message[1].get("connection") == "close":
                    break
                await asyncio.sleep(random.uniform(0.8, 1) * PAUSE_S)
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()
        if not answered:
            self.world.tries.append((tried_at, address, None))
        return answered


class World:
    def __init__(self, hosts):
        self.hosts, self.sent = hosts, 0
        self.tries, self.answers, self.checks = [], [], []
        self.addresses = [[host.front for host in hosts] for _ in range(CLIENTS // GROUP)]

    async def resolve(self, group):
        """Keeps the last answer while no host answers."""
        while True:
            for host in self.hosts:
                try:
                    status, _, body = await asyncio.wait_for(
                        get(*host.address("directory"), f"/heatherlever/resolve?name=a.example&region=viti-central&zone={host.zone}"), 1)
                except (OSError, asyncio.TimeoutError, EOFError):
                    continue
                named = json.loads(body).get("addresses") if status == 200 else None
                if named:
                    self.addresses[group] = [(text.split(":")[0], int(text.split(":")[1])) for text in named]
                    break
            await asyncio.sleep(2)

    async def check(self, host):
        """The platform's check, once a second, on a connection that it keeps."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*host.address("ready"))
                while True:
                    writer.write(b"GET /heatherlever/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    message = await asyncio.wait_for(read_message(reader), 1)
                    if message is None:
                        break
                    self.checks.append((time.monotonic(), host.name, int(message[0].split()[1])))
                    await asyncio.sleep(1)
            except (OSError, asyncio.TimeoutError):
                pass
            self.checks.append((time.monotonic(), host.name, 0))
            await asyncio.sleep(1)


def silent_window(world, host, begin, end):
    """The first CONTACT_S in which the host was ready and TRIES clients or more tried it, of which none was answered."""
    at = begin
    while at + CONTACT_S <= end:
        tries = [status for when, address, status in world.tries if address == host.front and at <= when < at + CONTACT_S]
        ready = [status for when, name, status in world.checks if name == host.name and at - 1 <= when < at + CONTACT_S + 1]
        if len(tries) >= TRIES and not any(tries) and ready and all(status == 200 for status in ready):
            return at, len(tries)
        at += 0.5
    return None


async def run(case):
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard < 10000:
        raise RuntimeError(f"the stand-ins need 10,000 descriptors, the limit is {hard}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 20000), hard))
    await case.start(config(1, {"reads": route("levelview", "/r/")}))
    for number in range(8):
        await Backend(case, f"i-{number}", "levelview", work_s=0.05).open()
    hosts = [Host(case, number, "suva-depot") for number in (1, 2)]
    for host in hosts:
        host.start()
    await case.wait_ready(*hosts)
    world = World(hosts)
    tasks = [asyncio.create_task(world.check(host)) for host in hosts]
    tasks += [asyncio.create_task(world.resolve(group)) for group in range(CLIENTS // GROUP)]
    for number in range(CLIENTS):
        tasks.append(asyncio.create_task(Client(world, number).run()))
        if number % 20 == 19:
            await asyncio.sleep(0.06)
    await asyncio.sleep(PAUSE_S)
    if TROUBLE:
        hosts[1].signal(signal.SIGKILL)
    begin = time.monotonic()
    for _ in range(WATCH_S // 2):
        await asyncio.sleep(2)
        since = time.monotonic() - 2
        for host in hosts:
            tries = [status for when, address, status in world.tries if address == host.front and when >= since]
            statuses = [status for when, address, status in world.answers if address == host.front and when >= since]
            case.record(f"{host.name}, last 2 s: {len(tries)} new connections tried, {sum(map(bool, tries))} answered; "
                        f"answers: {statuses.count(200)} of 200, {statuses.count(503)} of 503, "
                        f"{len(statuses) - statuses.count(200) - statuses.count(503)} others; ready check: "
                        f"{[status for when, name, status in world.checks if name == host.name and when >= since]}")
    end = time.monotonic() - 1.5
    for task in tasks:
        task.cancel()
    window = silent_window(world, hosts[0], begin + CONTACT_S, end)
    if window is not None:
        case.record(f"from {window[0] - case.record.start:.1f} s on, for {CONTACT_S} s, {hosts[0].name} said that it is ready and "
                    f"answered none of {window[1]} new connections")
    return window is not None


main(run)
