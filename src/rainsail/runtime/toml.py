"""Parses TOML from untrusted files within bounded memory."""

import re
import tomllib
from typing import Any

MAX_KEY_PARTS = 128
_BETWEEN_KEYS = re.compile(r"[\n=,{}\[\]\"']")


def parse_toml(text: str) -> dict[str, Any]:
    """Return the tables of a text; raises ``ValueError`` with the reason if it is invalid.

    The parser keeps every prefix of a dotted key, so a key of some thousand parts takes memory
    quadratic in its length; such keys are rejected.
    """
    for piece in _BETWEEN_KEYS.split(text):
        if piece.count(".") >= MAX_KEY_PARTS:
            raise ValueError(f"a key of more than {MAX_KEY_PARTS} parts")
    return tomllib.loads(text)
