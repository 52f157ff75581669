"""Reads files named by operators, up to a maximum size."""

from pathlib import Path

from expression import Error, Ok, Result

PIECE_BYTES = 1024 * 1024


def read_bounded(path: Path, max_bytes: int) -> Result[bytes, str]:
    """Return a file's bytes, or what is wrong; allocates no more than the file's size."""
    pieces: list[bytes] = []
    size = 0
    try:
        with path.open("rb") as file:
            while piece := file.read(PIECE_BYTES):
                pieces.append(piece)
                size += len(piece)
                if size > max_bytes:
                    return Error(f"longer than {max_bytes} bytes")
    except OSError as error:
        return Error(error.strerror or repr(error))
    except ValueError as error:
        return Error(str(error))
    return Ok(b"".join(pieces))
