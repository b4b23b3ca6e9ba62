"""Stand-in of batching engines for replays of load, without sockets or clock.

Each engine computes prompts one after the other, the most urgent first, at a
fixed rate; parts of prompts that it has computed before are free. That is
the part of an engine's behaviour that placement and refusal depend on.
"""

from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush

from wasabiwing.prompt_cache import PromptCacheIndex
from wasabiwing.routed_calls import PromptPart

# Prompt tokens that an engine computes in a second, and the time from the
# end of a prompt to its first event, in seconds.
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
    """When a request got its first event, and what was computed for it."""

    request_id: str
    at: float
    computed_tokens: int


class SimulatedEngine:
    """One engine."""

    def __init__(self, server_id: str) -> None:
        self.id = server_id
        self._cache = PromptCacheIndex()
        self._queue: list[QueuedPrompt] = []
        # Time at which the engine is free for the next prompt.
        self._free_at = 0.0
        self.failed = False

    @property
    def waiting(self) -> int:
        """Number of prompts that wait."""
        return len(self._queue)

    def submit(self, prompt: QueuedPrompt) -> None:
        """Takes a prompt."""
        heappush(self._queue, prompt)

    def fail(self) -> list[str]:
        """Takes the engine away; returns the requests that are lost."""
        self.failed = True
        lost = [prompt.request_id for prompt in self._queue]
        self._queue.clear()
        return lost

    def advance(self, now: float) -> list[FirstEvent]:
        """Returns the first events up to a moment."""
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
            self._free_at = started_at + (total - cached) / TOKENS_PER_S
            events.append(
                FirstEvent(
                    prompt.request_id,
                    self._free_at + FIRST_EVENT_DELAY_S,
                    total - cached,
                )
            )
        return events
