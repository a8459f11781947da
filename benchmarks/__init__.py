"""Benchmarks: the proxy against a bare relay, and the slopes for CAPACITY.md."""
