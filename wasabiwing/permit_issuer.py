"""Issues permits for requests to servers that limit their rate.

Load pattern: servers that together take less than the callers send, behind
gateways or nodes of which each sees a small and uneven part. One of them
issues the permits of a service, so that the limit holds for the sum and no
part of it lies idle on a process without requests. More urgent requests get
the next permits; a request that no permit reaches in time is told so at once.
This module sends nothing.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass

from wasabiwing.messages import PermitGrant
from wasabiwing.messages import PermitRequest
from wasabiwing.server_limits import ServerLimits
from wasabiwing.timers import TimerService

# Rate at which servers with a lower limit get requests, in requests per
# second. Only answers show that a limit has ended.
TRIAL_PER_S = 0.1

# Seconds of a server's rate that may be issued at once, beyond one permit.
BURST_S = 0.5

# Largest number of waiting requests for which the time until a permit is
# estimated; behind more, a request does not wait.
MAX_COUNTED_AHEAD = 20

# Longest time for which a process keeps its place without asking again, in
# seconds.
MAX_REMEMBERED_S = 0.5

# Time after its last use for which a bucket is kept, in seconds.
BUCKET_LIFETIME_S = 60.0

# Longest time after which a refused caller is asked to return, in seconds.
MAX_RETURN_S = 1.5


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one server; a token is one permit."""

    per_s: float
    tokens: float
    refilled_at: float

    @property
    def capacity(self) -> float:
        """Largest number of tokens."""
        return 1.0 + self.per_s * BURST_S


@dataclass(frozen=True, slots=True)
class _Waiter:
    """Requests of one process that wait for a permit."""

    urgency: int
    # Time of the first request for these permits.
    since: float
    count: int
    expires_at: float


