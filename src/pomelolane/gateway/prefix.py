"""Token estimates and prefix hashes of a prompt.

Blocks are hashed in a chain as the engines do it, so that a scheduler can
tell which engine already holds the beginning of a prompt.
"""

from __future__ import annotations

import xxhash

BLOCK_BYTES = 1024
BYTES_PER_TOKEN = 4
MAX_BLOCKS = 64
_MASK = (1 << 63) - 1


def estimate_tokens(prompt: bytes) -> int:
    """Return the estimated number of tokens of a prompt, at least 1."""
    return max(1, -(-len(prompt) // BYTES_PER_TOKEN))


def hash_prefix(prompt: bytes) -> tuple[int, ...]:
    """Return the chained 63-bit hashes of the prompt's whole blocks.

    Only the first ``MAX_BLOCKS`` blocks are hashed: a handle stays small, and
    prompts that agree so far gain little from agreeing further.
    """
    count = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    hashes: list[int] = []
    previous = b""
    for index in range(count):
        block = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        digest = xxhash.xxh3_64_intdigest(previous + block) & _MASK
        hashes.append(digest)
        previous = digest.to_bytes(8, "little")
    return tuple(hashes)
