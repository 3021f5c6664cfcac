"""Replicates the state of the store from one instance to another.

An instance that reads the store serves its peers the changes that they lack and
the age of its last confirmation. The age is sent as a duration, and the
requester counts it from the time of its request, so neither network delay nor a
freeze on either side can make the state seem fresher than it is.

The configuration is sent as a delta from the requester's version, encoded once
for all requesters with that version: whole versions with thousands of routes
would saturate the link of a small instance. A delta that does not lead from the
requester's content to the server's is discarded, and the requester asks for the
whole configuration next time.

Of a long list of endpoints only the requester's subset is sent, but afterwards
all changes: an endpoint that it uses must not leave unnoticed.

The set of evacuated data centres is sent to requesters that name their position
of it. A build without evacuations names none and ignores the field, and an
answer without the field says nothing about evacuations.
"""

import dataclasses
import json
import logging
import math
from typing import Any

import aiohttp
from aiohttp import web

from rhubarblock.core import document as documents
from rhubarblock.core import jsontext
from rhubarblock.core import position as positions
from rhubarblock.exchange.state import configlease as config_leases
from rhubarblock.exchange.state import differencewire
from rhubarblock.exchange.state import directory as directories
from rhubarblock.exchange.state import entrywire
from rhubarblock.exchange.state import evacuationwire
from rhubarblock.exchange.state import replica as replicas
from rhubarblock.exchange.state import subset as subsets
from rhubarblock.httpclient import reading
from rhubarblock.kernel import metrics as metric_store
from rhubarblock.kernel import timers as timer_service
from rhubarblock.store import era as era_lib
from rhubarblock.store import sendonce
from rhubarblock.store import store as stores

# The number increases when the format changes. A peer with another number
# serves no state, so instances of different releases never misread each other.
PATH = "/state/2"
# Seconds for which an answer waits for a change; the lease ages by as much.
WAIT_S = 0.7
# Timeout of an answer in seconds beyond that wait.
ANSWER_S = 0.5
# Connect timeout in seconds.
CONNECT_S = 0.25

_logger = logging.getLogger(__name__)


class FeedError(Exception):
    """A peer served no state."""


class StaleStateError(FeedError):
    """A peer answered with a state that is too old to be applied."""


@dataclasses.dataclass(slots=True)
class ListCursor:
    """Position in the list changes of a peer.

    Attributes:
      source: id of one start of the peer.
      number: number of the latest known change of its list.
    """

    source: str = ""
    number: int = 0


