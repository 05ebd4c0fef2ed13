"""Writes what was sent, answered and run to record.txt, and keeps it for the checks."""

import threading
import time
from pathlib import Path


class Recorder:
    """Events of one trial in order; thread-safe."""

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Seconds since the trial began."""
        return time.monotonic() - self._began_at

    def note(self, line: str) -> None:
        """Write one line with its time."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {line}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
