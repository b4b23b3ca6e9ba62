"""Tells new problems with stored values from those that were logged before.

Load pattern: another party writes a value that cannot be used again and again,
as often as a server's heartbeat, and hundreds of nodes read it.
"""

from collections import OrderedDict

# Number of keys whose latest problem is remembered.
MAX_KNOWN_PROBLEMS = 1000


class KnownProblems:
    """The latest problem of each key."""

    def __init__(self) -> None:
        self._problem_by_key: OrderedDict[str, str] = OrderedDict()

    def is_new(self, key: str, problem: str) -> bool:
        """Records a key's problem; returns whether it had another or none."""
        known = self._problem_by_key.get(key)
        self._problem_by_key[key] = problem
        self._problem_by_key.move_to_end(key)
        if len(self._problem_by_key) > MAX_KNOWN_PROBLEMS:
            self._problem_by_key.popitem(last=False)
        return known != problem

    def forget(self, key: str) -> None:
        """Records that a key's value is usable, or gone."""
        self._problem_by_key.pop(key, None)
