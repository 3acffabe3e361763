"""The direct path: entries send requests straight to the replicas."""
