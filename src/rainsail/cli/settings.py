"""``rainsail settings``: validates and prints settings files without starting anything."""

from pathlib import Path

from rainsail.cli.exit_codes import bad_input
from rainsail.cli.flags import repeated
from rainsail.cli.output import check_format, print_json, print_record
from rainsail.runtime.toml import parse_toml
from rainsail.settings.load import load_settings
from rainsail.settings.model import ProcessSettings
from rainsail.settings.node import load_node_settings


class SettingsCommands:
    """Validate and print settings files."""

    def check(self, file: str, set: str = "") -> None:
        """Validate a settings file; lists every problem and ends with exit code 2 if there is one.

        Args:
            file: The TOML settings file.
            set: Overrides a setting, as key.path=value; may be repeated.
        """
        if is_node_file(Path(file)):
            self._check_node(file, set)
            return
        settings = checked_settings(file, set)
        roles = ", ".join(settings.process.roles)
        print(f"{file}: process {settings.process.name} of {settings.process.fleet}: {roles}")

    def _check_node(self, file: str, set: str) -> None:
        if set:
            raise bad_input("--set: not supported for node settings; edit the file")
        loaded = load_node_settings(Path(file))
        if loaded.is_error():
            raise bad_input(str(loaded.error))
        node = loaded.ok.node
        print(f"{file}: node {node.name}: {node.role}")

    def show(self, file: str, set: str = "", output: str = "table") -> None:
        """Print the effective settings, merged from file, environment, flags and defaults.

        Args:
            file: The TOML settings file.
            set: Overrides a setting, as key.path=value; may be repeated.
            output: table or json.
        """
        check_format(output)
        plain = checked_settings(file, set).model_dump(mode="json")
        if output == "json":
            print_json(plain)
            return
        print_record(_flatten("", plain), output)


def is_node_file(path: Path) -> bool:
    """Return whether a file holds the settings of a node of a relaying fleet."""
    try:
        return "node" in parse_toml(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return False


def checked_settings(path: str, overrides: str = "") -> ProcessSettings:
    """Load and validate settings.

    Raises:
        CommandEnd: The settings are invalid; the message lists every problem.
    """
    loaded = load_settings(Path(path), repeated(overrides))
    if loaded.is_error():
        raise bad_input("\nrainsail: ".join(str(problem) for problem in loaded.error))
    return loaded.ok


def _flatten(prefix: str, tree: dict[str, object]) -> dict[str, object]:
    rows: dict[str, object] = {}
    for key, value in tree.items():
        if isinstance(value, dict) and value:
            rows.update(_flatten(f"{prefix}{key}.", value))
        else:
            rows[f"{prefix}{key}"] = value
    return rows
