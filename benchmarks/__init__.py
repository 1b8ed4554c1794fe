"""Benchmarks; each prints its command, its results and, if it draws, its seed."""
