"""Tests of the scenario language."""

import pathlib

import pytest

from scenarios import actions, checks, language
from standins import behaviours

TEXT = """
scenario "Every kind of line"   # a comment
seed 9
hosts h1 h2 in n1 of north
servers a1 a2 of orders in n1
workspace board rate 20 burst 5 keys secret-1 secret-2
route /orders to orders public within 500ms

at 0s load reads 40/s for 1.5s POST /orders/x as secret-1, secret-2 through h1, h2 keyed resent
at 1s server a1 stall 30% for 2s
at 1s server a2 truncate mode chunked
at 2s cut from n1 to a1
at 2s slow between h1 and n1 by 30ms at 30 mbit
at 2s platform outage for h1, h2
at 2s publish workspace board rate 1 burst 2
at 3s platform copied
at 4s platform returns after 500ms
at 5s platform returns
at 5s platform written again
at 6s publish route /new to orders within 2s
expect reads whole after 1s >= 99.5%
expect reads code key-refused = 0
"""
FILES = sorted(pathlib.Path(language.__file__).parent.glob("*.scenario"))


def test_every_kind_of_line():
    scenario = language.parse_scenario(TEXT)
    assert (scenario.title, scenario.seed) == ("Every kind of line", 9)
    assert [(spec.host, spec.data_centre) for spec in scenario.hosts] == [
        ("h1", "n1"),
        ("h2", "n1"),
    ]
    assert scenario.workspaces[0].keys == ("secret-1", "secret-2")
    assert (scenario.routes[0].public, scenario.routes[0].timeout_ms) == (True, 500.0)
    load, stall, truncate, cut, slow, platform, publish, *others = scenario.events
    assert load.arguments[0].targets == ("h1", "h2")
    assert load.arguments[0].keyed and load.arguments[0].resend
    fault = behaviours.Fault(name="stall", share=0.3)
    assert (stall.at_ms, stall.arguments) == (1000.0, ("a1", fault, 2000.0))
    assert truncate.arguments[1].mode == "chunked"
    assert (cut.action, cut.arguments) == ("cut_one_way", ("n1", "a1"))
    assert slow.arguments == ("h1", "n1", 30.0, 30.0)
    assert platform.arguments == ("outage", ("h1", "h2"))
    assert publish.arguments == ("board", (1.0, 2.0))
    route = language.Route(path="/new", service="orders", timeout_ms=2000.0)
    assert [(event.action, event.arguments) for event in others] == [
        ("copy_platform", ()),
        ("return_platform", (500.0,)),
        ("return_platform", (None,)),
        ("publish_lost", ()),
        ("publish_route", (route,)),
    ]
    assert str(scenario.expectations[0]) == "reads whole after 1s >= 99.5%"
    assert scenario.expectations[1].argument == "key-refused"


@pytest.mark.parametrize(
    "line",
    [
        "hosts in n1 of north",
        "at soon kill h1",
        "at 1s explode h1",
        "at 1s server a1 sulk",
        "expect reads whole about 3",
    ],
)
def test_line_that_is_not_understood_is_named(line):
    with pytest.raises(language.ScenarioError, match="line 2"):
        language.parse_scenario(f"\n{line}\n")


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_file_names_only_known_actions_and_measures(path):
    scenario = language.load_scenario(path)
    assert scenario.title
    assert {event.action for event in scenario.events} <= set(actions.actions)
    assert {each.measure for each in scenario.expectations} <= set(checks.measures)


def test_window_excess_counts_only_what_lies_within_a_window():
    spans = [(float(index), 900.0) for index in range(5)] + [(5_000.0, 5_001.0)]
    assert checks._max_window_excess(spans, rate=1.0, burst=3.0) == 1.0
