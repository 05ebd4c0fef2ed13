"""Steps for TLS between processes."""

import socket
import time
from pathlib import Path

import trustme
from behave import given, then
from behave.runner import Context

from comfreyshelf.client import Client, UnreachableError
from comfreyshelf.demo import CALLER_KEY, DEMO_CONFIG_TEXT, OPERATOR_KEY, wait_for_targets
from comfreyshelf.errors import SettingsError
from comfreyshelf.tls import load_tls_files
from features.processes import separate_processes


def write_certificates(folder: Path) -> str:
    """Write an authority and a certificate for loopback; return the settings that name them."""
    folder.mkdir()
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(folder / "authority.pem")
    certificate.private_key_pem.write_to_path(folder / "key.pem")
    for index, pem in enumerate(certificate.cert_chain_pems):
        pem.write_to_path(folder / "certificate.pem", append=index > 0)
    return "".join(
        f"tls_{name} = {folder / name}.pem\n" for name in ("certificate", "key", "authority")
    )


@given("an entry and a target with certificates of one authority")
def start_with_certificates(context: Context) -> None:
    processes = context.processes = context.stack.enter_context(separate_processes())
    context.folder = processes.folder
    options = write_certificates(context.folder / "own")
    context.other_options = write_certificates(context.folder / "other")
    processes.authority = str(context.folder / "own" / "authority.pem")
    processes.start_log()
    processes.start_entry("entry-0", "paysandu", options)
    processes.start_target("target-0", "paysandu", "rack", extra_ini=options)
    context.operator = processes.client("entry-0", OPERATOR_KEY)
    context.operator.publish(DEMO_CONFIG_TEXT, 0)
    wait_for_targets(context.operator, 1, 1)


@then("a caller that trusts the authority gets the answer to a request")
def check_answered(context: Context) -> None:
    client = context.processes.client("entry-0", CALLER_KEY)
    assert client.request("permit", b"abc", idempotent=False) == b"cba"


@then("a caller that trusts another authority and one without TLS get no answer")
def check_no_answer(context: Context) -> None:
    address = context.processes.http["entry-0"]
    for authority in (str(context.folder / "other" / "authority.pem"), ""):
        try:
            Client(address, CALLER_KEY, authority=authority).request("permit", b"abc")
        except UnreachableError:
            continue
        raise AssertionError(f"answered with authority {authority!r}")


@then("peers that never complete the TLS handshake do not delay a caller")
def check_silent_peer(context: Context) -> None:
    host, port = context.processes.http["entry-0"].split(":")
    for _ in range(3):
        context.stack.callback(socket.create_connection((host, int(port))).close)
    client = Client(f"{host}:{port}", CALLER_KEY, 3.0, authority=context.processes.authority)
    assert client.request("permit", b"abc") == b"cba"


@then("a target with a certificate of another authority and one without TLS are refused")
def check_targets_refused(context: Context) -> None:
    context.processes.start_target("target-1", "paysandu", "rack", extra_ini=context.other_options)
    context.processes.start_target("target-2", "paysandu", "rack")
    # An accepted target is listed within 1 s.
    time.sleep(5.0)
    shown = [target["target"] for target in context.operator.targets()]
    assert shown == ["target-0"], shown


@then("settings that name only some of the TLS files are refused")
def check_incomplete_settings_refused(context: Context) -> None:
    for names in (("a", "b", ""), ("", "", "c")):
        try:
            load_tls_files(*names)
        except SettingsError:
            continue
        raise AssertionError(names)
