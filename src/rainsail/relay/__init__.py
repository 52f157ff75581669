"""Relaying of opaque requests: match a route, choose a runner, send, retry, resume, answer."""
