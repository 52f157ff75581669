"""Prompts of a given shape, and the shape of a given prompt."""

import hashlib

from rainsail.experiment.trace.records import PromptShape

TEMPLATE_CHARACTERS = 256
"""Recorded prompts that share so many first characters count as of one template."""
DIGEST_CHARACTERS = 16


def prompt_of(shape: PromptShape, own: str) -> str:
    """Return the recorded text, or a made-up prompt of that shape; ``own`` sets it apart."""
    if shape.text:
        return shape.text
    template = _repeat(f"{shape.template} ", shape.template_characters)
    return template + _repeat(f"{own} ", shape.own_characters)


def shape_of(prompt: str, salt: bytes, keep_text: bool) -> PromptShape:
    """Return a prompt's shape. ``salt`` keeps the digest of the template from being looked up."""
    template = prompt[:TEMPLATE_CHARACTERS]
    digest = hashlib.blake2b(template.encode("utf-8", "surrogatepass"), key=salt).hexdigest()
    return PromptShape(
        digest[:DIGEST_CHARACTERS],
        len(template),
        len(prompt) - len(template),
        prompt if keep_text else "",
    )


def _repeat(word: str, characters: int) -> str:
    return (word * (characters // len(word) + 1))[:characters]
