"""Detects the end of another host's process earlier than the lease expires."""

import asyncio
from contextlib import suppress

# An unreachable host does not answer, but its process may still be running.
CONNECT_TIMEOUT_S = 1.0
PROBE_RETRY_S = 0.5


async def wait_for_process_end(address: str) -> None:
    """Wait until nothing listens at an address any more.

    When a process is killed, the kernel of its host closes its connections and
    refuses new ones. A host that is powered off or unreachable gives no such sign,
    and a connection reset alone does not prove that the process has ended.

    :param address: ``ip:port`` on which the process listens for its whole lifetime
    """
    host, _, port = address.rpartition(":")
    while True:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return
        except (OSError, TimeoutError):
            await asyncio.sleep(PROBE_RETRY_S)
            continue
        try:
            with suppress(OSError):
                await reader.read(1)
        finally:
            writer.close()
