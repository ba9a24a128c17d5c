"""Serves the counters and latency histograms of a process as text over HTTP."""

import klein

QUANTILES = (50, 90, 99)  # percent; those that operators compare


def make_app(metrics):
    """Create the web application with the route `/metrics`.

    Args:
      metrics: A metrics.Metrics.
    Returns:
      A klein.Klein.
    """
    app = klein.Klein()

    @app.route("/metrics")
    def show(request):
        request.setHeader("Content-Type", "text/plain; charset=utf-8")
        return format_metrics(metrics).encode()

    return app


def format_metrics(metrics):
    """Format all counters and histograms, one figure per line.

    Args:
      metrics: A metrics.Metrics.
    Returns:
      A str.
    """
    lines = [f"{name} {count}" for name, count in sorted(metrics.count_by_name.items())]
    for name, histogram in sorted(metrics.histogram_by_name.items()):
        lines.append(f"{name}_count {histogram.get_total_count()}")
        for quantile in QUANTILES:
            value = histogram.get_value_at_percentile(quantile) / 1000
            lines.append(f"{name}_p{quantile} {value}")
    return "\n".join(lines) + "\n"
