"""Approximate token counts and prefix block hashes of prompts.

The emulated engines and the router must compute the same block hashes. A token is approximated by
``CHARACTERS_PER_TOKEN`` characters (the usual rule of thumb for English text and byte-pair
tokenizers); a block is ``BLOCK_TOKENS`` tokens, as in paged KV caches.
"""

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 16
_BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN


def count_tokens(text: str) -> int:
    """Return the approximate number of tokens of a text, rounded up."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return the chained 63-bit hashes of the prompt's full blocks, first block first."""
    hashes = []
    previous = 0
    for start in range(0, len(prompt) - _BLOCK_CHARACTERS + 1, _BLOCK_CHARACTERS):
        block = prompt[start : start + _BLOCK_CHARACTERS].encode()
        previous = xxhash.xxh3_64_intdigest(block, seed=previous) >> 1
        hashes.append(previous)
    return tuple(hashes)
