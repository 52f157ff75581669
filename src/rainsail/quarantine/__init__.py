"""Quarantine: requests that crash the runners they run at are held back from further runners."""
