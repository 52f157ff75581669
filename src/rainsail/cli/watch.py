"""Follows a watch and resumes it from the last revision after a lost connection."""

from typing import Any

from rainsail.cli.exit_codes import failed
from rainsail.cli.operator_client import OperatorClient
from rainsail.cli.output import print_json_line

COMPACTED = "revision_compacted"
TOO_SLOW = "too_slow"


class WatchFollower:
    """Prints changes and bookmarks as JSON lines, without gaps or duplicates."""

    def __init__(self, kind: str, from_revision: str) -> None:
        self._kind = kind
        self._revision = from_revision

    async def follow(self, client: OperatorClient) -> None:
        """Watch until the revision is compacted or the operator API stays unreachable.

        Raises:
            CommandEnd: The watch can't be resumed.
        """
        while True:
            query = {"kind": self._kind} if self._kind else {}
            if self._revision:
                query["revision"] = self._revision
            await client.lines("/v1/watch", self._on_line, **query)

    def _on_line(self, line: dict[str, Any]) -> None:
        if line["type"] == COMPACTED:
            raise failed(f"{line['error']['detail']}")
        self._revision = str(line["revision"])
        if line["type"] != TOO_SLOW:
            print_json_line(line)
