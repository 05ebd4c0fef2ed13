"""A small threaded HTTP/1.1 server and client calls on loopback."""

import http.client
import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Silence(Exception):
    """Raised by a handler that gives no answer: the connection returns nothing further."""


class Server:
    """Serves `handle(method, path, query, headers, body)`, which returns status and body."""

    def __init__(self, address, handle):
        host, _, port = address.partition(":")
        self.address = address
        self._connections = set()
        self._lock = threading.Lock()
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                with outer._lock:
                    outer._connections.add(self.connection)

            def finish(self):
                with outer._lock:
                    outer._connections.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def log_message(self, *args):
                pass

            def _serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                try:
                    status, answer = handle(self.command, url.path, query, self.headers, body)
                except Silence:
                    # The client's own timeout ends the connection.
                    try:
                        while self.connection.recv(65536):
                            pass
                    except OSError:
                        pass
                    self.close_connection = True
                    return
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(answer)))
                    self.end_headers()
                    self.wfile.write(answer)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = do_PUT = do_DELETE = _serve

        class Threaded(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128
            allow_reuse_address = True

            def handle_error(self, request, client_address):
                pass

        self._server = Threaded((host, int(port)), Handler)
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def stop(self):
        """Refuse new connections and reset those that exist."""
        self._server.shutdown()
        self._server.server_close()
        with self._lock:
            for conn in list(self._connections):
                try:
                    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    conn.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One call on a connection of its own: status and decoded body; status 0 without an answer."""
    conn = http.client.HTTPConnection(address, timeout=timeout)
    try:
        data = json.dumps(body).encode() if body is not None else None
        conn.request(method, path, data, headers or {})
        answer = conn.getresponse()
        content = answer.read()
        return answer.status, json.loads(content) if content else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        conn.close()
