"""Encoding of envelopes: kind, call id, then the encoded message."""

import struct

from rainsail.wire.codec import CodecError, decode, encode
from rainsail.wire.messenger import Envelope, EnvelopeKind

_HEADER = struct.Struct("<BQ")


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope; its message must be a registered record."""
    return encode(envelope.message, _HEADER.pack(envelope.kind, envelope.call_id))


def decode_envelope(data: bytes) -> Envelope:
    """Decode an envelope; raises ``CodecError`` for any bytes that are not one."""
    if len(data) < _HEADER.size:
        raise CodecError("too short for an envelope")
    kind_number, call_id = _HEADER.unpack_from(data)
    try:
        kind = EnvelopeKind(kind_number)
    except ValueError:
        raise CodecError(f"unknown envelope kind {kind_number}") from None
    return Envelope(kind, call_id, decode(data, _HEADER.size))
