"""A process with a web site that begins answers and never ends them, or ends them after some bytes.

``python -m features.support.site_program [BYTES]`` prints the port. SIGTERM finishes the site
as a planned stop does, with a short limit, and then ends the reactor.
"""

import signal
import sys

from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from rainsail.assembly.listening import listen_site
from rainsail.assembly.served_connections import ServedConnections
from rainsail.gateway.openai.site import make_site
from rainsail.runtime.clock import MonotonicClock
from rainsail.wire.address import PeerAddress

LIMIT_S = 0.1
MAX_BODY_BYTES = 1000


class BegunAnswers(Resource):
    """Begins an answer to each request, and ends it if it has a size."""

    isLeaf = True

    def __init__(self, ends_after_bytes):
        super().__init__()
        self._ends_after_bytes = ends_after_bytes

    def render_GET(self, request):
        """Write a first piece, or all pieces."""
        request.write(b"first piece")
        if self._ends_after_bytes:
            request.write(b"x" * (self._ends_after_bytes - len(b"first piece")))
            request.finish()
        return NOT_DONE_YET


def main():
    """Serve until SIGTERM."""
    ends_after_bytes = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    site = make_site(BegunAnswers(ends_after_bytes), MAX_BODY_BYTES)
    served = ServedConnections(site, MonotonicClock(reactor))
    listening = listen_site(reactor, site, PeerAddress("127.0.0.1", 0))

    def stop():
        served.finish(LIMIT_S).addCallback(lambda _: reactor.stop())

    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(stop))
    print(listening.ok.getHost().port, flush=True)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
