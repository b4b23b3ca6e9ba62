"""Choice of a gateway by health checks, as a load balancer makes it."""

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
        self._healthy_urls: tuple[str, ...] = target.gateway_urls

    def pick(self, avoid: str = "") -> str:
        """Returns the URL of a random gateway, if possible not ``avoid``.

        It chooses among all gateways while none is healthy.
        """
        candidates = self._healthy_urls or self._target.gateway_urls
        others = [url for url in candidates if url != avoid]
        return self._random.choice(others or list(candidates))

    async def run(self) -> None:
        """Checks the health of all gateways periodically until cancelled."""
        while True:
            healthy_urls: set[str] = set()
            urls = self._target.gateway_urls
            async with create_task_group() as tasks:
                for url in urls:
                    tasks.start_soon(self._check_health, url, healthy_urls)
            self._healthy_urls = tuple(
                url for url in urls if url in healthy_urls
            )
            await self._timer.sleep(HEALTH_PERIOD_S)

    async def _check_health(self, url: str, healthy_urls: set[str]) -> None:
        reply = await self._client.send(
            "GET", f"{url}/healthz", timeout_s=HEALTH_TIMEOUT_S
        )
        if isinstance(reply, Ok) and reply.ok_value.status == STATUS_OK:
            healthy_urls.add(url)
