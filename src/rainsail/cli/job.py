"""``rainsail job``: submits, follows and cancels batch jobs."""

import uuid
from pathlib import Path

from rainsail.cli.job_files import read_job
from rainsail.cli.operator_client import OperatorClient, run_client
from rainsail.cli.output import check_format, print_json_line, print_record, print_rows

COLUMNS = ("job_id", "phase", "pending", "leased", "completed", "set_aside", "cancelled")


class JobCommands:
    """Submit, follow and cancel batch jobs through the operator API of any replica."""

    def submit(self, file: str, address: str | None = None, output: str = "table") -> None:
        """Submit a job; submitting the same job key and content again creates no second job.

        Args:
            file: A TOML or JSON file with job_key, tenant, service, deadline_s and items.
            address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
            output: table or json.
        """
        check_format(output)
        body = read_job(Path(file))
        response = run_client(address, lambda client: client.request("POST", "/v1/jobs", body))
        print_record(response, output)

    def status(self, job_id: str = "", address: str | None = None, output: str = "table") -> None:
        """Print the phase and the item counts of one job or of all jobs.

        Args:
            job_id: ID of the job (default: all jobs).
            address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
            output: table or json.
        """
        check_format(output)
        path = f"/v1/jobs/{job_id}" if job_id else "/v1/jobs"
        response = run_client(address, lambda client: client.request("GET", path))
        if job_id:
            print_record(response, output)
            return
        print_rows(response.get("jobs", []), COLUMNS, output)

    def results(self, job_id: str, address: str | None = None) -> None:
        """Print every finished item of a job, one JSON line each.

        Args:
            job_id: ID of the job.
            address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
        """

        async def work(client: OperatorClient) -> None:
            first_index = 0
            while first_index >= 0:
                path = f"/v1/jobs/{job_id}/results"
                page = await client.request("GET", path, first_index=str(first_index))
                for row in page["rows"]:
                    print_json_line(row)
                first_index = page["next_index"]

        run_client(address, work)

    def cancel(self, job_id: str, address: str | None = None, output: str = "table") -> None:
        """Cancel a job: running items are stopped, later results are discarded.

        Args:
            job_id: ID of the job.
            address: IP:PORT of the operator API (else RAINSAIL_ADDRESS, else 127.0.0.1:7301).
            output: table or json.
        """
        check_format(output)
        body = {"change_id": uuid.uuid4().hex}
        response = run_client(
            address,
            lambda client: client.request("POST", f"/v1/jobs/{job_id}/cancel", body),
        )
        print_record(response, output)
