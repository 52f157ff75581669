"""Reading a job file: what to run, for whom, by when."""

from pathlib import Path
from typing import Any

from pydantic import ValidationError

from rainsail.cli.exit_codes import bad_input
from rainsail.cli.resource_files import read_tree
from rainsail.control.job_endpoints import JobBody


def read_job(path: Path) -> dict[str, Any]:
    """Return a checked job file as the body of a submission, or end naming the key."""
    tree = read_tree(path)
    try:
        job = JobBody.model_validate(tree)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"])
        raise bad_input(f"{path}: {where}: {first['msg']}") from None
    return job.model_dump(mode="json")
