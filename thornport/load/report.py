"""Reports on a run of load: outcomes, latencies and wrong or missing outcomes."""

import collections

import msgspec
from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
US_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
NO_OUTCOME = "none"
WRONG = "wrong"


class TierReport(msgspec.Struct):
    """The outcomes and latencies of the requests of one tier.

    Attributes:
      latency_ms: A dict from percentile to the latency of answered requests,
        from the time each was due.
    """

    sent: int
    by_outcome: dict[str, int]
    by_reason: dict[str, int]
    latency_ms: dict[str, float]


class Report(msgspec.Struct):
    """The results of a run.

    Attributes:
      answered_per_s: A float, the average over the whole run.
      doubled: Keys of requests that may run only once but ran more than once.
      untrue: Keys of requests that were reported as not run but ran.
      lost: Keys of requests that received no outcome.
    """

    seconds: float
    answered_per_s: float
    by_tier: dict[str, TierReport]
    doubled: list[str]
    untrue: list[str]
    lost: list[str]


class Recorder:
    """Collects the outcomes of requests as they end."""

    def __init__(self):
        """Create an empty recorder."""
        self._histogram_by_tier = {}
        self._outcomes_by_tier = {}
        self._reasons_by_tier = {}
        self._ended = []

    def record(self, arrival, outcome, reason, latency_s):
        """Record the outcome of one request.

        Args:
          arrival: An arrivals.Arrival.
          outcome: A str: the value of the answer's outcome header, NO_OUTCOME, or
            WRONG for a body other than the one sent.
          reason: A str, empty if none was given.
          latency_s: A float, from the time the request was due.
        """
        tier = arrival.tier
        if tier not in self._histogram_by_tier:
            made = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._histogram_by_tier[tier] = made
            self._outcomes_by_tier[tier] = collections.Counter()
            self._reasons_by_tier[tier] = collections.Counter()
        if outcome == "answered":
            value_us = max(LOWEST_US, int(latency_s * US_PER_S))
            self._histogram_by_tier[tier].record_value(value_us)
        self._outcomes_by_tier[tier][outcome] += 1
        if reason:
            self._reasons_by_tier[tier][reason] += 1
        self._ended.append((arrival, outcome))

    def make_report(self, seconds, runs_by_key):
        """Create the report of the run.

        Args:
          seconds: A float, the duration of the run.
          runs_by_key: A dict from key to its number of runs, as counted by the
            backend servers; empty if they were not asked.
        Returns:
          A Report.
        """
        answered = sum(c["answered"] for c in self._outcomes_by_tier.values())
        doubled = [
            arrival.key
            for arrival, _ in self._ended
            if not arrival.repeatable and runs_by_key.get(arrival.key, 0) > 1
        ]
        untrue = [
            arrival.key
            for arrival, outcome in self._ended
            if outcome == "not-run" and runs_by_key.get(arrival.key, 0)
        ]
        lost = [a.key for a, outcome in self._ended if outcome == NO_OUTCOME]
        by_tier = {tier: self._report_tier(tier) for tier in self._outcomes_by_tier}
        return Report(seconds, answered / seconds, by_tier, doubled, untrue, lost)

    def _report_tier(self, tier):
        counts = self._outcomes_by_tier[tier]
        latencies = self._histogram_by_tier[tier]
        latency_ms = {
            f"p{percentile:g}": latencies.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        }
        return TierReport(
            sum(counts.values()),
            dict(counts),
            dict(self._reasons_by_tier[tier]),
            latency_ms,
        )


def format_report(report):
    """Format a report as readable text.

    Args:
      report: A Report.
    Returns:
      A str of a few lines.
    """
    lines = [f"{report.answered_per_s:.0f} answered a second, {report.seconds:.1f} s"]
    for tier, tier_report in sorted(report.by_tier.items()):
        outcomes = ", ".join(
            f"{n} {o}" for o, n in sorted(tier_report.by_outcome.items())
        )
        spread = ", ".join(
            f"{p} {ms:.1f} ms" for p, ms in tier_report.latency_ms.items()
        )
        lines.append(f"{tier}: {outcomes}; {spread}")
        if tier_report.by_reason:
            lines.append(f"  given up: {tier_report.by_reason}")
    lines.append(
        f"doubled {len(report.doubled)}, untrue {len(report.untrue)}, "
        f"lost {len(report.lost)}"
    )
    return "\n".join(lines)
