"""A stand-in for the platform's log service over HTTP, for the demo and for tests."""

import cherrypy
import msgspec

from comfreyshelf.errors import LogUnavailableError
from comfreyshelf.ids import Offset
from comfreyshelf.kernel import Service
from comfreyshelf.log import MemoryLog
from comfreyshelf.settings import StandinSettings
from comfreyshelf.web import WebServer

MAX_LONG_POLL_S = 5.0


class LogResource:
    """`/records`: POST appends a msgpack list of records, GET reads a page from an offset.

    `/faults` sets `down`, `lost_answers`, `delay_s` and `expire_before` to inject faults in tests.
    """

    def __init__(self, log: MemoryLog) -> None:
        self._log = log

    @cherrypy.expose
    def records(self, offset: str = "0", wait_ms: str = "0") -> bytes:
        """Append on POST; read a page on GET."""
        try:
            if cherrypy.request.method == "POST":
                batch = msgspec.msgpack.decode(cherrypy.request.body.read(), type=list[bytes])
                return msgspec.msgpack.encode(self._log.append(batch))
            wait_s = min(int(wait_ms) / 1000, MAX_LONG_POLL_S)
            return msgspec.msgpack.encode(self._log.read(Offset(int(offset)), wait_s))
        except LogUnavailableError as exc:
            raise cherrypy.HTTPError(503, exc.message) from exc
        except (ValueError, msgspec.DecodeError) as exc:
            raise cherrypy.HTTPError(400, "malformed request") from exc

    @cherrypy.expose
    def faults(
        self, down: str = "", lost_answers: str = "", delay_s: str = "", expire_before: str = ""
    ) -> bytes:
        """Set the injected faults; an empty parameter changes nothing."""
        if down:
            self._log.down = down == "yes"
        if lost_answers:
            self._log.lost_answers = int(lost_answers)
        if delay_s:
            self._log.delay_s = float(delay_s)
        if expire_before:
            self._log.expire_before(int(expire_before))
        return b"ok\n"


class LogStandin(Service):
    """The log stand-in as a service; `log` is its in-memory log."""

    def __init__(self, cfg: StandinSettings) -> None:
        self.log = MemoryLog(cfg.retention_s)
        self.log.delay_s = cfg.append_delay_s
        self._cfg = cfg
        self._web = WebServer(cfg.address, LogResource(self.log), threads=32)

    def start(self) -> None:
        """Start listening."""
        self._web.start()

    def stop(self) -> None:
        """Stop listening."""
        self._web.stop()
