"""Counters and latency histograms of one process."""

import threading
from collections import Counter

import msgspec
from hdrh.histogram import HdrHistogram

from comfreyshelf.kernel import Service
from comfreyshelf.reasons import RefusalReason, RetryReason

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 24 * 3600 * 1_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0, 100.0)


class LinkPeer(msgspec.Struct, frozen=True):
    """The process at the other end of a link: its zone, and whether that is in another region."""

    zone: str = "unknown"
    cross_region: bool = False


LOG_PEER = LinkPeer("log")


class Metrics(Service):
    """Thread-safe counters, gauges and latency histograms, rendered as Prometheus text."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def start(self) -> None:
        """Create the counters of all refusal and retry reasons, so that they show as zero."""
        for refusal in RefusalReason:
            self.count(f'refusals{{reason="{refusal.value}"}}', 0)
        for retry in RetryReason:
            self.count(f'retries{{reason="{retry.value}"}}', 0)

    def stop(self) -> None:
        """Nothing to close."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        with self._lock:
            self._counters[name] += amount

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refusal."""
        self.count(f'refusals{{reason="{reason.value}"}}')

    def count_retry(self, reason: RetryReason) -> None:
        """Count a retry."""
        self.count(f'retries{{reason="{reason.value}"}}')

    def count_bytes_sent(self, peer: LinkPeer, size: int) -> None:
        """Count the bytes of control messages sent over a link."""
        self._count_bytes(peer, "out", size)

    def count_bytes_received(self, peer: LinkPeer, size: int) -> None:
        """Count the bytes of control messages received over a link."""
        self._count_bytes(peer, "in", size)

    def _count_bytes(self, peer: LinkPeer, direction: str, size: int) -> None:
        crosses = "yes" if peer.cross_region else "no"
        labels = f'link="{peer.zone}",cross_region="{crosses}",direction="{direction}"'
        self.count(f"control_bytes{{{labels}}}", size)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        with self._lock:
            self._gauges[name] = value

    def record_latency(self, name: str, seconds: float) -> None:
        """Add a latency in seconds to a histogram."""
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
                self._histograms[name] = histogram
            histogram.record_value(max(_MIN_LATENCY_US, int(seconds * 1e6)))

    def value(self, name: str) -> float:
        """The value of a counter or gauge, 0 if it is unknown."""
        with self._lock:
            return self._counters.get(name, self._gauges.get(name, 0))

    def quantile(self, name: str, percent: float) -> float:
        """The given percentile of a latency in seconds, 0 if none was recorded."""
        with self._lock:
            histogram = self._histograms.get(name)
            return histogram.get_value_at_percentile(percent) / 1e6 if histogram else 0.0

    def render(self) -> str:
        """All metrics in the Prometheus text format."""
        with self._lock:
            lines = [f"comfreyshelf_{name} {value}" for name, value in self._counters.items()]
            lines += [f"comfreyshelf_{name} {value}" for name, value in self._gauges.items()]
            for name, histogram in self._histograms.items():
                lines += [
                    f'comfreyshelf_{name}_seconds{{quantile="{percent / 100:g}"}} '
                    f"{histogram.get_value_at_percentile(percent) / 1e6:.6f}"
                    for percent in _QUANTILES
                ]
                lines.append(f"comfreyshelf_{name}_seconds_count {histogram.get_total_count()}")
        return "\n".join(sorted(lines)) + "\n"
