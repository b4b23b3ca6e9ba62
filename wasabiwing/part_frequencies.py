"""How frequent parts of prompts are among the answers of one process."""

from collections import Counter
from collections.abc import Iterable

from wasabiwing.timers import TimerService

# Time after which a new period of counting begins, in seconds. The current
# and the previous period count.
PERIOD_S = 60.0

# Number of parts that are counted in one period.
MAX_PARTS = 4096

# Number of answers from which on shares are known.
MIN_ANSWERS = 20


class PartFrequencies:
    """Counts of the answers that began on each part."""

    def __init__(self, timer: TimerService) -> None:
        self._timer = timer
        self._period_began_at = timer.now()
        self._count_by_part: Counter[str] = Counter()
        self._previous_count_by_part: Counter[str] = Counter()
        self._answers = 0
        self._previous_answers = 0

    @property
    def is_known(self) -> bool:
        """Whether enough answers were counted."""
        return self._answers + self._previous_answers >= MIN_ANSWERS

    def note_answer(self, parts: Iterable[str]) -> None:
        """Counts an answer that has begun."""
        now = self._timer.now()
        if now - self._period_began_at >= PERIOD_S:
            self._period_began_at = now
            self._previous_count_by_part = self._count_by_part
            self._previous_answers = self._answers
            self._count_by_part = Counter()
            self._answers = 0
        self._answers += 1
        for part in parts:
            if (
                part in self._count_by_part
                or len(self._count_by_part) < MAX_PARTS
            ):
                self._count_by_part[part] += 1

    def share(self, part: str) -> float:
        """Returns the share of the answers that began on a part."""
        count = self._count_by_part[part] + self._previous_count_by_part[part]
        return count / max(self._answers + self._previous_answers, 1)
