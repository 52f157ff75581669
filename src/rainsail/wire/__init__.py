"""The protocol between rainsail's own processes: records, codec, framing, transport."""
