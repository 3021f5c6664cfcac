"""Passes the state of the store on from one instance to another.

An instance that reads the store answers its peers with what is new to them
and with the age of its last confirmation. The age travels as a duration and
the asking instance counts it from the moment at which it asked, so neither the
way nor a freeze on either side can make the state seem younger than it is.

Of the configuration only what changed since the asker's version is passed on,
compressed once for all who ask from there: a version with thousands of routes
would else fill the link of a small instance. A change that does not lead from
the asker's content to the reader's is left out whole and the asker wants the
whole configuration next time.

Of a long list of endpoints only those are passed on that the asking instance
uses, and after that all changes: one that it uses must not leave unnoticed.
"""

import dataclasses
import json
import logging
import math
from typing import Any

import aiohttp
from aiohttp import web

from rhubarblock.core import document as documents
from rhubarblock.core import position as positions
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import differencewire
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import entrywire
from rhubarblock.exchange.state import replica as replicas
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import era as era_lib
from rhubarblock.store import sendonce
from rhubarblock.store import store as stores

# The number rises when the answers change; a peer that knows another one gives
# no state, so that instances of two releases never misread each other.
PATH = "/state/2"
# Seconds for which an answer waits for news: the lease gets older by as much.
WAIT_S = 0.7
# Seconds that an answer may take beyond that wait.
ANSWER_S = 0.5
CONNECT_S = 0.25

_logger = logging.getLogger(__name__)


class FeedError(Exception):
    """A peer gave no state."""


class OldStateError(FeedError):
    """A peer answered with a state that is too old to be taken in."""


@dataclasses.dataclass(slots=True)
class Mark:
    """How far an instance has followed a peer.

    Attributes:
      source: names one start of the peer.
      number: number of the latest change of its list that is known.
    """

    source: str = ""
    number: int = 0


