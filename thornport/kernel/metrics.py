"""Metrics sent to statsd over UDP, and kept in memory for reports.

Each daemon has one Metrics. Counters are summed here and sent once a second, so that
a count on the hot path costs one dictionary update and no packet.
"""

import collections

import statsd
from hdrh import histogram

FLUSH_PERIOD_S = 1.0
LONGEST_US = 60_000_000  # the limit of a histogram; no call waits for a minute
SIGNIFICANT_DIGITS = 2  # 1%, finer than any decision based on the histograms


class Metrics:
    """The counters, latency histograms and gauges of one process."""

    __slots__ = ("_client", "_sent_by_name", "count_by_name", "histogram_by_name")

    def __init__(self, host=None, port=0, prefix="thornport"):
        """Create the metrics, and the statsd client if there is a host.

        Args:
          host: A str, the IP address of statsd; None to send nothing.
          port: An int, the UDP port.
          prefix: A str before every name.
        """
        self.count_by_name = collections.Counter()
        self.histogram_by_name = {}
        self._sent_by_name = collections.Counter()
        self._client = statsd.StatsClient(host, port, prefix) if host else None

    def count(self, name, step=1):
        """Add to a counter.

        Args:
          name: A str, dotted.
          step: An int.
        """
        self.count_by_name[name] += step

    def observe(self, name, value_ms):
        """Add a latency to a histogram.

        Args:
          name: A str, dotted.
          value_ms: A float, milliseconds.
        """
        latencies = self.histogram_by_name.get(name)
        if latencies is None:
            latencies = histogram.HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
            self.histogram_by_name[name] = latencies
        latencies.record_value(min(LONGEST_US, max(1, int(value_ms * 1000))))

    def set_gauge(self, name, value):
        """Send a gauge now.

        Args:
          name: A str, dotted.
          value: A number.
        """
        if self._client:
            self._client.gauge(name, value)

    def flush(self):
        """Send the increase of each counter since the last flush."""
        if not self._client:
            return
        with self._client.pipeline() as pipeline:
            for name, total in self.count_by_name.items():
                gained = total - self._sent_by_name[name]
                if gained:
                    pipeline.incr(name, gained)
        self._sent_by_name = self.count_by_name.copy()
