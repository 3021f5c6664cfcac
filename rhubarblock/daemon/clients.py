"""Clients of an instance for the platform and the endpoints."""

import dataclasses

from rhubarblock.fleet import engineclient
from rhubarblock.fleet import serviceclient
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import instances
from rhubarblock.store import store as stores


@dataclasses.dataclass(slots=True, frozen=True)
class Clients:
    """Clients of everything outside the fleet of entry instances.

    Attributes:
      timers: timer service.
      store: the platform's object API.
      source: the platform's instance list, which lags behind.
      engines: client of the model engines.
      services: client of the plain services.
    """

    timers: timer_service.Timers
    store: stores.ObjectStore
    source: instances.InstanceSource
    engines: engineclient.EngineClient
    services: serviceclient.ServiceClient
