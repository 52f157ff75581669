"""OpenAI-compatible HTTP routes: requests, responses, server-sent events, files, batches."""
