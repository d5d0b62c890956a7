"""Tests of placement in overloaded pools, and in pools with many faulty servers."""

import itertools

import pytest

from standins import stepped_fleet
from verbenadrum.engine import behaviours
from verbenadrum.placement import budget, messages

assert behaviours

TARGET_MS = 1_200.0
TIMEOUT_MS = 1_500.0
SERVICE_MS = 250.0
SERVERS = 10
# Number of slots over the mean of a log-normal service time with this median and sigma 0.3.
CAPACITY_PER_S = SERVERS * stepped_fleet.SLOTS / (SERVICE_MS * 1.046) * 1000.0
RUN_MS = 15_000.0
WARM_UP_MS = 3_000.0
# A refusal within this time leaves its caller time to retry within its target.
MAX_REFUSAL_MS = TARGET_MS * 0.35 + 100.0


def overload(seed, target_ms, load_factor=2.0):
    """Run a pool at ``load_factor`` times its capacity; return the fleet and the requests' logs.

    Logs of the warm-up, and of requests that may still be open at the end, are left out.
    """
    data_centres = itertools.cycle(("r1a", "r1b", "r2a", "r2b"))
    fleet = stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(4),
        servers={f"s{index}": next(data_centres) for index in range(SERVERS)},
        health="belief",
        seed=seed,
        median_ms=SERVICE_MS,
        sigma=0.3,
        timeout_ms=TIMEOUT_MS,
        target_ms=target_ms,
    )
    paths = (f"/{number}" for number in itertools.count())
    fleet.load(workspace="w", per_s=CAPACITY_PER_S * load_factor, path=lambda: next(paths))
    fleet.run(RUN_MS)
    logs = [log for log in fleet.logs if WARM_UP_MS <= log.sent_ms < RUN_MS - TIMEOUT_MS]
    return fleet, logs


def in_target(logs):
    return sum(log.ok and log.ended_ms - log.sent_ms <= TARGET_MS for log in logs)


@pytest.mark.parametrize("seed", range(3))
def test_pool_at_twice_its_capacity_still_serves_most_of_it_in_time(seed):
    _, logs = overload(seed, TARGET_MS)
    seconds = (RUN_MS - TIMEOUT_MS - WARM_UP_MS) / 1000.0
    assert in_target(logs) >= 0.85 * CAPACITY_PER_S * seconds


@pytest.mark.parametrize("seed", range(3))
def test_excess_requests_are_refused_early_with_a_retry_delay(seed):
    _, logs = overload(seed, TARGET_MS)
    refused = [log for log in logs if log.refusal]
    assert refused
    assert all(log.ended_ms - log.sent_ms <= MAX_REFUSAL_MS for log in refused if not log.attempts)
    assert all(log.retry_after_ms > 0.0 for log in refused if not log.attempts)


def test_early_refusal_serves_more_in_time_than_waiting_for_the_timeout():
    _, early = overload(1, TARGET_MS)
    _, late = overload(1, 0.0)
    assert in_target(early) > 1.1 * in_target(late)


def test_requests_sent_to_another_region_earn_retry_tokens_once():
    fleet, _ = overload(2, TARGET_MS, load_factor=1.5)
    earned = sum(
        home.budget.received for host in fleet.hosts.values() for home in host.placer.homes.values()
    )
    ratio = budget.DEFAULT_LIMITS.ratio
    assert 0.9 * ratio * len(fleet.logs) <= earned <= ratio * len(fleet.logs) + 1e-6


def test_target_below_the_service_time_does_not_reduce_what_is_served():
    _, wide = overload(3, TARGET_MS, load_factor=1.3)
    _, narrow = overload(3, SERVICE_MS / 3.0, load_factor=1.3)
    assert sum(log.ok for log in narrow) >= 0.9 * sum(log.ok for log in wide)


def test_servers_added_to_an_underused_pool_soon_get_requests():
    fleet = stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(4),
        servers={f"s{index}": "r1a" for index in range(SERVERS)},
        health="belief",
        median_ms=SERVICE_MS,
        target_ms=TARGET_MS,
    )
    entries = fleet.entries
    fleet.publish(entries[:-2])
    fleet.load(workspace="w", per_s=0.2 * CAPACITY_PER_S, method="POST")
    fleet.run(8_000.0)
    fleet.publish(entries)
    fleet.run(4_000.0)
    assert all(fleet.servers[entry.server].received for entry in entries[-2:])


