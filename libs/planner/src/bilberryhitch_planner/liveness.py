"""Notices the end of another host's process sooner than by its silence."""

import asyncio
from contextlib import suppress

# A host behind a cut answers nothing; its process may live on.
CONNECT_TIMEOUT_S = 1.0
PROBE_RETRY_S = 0.5


async def wait_for_process_end(address: str) -> None:
    """Return when nothing listens at an address any more.

    The kernel of a host closes the connections of a process that was killed and
    refuses new ones. A host without power or behind a cut tells nothing, and a reset
    of connections alone proves nothing.

    :param address: ``ip:port`` on which the process listens all its life
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
