"""Loads a program of ``tools/`` as a module: the folder is no package."""

import importlib.util
from types import ModuleType

from features.support.command_line import ROOT


def load_tool(name: str) -> ModuleType:
    """Return the module of ``tools/NAME.py``."""
    spec = importlib.util.spec_from_file_location(name, ROOT / "tools" / f"{name}.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module
