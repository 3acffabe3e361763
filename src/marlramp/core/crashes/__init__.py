"""Requests and parts of prompts that crash replicas."""