class StateServer:
    """Answers peers."""

    __slots__ = (
        "_config_lease",
        "_replica",
        "_directory",
        "_encoded",
        "_eras",
        "_encoded_for",
        "_metrics",
        "_source",
        "_subsets",
    )

    def __init__(
        self,
        replica: replicas.StateReplica,
        config_lease: config_leases.ConfigurationLease,
        directory: directories.Directory,
        subsets_: subsets.Subsets,
        source: str,
        metrics: metric_store.Metrics,
        eras: era_lib.EraTracker,
    ):
        """Creates a server.

        Args:
          replica: the state.
          config_lease: the age of the configuration.
          directory: knows the sizes of services.
          subsets_: which endpoints an instance uses.
          source: names this start of this instance.
          metrics: counts what is answered.
          eras: knows whether the store came back older.
        """
        self._eras = eras
        self._metrics = metrics
        self._replica = replica
        self._config_lease = config_lease
        self._directory = directory
        self._subsets = subsets_
        self._source = source
        # Encoded changes up to one version, by the version they start from.
        self._encoded: dict[documents.Identity, str] = {}
        self._encoded_for = documents.NOTHING

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one question, when there is news or the wait is over."""
        if request.path != PATH:
            return web.Response(status=404)
        query = request.query
        try:
            known = documents.Identity(
                int(query.get("version", "0")),
                int(query.get("digest", "0"), 16),
            )
            number = int(query.get("number", "0"))
            wait_s = min(WAIT_S, int(query.get("wait_ms", "0")) / 1e3)
        except ValueError:
            return web.Response(status=400)
        if query.get("source") != self._source:
            number = 0
        if "era" not in query and self._eras.has_changed:
            # A release without eras would take revisions for older ones.
            return web.Response(status=503)
        await self._replica.wait_news(
            lambda: self._is_news(known.version, number), wait_s
        )
        if not self._has_state():
            return web.Response(status=503)
        text = json.dumps(
            self._describe(
                known,
                number,
                query.get("instance", ""),
                query.get("data_centre", ""),
            )
        )
        self._metrics.count("feed.answers")
        self._metrics.count("feed.bytes", len(text))
        return web.Response(text=text, content_type="application/json")

    def _has_state(self) -> bool:
        return (
            self._config_lease.table is not None
            and self._replica.listed.is_set()
        )

    def _is_news(self, version: int, number: int) -> bool:
        if not self._has_state():
            return False
        if self._config_lease.version > version:
            return True
        return number == 0 or self._replica.number > number

    def _is_new(self, known: documents.Identity) -> bool:
        """Says whether an asker lacks the configuration in force here.

        One of the same version may be another one since the store came back
        older.
        """
        version = self._config_lease.version
        if version == known.version and known.digest:
            return self._replica.identity != known
        return version > known.version

    def _describe(
        self,
        known: documents.Identity,
        number: int,
        asker: str,
        data_centre: str,
    ) -> dict[str, Any]:
        updates = self._replica.list_news(number)
        objects = updates.objects
        if updates.whole and asker:
            objects = self._select_used(asker, data_centre, objects)
        is_new = self._is_new(known)
        return {
            "source": self._source,
            "era": self._replica.era,
            "digest": f"{self._replica.identity.digest:x}",
            "age_s": self._config_lease.age_s,
            "version": self._config_lease.version,
            "configuration": self._encode_changes(known) if is_new else None,
            "number": updates.number,
            "whole": updates.whole and self._replica.complete,
            "sizes": self._directory.count_services(),
            "objects": [entrywire.encode(stored) for stored in objects],
        }

    def _encode_changes(self, known: documents.Identity) -> str:
        """Returns the changes since a version, encoded once for all askers."""
        if self._encoded_for != self._replica.identity:
            self._encoded_for = self._replica.identity
            self._encoded.clear()
        text = self._encoded.get(known)
        if text is None:
            text = differencewire.encode(self._replica.find_difference(known))
            self._encoded[known] = text
        return text

    def _select_used(
        self,
        asker: str,
        data_centre: str,
        objects: tuple[stores.StoredObject, ...],
    ) -> tuple[stores.StoredObject, ...]:
        """Returns the entries of endpoints that the asker uses."""
        ids = [stored.name.rpartition("/")[2] for stored in objects]
        used = self._subsets.list_used(asker, data_centre, ids)
        return tuple(
            stored
            for stored, endpoint_id in zip(objects, ids, strict=True)
            if endpoint_id in used
        )


class StateClient:
    """Asks peers."""

    __slots__ = (
        "_config_lease",
        "_replica",
        "_data_centre",
        "_directory",
        "_eras",
        "_marks",
        "_own_id",
        "_session",
        "_timers",
        "_wants_whole",
    )

    def __init__(
        self,
        session: aiohttp.ClientSession,
        instance_id: str,
        data_centre: str,
        replica: replicas.StateReplica,
        directory: directories.Directory,
        config_lease: config_leases.ConfigurationLease,
        timers: timer_service.Timers,
        eras: era_lib.EraTracker,
    ):
        """Creates a client; the caller closes the session.

        Args:
          session: HTTP session to use.
          instance_id: name of this instance.
          data_centre: where it runs.
          replica: takes the state.
          directory: takes the sizes of services.
          config_lease: clock and version of the configuration.
          timers: the clock.
          eras: hears the era in which a peer read its state.
        """
        self._eras = eras
        self._own_id = instance_id
        self._data_centre = data_centre
        self._directory = directory
        self._session = session
        self._replica = replica
        self._config_lease = config_lease
        self._timers = timers
        self._marks: dict[str, Mark] = {}
        # Whether the last changes did not fit.
        self._wants_whole = False

    async def ask(
        self,
        address: str,
        wait_s: float = WAIT_S,
        oldest_s: float = math.inf,
    ) -> None:
        """Takes in what is new at a peer.

        Args:
          address: ``host:port`` of the peer.
          wait_s: seconds that the peer may wait for news.
          oldest_s: age in seconds from which its state is left alone.

        Raises:
          OldStateError: its state is older.
          FeedError: it gave no state.
        """
        mark = self._marks.setdefault(address, Mark())
        asked_s = self._config_lease.read_clock()
        fields = await self._fetch(address, mark, wait_s)
        try:
            confirmed_s = asked_s - float(fields["age_s"])
            age_s = self._config_lease.read_clock() - confirmed_s
            if age_s >= oldest_s:
                raise OldStateError(f"its state is {age_s:.2f} s old")
            self._take(fields, mark, confirmed_s, self._take_era(fields))
            if self._config_lease.age_s >= oldest_s < math.inf:
                raise OldStateError("it holds an older configuration")
        except stores.StoreError as error:
            raise FeedError(str(error)) from error
        except (KeyError, TypeError, ValueError) as error:
            raise FeedError(f"the state can't be read: {error}") from error

    def _take_era(self, fields: dict[str, Any]) -> int:
        """Returns the era of a peer's state.

        A release without eras names none, and is trusted as long as there was
        no change of which it could not know.

        Raises:
          store.StoreError: the state must not be taken in.
        """
        era = int(fields.get("era", 0)) or None
        if era is None and not self._eras.has_changed:
            return self._eras.current
        return self._eras.take(era)

    def forget(self) -> None:
        """Asks for whole lists from now on, as another source was used."""
        self._marks.clear()

    async def _fetch(
        self, address: str, mark: Mark, wait_s: float
    ) -> dict[str, Any]:
        known = (
            documents.NOTHING if self._wants_whole else self._replica.identity
        )
        query = {
            "version": str(known.version),
            "digest": f"{known.digest:x}",
            "source": mark.source,
            "number": str(mark.number),
            "wait_ms": str(round(wait_s * 1e3)),
            "instance": self._own_id,
            "data_centre": self._data_centre,
            "era": str(self._eras.current),
        }
        timeout = aiohttp.ClientTimeout(
            total=wait_s + ANSWER_S, sock_connect=CONNECT_S
        )
        try:
            async with self._session.get(
                f"http://{address}{PATH}",
                params=query,
                timeout=timeout,
                middlewares=(sendonce.send_once,),
            ) as response:
                if response.status != 200:
                    raise FeedError(f"the peer answered {response.status}")
                fields: dict[str, Any] = json.loads(await response.read())
                return fields
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise FeedError(str(error) or type(error).__name__) from error

    def _take(
        self, fields: dict[str, Any], mark: Mark, confirmed_s: float, era: int
    ) -> None:
        objects = [entrywire.decode(entry, era) for entry in fields["objects"]]
        if fields["whole"]:
            self._replica.take_listing(
                objects, fields["sizes"], positions.Position(era)
            )
        else:
            self._take_changes(objects, fields["sizes"])
        mark.source = fields["source"]
        mark.number = fields["number"]
        self._take_configuration(fields, confirmed_s, era)

    def _take_configuration(
        self, fields: dict[str, Any], confirmed_s: float, era: int
    ) -> None:
        """Takes in the changes of the configuration, or that there are none.

        Raises:
          ValueError: the changes don't fit; the whole is asked for next.
        """
        changes: str | None = fields["configuration"]
        if changes is None:
            # A release without eras names no digest.
            own = self._replica.identity
            digest = int(fields.get("digest", f"{own.digest:x}"), 16)
            if digest == own.digest:
                self._config_lease.confirm(fields["version"], confirmed_s)
            return
        self._wants_whole = True
        difference = differencewire.decode(changes)
        self._replica.take_difference(difference, confirmed_s, era)
        self._wants_whole = False

    def _take_changes(
        self, objects: list[stores.StoredObject], sizes: directories.Sizes
    ) -> None:
        """Takes in changes, or a list that may lack what is used here."""
        for stored in objects:
            self._replica.take_change(stored)
        if not self._replica.complete:
            self._directory.tell_sizes(sizes)
        if objects:
            self._replica.listed.set()
