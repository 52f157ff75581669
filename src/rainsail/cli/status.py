"""``rainsail status``: shows the health of the fleet."""

from rainsail.cli.operator_client import run_client
from rainsail.cli.output import check_format, print_json, print_record, print_rows

MEMBER_COLUMNS = ("replica", "identity", "voter", "reachable", "match_index")


def status(address: str | None = None, output: str = "table") -> None:
    """Print the group's health, how many more failures it tolerates, and its members.

    Args:
        address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
        output: table or json.
    """
    check_format(output)
    response = run_client(address, lambda client: client.request("GET", "/v1/status"))
    if output == "json":
        print_json(response)
        return
    members = response.get("members", [])
    print_record({k: v for k, v in response.items() if k != "members"}, output)
    print_rows(members, MEMBER_COLUMNS, output)
