"""``rainsail drain``: drains a runner, gateway or replica."""

import uuid

from rainsail.cli.exit_codes import bad_input
from rainsail.cli.operator_client import run_client
from rainsail.cli.output import check_format, print_record
from rainsail.cli.resource_files import kind_of
from rainsail.resources.specs import Kind
from rainsail.state.commands import ANY_REVISION

DRAINABLE = (Kind.RUNNER, Kind.GATEWAY, Kind.REPLICA)


def drain(
    kind: str, name: str, undo: bool = False, address: str | None = None, output: str = "table"
) -> None:
    """Set `drain` of a resource: it gets no new work and finishes its running work.

    Args:
        kind: Runner, Gateway or Replica.
        name: Name of the resource.
        undo: Cancel the drain.
        address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
        output: table or json.
    """
    check_format(output)
    resource_kind = kind_of(kind)
    if resource_kind not in DRAINABLE:
        raise bad_input(f"kind: expected one of {', '.join(DRAINABLE)}, got {resource_kind}")
    body = {
        "spec": {"drain": not undo},
        "change_id": uuid.uuid4().hex,
        "expected_revision": ANY_REVISION,
    }
    path = f"/v1/resources/{resource_kind}/{name}"
    answer = run_client(address, lambda client: client.request("PATCH", path, body))
    print_record(answer["resource"], output)
