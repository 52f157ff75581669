"""Inputs of routing: the parts of a request's prompt, and the load that a runner reports."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt: its id, and its length in tokens."""

    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The load that a runner reports with a response, in requests."""

    running: int
    waiting: int
    slots: int
