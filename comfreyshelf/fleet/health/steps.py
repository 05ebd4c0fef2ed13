"""The steps of one machine between trusted, probation and avoided."""

import msgspec

from comfreyshelf.fleet.health.blame import Places
from comfreyshelf.fleet.health.score import FAILURE_CHARGE, MIN_SCORE, Score
from comfreyshelf.fleet.health.target_health import Standing
from comfreyshelf.ids import JobId

# The failures of two jobs with up to two successes in between reach the first, of three jobs the
# second.
PROBATION_SCORE = 1.5 * FAILURE_CHARGE
AVOIDED_SCORE = 2.5 * FAILURE_CHARGE
# In a rack or zone that fails, one failure of its own is enough for a machine to be avoided.
AVOIDED_SCORE_IN_FAILING_GROUP = 0.5 * FAILURE_CHARGE
# Signals raise a score up to here, which is between the first two. One that is as high as the first
# would have decayed below it before the next planning pass.
MAX_SIGNAL_SCORE = 1.8 * FAILURE_CHARGE
SIGNALS = "signals"
# A failure on probation counts only if the target rather than the job is likely to have caused it.
MIN_BLAME = 0.5
# The pause of a machine doubles with each strike, up to the longest.
FIRST_PAUSE_S = 8.0
MAX_PAUSE_S = 120.0
# One strike is forgotten each time this long passes without another.
STRIKE_LIFE_S = 120.0
MAX_STRIKES = 6
# Most successes in a row that are needed to leave probation.
MAX_PROBES = 4
# Probation ends by itself after this long without a failure, as there may be no cheap tasks. The
# time doubles with each strike, up to the longest: nothing has shown that the machine is well.
FIRST_PROBATION_S = 30.0
MAX_PROBATION_S = 120.0


class Machine(msgspec.Struct):
    """What is known of one machine; times are on the owner's clock.

    `strikes` are recent changes for the worse. A machine that `is_cleared` has proved itself, so
    that neither a failing rack or zone nor signals count against it until it fails again.
    """

    places: Places
    score: Score
    standing: Standing = Standing.TRUSTED
    # The standing as of the last planning pass, so that changes between two passes are logged.
    announced_standing: Standing = Standing.TRUSTED
    # Why the standing changed last, and the kind of the last event that raised the score.
    reason: str = ""
    evidence: str = ""
    strikes: int = 0
    struck_at: float = 0.0
    since: float = 0.0
    paused_until: float = 0.0
    successes: int = 0
    is_cleared: bool = False
    # The job whose failure was the last strike; if the job explains it later, it is taken back.
    struck_by: JobId = JobId("")

    @property
    def next_change_at(self) -> float:
        """When the standing may change without an event."""
        if self.standing is Standing.AVOIDED:
            return self.paused_until
        if self.standing is Standing.PROBATION:
            return self.since + self._max_probation_s
        return float("inf")

    @property
    def _max_probation_s(self) -> float:
        return min(MAX_PROBATION_S, FIRST_PROBATION_S * 2.0**self.strikes)

    def record_success(self) -> None:
        """Record that a run succeeded."""
        if self.standing is Standing.PROBATION:
            self.successes += 1

    def record_failure(self, job: JobId, blame: float, evidence: str, now: float) -> None:
        """Record a failed or lost run, of which `blame` is put down to the machine."""
        if blame < MIN_BLAME:
            return
        self.is_cleared, self.evidence = False, evidence
        if self.standing is Standing.PROBATION:
            self._avoid(f"{evidence} on probation", now)
            self.struck_by = job

    def take_back(self, job: JobId, blame: float, now: float) -> None:
        """End the pause that a failure has caused which its job is now known to explain."""
        if self.standing is Standing.AVOIDED and self.struck_by == job and blame <= MIN_BLAME:
            self.strikes = max(0, self.strikes - 1)
            self.paused_until, self.struck_by = now, JobId("")

    def record_signal(self, charge: float, now: float) -> None:
        """Record an event that counts against the machine, but never enough to avoid it."""
        if not self.is_cleared:
            if self.score.value(now) < MIN_SCORE or not self.evidence:
                self.evidence = SIGNALS
            self.score.add(charge, now, MAX_SIGNAL_SCORE)

    def update(self, group: str, now: float) -> None:
        """Take the next step, if one is due; `group` is the level of a failing group, if any."""
        if self.standing is Standing.TRUSTED:
            self._judge(group, now)
        elif self.standing is Standing.AVOIDED:
            if now >= self.paused_until:
                self._enter(Standing.PROBATION, "its pause is over", now)
        elif self.successes >= min(MAX_PROBES, 1 + self.recent_strikes(now)):
            self.score, self.is_cleared = Score(0.0, now), True
            self._enter(Standing.TRUSTED, "runs succeeded", now)
        elif now - self.since >= self._max_probation_s:
            self.score = Score(0.0, now)
            self._enter(Standing.TRUSTED, "no run failed on probation", now)

    def _judge(self, group: str, now: float) -> None:
        score = self.score.value(now)
        is_in_failing_group = bool(group) and not self.is_cleared
        if score >= AVOIDED_SCORE:
            self._avoid(self.evidence, now)
        elif is_in_failing_group and score >= AVOIDED_SCORE_IN_FAILING_GROUP:
            self._avoid(f"{self.evidence} in failing {group}", now)
        elif score >= PROBATION_SCORE:
            if self.evidence != SIGNALS:
                self._strike(now)
            self._enter(Standing.PROBATION, self.evidence, now)
        elif is_in_failing_group:
            self._enter(Standing.PROBATION, f"failing {group}", now)

    def _avoid(self, reason: str, now: float) -> None:
        self._strike(now)
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** (self.strikes - 1))
        self.paused_until = now + pause_s
        self._enter(Standing.AVOIDED, reason, now)

    def _enter(self, standing: Standing, reason: str, now: float) -> None:
        self.standing, self.reason, self.since, self.successes = standing, reason, now, 0

    def _strike(self, now: float) -> None:
        self.strikes = min(MAX_STRIKES, self.recent_strikes(now) + 1)
        self.struck_at, self.struck_by = now, JobId("")

    def recent_strikes(self, now: float) -> int:
        """Strikes that are not forgotten yet."""
        return max(0, self.strikes - int((now - self.struck_at) / STRIKE_LIFE_S))
