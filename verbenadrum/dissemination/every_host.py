"""Baseline read scheduler: every host reads the platform for itself."""

from verbenadrum.dissemination import duty, registry

__all__ = ["EveryHostReads"]


@registry.read_schedulers.register("every_host")
class EveryHostReads(duty.ReadScheduler):
    """Baseline for comparison: the calls to the platform grow with the number of hosts."""

    def _choose_reason(self) -> duty.ReadReason:
        return duty.ReadReason.READER
