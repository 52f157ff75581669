"""Reading TOML from files that anybody may have written, within bounded memory."""

import re
import tomllib
from typing import Any

MAX_KEY_PARTS = 128
_BETWEEN_KEYS = re.compile(r"[\n=,{}\[\]\"']")


def parse_toml(text: str) -> dict[str, Any]:
    """Return the tables of a text; raises ``ValueError`` saying what is wrong.

    The parser keeps every beginning of a dotted key, so that a key of some thousand parts takes
    memory by the square of its length; such keys are refused.
    """
    for piece in _BETWEEN_KEYS.split(text):
        if piece.count(".") >= MAX_KEY_PARTS:
            raise ValueError(f"a key of more than {MAX_KEY_PARTS} parts")
    return tomllib.loads(text)
