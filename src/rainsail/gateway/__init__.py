"""The gateway: caller API, admission, routing, retries, streams and sessions."""
