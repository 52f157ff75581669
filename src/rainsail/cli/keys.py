"""``rainsail keys``: creates certificates, a development CA for them, and API keys."""

from pathlib import Path

from rainsail.cli.exit_codes import bad_input
from rainsail.cli.output import check_format, print_record
from rainsail.wire.hello import ProcessRole
from rainsail.wire.keys import create_certificates, new_api_key


class KeyCommands:
    """Create keys and certificates; existing files are never overwritten."""

    def create(self, folder: str, names: str, role: str = "gateway") -> None:
        """Create a certificate for each process, and a development CA if there is none.

        Args:
            folder: Folder for authority.pem and authority.key (the CA), NAME.pem and NAME.key.
            names: Process names, separated by commas.
            role: Role that the certificates are valid for: replica or gateway.
        """
        if role not in list(ProcessRole):
            raise bad_input(f"--role: expected replica or gateway, got {role!r}")
        process_names = [name.strip() for name in names.split(",") if name.strip()]
        if not process_names:
            raise bad_input("--names: expected process names separated by commas")
        try:
            written = create_certificates(Path(folder), process_names, ProcessRole(role))
        except (OSError, ValueError) as error:
            raise bad_input(f"{folder}: {error}") from None
        for path in written:
            print(path)

    def api_key(self, tenant: str, output: str = "table") -> None:
        """Print a new API key and its hash, which belongs in the tenant's key_hashes.

        Args:
            tenant: Tenant that the key is for.
            output: table or json.
        """
        check_format(output)
        new_key = new_api_key()
        row = {"tenant": tenant, "api_key": new_key.secret, "key_hash": new_key.sha256_hex}
        print_record(row, output)
