"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    VIOLATION = 3


class CommandEnd(Exception):
    """Ends the command with an exit code; a ``message`` that isn't empty goes to stderr."""

    def __init__(self, code: ExitCode, message: str = "") -> None:
        super().__init__(message)
        self.code = code
        self.message = message


def bad_input(message: str) -> CommandEnd:
    """Return the exception that ends a command with invalid input."""
    return CommandEnd(ExitCode.BAD_INPUT, message)


def failed(message: str) -> CommandEnd:
    """Return the exception that ends a command that failed."""
    return CommandEnd(ExitCode.FAILED, message)