class PermitIssuer:
    """Issues the permits of the services that this process is chosen for."""

    def __init__(
        self,
        timer: TimerService,
        limits: ServerLimits,
        share: Callable[[str], float] = lambda service: 1.0,
    ) -> None:
        self._timer = timer
        self._limits = limits
        # Returns the share of the limits that this process may issue for a
        # service.
        self._share = share
        self._bucket_by_server: dict[str, _Bucket] = {}
        self._waiter_by_service: dict[str, dict[str, _Waiter]] = {}
        # Latest time at which a refused caller was asked to return.
        self._return_at_by_service: dict[str, float] = {}

    def issue(self, asker: str, request: PermitRequest) -> PermitGrant:
        """Answers a process that asks for permits.

        ``asker`` is the id of that process.
        """
        share = self._share(request.service)
        for server_id, count in request.returned:
            bucket = self._bucket_by_server.get(server_id)
            if bucket is not None:
                bucket.tokens = min(bucket.tokens + count, bucket.capacity)
        buckets = {
            server_id: self._refilled_bucket(server_id, per_s, share)
            for server_id, per_s in request.limits
        }
        waiters = self._waiters(request.service)
        now = self._timer.now()
        earlier = waiters.pop(asker, None)
        since = now if earlier is None else earlier.since
        ahead = sum(
            waiter.count
            for waiter in waiters.values()
            if (waiter.urgency, waiter.since) < (request.urgency, since)
        )
        free = sum(int(bucket.tokens) for bucket in buckets.values())
        wanted = min(request.waiting, max(free - ahead, 0))
        granted = _take(buckets, wanted)
        missing = request.waiting - sum(granted.values())
        if missing == 0 and not waiters:
            for server_id, count in _take_spare(
                buckets, request.expected
            ).items():
                granted[server_id] = granted.get(server_id, 0) + count
        if missing == 0:
            return PermitGrant(request.service, tuple(granted.items()))
        rate = sum(bucket.per_s for bucket in buckets.values()) * share
        wait_s = MAX_RETURN_S
        if rate > 0.0:
            wait_s = _time_until_token_s(buckets, ahead + 1, share)
        if wait_s <= request.wait_s:
            waiters[asker] = _Waiter(
                request.urgency,
                since,
                missing,
                now + min(request.wait_s, MAX_REMEMBERED_S),
            )
        return_s = wait_s
        if wait_s > request.wait_s > 0.0:
            return_s = self._return_s(request.service, wait_s, rate)
        return PermitGrant(
            request.service, tuple(granted.items()), wait_s, return_s
        )

    def _return_s(self, service: str, wait_s: float, rate: float) -> float:
        """Returns when a refused caller should return, in seconds from now.

        Refused callers are asked to return one after the other.
        """
        now = self._timer.now()
        earliest_at = self._return_at_by_service.get(service, now)
        if rate > 0.0:
            earliest_at += 1.0 / rate
        latest_at = now + max(wait_s, MAX_RETURN_S)
        return_at = min(max(now + wait_s, earliest_at), latest_at)
        self._return_at_by_service[service] = return_at
        return return_at - now

    def _waiters(self, service: str) -> dict[str, _Waiter]:
        now = self._timer.now()
        waiters = {
            asker: waiter
            for asker, waiter in self._waiter_by_service.get(
                service, {}
            ).items()
            if waiter.expires_at > now
        }
        self._waiter_by_service[service] = waiters
        return waiters

    def _drop_unused(self) -> None:
        oldest = self._timer.now() - BUCKET_LIFETIME_S
        self._bucket_by_server = {
            server_id: bucket
            for server_id, bucket in self._bucket_by_server.items()
            if bucket.refilled_at >= oldest
        }

    def _refilled_bucket(
        self, server_id: str, asked_per_s: float, share: float
    ) -> _Bucket:
        """Returns a server's bucket, filled up to now."""
        now = self._timer.now()
        named = self._limits.limit_per_s(server_id)
        # The fact with the limit may still be on its way to this process.
        named = asked_per_s if named is None else named
        per_s = max(named, TRIAL_PER_S)
        bucket = self._bucket_by_server.get(server_id)
        if bucket is None:
            self._drop_unused()
            bucket = _Bucket(per_s, 0.0, now)
            if named >= TRIAL_PER_S:
                bucket.tokens = bucket.capacity * share
            self._bucket_by_server[server_id] = bucket
        added = (now - bucket.refilled_at) * bucket.per_s * share
        bucket.per_s = per_s
        bucket.tokens = min(bucket.tokens + added, bucket.capacity)
        bucket.refilled_at = now
        return bucket


def _take(buckets: Mapping[str, _Bucket], count: int) -> dict[str, int]:
    """Takes up to ``count`` tokens, from the first buckets first."""
    taken: dict[str, int] = {}
    for server_id, bucket in buckets.items():
        number = min(int(bucket.tokens), count)
        if number > 0:
            bucket.tokens -= number
            count -= number
            taken[server_id] = number
    return taken


def _take_spare(buckets: Mapping[str, _Bucket], count: int) -> dict[str, int]:
    """Takes up to ``count`` tokens from the fuller half of the buckets.

    The other half is left to requests that wait.
    """
    taken: dict[str, int] = {}
    for server_id, bucket in buckets.items():
        spare = int(bucket.tokens - bucket.capacity / 2)
        number = min(max(spare, 0), count)
        if number > 0:
            bucket.tokens -= number
            count -= number
            taken[server_id] = number
    return taken


def _time_until_token_s(
    buckets: Mapping[str, _Bucket], number: int, share: float
) -> float:
    """Returns the seconds until the buckets have gained ``number`` tokens.

    ``share`` is the part of their rates at which they are filled.
    """
    times = sorted(
        max(token - bucket.tokens, 0.0) / (bucket.per_s * share)
        for bucket in buckets.values()
        for token in range(1, min(number, MAX_COUNTED_AHEAD) + 1)
    )
    return times[min(number, len(times)) - 1]
