"""Statuses that the server itself answers with, and the reason phrases of all that it sends."""

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
