"""Times that the platform promises, and the margins that follow from them."""

import time

import msgspec

# Clocks of targets may be this much slow.
CLOCK_DRIFT_FACTOR = 1.02
# A target process renews its target's lease for this long without contact to an owner.
CONTACT_GRACE_S = 2.5
# Time between a report and the orders that answer it.
ANSWER_MARGIN_S = 0.4
REPORT_INTERVAL_S = 1.0
# Nothing new is placed on a target that has not reported for this long.
SUSPECT_AFTER_S = 1.6


class Bounds(msgspec.Struct, frozen=True):
    """Bounds of one deployment, in seconds."""

    lease_s: float = 6.0
    stop_grace_s: float = 0.2
    gang_wait_s: float = 3.0
    status_retention_s: float = 120.0
    early_start_s: float = 0.25
    checkpoint_s: float = 0.5
    grace_s: float = 6.0

    @property
    def runs_lapsed_after_s(self) -> float:
        """How long after a target's last report its runs have certainly lapsed."""
        return CONTACT_GRACE_S + self.lease_s * CLOCK_DRIFT_FACTOR + ANSWER_MARGIN_S


def monotonic() -> float:
    """Seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
