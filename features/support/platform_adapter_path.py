"""Makes the adapter's package importable for the tests, as it is outside ``src``."""

import sys
from pathlib import Path

ADAPTER = str(Path(__file__).resolve().parents[2] / "platform")

if ADAPTER not in sys.path:
    sys.path.append(ADAPTER)
