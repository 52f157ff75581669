"""How an operator's document becomes a routing table."""

from collections.abc import Callable

from expression import Result

from rainsail.errors import Fault
from rainsail.relay.table import RoutingTable

TableReader = Callable[[bytes], Result[RoutingTable, Fault]]
"""Reads and checks a whole document; an INVALID fault says what is wrong with it."""
