"""What a daemon meets outside: platform, endpoints, peers; as one value."""

import dataclasses

from rhubarblock.fleet import engineclient
from rhubarblock.fleet import serviceclient
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import instances
from rhubarblock.store import store as stores


@dataclasses.dataclass(slots=True, frozen=True)
class Outside:
    """Clients of everything that is not an entry instance.

    Attributes:
      timers: timer service.
      store: the platform's object API.
      source: the platform's lagging list.
      engines: way to the model engines.
      services: way to the plain services.
    """

    timers: timer_service.Timers
    store: stores.ObjectStore
    source: instances.InstanceSource
    engines: engineclient.EngineClient
    services: serviceclient.ServiceClient
