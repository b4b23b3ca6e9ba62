"""Index of the prompt parts that each backend server has probably cached.

A server need not compute a part of a prompt again if it has cached that part
and all parts before it. The index holds the parts that this node has sent,
and those of other nodes from their reports. The least recently used parts are
evicted first, as they are on the servers.
"""

from collections import OrderedDict
from collections.abc import Sequence

from wasabiwing.routed_calls import PromptPart

# Share of a server's memory that holds cached parts; running requests use the
# rest.
CACHE_SHARE = 0.6

# Assumed memory of one server, in tokens, before a configuration is loaded.
DEFAULT_CAPACITY_TOKENS = 400_000


class PromptCacheIndex:
    """The cached prompt parts of all backend servers, as one node knows."""

    def __init__(self, capacity_tokens: int = DEFAULT_CAPACITY_TOKENS) -> None:
        # Memory of one server, in tokens.
        self.capacity_tokens = capacity_tokens
        # Tokens by part id, the least recently used first, by server id.
        self._parts_by_server: dict[str, OrderedDict[str, int]] = {}
        self._tokens_by_server: dict[str, int] = {}

    def cached_tokens(
        self, server_id: str, parts: Sequence[PromptPart]
    ) -> int:
        """Returns how many leading tokens of a prompt a server has cached."""
        cached_parts = self._parts_by_server.get(server_id)
        if cached_parts is None:
            return 0
        tokens = 0
        for part in parts:
            if part.id not in cached_parts:
                break
            tokens += part.tokens
        return tokens

    def note_prompt(self, server_id: str, parts: Sequence[PromptPart]) -> None:
        """Records the parts of a prompt that was sent to a server."""
        cached_parts = self._parts_by_server.setdefault(
            server_id, OrderedDict()
        )
        tokens = self._tokens_by_server.get(server_id, 0)
        for part in parts:
            if part.id in cached_parts:
                cached_parts.move_to_end(part.id)
            else:
                cached_parts[part.id] = part.tokens
                tokens += part.tokens
        while tokens > self.capacity_tokens * CACHE_SHARE and cached_parts:
            _, oldest = cached_parts.popitem(last=False)
            tokens -= oldest
        self._tokens_by_server[server_id] = tokens

    def remove_server(self, server_id: str) -> None:
        """Removes the parts of a server that restarted or is gone."""
        self._parts_by_server.pop(server_id, None)
        self._tokens_by_server.pop(server_id, None)
