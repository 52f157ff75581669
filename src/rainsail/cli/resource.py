"""``rainsail resource``: declares, reads, watches and deletes resources."""

import uuid
from pathlib import Path
from typing import Any

from rainsail.cli.exit_codes import bad_input
from rainsail.cli.operator_client import OperatorClient, run_client
from rainsail.cli.output import check_format, print_record, print_rows
from rainsail.cli.resource_files import kind_of, read_resources
from rainsail.cli.watch import WatchFollower
from rainsail.state.commands import ANY_REVISION

COLUMNS = ("kind", "name", "revision", "spec", "status", "conditions")

Rows = list[dict[str, Any]]


class ResourceCommands:
    """Declare, read, watch and delete resources through the operator API of any replica."""

    def apply(self, file: str, address: str | None = None, output: str = "table") -> None:
        """Create or replace every resource of a TOML or JSON file.

        Args:
            file: Resource file; each entry of its list `resources` has kind, name and spec.
            address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
            output: table or json.
        """
        check_format(output)
        declared = read_resources(Path(file))

        async def work(client: OperatorClient) -> Rows:
            rows = []
            for resource in declared:
                path = f"/v1/resources/{resource.kind}/{resource.name}"
                body = _change({"spec": resource.spec}, None)
                rows.append((await client.request("PUT", path, body))["resource"])
            return rows

        _print(run_client(address, work), output)

    def get(self, kind: str, name: str, address: str | None = None, output: str = "table") -> None:
        """Print one resource.

        Args:
            kind: Kind of the resource, for instance Service.
            name: Name of the resource.
            address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
            output: table or json.
        """
        check_format(output)
        path = f"/v1/resources/{kind_of(kind)}/{name}"
        row = run_client(address, lambda client: client.request("GET", path))
        print_record(row, output)

    def list(self, kind: str = "", address: str | None = None, output: str = "table") -> None:
        """Print all resources, or those of one kind.

        Args:
            kind: Kind of the resources (default: all kinds).
            address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
            output: table or json.
        """
        check_format(output)
        path = f"/v1/resources/{kind_of(kind)}" if kind else "/v1/resources"
        response = run_client(address, lambda client: client.request("GET", path))
        _print(response["resources"], output)

    def delete(
        self,
        kind: str,
        name: str,
        expected_revision: str | None = None,
        address: str | None = None,
        output: str = "table",
    ) -> None:
        """Delete a resource.

        Args:
            kind: Kind of the resource.
            name: Name of the resource.
            expected_revision: Delete the resource only if this is its current revision.
            address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
            output: table or json.
        """
        check_format(output)
        path = f"/v1/resources/{kind_of(kind)}/{name}"
        body = _change({}, expected_revision)
        run_client(address, lambda client: client.request("DELETE", path, body))

    def watch(self, kind: str = "", from_revision: str = "", address: str | None = None) -> None:
        """Print each change as one JSON line until interrupted.

        Args:
            kind: Kind of the resources (default: all kinds).
            from_revision: Start after this revision (default: the current one).
            address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
        """
        follower = WatchFollower(str(kind_of(kind)) if kind else "", from_revision)
        run_client(address, follower.follow)


def _print(rows: Rows, output: str) -> None:
    print_rows(rows, COLUMNS, output)


def _change(body: dict[str, Any], expected_revision: str | None) -> dict[str, Any]:
    revision = ANY_REVISION if expected_revision is None else _revision(expected_revision)
    return {**body, "change_id": uuid.uuid4().hex, "expected_revision": revision}


def _revision(text: str) -> int:
    if not text.isdecimal():
        raise bad_input(f"--expected_revision: expected a whole number, got {text!r}")
    return int(text)
