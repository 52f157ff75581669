"""Replaces a file so that a loss of power leaves either the old content or the new one."""

from expression import Error, Result

from rainsail.errors import Fault, FaultCode
from rainsail.storage.interface import FileSystem

NEW_SUFFIX = ".new"


async def replace_file(
    files: FileSystem, path: str, content: bytes, step: str
) -> Result[None, Fault]:
    """Write a file in a folder anew, and rename it into place once it is synced.

    ``step`` names the caller in the fault. What an earlier attempt left is overwritten.
    """
    folder = path.rpartition("/")[0]
    try:
        file = files.open(path + NEW_SUFFIX)
        try:
            file.truncate(0)
            file.append(content)
            synced = await file.sync()
        finally:
            file.close()
        if synced.is_error():
            return Error(synced.error)
        files.rename(path + NEW_SUFFIX, path)
        return await files.sync_folder(folder)
    except OSError as error:
        return Error(Fault(FaultCode.STORAGE, step, str(error)))
