"""Time limits of a deployment, and margins derived from them."""

import time

import msgspec

# A target's clock may be slow by up to this factor, which lengthens its lease.
CLOCK_DRIFT_FACTOR = 1.02
# A target process keeps renewing its target's lease for this long without contact to an owner.
CONTACT_GRACE_S = 2.5
# Allowance for the time between a report and the orders that answer it.
ANSWER_MARGIN_S = 0.4
REPORT_INTERVAL_S = 1.0
# No new work is placed on a target that has not reported for this long.
SUSPECT_AFTER_S = 1.6


class Bounds(msgspec.Struct, frozen=True):
    """Time limits of one deployment, in seconds.

    `early_start_s` is how long before its time an occurrence of a periodic job may start.
    """

    lease_s: float = 6.0
    stop_grace_s: float = 0.2
    gang_wait_s: float = 3.0
    status_retention_s: float = 120.0
    early_start_s: float = 0.25
    checkpoint_s: float = 0.5
    grace_s: float = 6.0

    @property
    def runs_lapsed_after_s(self) -> float:
        """Time after a target's last report by which the lease of its runs has certainly lapsed."""
        return CONTACT_GRACE_S + self.lease_s * CLOCK_DRIFT_FACTOR + ANSWER_MARGIN_S


def monotonic() -> float:
    """Monotonic clock in seconds that, unlike time.monotonic, runs on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
