"""Reads all resources through the leader in pages, to bound the message size for large fleets.

Each page is read at its own revision. The list as a whole has the revision of the first page;
changes made between the pages arrive later as events.
"""

from dataclasses import dataclass

from expression import Error, Ok, Result

from rainsail.control.interface import ControlClient
from rainsail.control.listing import next_page
from rainsail.control.messages import ListReply, ListRequest, ResourcePage, SharedListReply
from rainsail.errors import Fault, FaultCode
from rainsail.resources.specs import Resource
from rainsail.state.commands import ROOT_GROUP
from rainsail.wire.codec import CodecError, decode

STEP = "paged_list.read"


@dataclass(frozen=True, slots=True)
class PagedList:
    """All resources; those newer than ``revision`` arrive again as events.

    A reader that has applied the events up to ``complete_revision`` has a complete view.
    """

    revision: int
    complete_revision: int
    in_force_revision: int
    resources: tuple[Resource, ...]


async def read_all_pages(
    client: ControlClient, page_resources: int, timeout_s: float
) -> Result[PagedList, Fault]:
    """Read every page; ``timeout_s`` applies to each page."""
    request = ListRequest(ROOT_GROUP, (), limit=page_resources, shared=True)
    pages: list[ListReply] = []
    while True:
        answer: Result[SharedListReply, Fault] = await client.call(request, timeout_s)
        if answer.is_error():
            return Error(answer.error)
        decoded = _decoded(answer.ok)
        if decoded.is_error():
            return Error(decoded.error)
        page = decoded.ok
        if pages and page.revision < pages[-1].revision:
            detail = (
                f"page at revision {page.revision} follows a page at revision {pages[-1].revision}"
            )
            return Error(Fault(FaultCode.CONFLICT, STEP, detail))
        pages.append(page)
        if not page.more:
            return Ok(_joined(pages))
        request = next_page(request, page.resources[-1].key)


def _decoded(reply: SharedListReply) -> Result[ListReply, Fault]:
    try:
        page: ResourcePage = decode(reply.page)
    except CodecError as error:
        return Error(Fault(FaultCode.INTERNAL, STEP, str(error)))
    return Ok(ListReply(reply.revision, reply.in_force_revision, page.resources, reply.more))


def _joined(pages: list[ListReply]) -> PagedList:
    resources = [resource for page in pages for resource in page.resources]
    return PagedList(
        pages[0].revision, pages[-1].revision, pages[-1].in_force_revision, tuple(resources)
    )
