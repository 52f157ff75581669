"""Answers list requests from a replica's state: all resources, by name, or in pages."""

from bisect import bisect_right
from dataclasses import replace

from rainsail.control.messages import ListReply, ListRequest
from rainsail.resources.specs import Kind, Resource, ResourceKey
from rainsail.state.interface import ReplicatedReader


def read_list(state: ReplicatedReader, request: ListRequest) -> ListReply:
    """Return the requested resources, at the state's revision."""
    found = _resources(state, request)
    more = 0 < request.limit < len(found)
    page = found[: request.limit] if more else found
    return ListReply(state.revision, state.in_force_revision, tuple(page), more)


def next_page(request: ListRequest, last: ResourceKey) -> ListRequest:
    """Return the request for the page after one that ended with ``last``."""
    return replace(request, after_kind=last.kind, after_name=last.name)


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
    return listed[bisect_right(listed, request.after_name, key=_name) :]


def _name(resource: Resource) -> str:
    return resource.key.name
