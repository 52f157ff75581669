"""``rainsail explain``: shows why a request was routed to its runner."""

from typing import Any

from rainsail.cli.operator_client import run_client
from rainsail.cli.output import check_format, print_json, print_rows

CANDIDATE_COLUMNS = (
    "attempt",
    "chosen",
    "runner",
    "zone",
    "score",
    "matched_tokens",
    "stale_cache",
    "own_online",
    "foreign_online",
    "report_age_s",
)
"""Columns of the table of candidates; ``score`` is in tokens, lower is better."""


def explain(request_id: str, address: str | None = None, output: str = "table") -> None:
    """Print the candidates and scores of a gateway's routing decisions for a request.

    A gateway keeps its own decisions in memory, and those of the latest requests only, so use the
    address of the gateway that served the request. An operator's API key gives access to all
    requests, a tenant's key to those of that tenant.

    Args:
        request_id: The request's Idempotency-Key or the ID of its response. session/NAME explains
            the placement of a session; its turns follow it without decisions of their own.
        address: IP:PORT of the gateway's caller API (else RAINSAIL_ADDRESS).
        output: table or json.
    """
    check_format(output)
    path = f"/v1/explain/{request_id}"
    answer = run_client(address, lambda client: client.request("GET", path))
    if output == "json":
        print_json(answer)
        return
    for decision in answer["decisions"]:
        runner = decision["runner"] or "no runner"
        print(
            f"attempt {decision['attempt']} at {answer['gateway']}: {runner} "
            f"({decision['reason']}), {decision['usable']} runners were usable"
        )
    rows = [row for decision in answer["decisions"] for row in _candidate_rows(decision)]
    print_rows(rows, CANDIDATE_COLUMNS, output)


def _candidate_rows(decision: dict[str, Any]) -> list[dict[str, Any]]:
    return [
        {
            **candidate,
            "attempt": decision["attempt"],
            "chosen": "yes" if candidate["runner"] == decision["runner"] else "",
            "score": round(candidate["score"], 1),
            "report_age_s": round(candidate["report_age_s"], 2),
            "foreign_online": round(candidate["foreign_online"], 1),
        }
        for candidate in decision["candidates"]
    ]
