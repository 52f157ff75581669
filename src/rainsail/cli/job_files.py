"""Reads job files, which declare a batch job: its items, tenant, service and deadline."""

from pathlib import Path
from typing import Any

from pydantic import ValidationError

from rainsail.cli.exit_codes import bad_input
from rainsail.cli.resource_files import read_tree
from rainsail.control.job_endpoints import JobBody


def read_job(path: Path) -> dict[str, Any]:
    """Validate a job file and return it as the body of a submission.

    Raises:
        CommandEnd: The file is invalid; the message names the key.
    """
    tree = read_tree(path)
    try:
        job = JobBody.model_validate(tree)
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"])
        raise bad_input(f"{path}: {location}: {first['msg']}") from None
    return job.model_dump(mode="json")
