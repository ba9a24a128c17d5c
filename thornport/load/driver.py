"""Sends requests at their arrival times and records the outcome of each."""

import itertools

import msgspec
import treq
from twisted.internet import defer
from twisted.web import client as webclient

from thornport.kernel import clock, tasks
from thornport.load import report
from thornport.routing import outcome
from thornport.routing import request as requests

CONNECTIONS_PER_ENTRY = 64
REQUEST_TIMEOUT_S = 30.0


class LoadTarget(msgspec.Struct, frozen=True):
    """The entries, service and workspace that the load is sent to.

    Attributes:
      entries: URLs of entries, used in turn.
      backends: URLs of stand-in backend servers, read for their counts of runs.
    """

    entries: list[str]
    service: str
    workspace: str
    backends: list[str] = []


class Driver:
    """Sends the requests of one run and collects their outcomes."""

    def __init__(self, reactor, target):
        """Create the HTTP client and the recorder.

        Args:
          reactor: Twisted's reactor.
          target: A LoadTarget.
        """
        self._reactor = reactor
        self._target = target
        pool = webclient.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = CONNECTIONS_PER_ENTRY
        # A retry inside the client would send a request twice but count it once.
        pool.retryAutomatically = False
        self._http = treq.client.HTTPClient(webclient.Agent(reactor, pool=pool))
        self._recorder = report.Recorder()
        self._turns = itertools.cycle(target.entries)

    async def run(self, arrivals, deadline_ms):
        """Send each request at its arrival time and wait for all outcomes.

        Args:
          arrivals: A list of arrivals.Arrival.
          deadline_ms: An int.
        Returns:
          A report.Report.
        """
        start = clock.read_monotonic()
        sending = []
        for arrival in arrivals:
            wait_s = start + arrival.at_s - clock.read_monotonic()
            if wait_s > 0:
                await tasks.sleep(self._reactor, wait_s)
            one = self._send(next(self._turns), arrival, start, deadline_ms)
            sending.append(tasks.spawn(one, "send"))
        await defer.gatherResults(sending)
        seconds = clock.read_monotonic() - start
        return self._recorder.make_report(seconds, await self._count_runs())

    async def run_closed(self, arrivals, callers, deadline_ms):
        """Send from concurrent callers, each waiting for its outcome before the next.

        Args:
          arrivals: A list of arrivals.Arrival; their times are ignored.
          callers: An int, the number of concurrent callers.
          deadline_ms: An int.
        Returns:
          A report.Report, with latencies from the time each request was sent.
        """
        start = clock.read_monotonic()
        waiting = iter(arrivals)

        async def call():
            for arrival in waiting:
                now_s = clock.read_monotonic() - start
                sent = msgspec.structs.replace(arrival, at_s=now_s)
                entry = next(self._turns)
                await self._send(entry, sent, start, deadline_ms)

        calling = [tasks.spawn(call(), "call") for _ in range(callers)]
        await defer.gatherResults(calling)
        seconds = clock.read_monotonic() - start
        return self._recorder.make_report(seconds, await self._count_runs())

    async def _send(self, entry, arrival, start, deadline_ms):
        headers = {
            requests.HEADER_WORKSPACE: self._target.workspace,
            requests.HEADER_TIER: arrival.tier,
            requests.HEADER_DEADLINE_MS: str(deadline_ms),
            requests.HEADER_REPEATABLE: "yes" if arrival.repeatable else "no",
            requests.HEADER_KEY: arrival.key,
        }
        url = f"{entry}/v1/requests/{self._target.service}"
        reason = ""
        try:
            response = await self._http.post(
                url, data=arrival.body, headers=headers, timeout=REQUEST_TIMEOUT_S
            )
            body = await treq.content(response)
            header_values = response.headers.getRawHeaders(requests.HEADER_OUTCOME)
            outcome_text = header_values[0] if header_values else report.NO_OUTCOME
            if outcome_text == outcome.Outcome.ANSWERED.value and body != arrival.body:
                outcome_text = report.WRONG
            if outcome_text != outcome.Outcome.ANSWERED.value:
                reason = msgspec.json.decode(body)["title"] if header_values else ""
        except Exception as error:
            # The call failed, e.g. as the entry went away: the outcome is unknown.
            outcome_text, reason = report.NO_OUTCOME, type(error).__name__
        latency_s = clock.read_monotonic() - start - arrival.at_s
        self._recorder.record(arrival, outcome_text, reason, latency_s)

    async def _count_runs(self):
        runs_by_key = {}
        for backend in self._target.backends:
            response = await self._http.get(
                f"{backend}/counts", timeout=REQUEST_TIMEOUT_S
            )
            counts = msgspec.json.decode(await treq.content(response))
            for key, runs in counts["runs_by_key"].items():
                runs_by_key[key] = runs_by_key.get(key, 0) + runs
        return runs_by_key
