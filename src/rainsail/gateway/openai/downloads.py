"""Downloads of results: read from the ledger page by page, with back-pressure."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from rainsail.errors import Fault
from rainsail.gateway.openai.batches import is_output, result_line
from rainsail.gateway.openai.sinks import write_fault
from rainsail.state.commands import JobView
from rainsail.state.interface import ResultRow

NO_MORE = -1
"""``ResultsReply.next_index`` of the last page."""


@implementer(IPushProducer)
class ResultsDownload:
    """Writes one result file to an HTTP response."""

    def __init__(self, request: Any, job: JobView, errors: bool) -> None:
        self._request = request
        self._job = job
        self._errors = errors
        self._open = True
        self._begun = False
        self._resumed: Deferred[None] | None = None
        request.notifyFinish().addErrback(self._disconnected)

    def _disconnected(self, _: Any) -> None:
        self._open = False
        self.resumeProducing()

    async def run(self, read_page: Callable[[int], "Deferred[Any]"]) -> None:
        """Write all pages; ``read_page`` takes the index of a page's first item."""
        first = 0
        while first != NO_MORE and self._open:
            page = await read_page(first)
            if not self._open:
                return
            if page.is_error():
                self._fail(page.error)
                return
            self._write(page.ok.rows)
            first = page.ok.next_index
            if self._resumed is not None:
                await self._resumed
        if self._open:
            self._finish()

    def _write(self, rows: tuple[ResultRow, ...]) -> None:
        if not self._begun:
            self._begun = True
            self._request.setHeader(b"content-type", b"application/jsonl")
            self._request.registerProducer(self, True)
        wanted = [row for row in rows if is_output(row) is not self._errors]
        self._request.write(b"".join([result_line(self._job, row) for row in wanted]))

    def _fail(self, fault: Fault) -> None:
        if not self._begun:
            write_fault(self._request, fault)
        else:
            self._request.transport.abortConnection()

    def _finish(self) -> None:
        self._open = False
        if self._begun:
            self._request.unregisterProducer()
        self._request.finish()

    def pauseProducing(self) -> None:
        """Pause reading: the connection's send buffer is full."""
        if self._resumed is None:
            self._resumed = Deferred()

    def resumeProducing(self) -> None:
        """Resume reading: the connection accepts data again, or is closed."""
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    def stopProducing(self) -> None:
        """Stop: the connection is closed."""
        self._disconnected(None)
