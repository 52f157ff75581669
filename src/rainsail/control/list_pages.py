"""A cache of encoded list pages, shared by all nodes that list the same resources.

A page is encoded again only when one of its resources has changed. The revision is not part of
the encoded bytes, so a change of another resource leaves them valid. When many nodes start at
once, the leader encodes each page once and only sends it to the others.
"""

from collections import OrderedDict
from dataclasses import dataclass
from operator import is_

from rainsail.control.listing import read_list
from rainsail.control.messages import ListRequest, ResourcePage, SharedListReply
from rainsail.resources.specs import Resource
from rainsail.state.interface import ReplicatedReader
from rainsail.wire.codec import encode

MAX_CACHED_PAGES = 128
"""Number of pages kept; a full list of 20,000 resources takes about 41 pages."""


@dataclass(frozen=True, slots=True)
class _EncodedPage:
    resources: tuple[Resource, ...]
    body: bytes

    def matches(self, resources: tuple[Resource, ...]) -> bool:
        """Tell whether the page was encoded from exactly these (immutable) resource objects."""
        same_length = len(resources) == len(self.resources)
        return same_length and all(map(is_, resources, self.resources))


class SharedPages:
    """Answers list requests of one group with encoded pages."""

    def __init__(self) -> None:
        self._pages: OrderedDict[ListRequest, _EncodedPage] = OrderedDict()

    def reply(self, state: ReplicatedReader, request: ListRequest) -> SharedListReply:
        """Return the requested page, at the state's revision."""
        listed = read_list(state, request)
        body = self._body(request, listed.resources)
        return SharedListReply(listed.revision, listed.in_force_revision, body, listed.more)

    def _body(self, request: ListRequest, resources: tuple[Resource, ...]) -> bytes:
        page = self._pages.get(request)
        if page is None or not page.matches(resources):
            page = _EncodedPage(resources, encode(ResourcePage(resources)))
            self._pages[request] = page
        self._pages.move_to_end(request)
        if len(self._pages) > MAX_CACHED_PAGES:
            self._pages.popitem(last=False)
        return page.body
