"""When which request arrives: drawn once, from a seed, before anything is sent.

Pure. Arrivals are open-loop: they do not wait for answers, so that a slow
system is measured from the time a caller meant to ask.
"""

import random

import msgspec


class Mix(msgspec.Struct, frozen=True):
    """What is asked for.

    Attributes:
      rate: A float, requests a second on average.
      count: An int, requests in all.
      weight_by_tier: A dict from tier to its share.
      not_repeatable: A float, the share of requests that may run only once.
      deadline_ms: An int, given with each request.
      body_bytes: An int, the size of each body.
    """

    rate: float
    count: int
    weight_by_tier: dict[str, float]
    not_repeatable: float = 0.0
    deadline_ms: int = 5_000
    body_bytes: int = 200


class Arrival(msgspec.Struct, frozen=True):
    """One request to come.

    Attributes:
      at_s: A float, seconds from the start.
      key: A str, its own in this run.
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
      A list of Arrival in order of time, the same for the same arguments.
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
