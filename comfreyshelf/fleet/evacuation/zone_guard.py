"""What a target process knows of evacuations."""

from comfreyshelf.fleet.evacuation.evacuations import Evacuations
from comfreyshelf.fleet.messages import Orders
from comfreyshelf.ids import Offset, ZoneId
from comfreyshelf.logs import log_event

# Reason for which starts in an evacuated zone are refused.
ZONE_EVACUATED = "zone evacuated"


class ZoneGuard:
    """The newest evacuations that any owner has sent; they outlive the targets of the VM."""

    def __init__(self) -> None:
        self._evacuations = Evacuations()

    @property
    def offset(self) -> Offset:
        """Up to where the operators' topic is known."""
        return self._evacuations.offset

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Whether nothing may start in a zone."""
        return zone in self._evacuations.zones

    def apply(self, orders: Orders, own_zone: ZoneId) -> None:
        """Apply the evacuations of orders, unless their owner knows less than this process."""
        if orders.operator_offset < self._evacuations.offset:
            return
        was_evacuated = self.is_evacuated(own_zone)
        self._evacuations = Evacuations(frozenset(orders.evacuated_zones), orders.operator_offset)
        if self.is_evacuated(own_zone) != was_evacuated:
            event = "zone returned to service" if was_evacuated else "zone evacuated"
            log_event(event, zone=own_zone, offset=orders.operator_offset)
