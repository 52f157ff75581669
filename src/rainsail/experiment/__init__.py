"""Load, traces, replay, checkers, reports and plots."""
