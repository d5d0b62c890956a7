"""Outer names of the rows of suspected hosts in ``/status``."""

import msgspec
import pytest

from verbenadrum import ids
from verbenadrum.membership import suspicion


@pytest.mark.parametrize(
    ("row", "until_ms"),
    [
        pytest.param(
            suspicion.SuspicionRow(
                host=ids.HostId("a1"),
                reason=suspicion.SuspicionReason.NO_ANSWER,
                next_probe_ms=1500.0,
            ),
            None,
            id="default-expiry",
        ),
        pytest.param(
            suspicion.SuspicionRow(
                host=ids.HostId("a1"),
                reason=suspicion.SuspicionReason.NO_ANSWER,
                next_probe_ms=1500.0,
                expires_ms=9000.0,
            ),
            9000.0,
            id="expiry-given",
        ),
    ],
)
def test_the_names_of_a_row_in_json_stay(row, until_ms):
    """A renamed attribute must not rename a key of the operators' ``/status``.

    JSON has no infinity: msgspec writes the default expiry as null.
    """
    assert msgspec.json.decode(msgspec.json.encode(row)) == {
        "host": "a1",
        "reason": "no-answer",
        "probe_at_ms": 1500.0,
        "until_ms": until_ms,
    }
