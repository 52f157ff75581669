"""Notification of a group's listeners, isolated from each other's failures.

What a listener does is not part of the replicated state. If one raises, the group must still apply
entries, answer and lead, and the remaining listeners must still be notified.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

from rainsail.logs import logger

News = TypeVar("News")


def notify_listeners(listeners: Iterable[Callable[[News], None]], news: News) -> None:
    """Call every listener; log exceptions that listeners raise."""
    for listener in list(listeners):
        try:
            listener(news)
        except Exception as error:
            named = logger.bind(listener=getattr(listener, "__qualname__", repr(listener)))
            named.opt(exception=error).error("group_listener_failed")
