"""TLS for callers' HTTP and mutual TLS for the pipes between processes."""

import socket
import ssl
from pathlib import Path

import msgspec
import pynng
from cheroot.ssl.builtin import BuiltinSSLAdapter

from comfreyshelf.errors import SettingsError


class TlsFiles(msgspec.Struct, frozen=True):
    """PEM files of a process: its certificate chain, its private key, and the CA certificates."""

    certificate: Path
    key: Path
    authority: Path


def load_tls_files(certificate: str, key: str, authority: str) -> TlsFiles | None:
    """The files that the settings name, or None if they name none.

    Raises SettingsError if only some are named or if a file cannot be read.
    """
    named = (certificate, key, authority)
    if not any(named):
        return None
    if not all(named):
        raise SettingsError(
            "only some of tls_certificate, tls_key and tls_authority are set",
            "set all three, or none for plain TCP",
        )
    files = TlsFiles(*(Path(name) for name in named))
    for path in (files.certificate, files.key, files.authority):
        _read_pem(path)
    return files


class _HttpAdapter(BuiltinSSLAdapter):
    """Defers the TLS handshake to the first read, in the thread that serves the connection.

    By default cheroot does the handshake in the accepting thread, where one client that sent
    nothing blocked all others for the socket timeout of 10 s.
    """

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wrap an accepted connection; also returns the WSGI environment entries for it."""
        wrapped = self.context.wrap_socket(sock, do_handshake_on_connect=False, server_side=True)
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}


def http_adapter(files: TlsFiles) -> BuiltinSSLAdapter:
    """TLS adapter of an HTTPS server; callers authenticate by API keys, not by certificates."""
    return _HttpAdapter(str(files.certificate), str(files.key))


def pipe_server_config(files: TlsFiles) -> pynng.TLSConfig:
    """TLS of a pipe listener, which accepts only peers with a certificate of the same CA."""
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_SERVER,
        ca_string=_read_pem(files.authority),
        own_key_string=_read_pem(files.key),
        own_cert_string=_read_pem(files.certificate),
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )


def pipe_client_config(files: TlsFiles, address: str) -> pynng.TLSConfig:
    """TLS of a pipe to `address`; the certificate of the listener has to name its IP address."""
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_CLIENT,
        server_name=address.rpartition(":")[0],
        ca_string=_read_pem(files.authority),
        own_key_string=_read_pem(files.key),
        own_cert_string=_read_pem(files.certificate),
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )


def pipe_url(address: str, files: TlsFiles | None) -> str:
    """The pynng URL of `ip:port`."""
    return f"{'tls+tcp' if files else 'tcp'}://{address}"


def _read_pem(path: Path) -> str:
    try:
        return path.read_text(encoding="ascii")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"cannot read {path}: {exc}", "give a readable PEM file") from exc