def test_request_keeps_its_queue_place_while_the_other_region_has_no_slot():
    fleet = stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(2),
        servers={"near": "r1a", "far": "r2a"},
        health="belief",
        median_ms=SERVICE_MS,
        sigma=0.0,
        timeout_ms=TIMEOUT_MS,
        target_ms=TARGET_MS,
    )
    near, far = sorted(fleet.hosts)[0], sorted(fleet.hosts)[-1]
    for number in range(60):
        # Lets the homes measure the service time.
        for host in (far, near):
            fleet.request(host, path=f"/earlier/{host}/{number}", method="POST")
        fleet.run(SERVICE_MS)
    fleet.run(SERVICE_MS)
    for host in (far, near):
        for number in range(stepped_fleet.SLOTS):
            fleet.request(host, path=f"/{host}/{number}", method="POST")
    fleet.run(50.0)
    waiting = [fleet.request(near, path=f"/late/{number}", method="POST") for number in range(3)]
    fleet.run(2_000.0)
    assert [log.refusal for log in waiting] == ["", "", ""]
    assert all(log.ok and len(log.attempts) == 1 for log in waiting)
    homes = [home for host in fleet.hosts.values() for home in host.placer.homes.values()]
    assert homes and all(home.idle for home in homes)


def test_urgent_requests_are_served_first_and_the_others_do_not_starve():
    fleet = stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(4)[:8],
        servers={f"s{index}": "r1a" for index in range(SERVERS)},
        health="belief",
        median_ms=SERVICE_MS,
        sigma=0.3,
        timeout_ms=TIMEOUT_MS,
        target_ms=TARGET_MS,
        ranks={"/urgent": 0, "/later": 2},
    )
    for path in ("/urgent", "/later"):
        numbers = itertools.count()
        fleet.load(
            workspace="w",
            per_s=0.8 * CAPACITY_PER_S,
            path=lambda path=path, numbers=numbers: f"{path}/{next(numbers)}",
        )
    fleet.run(RUN_MS)
    logs = [log for log in fleet.logs if WARM_UP_MS <= log.sent_ms < RUN_MS - TIMEOUT_MS]
    urgent = [log for log in logs if log.path.startswith("/urgent")]
    later = [log for log in logs if log.path.startswith("/later")]
    assert in_target(urgent) >= 0.95 * len(urgent)
    # A rank starves if its success rate is less than a quarter of the overall one.
    assert in_target(later) / len(later) >= 0.25 * in_target(logs) / len(logs)


def test_request_without_a_suitable_free_server_does_not_block_the_queue():
    fleet = stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(1)[:1],
        servers={"slow": "r1a", "quick": "r1a"},
        health="belief",
        median_ms=SERVICE_MS,
        sigma=0.0,
        timeout_ms=4_000.0,
    )
    (host,) = fleet.hosts
    fleet.servers["slow"].median_ms = 3_000.0
    busy = [fleet.request(host, path=f"/busy/{number}") for number in range(6)]
    fleet.run(20.0)
    (home,) = fleet.hosts[host].placer.homes.values()
    excluded = messages.PlaceAsk(
        number=10_000,
        service=stepped_fleet.SERVICE,
        region="r1",
        workspace="w",
        fingerprint="",
        remaining_ms=3_500.0,
        idempotent=True,
        is_last_region=True,
        data_centre="r1a",
        excluded=("quick",),
    )
    home.request_slot(host, excluded)
    waiting = fleet.request(host, path="/next")
    fleet.run(4.0 * SERVICE_MS)
    assert sum(log.ok for log in busy) == stepped_fleet.SLOTS
    assert waiting.ok


FAULTY_FRACTION = 0.3
FAULTY_ERROR_FRACTION = 0.9
HEALTHY_ERROR_FRACTION = 0.012
FAULT_DURATION_MS = 9_000.0
WINDOW_MS = 2_000.0
MIN_USED_FRACTION = 0.7


def rotate_faulty_servers(fleet, changes):
    """Replace the set of servers that fail quickly, now and after each ``FAULT_DURATION_MS``."""
    faulty = set(
        fleet.rng.sample(sorted(fleet.servers), round(FAULTY_FRACTION * len(fleet.servers)))
    )
    for name, server in fleet.servers.items():
        server.error_fraction = FAULTY_ERROR_FRACTION if name in faulty else HEALTHY_ERROR_FRACTION
        server.error_ms = 1.0
    changes.append((fleet.clock.now_ms(), faulty))
    fleet.run_after(FAULT_DURATION_MS, lambda: rotate_faulty_servers(fleet, changes))


