"""Loopback links with faults: delay, reset, one-way cut, refusal, and connections that stay unresponsive."""

import asyncio
import threading


class LinkSet:
    """Runs the event loop of the links on a separate thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def link(self, target_port):
        link = Link(target_port)
        self.call(link.open())
        return link

    def close(self):
        self.call(self.cancel_all())
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
    which bytes are dropped; `delay_s` delays each piece; `refused` resets new connections."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.cut = None
        self.delay_s = 0
        self.refused = False
        self.ends = set()
        self.unresponsive = set()

    async def open(self):
        self.loop = asyncio.get_running_loop()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def heal(self):
        self.cut = None
        self.delay_s = 0
        self.refused = False

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
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
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
