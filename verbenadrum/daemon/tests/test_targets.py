"""Tests of request targets, forwarded headers and API keys."""

import string

import hypothesis
import pytest
from hypothesis import strategies

from verbenadrum.daemon import targets

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=200)
TEXT = strategies.text(alphabet=string.ascii_letters + string.digits + "-_%&=/?;+", max_size=30)
KEY = "k3y-" + "x" * 20


@pytest.mark.parametrize(
    "raw",
    ["", "x", "*", "/a/../b", "/a/%2e%2e/b", "/a/%2e./b", "/a/..%2fb", "/a/..%5cb", "/./a", "/a b"],
)
def test_doubtful_targets_are_refused(raw):
    with pytest.raises(targets.BadRequestError):
        targets.parse_target(raw)


def test_path_is_what_the_caller_sent():
    assert targets.parse_target("/%61dmin//x").path == "/%61dmin//x"
    assert targets.parse_target("http://other/a?b=1").forward == "/a?b=1"


def test_different_keys_are_refused():
    target = targets.parse_target("/a?api_key=one")
    with pytest.raises(targets.BadRequestError):
        targets.find_key({"HTTP_X_API_KEY": "two"}, target)
    with pytest.raises(targets.BadRequestError):
        targets.parse_target("/a?api_key=one&api%5fkey=two")


def test_identity_and_hop_headers_are_dropped():
    environ = {
        "HTTP_X_WORKSPACE": "forged",
        "HTTP_X_REQUEST_ID": "forged",
        "HTTP_CONNECTION": "close, X-Private",
        "HTTP_X_PRIVATE": "1",
        "HTTP_ACCEPT": "*/*",
    }
    assert list(targets.clean_headers(environ, "")) == [("Accept", "*/*")]


ONLY_AUTHORIZATION = frozenset({targets.KeyPlace.AUTHORIZATION})


# A query parameter that is no key of the deployment was taken out before the server got the path.
@pytest.mark.parametrize(
    "query", ["api_key=1&z=2", "api_key=1", "a=1&api%5fkey=2&api_key=3", "api_key"]
)
def test_query_arrives_unchanged_where_keys_do_not_come_that_way(query):
    target = targets.parse_target(f"/p?{query}", ONLY_AUTHORIZATION)
    assert (target.forward, target.query, target.query_key) == (f"/p?{query}", query, "")
    environ = {"HTTP_X_API_KEY": "k", "HTTP_COOKIE": "a=1; api_key=2"}
    assert targets.find_key(environ, target, places=ONLY_AUTHORIZATION) == ""
    forwarded = dict(targets.clean_headers(environ, "", places=ONLY_AUTHORIZATION))
    assert forwarded == {"X-Api-Key": "k", "Cookie": "a=1; api_key=2"}


@hypothesis.given(
    place=strategies.sampled_from(("bearer", "header", "query", "cookie")), extra=TEXT
)
@SETTINGS
def test_the_key_never_passes(place, extra):
    query = f"api_key={KEY}&z=1" if place == "query" else "z=1"
    environ = {"HTTP_REFERER": f"http://x/?api_key={KEY}", "HTTP_X_OTHER": extra}
    if place == "bearer":
        environ["HTTP_AUTHORIZATION"] = f"Bearer {KEY}"
    if place == "header":
        environ["HTTP_X_API_KEY"] = KEY
    if place == "cookie":
        environ["HTTP_COOKIE"] = f"a=1; api_key={KEY}; b=2"
    target = targets.parse_target(f"/p?{query}")
    assert targets.find_key(environ, target) == KEY
    forwarded = list(targets.clean_headers(environ, KEY))
    assert KEY not in target.forward + target.query + repr(forwarded)
    assert target.forward == "/p?z=1"
