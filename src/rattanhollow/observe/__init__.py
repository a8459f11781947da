"""Logs and metrics."""

from rattanhollow.observe._logs import format_event, log_event, log_failure, log_to
from rattanhollow.observe._metrics import Metrics, no_metrics, statsd_metrics

__all__ = [
    "Metrics",
    "format_event",
    "log_event",
    "log_failure",
    "log_to",
    "no_metrics",
    "statsd_metrics",
]
