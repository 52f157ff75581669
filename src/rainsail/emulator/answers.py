"""Deterministic answers, so that a caller can check that it received its own answer in full.

Every token is ``CHARACTERS_PER_TOKEN`` characters of text (three letters and a space), and the
token at a position depends only on model, prompt, seed and position. Any engine therefore
continues a forced prefix with exactly the text that the original engine would have produced.
"""

import hashlib
from typing import Any

from rainsail.engine.prefix import CHARACTERS_PER_TOKEN

_CONSONANTS = "bdfghklmnprstvwz"
_VOWELS = "aeiou"
_TOKENS = tuple(
    f"{_CONSONANTS[byte >> 4]}{_VOWELS[byte % len(_VOWELS)]}{_CONSONANTS[byte & 15]} "
    for byte in range(256)
)
_MINIMUM_NATURAL_TOKENS = 64
_NATURAL_TOKENS_RANGE = 1984


def _generator(model: str, prompt: str, seed: int) -> Any:
    key = f"{len(model)}:{model}{seed}:{prompt}"
    return hashlib.shake_128(key.encode("utf-8", "surrogatepass"))


def natural_length(model: str, prompt: str, seed: int) -> int:
    """Return the number of tokens after which the model stops on its own, without a token limit."""
    drawn = int.from_bytes(hashlib.sha256(_generator(model, prompt, seed).digest(8)).digest()[:4])
    return _MINIMUM_NATURAL_TOKENS + drawn % _NATURAL_TOKENS_RANGE


def answer_length(model: str, prompt: str, max_tokens: int, seed: int) -> int:
    """Return the token count of the answer: its natural length, at most ``max_tokens``."""
    return max(0, min(max_tokens, natural_length(model, prompt, seed)))


def expected_answer(model: str, prompt: str, max_tokens: int, seed: int) -> str:
    """Return the complete answer that every engine gives to this request."""
    length = answer_length(model, prompt, max_tokens, seed)
    drawn = _generator(model, prompt, seed).digest(length)
    return "".join([_TOKENS[byte] for byte in drawn])


def token_text(answer: str, first: int, end: int) -> str:
    """Return the text of the tokens from ``first`` (inclusive) to ``end`` (exclusive)."""
    return answer[first * CHARACTERS_PER_TOKEN : end * CHARACTERS_PER_TOKEN]
