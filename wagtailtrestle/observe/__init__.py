"""What operators see of a process: logs, metrics, state."""
