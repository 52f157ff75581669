"""The replicated state machine: resources, batch ledger, request claims and sessions."""
