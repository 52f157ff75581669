"""The emulated platform: model engines, weight store and machine list."""
