"""Starts a node program whose connections to servers take links of its own.

The registry gives all nodes one address for a server. Connections to the IP
address of all servers go to that of the node's links::

    python -P linked_node.py SERVER_HOST LINK_HOST PROGRAM
"""

from runpy import run_path
from sys import argv
from typing import Any

import anyio


def redirect_connections(server_host: str, link_host: str) -> None:
    """Redirects all connections to an IP address to another one."""
    connect = anyio.connect_tcp

    async def connect_tcp(
        remote_host: str, remote_port: int, **options: Any
    ) -> Any:
        host = link_host if remote_host == server_host else remote_host
        return await connect(host, remote_port, **options)

    # Modules that are imported later import the replacement.
    anyio.connect_tcp = connect_tcp  # type: ignore[assignment]


if __name__ == "__main__":
    redirect_connections(argv[1], argv[2])
    run_path(argv[3], run_name="__main__")
