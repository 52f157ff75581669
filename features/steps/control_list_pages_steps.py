"""Steps on the encoded list pages that nodes share."""

from unittest import mock

from behave import given, then, when
from features.support.declared_fleet import FleetSize, declarations, runner_name, tenant_spec

from rainsail.control import list_pages
from rainsail.control.listing import next_page
from rainsail.control.messages import ListRequest
from rainsail.resources.specs import Kind, ResourceKey
from rainsail.state.commands import ROOT_GROUP, DeleteResource, PutResource
from rainsail.state.machine import ReplicatedState
from rainsail.wire.codec import decode, encode


class CountedPages:
    """A state and its shared pages, with a counter of encodings."""

    def __init__(self, size: FleetSize) -> None:
        self.state = ReplicatedState()
        self.pages = list_pages.SharedPages()
        self.encoded = 0
        self.read: list[list] = []
        self._index = 0
        for command in declarations(size):
            self.apply(command)

    def apply(self, command) -> None:
        """Apply a command."""
        self._index += 1
        self.state.apply(self._index, command)

    def read_all(self, page_resources: int) -> list:
        """Read all pages as a node does."""
        request = ListRequest(ROOT_GROUP, (), limit=page_resources, shared=True)
        found: list = []
        while True:
            with mock.patch.object(list_pages, "encode", self._encode):
                reply = self.pages.reply(self.state, request)
            found += decode(reply.page).resources
            if not reply.more:
                return found
            request = next_page(request, found[-1].key)

    def _encode(self, message) -> bytes:
        self.encoded += 1
        return encode(message)


@given(
    "the shared pages of a fleet of {nodes:d} nodes, {runners:d} runners and {tenants:d} tenants"
)
def make_pages(context, nodes, runners, tenants):
    context.counted_pages = CountedPages(FleetSize(nodes, runners, 1, tenants, 1))


@when("{nodes:d} nodes read the shared pages of {limit:d} resources")
def read_pages(context, nodes, limit):
    context.counted_pages.read = [context.counted_pages.read_all(limit) for _ in range(nodes)]


@when("nodes read the shared pages in pages of {least:d} to {most:d} resources")
def read_odd_pages(context, least, most):
    context.counted_pages.read = [
        context.counted_pages.read_all(limit) for limit in range(least, most + 1)
    ]


@when("the state behind the shared pages takes a change of a tenant")
def change_tenant(context):
    key = ResourceKey(Kind.TENANT, "tenant-0003")
    context.counted_pages.apply(PutResource("changed", key, tenant_spec(5.0)))


@when("the state behind the shared pages takes a new tenant and loses a runner")
def add_and_remove(context):
    key = ResourceKey(Kind.TENANT, "tenant-0003-new")
    context.counted_pages.apply(PutResource("added", key, tenant_spec(5.0)))
    context.counted_pages.apply(DeleteResource("removed", ResourceKey(Kind.RUNNER, runner_name(7))))


@then("the shared pages were encoded {times:d} times")
def encoded_times(context, times):
    assert context.counted_pages.encoded == times, context.counted_pages.encoded


@then("each node read exactly the resources of the state")
def read_exactly(context):
    expected = context.counted_pages.state.list_resources()
    assert context.counted_pages.read
    assert all(found == expected for found in context.counted_pages.read)


@then("at most {most:d} encoded pages are kept")
def pages_kept(context, most):
    assert context.counted_pages.encoded > most
    assert len(context.counted_pages.pages._pages) == most
