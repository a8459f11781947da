"""Logs and metrics."""

from rattanhollow.observe import _kinds as kinds
from rattanhollow.observe._logs import (
    BoundedLog,
    format_event,
    log_bounded,
    log_event,
    log_failure,
    log_to,
)
from rattanhollow.observe._meter import Meter, MetricKind
from rattanhollow.observe._metrics import Metrics, no_metrics, statsd_metrics

__all__ = [
    "kinds",
    "BoundedLog",
    "Meter",
    "MetricKind",
    "log_bounded",
    "Metrics",
    "format_event",
    "log_event",
    "log_failure",
    "log_to",
    "no_metrics",
    "statsd_metrics",
]
