"""Tests of requests that share an idempotency key, through a callers' port."""

import pytest
import urllib3

from verbenadrum.daemon.tests import test_endless_callers, test_paths

start = test_endless_callers.start


def post(host, path, body, *, method="POST"):
    headers = {**test_endless_callers.HEADERS, "X-Deadline-Ms": "15000", "Idempotency-Key": "k1"}
    answer = urllib3.request(
        method, f"{host.url}{path}", headers=headers, body=body, retries=False, timeout=20.0
    )
    return answer.status, answer.data


# Bodies of one length had the same fingerprint: the second caller got the answer to the first.
@pytest.mark.parametrize(
    ("path", "body", "method"),
    [
        ("/pay", b"pay 2", "POST"),
        ("/other", b"pay 1", "POST"),
        ("/pay?x=1", b"pay 1", "POST"),
        ("/pay", b"pay 1", "PUT"),
        ("/pay", b"pay 10", "POST"),
    ],
)
def test_another_request_with_the_same_key_is_refused_as_a_reused_key(start, path, body, method):
    host = start(test_paths.TargetBackend(b"").address)
    first = post(host, "/pay", b"pay 1")
    assert first[0] == 200
    assert post(host, "/pay", b"pay 1") == first
    status, problem = post(host, path, body, method=method)
    assert (status, b'"key-reused"' in problem) == (422, True)


def test_streamed_bodies_with_the_same_key_never_get_each_others_answer(start):
    host = start(test_paths.TargetBackend(b"").address)
    large = b"x" * 100_000
    assert post(host, "/pay", large)[0] == 200
    assert post(host, "/pay", large[:-1] + b"y")[0] == 422
