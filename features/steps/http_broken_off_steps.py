"""Steps on interrupted answers, over real sockets and with a server in its own process."""

import signal
import socket
import subprocess
import sys

from behave import given, then, when
from features.support.command_line import ROOT
from features.support.http_reader import read_answer
from rig.daemon import die_with_parent

KERNEL_BUFFER_BYTES = 4096
"""Small, so that the kernel does not buffer a large answer."""
LIMIT_S = 20.0


@given("a process that serves HTTP on loopback")
def serve(context):
    _start(context, "features.support.answering_program")


@given("a process with a followed web site that never ends its answers")
def serve_site(context):
    _start(context, "features.support.site_program")


@given("a process with a followed web site that ends its answers after {count:d} bytes")
def serve_ending_site(context, count):
    _start(context, "features.support.site_program", str(count))


def _start(context, program, *arguments):
    process = subprocess.Popen(
        [sys.executable, "-m", program, *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        preexec_fn=die_with_parent,
    )
    context.add_cleanup(_end, process)
    context.serving_process = process
    context.serving_port = int(process.stdout.readline())


def _end(process):
    process.kill()
    process.wait()
    process.stdout.close()


@when('a client of HTTP {version} asks for "{path}"')
def ask(context, version, path):
    client = socket.socket()
    context.add_cleanup(client.close)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    client.settimeout(LIMIT_S)
    client.connect(("127.0.0.1", context.serving_port))
    client.sendall(f"GET {path} HTTP/{version}\r\nHost: a\r\n\r\n".encode())
    context.http_client = client


@when("the first bytes of the answer have come")
def has_begun(context):
    assert context.http_client.recv(1, socket.MSG_PEEK) == b"H"


@when("the process that serves HTTP is killed")
def kill(context):
    context.serving_process.kill()
    context.serving_process.wait()


@when("the process that serves HTTP ends its reactor")
@when("the process finishes its followed web site and ends")
def stop(context):
    context.serving_process.send_signal(signal.SIGTERM)
    assert context.serving_process.wait(LIMIT_S) == 0


@when("the handler aborts the answer")
def break_off(context):
    context.serving_process.send_signal(signal.SIGUSR1)


@when("the client ends its sending side")
def half_close(context):
    context.http_client.shutdown(socket.SHUT_WR)


@then("the client finds the answer broken")
def is_broken(context):
    body = read_answer(context.http_client)
    assert body is None, f"looks complete with {len(body)} bytes"


@then("the client finds the answer whole with {count:d} bytes")
def is_whole(context, count):
    body = read_answer(context.http_client)
    assert body is not None, "broken"
    assert len(body) == count, len(body)
