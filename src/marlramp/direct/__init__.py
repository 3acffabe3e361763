"""The direct path, on which entries send requests straight to replicas."""
