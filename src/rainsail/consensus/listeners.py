"""Tells listeners what has happened in a group, each whatever becomes of the others.

What a listener does is no part of the replicated state. One that fails must not keep the group from
applying, answering or leading, nor the listeners behind it from being told.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

from rainsail.logs import logger

News = TypeVar("News")


def notify_listeners(listeners: Iterable[Callable[[News], None]], news: News) -> None:
    """Call every listener; log what one of them raises."""
    for listener in list(listeners):
        try:
            listener(news)
        except Exception as error:
            named = logger.bind(listener=getattr(listener, "__qualname__", repr(listener)))
            named.opt(exception=error).error("group_listener_failed")
