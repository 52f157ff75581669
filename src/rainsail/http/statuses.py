"""Statuses: which an answer may have, those of the server itself, and their reason phrases."""

STATUS_MIN_FINAL = 200
STATUS_MAX = 599
STATUSES_WITHOUT_BODY = frozenset({204, 304})
STATUS_BAD_REQUEST = 400
STATUS_TIMEOUT = 408
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
REASONS = {
    200: b"OK",
    202: b"Accepted",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def is_final_status(status: int) -> bool:
    """Tell whether HTTP gives a final answer with this status a meaning."""
    return STATUS_MIN_FINAL <= status <= STATUS_MAX


def invalid_status(status: int) -> str:
    """Return why an answer with this status, which is not that of a final answer, is invalid."""
    return f"invalid HTTP response: status {status}"
