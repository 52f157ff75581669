"""The interface for parsing an operator's document into a routing table."""

from collections.abc import Callable

from expression import Result

from rainsail.errors import Fault
from rainsail.relay.table import RoutingTable

TableReader = Callable[[bytes], Result[RoutingTable, Fault]]
"""Parses and validates a document; an INVALID fault says what is wrong with it."""
