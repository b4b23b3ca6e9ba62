"""Measures how long the servers that owe a gateway an answer are silent."""

from collections.abc import Mapping

from wasabiwing.timers import TimerService


class ServerSilence:
    """For how long servers with requests in flight have sent nothing.

    ``in_flight_by_server`` counts the requests in flight by server id.
    """

    def __init__(
        self, timer: TimerService, in_flight_by_server: Mapping[str, int]
    ) -> None:
        self._timer = timer
        self._in_flight_by_server = in_flight_by_server
        # Monotonic times in seconds.
        self._quiet_since_by_id: dict[str, float] = {}

    def note_heard(self, server_id: str) -> None:
        """Records that a server sent something."""
        if server_id in self._quiet_since_by_id:
            self._quiet_since_by_id[server_id] = self._timer.now()

    def silence_by_id(self) -> dict[str, float]:
        """Returns the silences in seconds by server id.

        A server counts from the first call on that sees its requests.
        """
        now = self._timer.now()
        self._quiet_since_by_id = {
            server_id: self._quiet_since_by_id.get(server_id, now)
            for server_id, count in self._in_flight_by_server.items()
            if count > 0
        }
        return {
            server_id: now - quiet_since
            for server_id, quiet_since in self._quiet_since_by_id.items()
        }
