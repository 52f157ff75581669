"""Python's garbage collector in a daemon."""

import gc


def exempt_startup_objects() -> None:
    """Leave what exists now out of later collections.

    Modules, classes and schemas live as long as the process. A full collection that walks them
    stops everything else for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
