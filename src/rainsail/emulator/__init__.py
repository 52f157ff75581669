"""Emulated platform: model engines, weight store and machine list."""
