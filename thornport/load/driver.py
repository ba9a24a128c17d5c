"""Sends arrivals at their times and records what comes of each."""

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
PATIENCE_S = 30.0


class Where(msgspec.Struct, frozen=True):
    """Where load goes.

    Attributes:
      entries: URLs of entries, taken in turn.
      backends: URLs of stand-in backend servers to ask for their counts.
    """

    entries: list[str]
    service: str
    workspace: str
    backends: list[str] = []


class Driver:
    """One run of load."""

    def __init__(self, reactor, where):
        """Make the client.

        Args:
          reactor: Twisted's reactor.
          where: A Where.
        """
        self._reactor = reactor
        self._where = where
        pool = webclient.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = CONNECTIONS_PER_ENTRY
        # A retry inside the client would ask twice where we count once.
        pool.retryAutomatically = False
        self._http = treq.client.HTTPClient(webclient.Agent(reactor, pool=pool))
        self._recorder = report.Recorder()
        self._turns = itertools.cycle(where.entries)

    async def run(self, arrivals, deadline_ms):
        """Send everything and wait for every outcome.

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
        """Send everything as fast as so many callers get their outcomes.

        Args:
          arrivals: A list of arrivals.Arrival; their times are passed over.
          callers: An int.
          deadline_ms: An int.
        Returns:
          A report.Report, its latencies from when each was sent.
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
            requests.HEADER_WORKSPACE: self._where.workspace,
            requests.HEADER_TIER: arrival.tier,
            requests.HEADER_DEADLINE_MS: str(deadline_ms),
            requests.HEADER_REPEATABLE: "yes" if arrival.repeatable else "no",
            requests.HEADER_KEY: arrival.key,
        }
        url = f"{entry}/v1/requests/{self._where.service}"
        reason = ""
        try:
            response = await self._http.post(
                url, data=arrival.body, headers=headers, timeout=PATIENCE_S
            )
            body = await treq.content(response)
            said = response.headers.getRawHeaders(requests.HEADER_OUTCOME)
            came = said[0] if said else report.NO_OUTCOME
            if came == outcome.Outcome.ANSWERED.value and body != arrival.body:
                came = report.WRONG
            if came != outcome.Outcome.ANSWERED.value:
                reason = msgspec.json.decode(body)["title"] if said else ""
        except Exception as error:
            # The entry went away; the caller knows nothing.
            came, reason = report.NO_OUTCOME, type(error).__name__
        latency_s = clock.read_monotonic() - start - arrival.at_s
        self._recorder.record(arrival, came, reason, latency_s)

    async def _count_runs(self):
        runs_by_key = {}
        for backend in self._where.backends:
            response = await self._http.get(f"{backend}/counts", timeout=PATIENCE_S)
            said = msgspec.json.decode(await treq.content(response))
            for key, runs in said["runs_by_key"].items():
                runs_by_key[key] = runs_by_key.get(key, 0) + runs
        return runs_by_key
