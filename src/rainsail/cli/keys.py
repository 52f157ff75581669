"""``rainsail keys``: a development authority, certificates and API keys."""

from pathlib import Path

from rainsail.cli.exit_codes import bad_input
from rainsail.cli.output import check_format, print_record
from rainsail.wire.hello import ProcessRole
from rainsail.wire.keys import create_certificates, new_api_key


class KeyCommands:
    """Makes keys and certificates; nothing is ever overwritten."""

    def create(self, folder: str, names: str, role: str = "gateway") -> None:
        """Make a certificate per process, and a development authority when there is none.

        Args:
            folder: Where authority.pem, authority.key and NAME.pem, NAME.key are written.
            names: Process names, separated by commas.
            role: What the processes may be: replica or gateway.
        """
        if role not in list(ProcessRole):
            raise bad_input(f"--role: expected replica or gateway, got {role!r}")
        wanted = [name.strip() for name in names.split(",") if name.strip()]
        if not wanted:
            raise bad_input("--names: expected process names separated by commas")
        try:
            written = create_certificates(Path(folder), wanted, ProcessRole(role))
        except (OSError, ValueError) as error:
            raise bad_input(f"{folder}: {error}") from None
        for path in written:
            print(path)

    def api_key(self, tenant: str, output: str = "table") -> None:
        """Print a new API key and the hash that goes into the tenant's key_hashes.

        Args:
            tenant: The tenant that will carry the key.
            output: table or json.
        """
        check_format(output)
        made = new_api_key()
        row = {"tenant": tenant, "api_key": made.secret, "key_hash": made.sha256_hex}
        print_record(row, output)
