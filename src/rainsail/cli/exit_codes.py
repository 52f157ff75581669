"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit code says."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    VIOLATION = 3


class CommandEnd(Exception):
    """Raised by a command to end with a code; ``message`` goes to stderr when not empty."""

    def __init__(self, code: ExitCode, message: str = "") -> None:
        super().__init__(message)
        self.code = code
        self.message = message


def bad_input(message: str) -> CommandEnd:
    """Return the end of a command whose input is wrong."""
    return CommandEnd(ExitCode.BAD_INPUT, message)


def failed(message: str) -> CommandEnd:
    """Return the end of a command that could not do its work."""
    return CommandEnd(ExitCode.FAILED, message)
