"""The status page: the state of the deployment as one entry knows it, in HTML."""

from collections import Counter
from collections.abc import Iterable, Sequence
from html import escape

from comfreyshelf.front import FrontEnd
from comfreyshelf.model import JobState
from comfreyshelf.reasons import RefusalReason, RetryReason

_STYLE = (
    "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;margin:0 0 1.5em}"
    "td,th{border:1px solid #999;padding:2px 8px;text-align:left}"
)
_LATENCY_NAMES = ("request", "submit", "cancel", "publish", "log_append")


def render_status(front: FrontEnd) -> str:
    """The page as HTML text; it names no organisation, caller or job."""
    title = f"entry {escape(front.name)}"
    sections = (
        _summary(front),
        _table("Domains", ("domain", "owner", "epoch"), _domains(front)),
        _table(
            "Targets",
            ("target", "zone", "version", "draining", "parts", "requests"),
            _targets(front),
        ),
        _table("Jobs", ("state", "count"), _jobs(front)),
        _table("Refusals", ("reason", "count"), _reason_counts(front, "refusals", RefusalReason)),
        _table("Retries", ("reason", "count"), _reason_counts(front, "retries", RetryReason)),
        _table("Latency", ("what", "p50 ms", "p99 ms"), _latencies(front)),
    )
    return (
        f"<!DOCTYPE html><html><head><title>{title}</title><style>{_STYLE}</style></head>"
        f"<body><h1>{title}</h1>{''.join(sections)}</body></html>\n"
    )


def _summary(front: FrontEnd) -> str:
    state = "stopping" if front.stopping else "serving"
    log = "reachable" if front.reader.log_up else "unreachable"
    return f"<p>{state}; configuration version {front.config.version} in force; log {log}</p>"


def _table(title: str, head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    cells = "".join(f"<th>{escape(name)}</th>" for name in head)
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(str(value))}</td>" for value in row) + "</tr>"
        for row in rows
    )
    return f"<h2>{title}</h2><table><tr>{cells}</tr>{body}</table>"


def _domains(front: FrontEnd) -> list[tuple[object, ...]]:
    with front.reader.lock:
        domains = front.reader.ledger.state.domains
        return [
            (
                name,
                f"{entry.owner} (this entry)" if entry.owner == front.name else entry.owner,
                entry.epoch,
            )
            for name, entry in sorted(domains.items())
        ]


def _targets(front: FrontEnd) -> list[tuple[object, ...]]:
    return [
        (
            view.worker.target,
            view.worker.zone,
            view.version,
            "yes" if view.draining else "no",
            len(view.parts),
            sum(load.running for load in view.runners),
        )
        for view in front.roster.views()
    ]


def _jobs(front: FrontEnd) -> list[tuple[object, ...]]:
    with front.reader.lock:
        counts = Counter(entry.state for entry in front.reader.ledger.state.jobs.values())
    return [(state.value, counts[state]) for state in JobState]


def _reason_counts(
    front: FrontEnd, name: str, reasons: type[RefusalReason] | type[RetryReason]
) -> list[tuple[object, ...]]:
    counts = [
        (reason.value, int(front.metrics.value(f'{name}{{reason="{reason.value}"}}')))
        for reason in reasons
    ]
    return [row for row in counts if row[1]]


def _latencies(front: FrontEnd) -> list[tuple[object, ...]]:
    return [
        (
            name,
            f"{front.metrics.quantile(name, 50) * 1e3:.2f}",
            f"{front.metrics.quantile(name, 99) * 1e3:.2f}",
        )
        for name in _LATENCY_NAMES
    ]
