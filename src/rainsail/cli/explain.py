"""``rainsail explain``: why a request was routed as it was."""

from rainsail.cli.operator_client import run_client
from rainsail.cli.output import check_format, print_json, print_record


def explain(request_id: str, address: str | None = None, output: str = "json") -> None:
    """Print the candidates and scores of a gateway's decision, from its ring in memory.

    Args:
        request_id: The request's id, as in the answer's header.
        address: IP:PORT of the gateway's caller API (else RAINSAIL_ADDRESS).
        output: table or json.
    """
    check_format(output)
    path = f"/v1/explain/{request_id}"
    answer = run_client(address, lambda client: client.request("GET", path))
    if output == "json":
        print_json(answer)
        return
    print_record(answer, output)
