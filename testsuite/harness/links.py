"""Loopback links with faults: delay, reset, one-way cut, refusal, and connections that stay unresponsive."""

import asyncio
import socket
import threading


class LinkSet:
    """Runs the event loop of the links on a separate thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.links = []

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def link(self, target_port):
        link = Link(target_port)
        self.call(link.open())
        self.links.append(link)
        return link

    def close(self):
        self.call(self.cancel_all())
        for link in self.links:
            self.call(link.close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    async def cancel_all(self):
        # Streams report that their tasks were cancelled, which is expected here.
        self.loop.set_exception_handler(lambda loop, context: None)
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


class Link:
    """Forwards bytes between clients of `port` and a port of this machine. `cut` is the direction ("up" or "down") in
    which bytes are dropped; `delay_s` delays each piece; `refused` accepts new connections and resets them, while
    `refuse()` makes connect() fail and `hang()` makes it wait. `replaced` maps bytes to others of the same length that
    clients receive in their place, where a piece holds all of them."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.cut = None
        self.delay_s = 0
        self.refused = False
        self.replaced = {}
        self.server = None
        self.full_queue = []
        self.ends = set()
        self.unresponsive = set()

    async def open(self):
        self.loop = asyncio.get_running_loop()
        # Holds the port while nothing listens there.
        self.holder = socket.socket()
        self.holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.holder.bind(("127.0.0.1", 0))
        self.port = self.holder.getsockname()[1]
        await self.listen("accept")

    async def listen(self, mode):
        if self.server:
            self.server.close()
        for end in self.full_queue:
            end.close()
        self.server, self.full_queue = None, []
        if mode == "accept":
            self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, reuse_port=True)
        elif mode == "hang":
            # Linux drops connection requests while the queue is full; with a backlog of 0 one connection fills it.
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listener.bind(("127.0.0.1", self.port))
            listener.listen(0)
            self.full_queue = [listener, socket.create_connection(("127.0.0.1", self.port))]

    async def close(self):
        await self.listen("refuse")
        for end in self.ends:
            end.abort()
        self.holder.close()

    def listen_now(self, mode):
        asyncio.run_coroutine_threadsafe(self.listen(mode), self.loop).result()

    def refuse(self):
        """New connections fail with ECONNREFUSED; open ones go on."""
        self.listen_now("refuse")

    def hang(self):
        """New connections are not established; open ones go on."""
        self.listen_now("hang")

    def heal(self):
        self.cut = None
        self.delay_s = 0
        self.refused = False
        if not self.server:
            self.listen_now("accept")

    def reset(self):
        """Resets every open connection."""
        for end in list(self.ends):
            self.loop.call_soon_threadsafe(end.abort)

    def stop_forwarding(self):
        """Drops all further bytes on the connections that are open now."""
        self.unresponsive |= self.ends

    async def serve(self, reader, writer):
        if self.refused:
            writer.transport.abort()
            return
        self.ends.add(writer.transport)
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            self.ends.discard(writer.transport)
            writer.transport.abort()
            return
        ends = {writer.transport, up_writer.transport}
        self.ends |= ends
        await asyncio.gather(self.pump(reader, up_writer, "up"), self.pump(up_reader, writer, "down"))
        self.ends -= ends
        self.unresponsive -= ends

    async def pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.cut == direction or writer.transport in self.unresponsive:
                    continue
                if direction == "down":
                    for original, replacement in self.replaced.items():
                        data = data.replace(original, replacement)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        # The end of an unresponsive or cut connection is not forwarded either.
        if self.cut != direction and writer.transport not in self.unresponsive:
            writer.close()


class CutLinks:
    """Links to backend servers that are cut together; `ports` maps the servers' ids to their ports."""

    def __init__(self, link_set, ports):
        self.by_id = {name: link_set.link(port) for name, port in ports.items()}
        self.addresses = {name: f"127.0.0.1:{link.port}" for name, link in self.by_id.items()}

    def each(self, *methods):
        for method in methods:
            for link in self.by_id.values():
                getattr(link, method)()

    def refuse_and_reset(self):
        self.each("refuse", "reset")

    def refuse_new(self):
        self.each("refuse")

    def refuse_and_silence(self):
        self.each("refuse", "stop_forwarding")

    def hang_and_silence(self):
        self.each("hang", "stop_forwarding")

    def heal(self):
        for link in self.by_id.values():
            if link.unresponsive:
                # Bytes were dropped on them, so they can't go on.
                link.reset()
            link.heal()
