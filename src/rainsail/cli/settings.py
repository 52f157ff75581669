"""``rainsail settings``: check settings files without starting anything."""

from pathlib import Path

from rainsail.cli.exit_codes import bad_input
from rainsail.cli.flags import repeated
from rainsail.cli.output import check_format, print_json, print_record
from rainsail.settings.load import load_settings
from rainsail.settings.model import ProcessSettings


class SettingsCommands:
    """Checks and shows settings files."""

    def check(self, file: str, set: str = "") -> None:
        """Validate a settings file; exit code 2 names every problem.

        Args:
            file: The TOML settings file.
            set: Override key.path=value; may be given several times.
        """
        settings = checked_settings(file, set)
        roles = ", ".join(settings.process.roles)
        print(f"{file}: process {settings.process.name} of {settings.process.fleet}: {roles}")

    def show(self, file: str, set: str = "", output: str = "table") -> None:
        """Print the settings in force: file, environment, flags and defaults together.

        Args:
            file: The TOML settings file.
            set: Override key.path=value; may be given several times.
            output: table or json.
        """
        check_format(output)
        plain = checked_settings(file, set).model_dump(mode="json")
        if output == "json":
            print_json(plain)
            return
        print_record(_flat("", plain), output)


def checked_settings(path: str, overrides: str = "") -> ProcessSettings:
    """Return valid settings, or end the command naming every problem."""
    loaded = load_settings(Path(path), repeated(overrides))
    if loaded.is_error():
        raise bad_input("\nrainsail: ".join(str(problem) for problem in loaded.error))
    return loaded.ok


def _flat(prefix: str, tree: dict[str, object]) -> dict[str, object]:
    rows: dict[str, object] = {}
    for key, value in tree.items():
        if isinstance(value, dict) and value:
            rows.update(_flat(f"{prefix}{key}.", value))
        else:
            rows[f"{prefix}{key}"] = value
    return rows
