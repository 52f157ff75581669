"""Log analysis: where batch items and online requests spent their time, from nodes' logs."""
