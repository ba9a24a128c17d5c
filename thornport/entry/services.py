"""State of each service at an entry: queue, retry budget and running requests."""

import collections

from thornport.routing import admission, retries


class Service:
    """The state of one service.

    Attributes:
      queue: An admission.Queue.
      budget: A retries.RetryBudget.
      running_by_price: A Counter of the requests that run on backend servers.
    """

    __slots__ = ("budget", "queue", "running_by_price")

    def __init__(self, declared):
        """Create it without requests.

        Args:
          declared: A schema.Service.
        """
        self.queue = admission.Queue(declared.queue_limit)
        self.budget = retries.RetryBudget(declared.retry_ratio)
        self.running_by_price = collections.Counter()


class Services:
    """The services that this entry has received requests for.

    Attributes:
      by_name: A dict of Service.
    """

    __slots__ = ("_in_force", "by_name")

    def __init__(self, in_force):
        """Create it without requests.

        Args:
          in_force: An inforce.InForce.
        """
        self._in_force = in_force
        self.by_name = {}

    def find(self, name):
        """Return the state of a service, created at its first request.

        Args:
          name: A str, of a service in force.
        Returns:
          A Service.
        """
        service = self.by_name.get(name)
        if service is None:
            service = Service(self._in_force.config.services_by_name[name])
            self.by_name[name] = service
        return service

    def read_demand(self):
        """Count running and waiting requests by service and price."""
        demand = {}
        for name, service in self.by_name.items():
            counts = collections.Counter(service.queue.count_by_price())
            counts.update(service.running_by_price)
            nonzero = {price: count for price, count in counts.items() if count}
            if nonzero:
                demand[name] = nonzero
        return demand

    def take_settings(self):
        """Apply new settings; a lower queue limit drops no waiting request."""
        for name, service in self.by_name.items():
            declared = self._in_force.config.services_by_name.get(name)
            service.queue.limit = declared.queue_limit if declared else 0