def run_rotating_faults(seed, load_factor, method, servers=20):
    """Run a pool in which a changing 30 % of the servers fails nine requests in ten.

    ``load_factor`` is the load in units of the capacity of the healthy servers.

    Returns
    -------
    fleet, logs, windows
        ``windows`` holds, for each two seconds, the fraction of the healthy servers that got
        requests and the fraction of the requests that were refused.
    """
    data_centres = itertools.cycle(("r1a", "r2a", "r1b", "r2b"))
    fleet = stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(4),
        servers={f"s{index:02}": next(data_centres) for index in range(servers)},
        health="belief",
        seed=seed,
        median_ms=SERVICE_MS,
        sigma=0.4,
        timeout_ms=TIMEOUT_MS,
        target_ms=TARGET_MS,
    )
    changes = []
    rotate_faulty_servers(fleet, changes)
    numbers = itertools.count()
    healthy_capacity_per_s = CAPACITY_PER_S * servers / SERVERS * (1.0 - FAULTY_FRACTION)
    fleet.load(
        workspace="w",
        per_s=healthy_capacity_per_s * load_factor,
        path=lambda: f"/{next(numbers)}",
        method=method,
    )
    windows = []
    for _ in range(15):
        before = {name: server.received for name, server in fleet.servers.items()}
        start_ms = fleet.clock.now_ms()
        fleet.run(WINDOW_MS)
        faulty = set().union(
            *(each for at_ms, each in changes if at_ms > start_ms - FAULT_DURATION_MS)
        )
        healthy = [name for name in fleet.servers if name not in faulty]
        used = sum(fleet.servers[name].received > before[name] for name in healthy)
        sent = [log for log in fleet.logs if log.sent_ms >= start_ms]
        refused_fraction = sum(bool(log.refusal) for log in sent) / len(sent)
        windows.append((used / len(healthy), refused_fraction))
    logs = [log for log in fleet.logs if WARM_UP_MS <= log.sent_ms < fleet.clock.now_ms() - 2_000.0]
    return fleet, logs, windows


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("seed", range(2))
def test_healthy_servers_stay_in_use_while_requests_are_refused(seed, method):
    _, _, windows = run_rotating_faults(seed, 1.3, method)
    overloaded = [used for used, refused_fraction in windows if 0.1 < refused_fraction < 0.5]
    assert overloaded and all(used >= MIN_USED_FRACTION for used in overloaded)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_fast_failing_servers_do_not_attract_the_queue_in_recovery_mode(method):
    fleet = stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(4)[:8],
        servers={f"s{index}": "r1a" for index in range(5)},
        health="belief",
        seed=5,
        median_ms=SERVICE_MS,
        sigma=0.3,
        timeout_ms=TIMEOUT_MS,
        target_ms=TARGET_MS,
    )
    numbers = itertools.count()
    server_capacity_per_s = CAPACITY_PER_S / SERVERS
    fleet.load(
        workspace="w",
        per_s=1.5 * server_capacity_per_s,
        path=lambda: f"/{next(numbers)}",
        method=method,
    )
    fleet.run(4_000.0)
    faulty = [server for name, server in sorted(fleet.servers.items()) if name != "s0"]
    for server in faulty:
        server.error_fraction, server.error_ms = 1.0, 1.0
    fleet.run(1_000.0)
    before = [server.received for server in faulty]
    start_ms = fleet.clock.now_ms()
    fleet.run(10_000.0)
    # Each is rechecked once within two seconds, and the first recheck may come at once.
    assert all(server.received - was <= 11 for server, was in zip(faulty, before, strict=True))
    logs = [log for log in fleet.logs if start_ms <= log.sent_ms < start_ms + 8_000.0]
    assert in_target(logs) >= 0.85 * server_capacity_per_s * 8.0


