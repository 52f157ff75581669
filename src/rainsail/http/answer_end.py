"""Decides whether the end that an answer states is its end. Pure.

The end is a statement of the framing, which may have been damaged in transit: a chunk size that
became 0 ends the answer, and what follows is read as trailers or is left over. So an end is
believed only if nothing that has been received contradicts it.
"""

from dataclasses import dataclass

from rainsail.http.headers import HeaderFields, header_value, listed_in

LINE_ENDS = b"\r\n"
DIGITS = b"0123456789"
STATUS_LINE_BEGIN = (b"H", b"T", b"T", b"P", b"/", b"1", b".", DIGITS, b" ", *3 * (DIGITS,))
"""The bytes that may stand at each place of the beginning of an answer."""


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """What has been received of an answer that has ended by its framing."""

    fields: HeaderFields
    """Those of its head."""
    trailers: tuple[bytes, ...]
    """The names of its trailer fields."""
    surplus: bytes
    """What has been received behind it."""
    chunked_bytes: int | None
    """The size of its body; None where it has not come in chunks."""
    is_head_only: bool = False
    """Whether its head is all of it, by its status or its request."""


def contradiction(end: AnswerEnd) -> str:
    """Return what contradicts an answer's end, for the log; empty if nothing does.

    The text has counts only: the names of trailers may be content of the answer.
    """
    announced = listed_in(end.fields, b"trailer")
    unannounced = sum(name.lower() not in announced for name in end.trailers)
    if unannounced:
        return f"{unannounced} trailer fields that its head does not announce"
    if not end.is_head_only and not is_harmless(end.surplus, end.chunked_bytes is not None):
        return f"{len(end.surplus)} bytes behind its end"
    stated = header_value(end.fields, b"content-length")
    if stated is not None and end.chunked_bytes not in (None, int(stated)):
        return f"{end.chunked_bytes} bytes in chunks against a stated length of {int(stated)}"
    return ""


def is_harmless(surplus: bytes, is_chunked: bool) -> bool:
    """Tell whether bytes behind an end don't contradict it.

    Some servers send a line end behind a body with a length. Behind chunks it may be the rest of an
    event whose size was damaged.
    """
    if not is_chunked and not surplus.strip(LINE_ENDS):
        return True
    return begins_like_answer(surplus)


def begins_like_answer(data: bytes) -> bool:
    """Tell whether these bytes, of which there may be few, are the beginning of another answer.

    A server that sends a surplus answer has ended the one before it.
    """
    return all(byte in allowed for byte, allowed in zip(data, STATUS_LINE_BEGIN, strict=False))
