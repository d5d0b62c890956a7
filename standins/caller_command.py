"""Command that sends one load to a fleet and prints a summary of the answers."""

if __name__ == "__main__":
    # Sockets must be patched before any other module imports them. Only the command does so: an
    # import of this module has no side effect on the importing program.
    from gevent import monkey

    monkey.patch_all()

from absl import app, flags

from standins import caller

_TARGETS = flags.DEFINE_list(
    "targets", [], "Addresses ip:port of the hosts' listeners for callers."
)
_KEYS = flags.DEFINE_list("keys", [], "Keys of callers, used in turn.")
_RATE = flags.DEFINE_float("rate", 20.0, "Requests per second.")
_SECONDS = flags.DEFINE_float("seconds", 5.0, "Seconds for which requests are sent.")
_PATH = flags.DEFINE_string("path", "/", "Path to request.")


def main(argv: list[str]) -> int:
    """Send the load and print its summary; return 1 if an answer was broken, otherwise 0."""
    del argv
    load = caller.Load(
        name="load",
        targets=tuple(_TARGETS.value),
        keys=tuple(_KEYS.value),
        rate_per_s=_RATE.value,
        duration_ms=_SECONDS.value * 1000.0,
        path=_PATH.value,
    )
    run = caller.LoadRun(load=load)
    run.run()
    print(caller.summary(run.rows))
    return int(any(row.verdict is caller.Verdict.BROKEN for row in run.rows))


if __name__ == "__main__":
    app.run(main)
