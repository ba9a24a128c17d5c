"""Draws the arrival times of requests from a seed, before any is sent.

Pure. Arrivals are open-loop: they do not wait for answers, so the latency of a
slow system counts from the time at which a request was due.
"""

import random

import msgspec


class Mix(msgspec.Struct, frozen=True):
    """The mix of requests in a run.

    Attributes:
      rate: A float, the average number of requests per second.
      count: An int, the total number of requests.
      weight_by_tier: A dict from tier to its relative weight.
      not_repeatable: A float, the share of requests that may run only once.
      deadline_ms: An int, the deadline stated in each request.
      body_bytes: An int, the size that shorter bodies are padded to.
    """

    rate: float
    count: int
    weight_by_tier: dict[str, float]
    not_repeatable: float = 0.0
    deadline_ms: int = 5_000
    body_bytes: int = 200


class Arrival(msgspec.Struct, frozen=True):
    """One request of a run.

    Attributes:
      at_s: A float, the due time in seconds from the start.
      key: A str, unique in the run.
    """

    at_s: float
    key: str
    tier: str
    repeatable: bool
    body: bytes


def draw_arrivals(mix, seed):
    """Draw all arrivals of a run.

    Args:
      mix: A Mix.
      seed: An int.
    Returns:
      A list of Arrival, sorted by time; equal arguments give equal lists.
    """
    choices = random.Random(seed)
    tiers = sorted(mix.weight_by_tier)
    weights = [mix.weight_by_tier[tier] for tier in tiers]
    at_s = 0.0
    arrivals = []
    for number in range(mix.count):
        at_s += choices.expovariate(mix.rate)
        key = f"{seed}-{number}"
        body = key.encode().ljust(mix.body_bytes, b".")
        tier = choices.choices(tiers, weights)[0]
        repeatable = choices.random() >= mix.not_repeatable
        arrivals.append(Arrival(at_s, key, tier, repeatable, body))
    return arrivals
