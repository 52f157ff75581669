"""Keeps requests that end the runners they run at away from further runners."""
