"""Tests of the tables that the demo prints."""

import pathlib

import pytest

from scenarios import language
from standins import behaviours, demo

FILES = sorted(pathlib.Path(language.__file__).parent.glob("*.scenario"))
EVENTS = """
hosts h1 h2 in n1 of north
at 0s load reads 40/s for 1.5s POST /orders/x as secret-1 through h1, h2
at 1s server a1 stall 30% for 2s
at 1s server a2 truncate mode chunked
at 2s server a3 limit rate 2.5
at 2s platform outage for h1, h2
"""


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_every_event_of_a_scenario_has_a_line(path):
    scenario = language.load_scenario(path)
    lines = list(demo.event_table(scenario))
    assert len(lines) == len(scenario.events)
    for event, line in zip(scenario.events, lines, strict=True):
        assert event.action.replace("_", " ") in line
        for argument in event.arguments:
            assert getattr(argument, "name", "") in line


def test_each_kind_of_argument_is_described_by_its_type():
    lines = list(demo.event_table(language.parse_scenario(EVENTS)))
    assert [line[24:].strip() for line in lines] == [
        "reads: 40/s POST /orders/x",
        "a1 stall 30% 2000.0",
        "a2 truncate 100% mode chunked",
        "a3 limit 100% rate 2.5/s",
        "outage h1, h2",
    ]


def test_a_fault_with_a_rate_is_not_taken_for_a_load():
    fault = behaviours.Fault(name="limit", rate_per_s=4.0)
    event = language.Event(at_ms=0.0, action="misbehave", arguments=("a1", fault, None))
    (line,) = demo.event_table(language.Scenario(events=[event]))
    assert line.endswith("a1 limit 100% rate 4/s")
