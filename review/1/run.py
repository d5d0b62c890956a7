"""Kills a host while its requests wait for a slot at another host, and starts it again.

The other host then grants the slots to the new process, which takes them for its own requests of
the same numbers, although those are for another service.
"""

import os
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Slots for each of these are granted by one of the two hosts; which one it is differs.
SERVICES = [f"ledger-{index}" for index in range(8)]
PAYOUT = "refund"
SLOTS = 3
# The longest work of the site; the servers stop earlier, once the new process has requests.
BUSY_S = 2.3
PAYOUT_S = 0.9
payouts_sent = threading.Event()
DEADLINE_MS = 4848
PAYOUTS = 12


def work(backend, sock, head, body) -> bool:
    """Work for as long as a request of its kind takes; then answer as usual."""
    if "/busy" in head.target:
        payouts_sent.wait(BUSY_S)
    elif f"/{PAYOUT}/" in head.target:
        time.sleep(PAYOUT_S)
    return False


class Callers:
    """Sends each request on a channel of its own, in the background."""

    def __init__(self, stage: fleet.Stage) -> None:
        self._stage = stage
        self._threads: list[threading.Thread] = []

    def send(self, host: fleet.Host, target: str) -> None:
        """Send one request, and go on without its answer."""
        thread = threading.Thread(target=self._run, args=(host, target), daemon=True)
        thread.start()
        self._threads.append(thread)
        time.sleep(0.005)

    def _run(self, host: fleet.Host, target: str) -> None:
        attempt = "?"
        try:
            channel = fleet.Channel(host.front, timeout_s=8)
            attempt = channel.send("POST", target, body=b"pay 1", deadline_ms=DEADLINE_MS)
            self._stage.record.write(f"sent {host.name} POST {target} id={attempt}")
            got = channel.receive()
            status = got[0] if got else "closed"
        except OSError as error:
            status = type(error).__name__
        self._stage.record.write(f"answered POST {target} id={attempt} {status}")

    def join(self) -> None:
        """Wait for all answers."""
        for thread in self._threads:
            thread.join(10)


def main() -> int:
    """Return the exit code."""
    with fleet.Stage(FOLDER / "record.txt", hosts=2) as stage:
        names = (*SERVICES, PAYOUT)
        stage.configure(
            [
                fleet.route(name, "unsafe", name, timeout="5s", target_latency="1852ms")
                for name in names
            ]
        )
        for name in names:
            stage.backend(name, capacity=SLOTS, behave=work)
        if not stage.start_hosts():
            return 2
        first, second = stage.hosts
        callers = Callers(stage)
        for name in SERVICES:
            for index in range(SLOTS):
                callers.send(second, f"/{name}/busy/{index}")
        time.sleep(0.1)
        for name in SERVICES:
            callers.send(first, f"/{name}/waits")
        time.sleep(0.05)
        if TROUBLE:
            stage.record.write(f"SIGKILL to {first.name}, and started again")
            first.send_signal(signal.SIGKILL)
            first.process.wait()
            first.start()
            if not first.wait_ready(3.0):
                print("the host was not ready again in time")
                return 2
            stage.record.write(f"{first.name} is ready again")
        for index in range(PAYOUTS):
            callers.send(first, f"/{PAYOUT}/{index}")
        time.sleep(0.15)
        payouts_sent.set()
        callers.join()
        broken = 0
        for backend in stage.backends:
            for attempt, method, target, _ in backend.runs:
                if target.split("/")[1] != backend.service:
                    broken += 1
                    stage.record.write(
                        f"ROUTE: {method} {target} id={attempt} was run by {backend.name}, a server"
                        f" of {backend.service}"
                    )
        ran = sum(len(backend.runs) for backend in stage.backends)
        text = f"{ran} runs, {broken} of them by a service that no configuration allows"
        stage.record.write(text)
        print(text)
        if ran < len(SERVICES) * SLOTS + SLOTS:
            return 2
        return 1 if broken else 0


if __name__ == "__main__":
    fleet.run_case(main)
