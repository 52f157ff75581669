"""HTTP/1.1 directly on TCP connections, parsed by ``h11``.

For callers that must know exactly what was sent and how an answer ended.
"""
