"""Network input and output; transports move records and decide nothing."""
