"""Command that sends one load and prints what came back."""

if __name__ == "__main__":
    # Before anything else imports sockets; an import of this module alone patches nothing.
    from gevent import monkey

    monkey.patch_all()

from absl import app, flags

from standins import caller

_TARGETS = flags.DEFINE_list("targets", [], "Callers' addresses ip:port of hosts.")
_KEYS = flags.DEFINE_list("keys", [], "Callers' keys, used in turn.")
_RATE = flags.DEFINE_float("rate", 20.0, "Requests a second.")
_SECONDS = flags.DEFINE_float("seconds", 5.0, "Seconds to send for.")
_PATH = flags.DEFINE_string("path", "/", "Path to ask for.")


def main(argv: list[str]) -> int:
    """Send the load; 0 unless a broken answer passed as whole."""
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
