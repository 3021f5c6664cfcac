"""Encodes and decodes the facts of the quarantine registry."""

from rhubarblock.routing.quarantine import quarantine_pb2
from rhubarblock.routing.quarantine import registry as quarantineregistry

_MS_PER_S = 1000


def encode_facts(facts: quarantineregistry.Facts) -> bytes:
    """Encodes facts; equal facts give equal bytes."""
    state = quarantine_pb2.QuarantineState(
        crashes=[
            quarantine_pb2.Crash(
                endpoint_id=crash.endpoint_id,
                at_ms=int(crash.at_s * _MS_PER_S),
                young=sorted(crash.young),
                old=sorted(crash.old),
                cause=crash.cause,
            )
            for crash in facts.crashes
        ],
        cleared=[
            quarantine_pb2.Cleared(digest=digest, at_ms=int(at_s * _MS_PER_S))
            for digest, at_s in sorted(facts.cleared.items())
        ],
        quarantined=[
            quarantine_pb2.Quarantined(
                digest=quarantine.digest,
                at_ms=int(quarantine.at_s * _MS_PER_S),
                crashes=quarantine.crashes,
            )
            for quarantine in facts.quarantined
        ],
        kept=[
            quarantine_pb2.Kept(
                service=service, until_ms=int(until_s * _MS_PER_S)
            )
            for service, until_s in sorted(facts.reserved.items())
        ],
    )
    return state.SerializeToString()


def decode_facts(payload: bytes) -> quarantineregistry.Facts:
    """Decodes facts.

    Raises:
      google.protobuf.message.DecodeError: the bytes are no encoded facts.
    """
    state = quarantine_pb2.QuarantineState.FromString(payload)
    return quarantineregistry.Facts(
        crashes=[
            quarantineregistry.Crash(
                crash.endpoint_id,
                crash.at_ms / _MS_PER_S,
                set(crash.young),
                set(crash.old),
                crash.cause,
            )
            for crash in state.crashes
        ],
        cleared={
            cleared.digest: cleared.at_ms / _MS_PER_S
            for cleared in state.cleared
        },
        quarantined=[
            quarantineregistry.QuarantineRecord(
                quarantined.digest,
                quarantined.at_ms / _MS_PER_S,
                quarantined.crashes,
            )
            for quarantined in state.quarantined
        ],
        reserved={
            kept.service: kept.until_ms / _MS_PER_S for kept in state.kept
        },
    )
