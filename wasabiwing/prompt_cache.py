"""What each backend server probably keeps of earlier prompts.

A part of a prompt need not be computed again on a server that has computed
it and all parts before it. The index holds what this node, and by their
reports other nodes, have sent; the least recently used parts go first, as
they do on the servers.
"""

from collections import OrderedDict
from collections.abc import Sequence

from wasabiwing.routed_calls import PromptPart

# Share of a server's memory that holds parts; running requests use the rest.
CACHE_SHARE = 0.6

# Memory of one server, in tokens, until the configuration tells it.
DEFAULT_CAPACITY = 400_000


class PromptCacheIndex:
    """Prompt parts by backend server."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        # Memory of one server, in tokens.
        self.capacity_tokens = capacity
        # Tokens by part id, in order of last use.
        self._parts_by_server: dict[str, OrderedDict[str, int]] = {}
        self._tokens_by_server: dict[str, int] = {}

    def cached_tokens(
        self, server_id: str, parts: Sequence[PromptPart]
    ) -> int:
        """Returns how many leading tokens need no computation."""
        known = self._parts_by_server.get(server_id)
        if known is None:
            return 0
        tokens = 0
        for part in parts:
            if part.id not in known:
                break
            tokens += part.tokens
        return tokens

    def note_prompt(self, server_id: str, parts: Sequence[PromptPart]) -> None:
        """Enters the parts of a prompt that a server computes."""
        known = self._parts_by_server.setdefault(server_id, OrderedDict())
        tokens = self._tokens_by_server.get(server_id, 0)
        for part in parts:
            if part.id in known:
                known.move_to_end(part.id)
            else:
                known[part.id] = part.tokens
                tokens += part.tokens
        while tokens > self.capacity_tokens * CACHE_SHARE and known:
            _, oldest = known.popitem(last=False)
            tokens -= oldest
        self._tokens_by_server[server_id] = tokens

    def remove_server(self, server_id: str) -> None:
        """Drops what is known of a server that starts anew or is gone."""
        self._parts_by_server.pop(server_id, None)
        self._tokens_by_server.pop(server_id, None)
