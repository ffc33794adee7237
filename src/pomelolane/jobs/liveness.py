"""Whether the runner of a job is gone, as far as this VM can tell.

A wrong verdict costs a needless resume and never a second run, because each
step of a runner is a compare-and-set on the job's row.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from pomelolane.ports import Write

if TYPE_CHECKING:
    from pomelolane.jobs.record import JobRecord
    from pomelolane.ports import Clock, Membership, Row, Table
    from pomelolane.store import Committer

BEAT_PREFIX = "jobs/beats"


class Beat(msgspec.Struct, frozen=True):
    """A runner's heartbeat row.

    Attributes:
        vm_id: The runner.
        incarnation: Its start.
        count: Grows with each beat.
        written_at_ms: Wall time, for deleting the rows of VMs long gone only.
    """

    vm_id: str
    incarnation: int
    count: int
    written_at_ms: float


def decode_beat(row: Row) -> Beat:
    """Decode a heartbeat row."""
    return msgspec.json.decode(row.value, type=Beat)


class HeartbeatWriter:
    """Writes this VM's heartbeat row.

    Args:
        committer: Takes the write.
        region: Region of the jobs.
        vm_id: This VM.
        incarnation: This start of it.
        wall: Time of day, for retention only.
    """

    def __init__(
        self,
        committer: Committer,
        region: str,
        vm_id: str,
        incarnation: int,
        wall: Clock,
    ) -> None:
        self._committer = committer
        self._key = f"{BEAT_PREFIX}/{region}/{vm_id}"
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._wall = wall
        self._count = 0

    async def beat(self) -> None:
        """Write the next beat.

        Raises:
            PlatformError: Perhaps not written.
        """
        self._count += 1
        now_ms = self._wall.now_ms()
        beat = Beat(self._vm_id, self._incarnation, self._count, now_ms)
        write = Write(self._key, msgspec.json.encode(beat), None)
        await self._committer.submit(write, lazy=True).future


@dataclass(slots=True)
class _Silence:
    beat: Beat | None
    since_ms: float


class RunnerWatch:
    """Judges runners by the membership's view and by their beats.

    Args:
        table: Where the beats are.
        membership: Who is alive.
        clock: Measures silence.
        region: Region of the jobs.
        lapse_ms: Silence after which a runner out of view counts as gone.
    """

    def __init__(
        self,
        table: Table,
        membership: Membership,
        clock: Clock,
        region: str,
        lapse_ms: float,
    ) -> None:
        self._table = table
        self._membership = membership
        self._clock = clock
        self._prefix = f"{BEAT_PREFIX}/{region}/"
        self._lapse_ms = lapse_ms
        self._silences: dict[tuple[str, int], _Silence] = {}

    async def gone(self, jobs: list[JobRecord]) -> set[tuple[str, int]]:
        """Return the runners (VM, incarnation) of these jobs that are gone.

        Raises:
            PlatformError: The beats cannot be read; the measured silence
                starts anew, since the runners could not write either.
        """
        suspects = {
            (job.runner_vm, job.runner_incarnation)
            for job in jobs
            if not self._in_view(job.runner_vm, job.runner_incarnation)
        }
        if not suspects:
            self._silences.clear()
            return set()
        beats = await self._read_beats()
        self._silences = {
            runner: self._silence(runner, beats.get(runner[0])) for runner in suspects
        }
        return {runner for runner in suspects if self._is_gone(runner)}

    def start_anew(self) -> None:
        """Forget the measured silence, e.g. after an outage of the platform."""
        self._silences.clear()

    def _in_view(self, vm_id: str, incarnation: int) -> bool:
        peer = self._membership.view().peers.get(vm_id)
        return peer is not None and peer.incarnation == incarnation

    async def _read_beats(self) -> dict[str, Beat]:
        rows = await self._table.scan(self._prefix)
        beats = [decode_beat(row) for row in rows]
        return {beat.vm_id: beat for beat in beats}

    def _silence(self, runner: tuple[str, int], beat: Beat | None) -> _Silence:
        known = self._silences.get(runner)
        if known is not None and known.beat == beat:
            return known
        return _Silence(beat, self._clock.now_ms())

    def _is_gone(self, runner: tuple[str, int]) -> bool:
        if not runner[0]:
            return True
        silence = self._silences[runner]
        if self._is_replaced(runner, silence.beat):
            return True
        return self._clock.now_ms() - silence.since_ms >= self._lapse_ms

    def _is_replaced(self, runner: tuple[str, int], beat: Beat | None) -> bool:
        """Tell whether the VM has started anew since.

        The new start's beats say nothing of the old one, whose jobs would
        otherwise wait for as long as the new one beats.
        """
        vm_id, incarnation = runner
        if beat is not None and beat.incarnation > incarnation:
            return True
        peer = self._membership.view().peers.get(vm_id)
        return peer is not None and peer.incarnation > incarnation
