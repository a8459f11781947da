"""Stand-ins for what the platform provides, for tests and the demonstration.

Never imported by the proxy.
"""
