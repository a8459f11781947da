"""What the platform names around a process."""

# Holds the path of the settings file.
SETTINGS_VARIABLE = "RATTANHOLLOW_BOOT"
READINESS_PATH = "/readiness"
METRICS_PATH = "/metrics"
