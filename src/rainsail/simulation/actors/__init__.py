"""Simulated users: callers, clients of batch jobs and operators. They record what they see."""
