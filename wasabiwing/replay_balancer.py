"""Choice of a gateway, as the platform's load balancer makes it."""

from random import Random

from anyio import create_task_group
from result import Ok

from wasabiwing.http_client import HttpClient
from wasabiwing.replay_records import ReplayTarget
from wasabiwing.timers import TimerService

HEALTH_PERIOD_S = 0.25
HEALTH_TIMEOUT_S = 1.0
STATUS_OK = 200


class LoadBalancer:
    """Sends each request to a random gateway whose health check succeeds."""

    def __init__(
        self,
        target: ReplayTarget,
        client: HttpClient,
        timer: TimerService,
        random: Random,
    ) -> None:
        self._target = target
        self._client = client
        self._timer = timer
        self._random = random
        self._healthy: tuple[str, ...] = target.gateway_urls

    def pick(self, avoid: str = "") -> str:
        """Returns an address; another one than ``avoid`` if there is one.

        Without any healthy gateway all are tried.
        """
        known = self._healthy or self._target.gateway_urls
        others = [url for url in known if url != avoid]
        return self._random.choice(others or list(known))

    async def run(self) -> None:
        """Asks all gateways for their health until cancelled."""
        while True:
            healthy: set[str] = set()
            urls = self._target.gateway_urls
            async with create_task_group() as tasks:
                for url in urls:
                    tasks.start_soon(self._ask, url, healthy)
            self._healthy = tuple(url for url in urls if url in healthy)
            await self._timer.sleep(HEALTH_PERIOD_S)

    async def _ask(self, url: str, healthy: set[str]) -> None:
        reply = await self._client.send(
            "GET", f"{url}/healthz", timeout_s=HEALTH_TIMEOUT_S
        )
        if isinstance(reply, Ok) and reply.ok_value.status == STATUS_OK:
            healthy.add(url)
