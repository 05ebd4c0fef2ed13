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
# Time for stops, the ends that they cause, and starts to reach the targets and the owner.
RECLAIM_MARGIN_S = 1.0
# No new work is placed on a target that has not reported for this long.
SUSPECT_AFTER_S = 1.6
# No new work is placed on a target whose runner has not listed its runs for this long.
LISTING_SUSPECT_S = 2.5
# An owner resigns if the store has not confirmed its membership for this long. Until then it keeps
# the leases of targets that report to it.
MEMBERSHIP_TIMEOUT_S = 10.0


class Bounds(msgspec.Struct, frozen=True):
    """Time limits of one deployment, in seconds.

    `early_start_s` is how long before its time an occurrence of a periodic job may start.
    `reclaim_s` is how soon a job that its organisation's guarantee covers has to run. A task takes
    `remote_factor` times as long on another rack than that of its data, and so does a gang that
    should run in one rack and does not. A run that resumes from a checkpoint needs `restore_s` for
    it. Starts in an availability zone have to cease within `evacuate_s` after its evacuation was
    ordered; 0 if the deployment has no evacuations.
    """

    lease_s: float = 6.0
    stop_grace_s: float = 0.2
    gang_wait_s: float = 3.0
    status_retention_s: float = 120.0
    early_start_s: float = 0.25
    checkpoint_s: float = 0.5
    grace_s: float = 6.0
    reclaim_s: float = 2.7
    remote_factor: float = 3.0
    restore_s: float = 0.25
    evacuate_s: float = 0.0

    @property
    def reclaim_patience_s(self) -> float:
        """How long a job that a guarantee covers may wait for runs to end before it stops some."""
        return max(0.0, self.reclaim_s - self.stop_grace_s - RECLAIM_MARGIN_S)

    @property
    def runs_lapsed_after_s(self) -> float:
        """Time after a target's last report by which the lease of its runs has certainly lapsed."""
        return CONTACT_GRACE_S + self.lease_s * CLOCK_DRIFT_FACTOR + ANSWER_MARGIN_S

    @property
    def runs_stopped_after_s(self) -> float:
        """Time after its last contact to an owner when a target process stops what still runs.

        The stops have taken effect before the owner takes the runs for lapsed.
        """
        return self.runs_lapsed_after_s - ANSWER_MARGIN_S - self.stop_grace_s

    @property
    def unreported_runs_lapsed_after_s(self) -> float:
        """Time after a takeover by which the runs of a target that never reported have lapsed.

        The target may have been in contact with the previous owner until that one resigned.
        """
        return MEMBERSHIP_TIMEOUT_S + self.runs_lapsed_after_s


def monotonic() -> float:
    """Monotonic clock in seconds that, unlike time.monotonic, runs on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def steady() -> float:
    """Monotonic clock in seconds that, like a runner's, stands still while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)
