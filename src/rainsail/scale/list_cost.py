"""What a node's first list costs the leader, apart from the messages that carry it."""

import time
from dataclasses import dataclass

from rainsail.control.list_pages import SharedPages
from rainsail.control.listing import next_page, read_list
from rainsail.control.messages import ListRequest
from rainsail.control.settings import ControlSettings
from rainsail.state.commands import ROOT_GROUP
from rainsail.state.interface import ReplicatedReader


@dataclass(frozen=True, slots=True)
class ListCost:
    """Pages and bytes of a full list; processor seconds of the first reader and of a later one."""

    pages: int
    page_bytes: int
    first_processor_s: float
    shared_processor_s: float


def measure_list(state: ReplicatedReader) -> ListCost:
    """Measure full lists of a state."""
    limit = ControlSettings().list_page_resources
    requests = [ListRequest(ROOT_GROUP, (), limit=limit, shared=True)]
    listed = read_list(state, requests[-1])
    while listed.more:
        requests.append(next_page(requests[-1], listed.resources[-1].key))
        listed = read_list(state, requests[-1])
    shared = SharedPages()

    def read_all() -> tuple[float, int]:
        start_s = time.thread_time()
        size = sum(len(shared.reply(state, request).page) for request in requests)
        return time.thread_time() - start_s, size

    first_s, size = read_all()
    later_s, _ = read_all()
    return ListCost(len(requests), size, first_s, later_s)
