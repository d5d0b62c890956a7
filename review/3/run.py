"""Takes keys away in a configuration that is large, but within the store's limit for a value.

With TROUBLE=0 the same change is made while the configuration holds few keys.
"""

import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VALUE_BYTES = 1_048_576  # `value_bytes` of the settings
CONFIG_APPLY_S = 2.5  # `config_apply` of the site
TENANTS = 8
KEYS_PER_TENANT = 1000 if TROUBLE else 10
REQUESTS = 20


def key_of(tenant: int, number: int) -> str:
    """Return a key of 20 characters."""
    return f"key{tenant:02d}n{number:014d}"


def tenants(first: int, count: int) -> list[dict]:
    """Return the tenants, each with ``count`` keys from number ``first``."""
    return [
        {
            "name": f"ten{tenant}",
            "api_keys": [key_of(tenant, number) for number in range(first, first + count)],
            "priority": 2,
        }
        for tenant in range(TENANTS)
    ]


def ask(stage, host, key: str, label: str) -> int | str:
    """Send a request with a key and return the status."""
    channel = fleet.Channel(host.front)
    attempt = channel.send(
        "POST", "/refund/1", body=b"refund 1", fields={"Authorization": f"Token {key}"}
    )
    got = channel.receive()
    channel.close()
    status = got[0] if got else "closed"
    stage.record.write(f"{host.name} POST /refund/1 id={attempt} {label} key: {status}")
    return status


def main() -> int:
    """Return the exit code."""
    with fleet.Stage(FOLDER / "record.txt", hosts=2) as stage:
        routes = [fleet.route("refund", "unsafe", "refund-desk", public=False)]
        stage.configure(routes, tenants=tenants(0, 10))
        for _ in range(2):
            stage.backend("refund-desk")
        if not stage.start_hosts():
            return 2
        if any(ask(stage, host, key_of(0, 0), "first") != 200 for host in stage.hosts):
            return 2
        # The keys of the first version are dropped, and others are there.
        new = tenants(100, KEYS_PER_TENANT)
        stage.configure(routes, tenants=new)
        size = len(json.dumps(new))
        stage.record.write(
            f"version 2 acknowledged: {TENANTS * KEYS_PER_TENANT} keys in {TENANTS} tenants,"
            f" {size} bytes of tenants; a value may have {VALUE_BYTES}"
        )
        if size > VALUE_BYTES / 2:
            return 2
        time.sleep(CONFIG_APPLY_S + 2.0)
        old_only = refused = 0
        for index in range(REQUESTS):
            host = stage.hosts[index % 2]
            old_only += ask(stage, host, key_of(0, 0), "dropped") == 200
            refused += ask(stage, host, key_of(index % TENANTS, 100), "new") == 401
        text = (
            f"{CONFIG_APPLY_S + 2.0} s after the acknowledgement: {old_only} of {REQUESTS} requests"
            f" ran with a dropped key, {refused} of {REQUESTS} with a key that is there got 401"
        )
        stage.record.write(text)
        print(text)
        return 1 if old_only or refused else 0


if __name__ == "__main__":
    fleet.run_case(main)
