"""All machines are killed, those of the seeds stay dark for 5 s: what does one tenant get?"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import bed2  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
HOSTS = 8
SEEDS = 3
RESTART_DELAY_S = 0.5
DARK_S = 5.0
RATE_PER_S = 46
BURST = 46
# Bounds of the settings that the users' pages print.
WINDOW_S = 5.0
OVERSHOOT = 0.25
SLACK = 20
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
PER_HOST_PER_S = 60
LOAD_S = 9.0


async def send(bed, host, request):
    """Send one request of the tenant on a channel of its own."""
    sent = bed.record.now()
    try:
        reader, writer = await asyncio.open_connection(host.ip, host.ports["front"])
    except OSError:
        return
    try:
        writer.write(bed2.request_head("GET", f"/balance/{request}", request, 2000))
        answer = await asyncio.wait_for(bed2.read_answer(reader), 3.0)
        bed.record.add(
            f"answ  id={request} of {host.name}, sent at {sent:.3f}: {answer and answer[0]}"
        )
    except (asyncio.TimeoutError, OSError):
        bed.record.add(f"answ  id={request} of {host.name}, sent at {sent:.3f}: none")
    finally:
        writer.close()


async def load(bed, sent_at):
    """Send the tenant's requests to all hosts at a steady rate, far above its allowance."""
    tasks = []
    for step in range(int(LOAD_S * PER_HOST_PER_S)):
        for number, host in enumerate(bed.hosts):
            request = f"q{number}-{step}"
            sent_at[request] = bed.record.now()
            tasks.append(asyncio.ensure_future(send(bed, host, request)))
        await asyncio.sleep(1.0 / PER_HOST_PER_S)
    await asyncio.gather(*tasks)


async def restart(bed, host, delay_s):
    """Start a host again some time after it was killed."""
    await asyncio.sleep(delay_s)
    bed.record.add(f"host  {host.name} is started again")
    host.start(bed.seeds)


async def main(bed):
    """Play the case."""
    for number in range(12):
        await bed.add_upstream(service="alpha", name=f"i-{number}", work_s=0.02)
    tenant = {"name": bed2.TENANT, "api_keys": [bed2.KEY], "priority": 1}
    tenant |= {"rate_per_s": RATE_PER_S, "burst": BURST}
    bed.configure(
        7, [bed2.route("balance", kind="safe", timeout="1200ms", target="1200ms")], tenants=[tenant]
    )
    await bed.start_hosts(HOSTS)
    await asyncio.sleep(5.0)
    restarts = []
    if bed2.trouble():
        for host in bed.hosts:
            host.send_signal(signal.SIGKILL)
        for host in bed.hosts:
            host.process.wait()
        restarts = [
            asyncio.ensure_future(restart(bed, host, DARK_S if number < SEEDS else RESTART_DELAY_S))
            for number, host in enumerate(bed.hosts)
        ]
    sent_at = {}
    await load(bed, sent_at)
    await asyncio.gather(*restarts)
    await asyncio.sleep(1.0)
    # Sent and arrived at an upstream that runs them, both within the window.
    runs = sorted((run["began"], sent_at[run["id"]]) for up in bed.upstreams for run in up.runs)
    worst, worst_at = 0, 0.0
    for start in sorted(at for _, at in runs):
        inside = sum(start <= at and began <= start + WINDOW_S for began, at in runs)
        if inside > worst:
            worst, worst_at = inside, start
    broken = worst > ALLOWED
    text = (
        f"QUOTA {'is broken' if broken else 'holds'}: {worst} requests were sent and run in {WINDOW_S:.0f} s "
        f"from {worst_at:.3f}; allowed {ALLOWED:.0f}"
    )
    bed.record.add(text)
    print(text)
    return bed2.BROKEN if broken else bed2.HOLDS


bed2.play(FOLDER, main)
