"""Holds docs/logs.md and the events that the code writes against each other."""

import ast
import pathlib

from verbenadrum.decisions import ring

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT.parent / "docs" / "logs.md"
LOGGERS = ("_log", "_logger")
METHODS = ("info", "warning", "error", "exception")
# Decisions go through one call whose message is their kind.
UNUSED_KINDS = {ring.DecisionKind.AUTHENTICATE}


def calls(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            yield node


def logger_name(call):
    value = call.func.value
    return value.attr if isinstance(value, ast.Attribute) else getattr(value, "id", "")


def sources():
    for path in sorted(ROOT.rglob("*.py")):
        if not {"tests", "cli"} & set(path.parts):
            yield ast.parse(path.read_text())


def events():
    return {
        call.args[0].value
        for tree in sources()
        for call in calls(tree)
        if logger_name(call) in LOGGERS
        and call.func.attr in METHODS
        and isinstance(call.args[0], ast.Constant)
    }


def kinds():
    return {
        node.attr
        for tree in sources()
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Attribute)
        and node.value.attr == "DecisionKind"
    }


def first_cells(heading):
    section = PAGE.read_text().split(f"## {heading}\n")[1].split("\n## ")[0]
    rows = [line for line in section.splitlines() if line.startswith("| `")]
    return [row.split("|")[1] for row in rows]


def test_page_lists_each_event_of_the_code_and_no_other():
    listed = {cell.strip().strip("`") for cell in first_cells("Events")}
    assert listed == events()


def test_page_lists_each_kind_of_decision_that_is_taken():
    listed = {word for cell in first_cells("Decisions") for word in cell.split("`")[1::2]}
    taken = {ring.DecisionKind[name].value for name in kinds()}
    assert listed == taken
    assert {kind.value for kind in ring.DecisionKind} - taken == {
        kind.value for kind in UNUSED_KINDS
    }
