"""What requests and runners say of themselves that decides where a request goes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt: its id and how many tokens it has."""

    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a runner says of its load with an answer."""

    running: int
    waiting: int
    slots: int
