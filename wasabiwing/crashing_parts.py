"""Detection and refusal of parts of prompts that crash backend servers."""

from hashlib import blake2b
from typing import Protocol

PART_KEY_BYTES = 6


class PromptCall(Protocol):
    """Request with a prompt of which other requests may share parts."""

    @property
    def prompt_scope(self) -> str:
        """Service or pool within which equal parts are compared."""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts that other requests may have too."""


def part_keys(call: PromptCall) -> dict[str, str]:
    """Returns the ids of a prompt's shared parts by their keys, in order."""
    return {
        blake2b(
            f"{call.prompt_scope}\0{part}".encode(), digest_size=PART_KEY_BYTES
        ).hexdigest(): part
        for part in call.shared_parts
    }
