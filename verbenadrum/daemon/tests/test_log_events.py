"""Tests that docs/logs.md lists exactly the log events and decisions that the code writes."""

import ast
import pathlib

from verbenadrum.decisions import ring

PACKAGE = pathlib.Path(__file__).parents[2]
LOG_PAGE = PACKAGE.parent / "docs" / "logs.md"
LOGGERS = ("_log", "_logger")
LOG_METHODS = ("info", "warning", "error", "exception")
# Kinds of decisions that no code takes. A decision is logged with its kind as the message, by one
# call for all kinds, so the kinds are found by their use.
UNUSED_KINDS = {ring.DecisionKind.AUTHENTICATE}


def method_calls(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            yield node


def logger_name(call):
    value = call.func.value
    return value.attr if isinstance(value, ast.Attribute) else getattr(value, "id", "")


def source_trees():
    for path in sorted(PACKAGE.rglob("*.py")):
        if not {"tests", "cli"} & set(path.parts):
            yield ast.parse(path.read_text())


def logged_events():
    return {
        call.args[0].value
        for tree in source_trees()
        for call in method_calls(tree)
        if logger_name(call) in LOGGERS
        and call.func.attr in LOG_METHODS
        and isinstance(call.args[0], ast.Constant)
    }


def used_kinds():
    return {
        node.attr
        for tree in source_trees()
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Attribute)
        and node.value.attr == "DecisionKind"
    }


def first_column(heading):
    section = LOG_PAGE.read_text().split(f"## {heading}\n")[1].split("\n## ")[0]
    rows = [line for line in section.splitlines() if line.startswith("| `")]
    return [row.split("|")[1] for row in rows]


def test_page_lists_each_event_of_the_code_and_no_other():
    documented = {cell.strip().strip("`") for cell in first_column("Events")}
    assert documented == logged_events()


def test_page_lists_each_kind_of_decision_that_is_taken():
    documented = {word for cell in first_column("Decisions") for word in cell.split("`")[1::2]}
    used = {ring.DecisionKind[name].value for name in used_kinds()}
    assert documented == used
    assert {kind.value for kind in ring.DecisionKind} - used == {
        kind.value for kind in UNUSED_KINDS
    }
