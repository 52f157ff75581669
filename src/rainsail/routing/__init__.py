"""Which runner gets a request, an item, or nothing now: pure decisions that both fronts call."""
