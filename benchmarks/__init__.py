"""Measurements; each prints its command, its figures and its seed."""
