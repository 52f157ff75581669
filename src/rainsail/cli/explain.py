"""``rainsail explain``: why a request was routed as it was."""

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
"""Scores are in tokens, lower is better."""


def explain(request_id: str, address: str | None = None, output: str = "table") -> None:
    """Print the candidates and scores of a gateway's decisions, from its ring in memory.

    Each gateway keeps its own decisions, for the last requests only: ask the one that answered.
    An operator's key sees every request, a tenant's key that tenant's.

    Args:
        request_id: The request's Idempotency-Key or the id of its answer; session/NAME tells why
            a session is where it is, as its turns go there without a decision of their own.
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