def test_recovered_server_soon_gets_requests_while_the_others_fail_some():
    fleet = stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(4)[:8],
        servers={f"s{index}": "r1a" for index in range(8)},
        health="belief",
        seed=8,
        median_ms=SERVICE_MS,
        sigma=0.3,
        timeout_ms=TIMEOUT_MS,
        target_ms=TARGET_MS,
    )
    for server in fleet.servers.values():
        server.error_ms = 1.0
    numbers = itertools.count()
    fleet.load(workspace="w", per_s=20.0, path=lambda: f"/{next(numbers)}", method="POST")
    fleet.run(5_000.0)
    recovered = fleet.servers["s7"]
    recovered.error_fraction = 1.0
    fleet.run(3_000.0)
    # From now on a fifth of the requests at the other servers fails, and none is refused.
    recovered.error_fraction = 0.0
    for name in ("s0", "s1", "s2", "s3", "s4", "s5", "s6"):
        fleet.servers[name].error_fraction = 0.2
    fleet.run(1_000.0)
    received = [recovered.received]
    for _ in range(3):
        fleet.run(WINDOW_MS)
        received.append(recovered.received)
    assert sorted(set(received)) == received


def lightly_loaded_fleet(*, servers, per_s, method, seed):
    """Return a lightly loaded fleet after four seconds."""
    fleet = stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(4)[:8],
        servers={f"s{index}": "r1a" for index in range(servers)},
        health="belief",
        seed=seed,
        median_ms=SERVICE_MS,
        sigma=0.3,
        timeout_ms=TIMEOUT_MS,
        target_ms=TARGET_MS,
    )
    for server in fleet.servers.values():
        server.error_ms = 1.0
    numbers = itertools.count()
    fleet.load(workspace="w", per_s=per_s, path=lambda: f"/{next(numbers)}", method=method)
    fleet.run(4_000.0)
    return fleet


@pytest.mark.parametrize("seed", range(3))
def test_failures_with_successful_retries_do_not_start_recovery_mode(seed):
    fleet = lightly_loaded_fleet(servers=8, per_s=10.0, method="GET", seed=seed)
    faulty = [fleet.servers[name] for name in ("s4", "s5", "s6", "s7")]
    for server in faulty:
        server.error_fraction = 1.0
    fleet.run(8_000.0)
    before = sum(server.received for server in faulty)
    start_ms = fleet.clock.now_ms()
    fleet.run(22_000.0)
    logs = [log for log in fleet.logs if start_ms <= log.sent_ms < start_ms + 20_000.0]
    assert sum(not log.ok for log in logs) <= 0.03 * len(logs)
    # In recovery mode most of them would be rechecked every 1.2 s.
    assert sum(server.received for server in faulty) - before <= 0.15 * len(logs)


@pytest.mark.parametrize("seed", range(3))
def test_failed_rechecks_do_not_prolong_recovery_mode(seed):
    fleet = lightly_loaded_fleet(servers=10, per_s=10.0, method="POST", seed=seed)
    for server in fleet.servers.values():
        server.error_fraction = 1.0
    fleet.run(1_000.0)
    for name in ("s0", "s1", "s2", "s3", "s4", "s5"):
        fleet.servers[name].error_fraction = 0.0
    fleet.run(8_000.0)
    start_ms = fleet.clock.now_ms()
    fleet.run(22_000.0)
    logs = [log for log in fleet.logs if start_ms <= log.sent_ms < start_ms + 20_000.0]
    assert sum(not log.ok for log in logs) <= 0.08 * len(logs)


def test_errors_at_a_short_deadline_do_not_reduce_the_usable_slots():
    fleet = stepped_fleet.Fleet(
        hosts=stepped_fleet.two_regions(4)[:8],
        servers={f"s{index}": "r1a" for index in range(8)},
        health="belief",
        seed=11,
        median_ms=SERVICE_MS,
        sigma=0.3,
        timeout_ms=TIMEOUT_MS,
        target_ms=TARGET_MS,
        timeouts={"/short": 0.8 * SERVICE_MS},
    )
    for server in fleet.servers.values():
        server.answers_before_deadline = True
    numbers = itertools.count()
    for path in ("/short", "/long"):
        fleet.load(
            workspace="w",
            per_s=10.0,
            path=lambda path=path: f"{path}/{next(numbers)}",
            method="POST",
        )
    fleet.run(8_000.0)
    (home,) = (home for host in fleet.hosts.values() for home in host.placer.homes.values())
    slots = []
    for _ in range(20):
        fleet.run(500.0)
        slots.append(home.server_table.total_slots)
    failed = sum(not log.ok for log in fleet.logs if log.path.startswith("/short"))
    assert failed >= 0.3 * len(fleet.logs) / 2
    assert min(slots) >= 0.9 * stepped_fleet.SLOTS * len(fleet.servers)
