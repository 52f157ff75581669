"""The file of the tenants' API keys for a replay over HTTP: ``[keys]``, tenant = "key"."""

from pathlib import Path

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, ValidationError

from rainsail.errors import Fault, FaultCode
from rainsail.runtime.files import read_bounded
from rainsail.runtime.toml import parse_toml

STEP = "tenant_keys.read"
MAX_FILE_BYTES = 1024 * 1024


class _KeysFile(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)

    keys: dict[str, str]


def read_tenant_keys(path: Path) -> Result[dict[str, str], Fault]:
    """Read the keys; the fault names the file and the key path, never a key."""
    content = read_bounded(path, MAX_FILE_BYTES)
    if content.is_error():
        return _invalid(path, content.error)
    try:
        return Ok(_KeysFile.model_validate(parse_toml(content.ok.decode())).keys)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        return _invalid(path, f"{'.'.join(str(part) for part in first['loc'])}: {first['msg']}")
    except (ValueError, RecursionError) as error:
        return _invalid(path, f"expected TOML: {error}")


def _invalid(path: Path, detail: str) -> Result[dict[str, str], Fault]:
    return Error(Fault(FaultCode.INVALID, STEP, f"{path}: {detail}"))
