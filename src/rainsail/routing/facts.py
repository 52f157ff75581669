"""What requests and runners state about themselves that decides where a request goes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt: its id and how many tokens it has."""

    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The load that a runner reports with an answer, in requests."""

    running: int
    waiting: int
    slots: int
