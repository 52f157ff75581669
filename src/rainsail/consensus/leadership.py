"""Notification of listeners when a member's leadership begins and ends."""

from collections.abc import Callable

from rainsail.consensus.listeners import notify_listeners

Listener = Callable[[bool], None]


class Leadership:
    """Tracks whether the member's leadership is announced, and notifies the listeners."""

    def __init__(self) -> None:
        self.announced = False
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Call ``listener(True)`` when leadership begins, ``listener(False)`` when it ends."""
        self._listeners.append(listener)

    def call_when_ended(self, call: Callable[[], None]) -> None:
        """Call ``call`` once when leadership ends, even if it was never announced."""

        def ended(leads: bool) -> None:
            if not leads:
                self._listeners.remove(ended)
                call()

        self.announced = True
        self._listeners.append(ended)

    def begin(self) -> None:
        """Announce that leadership has begun."""
        self.announced = True
        notify_listeners(self._listeners, True)

    def end(self) -> None:
        """Announce that leadership has ended, if it was announced."""
        if not self.announced:
            return
        self.announced = False
        notify_listeners(self._listeners, False)
