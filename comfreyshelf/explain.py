"""Explains requests, jobs and lost work from the structured log lines of all processes."""

from collections.abc import Iterable, Iterator

import msgspec

from comfreyshelf.ids import JobId

_decode = msgspec.json.Decoder(dict).decode
# Fields that every line has; `render_line` shows them first or omits them.
_COMMON_FIELDS = ("time", "level", "process", "event")
# Events that affect all jobs at the time and may explain a pause of one of them.
_SHARED_EVENTS = frozenset(
    {
        "owner elected",
        "owner resigned",
        "store lost",
        "store regained",
        "progress not stored",
        "progress is stored again",
        "process started",
        "process stopping",
    }
)
# Events that decide the outcome of a job with a template of the cause, most specific first.
_CAUSE_TEMPLATES = (
    ("refused", "it was refused: {why}"),
    ("cancelled", "its caller cancelled it"),
    ("job ended", "it ended as {phase}: {why}"),
    ("run lost", "a run was lost: {why}"),
    ("run stopped", "a run was stopped: {why}"),
)


class LostWork(msgspec.Struct):
    """Runs that ended without success for one cause, and the core-seconds lost with them."""

    runs: int = 0
    core_s: float = 0.0


def sum_lost_work(texts: Iterable[str]) -> dict[str, LostWork]:
    """The work thrown away by cause, most first; reads the text once, line by line."""
    causes: dict[str, LostWork] = {}
    for line in iterate_lines(text for text in texts if '"run ended"' in text):
        if line.get("how") == "done" or "cause" not in line:
            continue
        lost = causes.setdefault(str(line["cause"]), LostWork())
        lost.runs += 1
        lost.core_s += float(str(line.get("lost_core_s", 0.0)))
    return dict(sorted(causes.items(), key=lambda item: -item[1].core_s))


def read_lines(texts: Iterable[str]) -> list[dict[str, object]]:
    """Decode log lines and sort them by time."""
    return sorted(iterate_lines(texts), key=lambda line: float(str(line["time"])))


def iterate_lines(texts: Iterable[str]) -> Iterator[dict[str, object]]:
    """Decode log lines, each from its first brace on; skip other text."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = _decode(text[start:].strip())
        except msgspec.DecodeError:
            continue
        if all(name in line for name in ("time", "process", "event")):
            yield line


def select_job_lines(lines: list[dict[str, object]], job: JobId) -> list[dict[str, object]]:
    """The lines that mention a job, and the events between them that affected all jobs."""
    job_lines = [line for line in lines if _mentions_job(line, job)]
    if not job_lines:
        return []
    first, last = float(str(job_lines[0]["time"])), float(str(job_lines[-1]["time"]))
    return [
        line
        for line in lines
        if _mentions_job(line, job)
        or (line["event"] in _SHARED_EVENTS and first <= float(str(line["time"])) <= last)
    ]


def describe_cause(lines: list[dict[str, object]], job: JobId) -> str:
    """The cause of a job's outcome in one sentence."""
    job_lines = [line for line in lines if _mentions_job(line, job)]
    for event, template in _CAUSE_TEMPLATES:
        for line in reversed(job_lines):
            if line["event"] == event:
                return template.format_map({"why": "", "phase": ""} | line)
    if not job_lines:
        return "no log line mentions it"
    return f"it has no outcome yet: its last event is '{job_lines[-1]['event']}'"


def render_line(line: dict[str, object], start_time: float) -> str:
    """Format a line, with the seconds since `start_time`."""
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in _COMMON_FIELDS)
    elapsed_s = float(str(line["time"])) - start_time
    return f"{elapsed_s:9.3f} s  {line['process']}: {line['event']} {fields}".rstrip()


def _mentions_job(line: dict[str, object], job: JobId) -> bool:
    if line.get("job") == job:
        return True
    task, path, why = (str(line.get(name, "")) for name in ("task", "path", "why"))
    return task.startswith(f"{job}.") or path.endswith(f"/{job}") or why.endswith(f" {job}")
