"""Simulated batching engines for load replays, without sockets or a clock.

Each engine computes prompts one after the other, the most urgent first, at a
fixed rate. Parts of prompts that are in the engine's cache take no time. Only
this part of an engine's behaviour affects placement and refusal.
"""

from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush

from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.routed_calls import PromptPart

# Prompt tokens that an engine computes per second, and the time in seconds
# from the end of the prompt computation to the first event of the answer.
TOKENS_PER_S = 93_600.0
FIRST_EVENT_DELAY_S = 0.083


@dataclass(frozen=True, slots=True, order=True)
class QueuedPrompt:
    """A prompt that an engine has not computed yet."""

    urgency: int
    arrived_at: float
    request_id: str
    parts: tuple[PromptPart, ...] = field(compare=False)


@dataclass(frozen=True, slots=True)
class FirstEvent:
    """The first event of a request's answer.

    ``at`` is its time in seconds; ``computed_tokens`` is the number of prompt
    tokens that were not in the cache.
    """

    request_id: str
    at: float
    computed_tokens: int


class SimulatedEngine:
    """A simulated engine; the caller supplies the time."""

    def __init__(self, server_id: str) -> None:
        self.id = server_id
        self._cache = PromptCacheIndex()
        self._queue: list[QueuedPrompt] = []
        # Time at which the engine can start to compute the next prompt.
        self._free_at = 0.0
        self.failed = False
        # Factor on the time to compute a prompt that starts now.
        self.slowdown = 1.0

    @property
    def waiting(self) -> int:
        """Number of queued prompts."""
        return len(self._queue)

    def submit(self, prompt: QueuedPrompt) -> None:
        """Adds a prompt to the engine's queue."""
        heappush(self._queue, prompt)

    def fail(self) -> list[str]:
        """Fails the engine; returns the ids of the queued, lost requests."""
        self.failed = True
        lost = [prompt.request_id for prompt in self._queue]
        self._queue.clear()
        return lost

    def advance(self, now: float) -> list[FirstEvent]:
        """Runs the engine up to ``now``; returns the resulting first events.

        The first event of a prompt whose computation starts by ``now`` may
        lie after ``now``.
        """
        events: list[FirstEvent] = []
        while self._queue:
            prompt = self._queue[0]
            started_at = max(self._free_at, prompt.arrived_at)
            if started_at > now:
                break
            heappop(self._queue)
            total = sum(part.tokens for part in prompt.parts)
            cached = self._cache.cached_tokens(self.id, prompt.parts)
            self._cache.note_prompt(self.id, prompt.parts)
            computing_s = (total - cached) / TOKENS_PER_S * self.slowdown
            self._free_at = started_at + computing_s
            events.append(
                FirstEvent(
                    prompt.request_id,
                    self._free_at + FIRST_EVENT_DELAY_S,
                    total - cached,
                )
            )
        return events
