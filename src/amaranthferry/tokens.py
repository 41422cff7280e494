"""Estimate token counts and hash prompt prefixes."""

import xxhash

from .types import Tokens

CHARACTERS_PER_TOKEN = 4
SHORTEST_PREFIX_TOKENS = 64


def estimate_tokens(text: str) -> Tokens:
    """Return the estimated number of tokens in a text."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def prefix_tokens(index: int) -> Tokens:
    """Return the length in tokens of the prefix at an index of the hashes."""
    return SHORTEST_PREFIX_TOKENS << index


def prefix_hashes(text: str) -> tuple[int, ...]:
    """Return hashes of the text's prefixes of 64, 128, 256, ... tokens.

    Doubling the length keeps the list short for a prompt of any length.
    """
    hashes = []
    digest = xxhash.xxh64()
    done = 0
    length = SHORTEST_PREFIX_TOKENS * CHARACTERS_PER_TOKEN
    while length <= len(text):
        digest.update(text[done:length].encode())
        hashes.append(digest.intdigest())
        done = length
        length *= 2
    return tuple(hashes)
