"""Tests of the claims that a host keeps for itself, and of none."""

import pytest

from verbenadrum.claims import keys, local, none
from verbenadrum.core import context, ports
from verbenadrum.decisions import ring
from verbenadrum.utils import clock

State = ports.ClaimState


def make(kind):
    time = clock.SteppedClock()
    made = context.Context(
        host="h1",
        data_centre="d",
        region="r",
        incarnation=1,
        clock=time,
        rng=None,
        send=None,
        decisions=ring.DecisionRing(wall_ms=time.wall_ms),
    )
    return kind(context=made, records=None, membership=None, epochs=None), time


def request(key="k", *, fingerprint="f", workspace="w"):
    return ports.ClaimRequest(
        workspace=workspace, key=key, request="q", fingerprint=fingerprint, deadline_ms=1e9
    )


def claim(claims, **fields):
    results = []
    claims.claim(request(**fields), results.append)
    return results[0]


def answer(size=10):
    return ports.StoredAnswer(status=200, headers=(), body=b"x" * size)


# A request with the key of another one got the answer of that one.
def test_another_request_with_the_same_key_gets_no_answer_of_the_first():
    claims, _ = make(local.LocalClaims)
    assert claim(claims).state is State.WON
    assert claim(claims, fingerprint="g").reason == "key-reused"
    claims.finish(request(), answer())
    assert claim(claims).state is State.ANSWERED
    assert claim(claims, fingerprint="g").reason == "key-reused"
    assert claim(claims, workspace="v").state is State.WON


# The register forgot nothing, and its answers filled the memory of a host.
def test_answers_are_bounded_and_a_dropped_one_leaves_an_unknown_outcome(monkeypatch):
    monkeypatch.setattr(local, "MAX_ANSWER_BYTES", 1_000)
    claims, _ = make(local.LocalClaims)
    for number in range(50):
        assert claim(claims, key=f"k{number}").state is State.WON
        claims.finish(request(f"k{number}"), answer(100))
        assert claims.answer_bytes <= 1_000
    assert claim(claims, key="k0").reason == "outcome-unknown"
    assert claim(claims, key="k49").state is State.ANSWERED


def test_full_register_refuses_new_keys_and_keeps_those_that_may_have_run(monkeypatch):
    monkeypatch.setattr(local, "MAX_ROWS", 3)
    claims, time = make(local.LocalClaims)
    for number in range(3):
        assert claim(claims, key=f"k{number}").state is State.WON
        claims.finish(request(f"k{number}"), None)
    refused = claim(claims, key="k3")
    assert (refused.state, refused.reason) == (State.NOT_RUN, "register-full")
    assert claim(claims, key="k0").reason == "outcome-unknown"
    time.advance(keys.LIFETIME_MS)
    claims.on_tick()
    assert len(claims) == 0
    assert claim(claims, key="k3").state is State.WON


def test_running_request_keeps_its_row_beyond_the_lifetime():
    claims, time = make(local.LocalClaims)
    claim(claims)
    time.advance(2 * keys.LIFETIME_MS)
    claims.on_tick()
    assert claim(claims).state is State.IN_PROGRESS


def test_key_that_is_too_long_is_refused():
    claims, _ = make(local.LocalClaims)
    refused = claim(claims, key="k" * (keys.MAX_LENGTH + 1))
    assert (refused.state, refused.reason) == (State.NOT_RUN, "key-too-long")


@pytest.mark.parametrize("fingerprint", ["f", "g"])
def test_without_claims_every_request_runs(fingerprint):
    claims, _ = make(none.NoClaims)
    for _ in range(2):
        assert claim(claims, fingerprint=fingerprint).state is State.WON
        claims.finish(request(), answer())
