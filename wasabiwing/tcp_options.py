"""Socket options of connections to backend servers and other services.

They end a connection over a dead link. While the peer's kernel acknowledges
data or keep-alive probes, a connection stays open, however long the peer's
process sends nothing. ``TCP_USER_TIMEOUT`` bounds the wait for both, whatever
``TCP_KEEPCNT`` says, so the numbers below have to fit together. It also bounds
the time for which a peer may leave a long body unread.
"""

from collections.abc import Callable
from collections.abc import Iterable
from fcntl import ioctl
from socket import IPPROTO_TCP
from socket import SO_ERROR
from socket import SO_KEEPALIVE
from socket import SOL_SOCKET
from socket import TCP_INFO
from socket import TCP_KEEPCNT
from socket import TCP_KEEPIDLE
from socket import TCP_KEEPINTVL
from socket import TCP_NODELAY
from socket import TCP_USER_TIMEOUT
from termios import TIOCOUTQ

from anyio import sleep
from httpcore import AsyncNetworkStream

# Silence in seconds after which the first keep-alive probe is sent, and the
# time between two probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1

# Number of unanswered probes after which the connection ends. A link that
# loses a part of its packets rarely loses all of them.
KEEPALIVE_PROBES = 4

# Time in milliseconds for which sent bytes may stay unacknowledged. It is less
# than the time of all probes by less than an interval.
USER_TIMEOUT_MS = 4500

# Time in seconds after which the end of a process shows on all of its
# connections. A lost FIN is sent again within it: the kernel's shortest time
# for that is 0.2 s.
PROCESS_END_S = 0.25

# State of a connection that neither side has ended; the first byte of the
# kernel's ``tcp_info``.
TCP_ESTABLISHED = 1

SOCKET_OPTIONS = (
    (IPPROTO_TCP, TCP_NODELAY, 1),
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES),
    (IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def took_all(stream: AsyncNetworkStream) -> bool:
    """Whether the peer has accepted every byte that was sent to it.

    To be called at the end of the peer's bytes, which may come before it has
    read all. The event loop reads nothing more then and sees no reset.
    """
    connection = stream.get_extra_info("socket")
    if connection is None:
        return True
    try:
        error = connection.getsockopt(SOL_SOCKET, SO_ERROR)
        unsent = ioctl(connection.fileno(), TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        # The event loop has closed it after an error.
        return False
    return not error and not any(unsent)


async def any_stays_established(
    list_streams: Callable[[], Iterable[AsyncNetworkStream]],
) -> bool:
    """Whether one of a peer's connections outlives one that has just ended.

    The kernel ends all connections of a process that is gone. Waits
    ``PROCESS_END_S`` if there is a connection to look at.
    """
    if not any(map(_is_established, list_streams())):
        return False
    await sleep(PROCESS_END_S)
    return any(map(_is_established, list_streams()))


def _is_established(stream: AsyncNetworkStream) -> bool:
    """Whether the peer has neither ended nor reset a connection.

    The kernel knows this before the event loop has read what came before.
    """
    connection = stream.get_extra_info("socket")
    if connection is None:
        return False
    try:
        info = connection.getsockopt(IPPROTO_TCP, TCP_INFO, 1)
    except (OSError, ValueError):
        # The event loop has closed it.
        return False
    return bytes(info) == bytes([TCP_ESTABLISHED])
