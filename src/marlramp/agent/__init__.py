"""The agent: the process that runs beside each upstream."""