class StateServer:
    """Serves state to peers."""

    __slots__ = (
        "_config_lease",
        "_replica",
        "_directory",
        "_encoded",
        "_eras",
        "_encoded_identity",
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
          config_lease: version and age of the configuration.
          directory: sizes of services.
          subsets_: which endpoints an instance uses.
          source: id of this start of this instance.
          metrics: counters of answers.
          eras: tracks whether the store was restored from an older copy.
        """
        self._eras = eras
        self._metrics = metrics
        self._replica = replica
        self._config_lease = config_lease
        self._directory = directory
        self._subsets = subsets_
        self._source = source
        # Encoded deltas to one version, by the version from which they lead.
        self._encoded: dict[documents.Identity, str] = {}
        self._encoded_identity = documents.NOTHING

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request after a change or the end of its wait."""
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
            evacuated_at = evacuationwire.decode_position(
                query.get("evacuations")
            )
        except ValueError:
            return web.Response(status=400)
        if query.get("source") != self._source:
            number = 0
        if "era" not in query and self._eras.has_changed:
            # A release without eras would misjudge the order of revisions.
            return web.Response(status=503)
        await self._replica.wait_for_change(
            lambda: (
                self._has_changes(known.version, number)
                or self._has_evacuations(request, evacuated_at)
            ),
            wait_s,
        )
        if not self._has_state():
            return web.Response(status=503)
        answer = self._make_answer(
            known,
            number,
            query.get("instance", ""),
            query.get("data_centre", ""),
        )
        self._add_evacuations(answer, evacuated_at)
        text = json.dumps(answer)
        self._metrics.count("feed.answers")
        self._metrics.count("feed.bytes", len(text))
        return web.Response(text=text, content_type="application/json")

    def _has_state(self) -> bool:
        return (
            self._config_lease.table is not None
            and self._replica.listed.is_set()
        )

    def _has_changes(self, version: int, number: int) -> bool:
        if not self._has_state():
            return False
        if self._config_lease.version > version:
            return True
        return number == 0 or self._replica.number > number

    def _has_evacuations(
        self, request: web.BaseRequest, known: positions.Position | None
    ) -> bool:
        """Returns whether a requester lacks the set of evacuations here."""
        held = self._replica.evacuations
        if held is None or "evacuations" not in request.query:
            return False
        if not self._has_state() or not held.known.is_known:
            return False
        return known is None or held.known.position > known

    def _add_evacuations(
        self, answer: dict[str, Any], known: positions.Position | None
    ) -> None:
        """Adds the field about evacuations, if the deployment has any."""
        held = self._replica.evacuations
        if held is not None:
            answer["evacuations"] = evacuationwire.encode(held.known, known)

    def _lacks_configuration(self, known: documents.Identity) -> bool:
        """Returns whether a requester lacks the configuration in force here.

        The same version may have other content after a restore of the store.
        """
        version = self._config_lease.version
        if version == known.version and known.digest:
            return self._replica.identity != known
        return version > known.version

    def _make_answer(
        self,
        known: documents.Identity,
        number: int,
        requester: str,
        data_centre: str,
    ) -> dict[str, Any]:
        changes = self._replica.list_changes(number)
        objects = changes.objects
        if changes.whole and requester:
            objects = self._select_used(requester, data_centre, objects)
        lacks_configuration = self._lacks_configuration(known)
        return {
            "source": self._source,
            "era": self._replica.era,
            "digest": f"{self._replica.identity.digest:x}",
            "age_s": self._config_lease.age_s,
            "version": self._config_lease.version,
            "configuration": self._encode_changes(known)
            if lacks_configuration
            else None,
            "number": changes.number,
            "whole": changes.whole and self._replica.complete,
            "sizes": self._directory.count_services(),
            "objects": [entrywire.encode(stored) for stored in objects],
        }

    def _encode_changes(self, known: documents.Identity) -> str:
        """Returns the encoded delta from a version, from a cache."""
        if self._encoded_identity != self._replica.identity:
            self._encoded_identity = self._replica.identity
            self._encoded.clear()
        text = self._encoded.get(known)
        if text is None:
            text = differencewire.encode(self._replica.find_difference(known))
            self._encoded[known] = text
        return text

    def _select_used(
        self,
        requester: str,
        data_centre: str,
        objects: tuple[stores.StoredObject, ...],
    ) -> tuple[stores.StoredObject, ...]:
        """Returns the entries of endpoints that the requester uses."""
        ids = [stored.name.rpartition("/")[2] for stored in objects]
        used = self._subsets.list_used(requester, data_centre, ids)
        return tuple(
            stored
            for stored, endpoint_id in zip(objects, ids, strict=True)
            if endpoint_id in used
        )


class StateClient:
    """Requests state from peers."""

    __slots__ = (
        "_config_lease",
        "_replica",
        "_data_centre",
        "_directory",
        "_eras",
        "_cursors",
        "_own_id",
        "_session",
        "_timers",
        "_needs_whole",
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
          data_centre: data centre of this instance.
          replica: receives the state.
          directory: receives the sizes of services.
          config_lease: clock and version of the configuration.
          timers: the clock.
          eras: tracks the eras in which peers read their state.
        """
        self._eras = eras
        self._own_id = instance_id
        self._data_centre = data_centre
        self._directory = directory
        self._session = session
        self._replica = replica
        self._config_lease = config_lease
        self._timers = timers
        self._cursors: dict[str, ListCursor] = {}
        # Whether the last delta did not apply.
        self._needs_whole = False

    async def poll(
        self,
        address: str,
        wait_s: float = WAIT_S,
        max_age_s: float = math.inf,
    ) -> None:
        """Requests and applies what changed at a peer.

        Args:
          address: ``host:port`` of the peer.
          wait_s: seconds for which the peer may wait for a change.
          max_age_s: age in seconds from which its state is not applied.

        Raises:
          StaleStateError: its state is too old.
          FeedError: it served no state.
        """
        cursor = self._cursors.setdefault(address, ListCursor())
        sent_s = self._config_lease.read_clock()
        asked_s = self._timers.read_monotonic()
        held = self._replica.evacuations
        asked_at = held.known.position if held else positions.NOWHERE
        fields = await self._fetch(address, cursor, wait_s)
        try:
            confirmed_s = sent_s - float(fields["age_s"])
            age_s = self._config_lease.read_clock() - confirmed_s
            if age_s >= max_age_s:
                raise StaleStateError(f"its state is {age_s:.2f} s old")
            era = self._check_era(fields)
            changed = self._apply_evacuations(fields, asked_s, asked_at)
            self._apply(fields, cursor, confirmed_s, era)
            if changed and not self._replica.complete:
                # Other endpoints are used now, whose entries are not known.
                self.forget()
            if self._config_lease.age_s >= max_age_s < math.inf:
                raise StaleStateError("it holds an older configuration")
        except stores.StoreError as error:
            raise FeedError(str(error)) from error
        except jsontext.MISMATCH as error:
            reason = reading.describe_error(error)
            raise FeedError(f"the state can't be read: {reason}") from error

    async def poll_evacuations(self, address: str) -> None:
        """Requests and applies only the evacuations that a peer knows.

        The endpoint list of an instance that reads the store is whole, and must
        not be replaced by the part that a peer sends.

        Args:
          address: ``host:port`` of the peer.

        Raises:
          FeedError: it served no state.
        """
        asked_s = self._timers.read_monotonic()
        fields = await self._fetch(address, ListCursor(), 0.0)
        try:
            self._apply_evacuations(fields, asked_s, positions.NOWHERE)
        except (stores.StoreError, ValueError) as error:
            raise FeedError(str(error)) from error

    def _check_era(self, fields: dict[str, Any]) -> int:
        """Returns the era of a peer's state.

        A release without eras sends none. Its state is accepted as long as the
        era has never changed.

        Raises:
          store.StoreError: the state must not be applied.
        """
        era = int(fields.get("era", 0)) or None
        if era is None and not self._eras.has_changed:
            return self._eras.current
        return self._eras.validate(era)

    def _apply_evacuations(
        self,
        fields: dict[str, Any],
        asked_s: float,
        asked_at: positions.Position,
    ) -> bool:
        """Applies a peer's evacuations, before any other part of its state.

        Args:
          fields: the answer.
          asked_s: when the request was sent, in monotonic seconds.
          asked_at: position of the set that was held here then.

        Returns:
          Whether another set of data centres is evacuated now.

        Raises:
          ValueError: the set can't be decoded.
          store.StoreError: its era is not valid.
        """
        held = self._replica.evacuations
        if held is None:
            return False
        held.is_fed = "evacuations" in fields
        sent_field = fields.get("evacuations")
        if not sent_field:
            return False
        if sent_field is True:
            return held.confirm(asked_at)
        sent = evacuationwire.decode(sent_field)
        if sent.at.era > self._eras.current:
            self._eras.validate(sent.at.era)
        return held.apply_sent(sent, asked_s)

    def forget(self) -> None:
        """Resets all cursors, as the list now comes from another source."""
        self._cursors.clear()

    async def _fetch(
        self, address: str, cursor: ListCursor, wait_s: float
    ) -> dict[str, Any]:
        known = (
            documents.NOTHING if self._needs_whole else self._replica.identity
        )
        query = {
            "version": str(known.version),
            "digest": f"{known.digest:x}",
            "source": cursor.source,
            "number": str(cursor.number),
            "wait_ms": str(round(wait_s * 1e3)),
            "instance": self._own_id,
            "data_centre": self._data_centre,
            "era": str(self._eras.current),
        }
        held = self._replica.evacuations
        if held is not None:
            query["evacuations"] = evacuationwire.encode_position(held.known)
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
                fields: dict[str, Any] = jsontext.load(await response.read())
                return fields
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise FeedError(reading.describe_error(error)) from error

    def _apply(
        self,
        fields: dict[str, Any],
        cursor: ListCursor,
        confirmed_s: float,
        era: int,
    ) -> None:
        objects = [entrywire.decode(entry, era) for entry in fields["objects"]]
        if fields["whole"]:
            self._replica.apply_listing(
                objects, fields["sizes"], positions.Position(era)
            )
        else:
            self._apply_changes(objects, fields["sizes"])
        cursor.source = fields["source"]
        cursor.number = fields["number"]
        self._apply_configuration(fields, confirmed_s, era)

    def _apply_configuration(
        self, fields: dict[str, Any], confirmed_s: float, era: int
    ) -> None:
        """Applies the configuration delta, or confirms the present version.

        Raises:
          ValueError: the delta does not apply; the whole is requested next.
        """
        changes: str | None = fields["configuration"]
        if changes is None:
            # A release without eras sends no digest.
            own = self._replica.identity
            digest = int(fields.get("digest", f"{own.digest:x}"), 16)
            if digest == own.digest:
                self._config_lease.confirm(fields["version"], confirmed_s)
            return
        self._needs_whole = True
        difference = differencewire.decode(changes)
        self._replica.apply_difference(difference, confirmed_s, era)
        self._needs_whole = False

    def _apply_changes(
        self, objects: list[stores.StoredObject], sizes: directories.Sizes
    ) -> None:
        """Applies list changes, or a list that is only a subset."""
        for stored in objects:
            self._replica.apply_change(stored)
        if not self._replica.complete:
            self._directory.set_sizes(sizes)
        if objects:
            self._replica.note_listed()
