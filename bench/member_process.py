"""One member in a process of its own, for ``bench.members``.

It prints a sample of its own counters, one JSON line a second.
"""

from __future__ import annotations

import asyncio
import sys
import time

import msgspec
import psutil
import uvloop

from pomelolane.addresses import Seed  # noqa: TC001 - msgspec reads it
from pomelolane.membership import ClusterKeys, make_member
from pomelolane.membership.keys import SHARED_KEY_NAME

_SAMPLE_S = 1.0
_MIB = 1024 * 1024


class Keys(msgspec.Struct, frozen=True):
    """A key pair that all members share, in Z85."""

    public: str
    private: str


class MemberPlan(msgspec.Struct, frozen=True):
    """What a process is to be.

    Attributes:
        vm_id: Its id.
        data_centre: Where it stands.
        address: Where it listens.
        seeds: Whom it knows.
        keys: Key pair, None to talk in the clear.
    """

    vm_id: str
    data_centre: str
    address: str
    seeds: tuple[Seed, ...]
    keys: Keys | None

    def to_argument(self) -> str:
        """Return the plan as one word of a command line."""
        return msgspec.json.encode(self).decode()


class Sample(msgspec.Struct, frozen=True):
    """Counters of a member at one moment.

    Attributes:
        at_s: Monotonic time.
        seen: VMs in its view.
        delegate: Whether it speaks for its data centre.
        cpu_s: Processor time used so far, all threads.
        bytes_sent: Bytes handed to ZeroMQ so far.
        frames_sent: Frames handed to ZeroMQ so far.
        rss_mb: Resident memory.
    """

    at_s: float
    seen: int
    delegate: bool
    cpu_s: float
    bytes_sent: int
    frames_sent: int
    rss_mb: float


async def run(plan: MemberPlan) -> None:
    """Run a member and print samples until killed."""
    host, _, port = plan.address.rpartition(":")
    member = make_member(
        plan.vm_id,
        plan.data_centre,
        1,
        host=host,
        peer_port=int(port),
        seeds=plan.seeds,
        keys=_cluster_keys(plan.keys),
    )
    await member.start()
    member.set_ready()
    process = psutil.Process()
    while True:
        await asyncio.sleep(_SAMPLE_S)
        sample = Sample(
            at_s=time.monotonic(),
            seen=len(member.view().peers),
            delegate=member.is_delegate,
            cpu_s=time.process_time(),
            bytes_sent=member.transport.bytes_sent,
            frames_sent=member.transport.frames_sent,
            rss_mb=process.memory_info().rss / _MIB,
        )
        print(msgspec.json.encode(sample).decode(), flush=True)


def _cluster_keys(keys: Keys | None) -> ClusterKeys | None:
    if keys is None:
        return None
    public = keys.public.encode()
    return ClusterKeys(public, keys.private.encode(), {SHARED_KEY_NAME: public})


if __name__ == "__main__":
    uvloop.run(run(msgspec.json.decode(sys.argv[1], type=MemberPlan)))
