"""A TCP proxy on loopback that can delay, drop or reset traffic."""

import asyncio
import contextlib


class TcpProxy:
    """Forward connections to ``target``, subject to the fault in ``mode``.

    "" forwards, "delay" delays each read of up to 64 KiB by ``DELAY``, "one_way"
    drops what the target sends, "silent" drops both directions, "reset" resets new
    connections; :meth:`reset_connections` resets the open ones.
    """

    DELAY = 0.3  # seconds

    def __init__(self, target):
        self.target = target
        self.mode = ""
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen on a free port of loopback; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()

    def close(self):
        self._server.close()
        self.reset_connections()

    def reset_connections(self):
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        writers = {writer}
        try:
            if self.mode == "reset":
                return
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            writers.add(target_writer)
            self._writers |= writers
            await asyncio.gather(
                self._copy(reader, target_writer, from_target=False),
                self._copy(target_reader, writer, from_target=True),
            )
        except OSError:
            pass
        finally:
            self._writers -= writers
            for opened in writers:
                opened.transport.abort()

    async def _copy(self, reader, writer, from_target):
        """Copy one direction of a connection until its sender closes it."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.DELAY)
                is_dropped = self.mode == "silent" or (
                    from_target and self.mode == "one_way"
                )
                if not is_dropped:
                    writer.write(data)
                    await writer.drain()
        writer.close()
