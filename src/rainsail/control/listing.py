"""Answers list requests from a replica's state: whole, by name, or page by page."""

from rainsail.control.messages import ListReply, ListRequest
from rainsail.resources.specs import Kind, Resource, ResourceKey
from rainsail.state.interface import ReplicatedReader


def read_list(state: ReplicatedReader, request: ListRequest) -> ListReply:
    """Return the resources asked for, at the state's revision."""
    found = _resources(state, request)
    more = 0 < request.limit < len(found)
    page = found[: request.limit] if more else found
    return ListReply(state.revision, state.in_force_revision, tuple(page), more)


def next_page(request: ListRequest, reply: ListReply) -> ListRequest:
    """Return the request for the page after ``reply``."""
    last = reply.resources[-1].key
    return ListRequest(
        request.group, request.kinds, request.name, request.limit, last.kind, last.name
    )


def _resources(state: ReplicatedReader, request: ListRequest) -> list[Resource]:
    kinds = sorted(request.kinds or Kind)
    if request.name:
        named = [state.get(ResourceKey(kind, request.name)) for kind in kinds]
        return [each for each in named if each is not None]
    found: list[Resource] = []
    for kind in kinds:
        if kind >= request.after_kind:
            found += _after(state.list_resources(kind), kind, request)
        if request.limit and len(found) > request.limit:
            break
    return found


def _after(listed: list[Resource], kind: Kind, request: ListRequest) -> list[Resource]:
    if kind != request.after_kind:
        return listed
    return [each for each in listed if each.key.name > request.after_name]
