"""What an engine sees in a prompt: its tokens, its tag and its prefix blocks.

Anyone who has the same prompt can work out the same values, so that an answer
can be checked against its request.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 1024
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
TAG_DIGITS = 12
HASH_BYTES = 8
HASH_MASK = (1 << 63) - 1


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt as the engine accounts for it.

    Attributes:
        tokens: Its length.
        tag: Marks every token of its answer.
        blocks: Chained hashes of its whole blocks.
    """

    tokens: int
    tag: str
    blocks: tuple[int, ...]

    @property
    def tail_tokens(self) -> int:
        """Tokens after the last whole block."""
        return self.tokens - len(self.blocks) * BLOCK_TOKENS


def prompt_from_bytes(data: bytes) -> Prompt:
    """Account for the concatenated contents of a request's messages."""
    tokens = -(-len(data) // BYTES_PER_TOKEN)
    return Prompt(tokens, tag_from_prompt(data), block_hashes(data))


def tag_from_prompt(data: bytes) -> str:
    """Return the tag of a prompt's answer."""
    return xxhash.xxh3_64_hexdigest(data)[:TAG_DIGITS]


def block_hashes(data: bytes) -> tuple[int, ...]:
    """Hash each whole block together with all blocks before it."""
    hashes: list[int] = []
    link = b""
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        digest = xxhash.xxh3_64_intdigest(link + block) & HASH_MASK
        link = digest.to_bytes(HASH_BYTES, "little")
        hashes.append(digest)
    return tuple(hashes)


__all__ = [
    "BLOCK_BYTES",
    "BLOCK_TOKENS",
    "Prompt",
    "block_hashes",
    "prompt_from_bytes",
    "tag_from_prompt",
]
