"""Clients' calls about relayed jobs, in the native API."""

from typing import Any
from urllib.parse import parse_qs, unquote

from rainsail.fleet_api import job_calls
from rainsail.fleet_api.items import whole_number
from rainsail.fleet_api.job_calls import (
    EndJob,
    JobCall,
    ReadJobBody,
    ReadJobResults,
    UnknownJobCall,
)
from rainsail.http.exchange import Handler, HttpRequest
from rainsail.jobs.client import JobClient
from rainsail.jobs.messages import ResultPage
from rainsail.relay.gateway import RelayGateway

JOBS = "/v1/relayed-jobs/"


def client_handler(gateway: RelayGateway, jobs: JobClient) -> Handler:
    """Return the HTTP handler of a gateway for clients."""
    return job_calls.client_handler(gateway, jobs, NativeJobCalls())


class NativeJobCalls:
    """Implements ``rainsail.fleet_api.job_calls.JobCallFormat`` under ``/v1/relayed-jobs/JOB``."""

    def read_call(self, request: HttpRequest) -> JobCall | None:
        """Read ``DELETE``, ``GET .../results?after=N&wait_s=N`` and ``GET .../bodies/ITEM``."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if not path.startswith(JOBS):
            return None
        job, _, rest = path[len(JOBS) :].partition("/")
        job = unquote(job)
        if request.method == b"DELETE" and not rest:
            return EndJob(job)
        if request.method == b"GET" and rest == "results":
            return _results_call(job, parse_qs(query))
        if request.method == b"GET" and rest.startswith("bodies/"):
            return ReadJobBody(job, unquote(rest.removeprefix("bodies/")))
        return UnknownJobCall()

    def page_body(self, page: ResultPage) -> dict[str, Any]:
        """Return the JSON body for a page of results."""
        results = [
            {"item": entry.item, "done": entry.done, "text": entry.text} for entry in page.results
        ]
        return {"total": page.total, "next": page.after + len(results), "results": results}


def _results_call(job: str, query: dict[str, list[str]]) -> ReadJobResults:
    after = whole_number(query.get("after", ["0"])[0])
    wait_s = float(whole_number(query.get("wait_s", ["0"])[0]))
    return ReadJobResults(job, after, wait_s)
