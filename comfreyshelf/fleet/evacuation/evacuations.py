"""The evacuated zones, and how current a process's knowledge of them is."""

import msgspec

from comfreyshelf.fleet.bounds import CONTACT_GRACE_S, Bounds
from comfreyshelf.ids import Offset, ZoneId

# Offset that messages of a version without evacuations decode to. A process of this version that
# has read nothing states offset 0.
OFFSET_UNSUPPORTED = Offset(-1)
# A target process may send a start for CONTACT_GRACE_S after the report that the orders answer. The
# call to the runner takes 0.8 s at most.
START_DELAY_S = CONTACT_GRACE_S + 0.8
# A timely long poll takes 1 s, so a shorter limit would forbid all starts for part of each second.
MIN_READ_AGE_S = 1.5
# A disturbance of the store may extend the bound by 6 s; 1 s of it is left for the orders to
# arrive and for clocks that differ.
STORE_DISTURBANCE_S = 5.0


class Evacuations(msgspec.Struct, frozen=True):
    """The evacuated zones according to all records below `offset` of the operators' topic."""

    zones: frozenset[ZoneId] = frozenset()
    offset: Offset = Offset(0)


class OperatorTopicState(msgspec.Struct, frozen=True):
    """What a process has read from the operators' topic.

    `current_at` is the time on the monotonic clock up to which the store has no other records.
    Reads are `failing` if the last one got no answer or an outdated one.
    """

    evacuations: Evacuations = Evacuations()
    current_at: float = float("-inf")
    failing: bool = False


def max_read_age_s(bounds: Bounds, failing: bool) -> float:
    """How old the knowledge of the topic may be for starts to cease in time, in seconds.

    It may be older while reads of the topic fail, as a disturbance of the store extends the bound.
    """
    limit_s = max(MIN_READ_AGE_S, bounds.evacuate_s - START_DELAY_S)
    return limit_s + STORE_DISTURBANCE_S if failing else limit_s
