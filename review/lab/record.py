"""The record of a case: what was sent, answered and run, with times since the case began."""

import threading
import time
from pathlib import Path


class Record:
    """Writes lines to `record.txt`; thread-safe."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._began_at

    def note(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{self.now():8.3f}  {text}\n")
                self._file.flush()

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            self._file.close()
