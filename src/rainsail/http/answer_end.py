"""Decides whether the end that an answer states is its end. Pure.

The end is a statement of the framing, which may have been damaged in transit: a chunk size that
became 0 ends the answer, and what follows is read as trailers or is left over. So an end is
believed only if nothing that has been received contradicts it.
"""

from dataclasses import dataclass

from rainsail.http.headers import HeaderFields, listed_in


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """What has been received of an answer that has ended by its framing."""

    fields: HeaderFields
    """Those of its head."""
    trailers: tuple[bytes, ...]
    """The names of its trailer fields."""


def contradiction(end: AnswerEnd) -> str:
    """Return what contradicts an answer's end, for the log; empty if nothing does.

    The text has counts only: the names of trailers may be content of the answer.
    """
    announced = listed_in(end.fields, b"trailer")
    unannounced = sum(name.lower() not in announced for name in end.trailers)
    if unannounced:
        return f"{unannounced} trailer fields that its head does not announce"
    return ""
