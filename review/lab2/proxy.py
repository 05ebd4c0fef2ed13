"""A TCP proxy on loopback whose connections can be held up by a cut."""

import socket
import threading


class Link:
    """Forwards connections from `listen` to `target`, both `ip:port`.

    With `loses_new` nothing of a connection that was opened during a cut arrives; it is closed as
    the cut heals.
    """

    def __init__(self, listen, target, loses_new=False):
        self._target = target.partition(":")
        self._loses_new = loses_new
        self._stopping = False
        self._whole = threading.Event()
        self._whole.set()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, _, port = listen.partition(":")
        self._listener.bind((host, int(port)))
        self._listener.listen(128)
        self._listener.settimeout(0.1)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Hold up all bytes and new connections, as a partition does, until `heal`."""
        self._whole.clear()

    def heal(self):
        """Let pass what was held up, and all that follows."""
        self._whole.set()

    def stop(self):
        self._stopping = True
        self._whole.set()

    def _accept(self):
        while not self._stopping:
            try:
                client, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            if self._loses_new and not self._whole.is_set():
                threading.Thread(target=self._lose, args=(client,), daemon=True).start()
                continue
            self._whole.wait()
            try:
                server = socket.create_connection((self._target[0], int(self._target[2])), 2.0)
            except OSError:
                client.close()
                continue
            pair = (client, server)
            for source, sink in (pair, (server, client)):
                source.settimeout(None)
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._pump, args=(source, sink, pair), daemon=True).start()
        self._listener.close()

    def _lose(self, client):
        self._whole.wait()
        client.close()

    def _pump(self, source, sink, pair):
        while not self._stopping:
            try:
                chunk = source.recv(65536)
            except OSError:
                chunk = b""
            self._whole.wait()
            if not chunk:
                for sock in pair:
                    try:
                        sock.shutdown(socket.SHUT_RDWR)
                    except OSError:
                        pass
                return
            try:
                sink.sendall(chunk)
            except OSError:
                pass
