"""OpenAI-compatible request and response shapes, server-sent events, files and batches."""
