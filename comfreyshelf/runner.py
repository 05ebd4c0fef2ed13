"""Interface of a target process to the runner of one service, over HTTP or by a stand-in."""

import time
from abc import ABC, abstractmethod

import cherrypy
import urllib3

from comfreyshelf.errors import SettingsError
from comfreyshelf.kernel import Service
from comfreyshelf.settings import RunnerStandinSettings
from comfreyshelf.web import WebServer

MAX_ANSWER_BYTES = 1024 * 1024


class Runner(ABC):
    """Answers short requests of one service."""

    @abstractmethod
    def call(self, body: bytes, timeout_s: float) -> bytes:
        """Answer a request within `timeout_s`; raises OSError or TimeoutError on failure."""

    def close(self) -> None:  # noqa: B027
        """Release connections."""


class StandinRunner(Runner):
    """Answers a request with its body reversed after `delay_s` seconds."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.calls = 0

    def call(self, body: bytes, timeout_s: float) -> bytes:
        """Answer after the delay; raises TimeoutError if that is longer than `timeout_s`."""
        self.calls += 1
        if self.delay_s > timeout_s:
            time.sleep(timeout_s)
            raise TimeoutError("the runner did not answer within its timeout")
        time.sleep(self.delay_s)
        return body[::-1]


class HttpRunner(Runner):
    """Sends each request as a POST to a local back end; any status but 200 is a failure.

    There are no retries, because the back end may have run a request that failed.
    """

    def __init__(self, url: str, connections: int = 64) -> None:
        self._url = url
        self._pool = urllib3.PoolManager(maxsize=connections, retries=False)

    def call(self, body: bytes, timeout_s: float) -> bytes:
        """Post the body; raises TimeoutError, or OSError for any other failure."""
        timeout = urllib3.Timeout(total=timeout_s)
        try:
            answer = self._pool.request("POST", self._url, body=body, timeout=timeout)
        except urllib3.exceptions.TimeoutError as exc:
            raise TimeoutError(f"the back end timed out: {exc}") from exc
        except urllib3.exceptions.HTTPError as exc:
            raise OSError(f"the request to the back end failed: {exc}") from exc
        if answer.status != 200:
            raise OSError(f"the back end returned status {answer.status} instead of 200")
        if len(answer.data) > MAX_ANSWER_BYTES:
            raise OSError(f"the answer of the back end exceeds {MAX_ANSWER_BYTES} bytes")
        return answer.data

    def close(self) -> None:
        """Close pooled connections."""
        self._pool.clear()


def create_runners(services: tuple[str, ...], urls: tuple[str, ...]) -> dict[str, Runner]:
    """Create a runner per service: over HTTP if `urls` has its `SERVICE=URL`, else a stand-in.

    Raises SettingsError for an item whose service is not in `services` or whose URL is not HTTP.
    """
    runners: dict[str, Runner] = {service: StandinRunner() for service in services}
    for item in urls:
        service, _, url = item.partition("=")
        if service not in runners or not url.startswith("http://"):
            raise SettingsError(
                f"[target] runner_urls has the invalid item '{item}'",
                "give SERVICE=http://IP:PORT/PATH for services that 'services' lists",
            )
        runners[service] = HttpRunner(url)
    return runners


class StandinRunnerResource:
    """Answers a POST to `/` with its body reversed; `/calls` shows the number of requests."""

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self.calls = 0

    @cherrypy.expose
    def index(self) -> bytes:
        """Answer a request."""
        self.calls += 1
        body: bytes = cherrypy.request.body.read()
        time.sleep(self._delay_s)
        return body[::-1]

    @cherrypy.expose(["calls"])
    def show_calls(self) -> bytes:
        """The number of requests so far."""
        return str(self.calls).encode()


class StandinRunnerServer(Service):
    """HTTP server that takes the place of a back end."""

    def __init__(self, cfg: RunnerStandinSettings) -> None:
        self.resource = StandinRunnerResource(cfg.delay_s)
        self._web = WebServer(cfg.address, self.resource, threads=16)

    def start(self) -> None:
        """Listen."""
        self._web.start()

    def stop(self) -> None:
        """Stop listening."""
        self._web.stop()
