"""The names and labels of metrics, as they are counted in the code and shown on metrics pages."""

import ast
import importlib
import inspect
import pkgutil
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any

from prometheus_client.parser import text_string_to_metric_families

import rainsail

PINNED = Path("features/compatibility/data/metrics.json")
NODE_METRICS_CALLS = ("count", "observe", "gauge")
"""What ``rainsail.node_metrics.NodeMetrics`` offers to those who count."""
OTHER_FRONT = ("rainsail.assembly.", "rainsail.gateway.", "rainsail.benchmarks.")
"""Packages that count by ``rainsail.metrics``, or not for operators."""
LIBRARY_PREFIXES = ("process_", "python_")


def page_metrics(page: str) -> dict[str, Any]:
    """Return type and label names of each metric of a page, without the library's own."""
    found = {}
    for family in text_string_to_metric_families(page):
        if family.name.startswith(LIBRARY_PREFIXES):
            continue
        labels = sorted({label for sample in family.samples for label in sample.labels})
        samples = sorted({sample.name for sample in family.samples})
        found[family.name] = {"type": family.type, "labels": labels, "samples": samples}
    return found


def page_gauges(page: str) -> dict[str, Any]:
    """Return the gauges of a page: they are there from the start of a node."""
    return {name: each for name, each in page_metrics(page).items() if each["type"] == "gauge"}


def node_metrics_in_code() -> dict[str, Any]:
    """Return type and label names of each metric that code of a relaying fleet counts."""
    found: dict[str, Any] = {}
    for module in _modules():
        tree = ast.parse(inspect.getsource(module))
        for call in _metric_calls(tree):
            kind, name, labels = _read_call(call, module)
            described = {"call": kind, "labels": labels}
            assert found.setdefault(name, described) == described, (name, described, found[name])
    return found


def _modules() -> Iterator[ModuleType]:
    for each in pkgutil.walk_packages(rainsail.__path__, "rainsail."):
        if each.ispkg or each.name.startswith(OTHER_FRONT) or each.name == "rainsail.node_metrics":
            continue
        spec = importlib.util.find_spec(each.name)
        assert spec is not None and spec.origin is not None
        if "metrics" in Path(spec.origin).read_text():
            yield importlib.import_module(each.name)


def _metric_calls(tree: ast.AST) -> Iterator[ast.Call]:
    """Yield calls such as ``base.metrics.gauge(...)`` and ``self._metrics.count(...)``.

    ``gauge(...)`` alone is one too: a short name for the first.
    """
    for call in ast.walk(tree):
        if not isinstance(call, ast.Call):
            continue
        function = call.func
        if isinstance(function, ast.Name) and function.id == "gauge":
            yield call
        elif isinstance(function, ast.Attribute) and function.attr in NODE_METRICS_CALLS:
            receiver = ast.unparse(function.value).rpartition(".")[2]
            if receiver.endswith("metrics"):
                yield call


def _read_call(call: ast.Call, module: ModuleType) -> tuple[str, str, list[str]]:
    kind = call.func.attr if isinstance(call.func, ast.Attribute) else "gauge"
    words = ast.unparse(call.args[0])
    try:
        name = eval(words, vars(module))
    except NameError:
        raise AssertionError(f"{module.__name__}: name a metric by a constant: {words}") from None
    labels = sorted(keyword.arg for keyword in call.keywords if keyword.arg != "amount")
    return kind, name, labels
