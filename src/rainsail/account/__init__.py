"""Accounts for where items and requests lost their time, from the logs of many nodes."""
