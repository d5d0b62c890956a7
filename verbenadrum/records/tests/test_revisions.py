"""Property-based tests of the order of revisions."""

import hypothesis
import pytest
from hypothesis import strategies

from verbenadrum.records import revisions

MAX_COUNTER = 2**40 - 1
SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=400)
PAIRS = strategies.tuples(
    strategies.integers(0, revisions.MAX_GENERATION) | strategies.integers(0, 3),
    strategies.integers(0, MAX_COUNTER) | strategies.integers(MAX_COUNTER - 3, MAX_COUNTER),
)


@SETTINGS
@hypothesis.given(one=PAIRS, other=PAIRS)
def test_revisions_are_ordered_by_generation_and_then_by_counter(one, other):
    assert (revisions.join(*one) < revisions.join(*other)) == (one < other)
    assert (revisions.join(*one) == revisions.join(*other)) == (one == other)


@SETTINGS
@hypothesis.given(pair=PAIRS)
def test_revision_splits_into_what_it_was_joined_from(pair):
    revision = revisions.join(*pair)
    assert (revisions.generation_of(revision), revisions.counter_of(revision)) == pair
    assert 0 <= revision < 2**63


@pytest.mark.parametrize(
    "pair", [(-1, 0), (0, -1), (revisions.MAX_GENERATION + 1, 0), (0, MAX_COUNTER + 1)]
)
def test_number_out_of_range_is_an_error(pair):
    with pytest.raises(ValueError, match="is not between"):
        revisions.join(*pair)
