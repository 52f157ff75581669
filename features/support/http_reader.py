"""Reads an answer from a socket as the standard library's client does."""

import http.client
import socket


def read_answer(client: socket.socket) -> bytes | None:
    """Return the body that a client takes for whole; None for a broken answer."""
    response = http.client.HTTPResponse(client)
    try:
        response.begin()
        return response.read()
    except (http.client.HTTPException, ConnectionError):
        return None
    finally:
        response.close()
