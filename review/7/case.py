"""Consumers with long bodies leave while they wait for a slot; what reaches an upstream after that?"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import bed2  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
# Over the size from which the host passes a body on while it comes, and within the first window of a
# channel, so that the consumer's close reaches the host although the body isn't read.
BODY_BYTES = 66_000
LEAVERS = 8
OTHERS = 14
BLOCKERS = 6
LEAVE_AFTER_S = 0.7
# The rule: more than a few requests, over half a second after their consumer has closed.
A_FEW = 3
LATE_S = 0.5


class Desk(bed2.Upstream):
    """Works as long as the request's path says, in milliseconds."""

    async def work(self, run, writer, echo, headers):
        """Work on a request and answer it."""
        self.work_s = float(run["target"].rsplit("/", 1)[1]) / 1000.0
        await asyncio.sleep(self.work_s)
        self.work_s = 0.0
        await super().work(run, writer, echo, headers)


async def send(bed, host, method, target, request, body=b"", leave_after_s=None):
    """Send a request; return the status, or None for a consumer that has left."""
    reader, writer = await asyncio.open_connection(host.ip, host.ports["front"])
    extra = (f"Content-Length: {len(body)}",) if body else ()
    writer.write(bed2.request_head(method, target, request, 6300, extra) + body)
    bed.record.add(f"sent  {method} {target} id={request} body={len(body)} to {host.name}")
    try:
        answer = await asyncio.wait_for(bed2.read_answer(reader), leave_after_s or 12.0)
    except asyncio.TimeoutError:
        writer.close()
        bed.record.add(f"left  id={request}: the consumer closes its channel")
        return None, bed.record.now()
    writer.close()
    status = answer and answer[0]
    bed.record.add(f"answ  id={request}: {status}")
    return status, bed.record.now()


def channels_closed_by_consumers(hosts):
    """Return on how many channels the consumer's close has reached a host (CLOSE_WAIT)."""
    fronts = {host.ports["front"] for host in hosts}
    rows = [line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(row[3] == "08" and int(row[1].split(":")[1], 16) in fronts for row in rows)


async def main(bed):
    """Play the case."""
    for number in (1, 2):
        await bed.add_upstream(Desk, service="alpha", name=f"i-{number}")
    await bed.add_upstream(Desk, service="beta", name="i-3", capacity=6)
    fields = {"timeout": "6000ms", "target": "6000ms"}
    bed.configure(
        7,
        [
            bed2.route("refund", kind="unsafe", **fields),
            bed2.route("balance", kind="safe", service="beta", **fields),
        ],
    )
    await bed.start_hosts(3)
    await asyncio.sleep(5.0)  # All hosts are in touch.
    hosts = bed.hosts
    blockers = [
        asyncio.ensure_future(
            send(bed, hosts[n % 3], "POST", f"/refund/b{n}/3000", f"block-{n}", b"x" * 300)
        )
        for n in range(BLOCKERS)
    ]
    await asyncio.sleep(0.4)
    leave = LEAVE_AFTER_S if bed2.trouble() else None
    long_ones = {
        f"{kind}-{n}": asyncio.ensure_future(
            send(
                bed,
                hosts[n % 3],
                "POST",
                f"/refund/{kind}{n}/300",
                f"{kind}-{n}",
                b"x" * size,
                leave,
            )
        )
        for kind, size, count in (("long", BODY_BYTES, LEAVERS), ("short", 300, 1))
        for n in range(count)
    }
    others = [
        asyncio.ensure_future(send(bed, hosts[n % 3], "GET", f"/balance/o{n}/50", f"other-{n}"))
        for n in range(OTHERS + 7)
    ]
    if bed2.trouble():
        await asyncio.wait(long_ones.values())
        await asyncio.sleep(0.1)
        closed = channels_closed_by_consumers(hosts)
        bed.record.add(f"the close has reached the hosts on {closed} channels")
        if closed < LEAVERS:
            raise bed2.CannotRun(f"the close has reached the hosts on {closed} channels only")
    reached = bed.record.now()
    await asyncio.gather(*blockers, *others)
    ended = {request: await task for request, task in long_ones.items()}
    await asyncio.sleep(3.0)
    arrivals = {request: at for up in bed.upstreams for at, request in up.arrivals}
    runs = {run["id"] for up in bed.upstreams for run in up.runs}
    late = []
    for request, (status, at) in ended.items():
        arrived = arrivals.get(request)
        text = f"{request}: answer {status}, "
        if status is None and arrived is not None:
            text += f"reached an upstream {arrived - at:.2f} s after its consumer had closed"
            text += ", and was run" if request in runs else ""
            if arrived - reached > LATE_S:
                late.append(request)
        else:
            text += "reached no upstream" if arrived is None else "reached an upstream"
        bed.record.add(text)
        print(text)
    broken = len(late) > A_FEW
    print(
        f"GONE: {len(late)} requests of {len(ended)} reached an upstream over {LATE_S} s after the close"
    )
    bed.record.add(f"GONE {'is broken' if broken else 'holds'}: {len(late)} late")
    return bed2.BROKEN if broken else bed2.HOLDS


bed2.play(FOLDER, main)
