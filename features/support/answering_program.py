"""A process that serves HTTP on loopback: ``python -m features.support.answering_program``.

It prints its port. The path of a request defines its answer: ``/FRAMING/END/BYTES``. SIGTERM stops
its reactor, as at the end of a node; SIGUSR1 aborts the answers in progress.
"""

import signal

from twisted.internet import reactor

from rainsail.fleet.listening import listen
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.runtime.clock import MonotonicClock

ANNOUNCED_TOO_MANY = 1
under_way = []


def answer(exchange):
    """Write an answer as its path defines."""
    _, framing, end, count = exchange.request.target.decode().split("/")
    fields = ()
    if framing == "length":
        announced = int(count) + (0 if end == "whole" else ANNOUNCED_TOO_MANY)
        fields = ((b"Content-Length", str(announced).encode()),)
    exchange.begin(200, fields)
    exchange.write(b"x" * int(count))
    if end in ("whole", "short"):
        exchange.end()
    else:
        under_way.append(exchange)


def break_off():
    """Abort the answers in progress."""
    for exchange in under_way:
        exchange.abort()


def main():
    """Serve until SIGTERM."""
    server = HttpServer(answer, MonotonicClock(reactor), HttpLimits())
    listening = listen(reactor, server, "127.0.0.1:0")
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(break_off))
    print(listening.ok.getHost().port, flush=True)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
