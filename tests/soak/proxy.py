"""A loopback proxy in front of one process that delays, resets, silences or cuts its connections one way."""

import asyncio


class Proxy:
    """Forwards connections to a target. Faults apply to open and to new connections.

    delay: seconds added to each chunk. cut_in, cut_out: bytes towards or from the target are dropped for good, so a
    connection that lost some stays silent even after the cut.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay = 0.0
        self.cut_in = False
        self.cut_out = False
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._on_connection, *self.listen)

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def silence_open(self):
        """Connections that are open now lose everything from now on; new ones work."""
        for writer in list(self.writers):
            writer.silent = True

    def heal(self):
        self.delay = 0.0
        self.cut_in = self.cut_out = False

    async def _on_connection(self, reader, writer):
        try:
            peer_reader, peer_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pump(reader, peer_writer, True), self._pump(peer_reader, writer, False))

    async def _pump(self, reader, writer, inbound):
        writer.silent = False
        self.writers.add(writer)
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.cut_in if inbound else self.cut_out:
                    writer.silent = True
                if not writer.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
