"""The identity of a replica, generated when its data folder is created."""

import random
from dataclasses import dataclass

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from rainsail.errors import Fault
from rainsail.storage.faults import storage_fault
from rainsail.storage.interface import FileSystem
from rainsail.storage.log_records import FORMAT_VERSION
from rainsail.storage.records import RecordKind, encode_record, scan
from rainsail.storage.recovery import GROUP_PREFIX
from rainsail.wire.codec import CodecError, decode_body, encode_body
from rainsail.wire.names import wire_type

IDENTITY_PATH = "identity"
_TEMPORARY_PATH = "identity.part"
_IDENTITY_BITS = 128
_NO_GROUP = 0


@wire_type("FormatRecord")
@dataclass(frozen=True, slots=True)
class FormatRecord:
    """First record of the identity file in all formats: the format version of the data folder."""

    format_version: int


@wire_type("DataFolderRecord")
@dataclass(frozen=True, slots=True)
class DataFolderRecord:
    """Second record of the identity file: the owner of the data folder.

    ``schemas`` is the fingerprint of the schemas of the records in its logs and snapshots.
    """

    fleet: str
    replica: str
    identity: str
    schemas: str


@dataclass(frozen=True, slots=True)
class ReplicaIdentity:
    """The identity of a replica. ``is_new`` is set if this process created the data folder.

    A replica that lost its disk finds an empty folder and gets a new ``identity``, so that it is
    not mistaken for the replica that voted before.
    """

    fleet: str
    replica: str
    identity: str
    is_new: bool


def load_or_create_identity(
    files: FileSystem, fleet: str, replica: str, schemas: str, random: random.Random
) -> "Deferred[Result[ReplicaIdentity, Fault]]":
    """Read the data folder's identity, or create one if the folder is empty.

    ``schemas`` is the fingerprint of this program's durable records. Returns a STORAGE fault for a
    folder of another fleet or replica, of a newer format or of other schemas, for a damaged
    identity file, and for a folder that has groups but no identity.
    """
    return Deferred.fromCoroutine(_load_or_create(files, fleet, replica, schemas, random))


async def _load_or_create(
    files: FileSystem, fleet: str, replica: str, schemas: str, random: random.Random
) -> Result[ReplicaIdentity, Fault]:
    try:
        if files.exists(IDENTITY_PATH):
            return await _load(files, fleet, replica, schemas)
        if any(name.startswith(GROUP_PREFIX) for name in files.list("")):
            return Error(_fault("the folder holds groups but no identity"))
        return await _create(
            files, DataFolderRecord(fleet, replica, _generate_identity(random), schemas)
        )
    except OSError as error:
        return Error(_fault(str(error)))


def read_identity(files: FileSystem) -> Result[DataFolderRecord, Fault]:
    """Read the identity file; a newer format is a fault. Raises ``OSError`` if unreadable."""
    data = files.read(IDENTITY_PATH)
    scanned = scan(data, _NO_GROUP)
    if scanned.damage is not None:
        return Error(_fault(scanned.damage.reason, scanned.damage.offset))
    if [record.kind for record in scanned.records[:1]] != [RecordKind.FORMAT]:
        return Error(_fault("no format record", 0))
    try:
        version = decode_body(FormatRecord, scanned.records[0].body).format_version
        if version > FORMAT_VERSION:
            known = f"this program supports up to {FORMAT_VERSION}"
            return Error(_fault(f"data folder has format {version}, {known}", 0))
        if [record.kind for record in scanned.records[1:]] != [RecordKind.IDENTITY]:
            return Error(_fault("no identity record", scanned.end))
        found: DataFolderRecord = decode_body(DataFolderRecord, scanned.records[1].body)
    except CodecError as error:
        return Error(_fault(str(error), 0))
    return Ok(found)


async def _load(
    files: FileSystem, fleet: str, replica: str, schemas: str
) -> Result[ReplicaIdentity, Fault]:
    read = read_identity(files)
    if read.is_error():
        return Error(read.error)
    found = read.ok
    if found.fleet != fleet:
        return Error(_fault(f"data folder belongs to fleet {found.fleet!r}, not {fleet!r}"))
    if found.replica != replica:
        return Error(_fault(f"data folder belongs to replica {found.replica!r}, not {replica!r}"))
    if found.schemas != schemas:
        detail = f"its schemas are {found.schemas!r}, those of this program {schemas!r}"
        return Error(_fault(f"data folder was written by another version: {detail}"))
    synced = await files.sync_folder("")
    if synced.is_error():
        return Error(synced.error)
    return Ok(ReplicaIdentity(fleet, replica, found.identity, is_new=False))


def _generate_identity(random: random.Random) -> str:
    return f"{random.getrandbits(_IDENTITY_BITS):032x}"


async def _create(files: FileSystem, record: DataFolderRecord) -> Result[ReplicaIdentity, Fault]:
    format_body = encode_body(FormatRecord(FORMAT_VERSION))
    body = encode_body(record)
    data = encode_record(_NO_GROUP, RecordKind.FORMAT, format_body)
    data += encode_record(_NO_GROUP, RecordKind.IDENTITY, body)
    file = files.open(_TEMPORARY_PATH)
    try:
        file.truncate(0)
        file.append(data)
        synced = await file.sync()
    finally:
        file.close()
    if synced.is_error():
        return Error(synced.error)
    files.rename(_TEMPORARY_PATH, IDENTITY_PATH)
    renamed = await files.sync_folder("")
    if renamed.is_error():
        return Error(renamed.error)
    return Ok(ReplicaIdentity(record.fleet, record.replica, record.identity, is_new=True))


def _fault(reason: str, offset: int | None = None) -> Fault:
    return storage_fault("identity", IDENTITY_PATH, reason, offset)
