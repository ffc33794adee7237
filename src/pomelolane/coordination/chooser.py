"""Chooses the VM that schedules each service.

Rendezvous hashing over the membership view lets VMs with equal views agree without
exchanging messages. Silent and stopping VMs are skipped.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from pomelolane.membership import choose

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from pomelolane.ports import Clock, Membership, View

_HINT_VALID_MS = 2000.0
_VISIBLE_HISTORY_MS = 15_000.0
"""VMs missing from the view for longer than this count as gone."""

_MIN_CAPACITY_SHARE = 0.75
"""Only VMs with at least this share of the highest ``carries_per_s`` may schedule.

Similar machines share the role; one with a link twenty times slower never gets it.
"""

_FALSE_ALARM_MS = 1_600.0
"""A suspected VM that answers within this time was only slow.

A VM that is dead or cut off stays silent for at least its heartbeat timeout.
"""

_FALSE_ALARM_KEPT_MS = 30_000.0
_MAX_SILENCE_FACTOR = 8
"""Upper bound of ``Chooser.silence_factor``, which each false alarm doubles.

The factor lengthens the silence after which a VM is suspected, up to
``Timings.max_silence_ms``. Without the factor a scheduler that is slow now and then
would keep losing and regaining the role.
"""


class Chooser:
    """Chooses schedulers for one VM; its gateway and scheduler role share it.

    Args:
        vm_id: This VM.
        membership: Source of the view.
        clock: Source of the current time.
    """

    def __init__(self, vm_id: str, membership: Membership, clock: Clock) -> None:
        self._vm_id = vm_id
        self._membership = membership
        self._clock = clock
        self._suspected_until: dict[str, float] = {}
        self._hints: dict[str, tuple[str, float]] = {}
        self._hints_ignored_until: dict[str, float] = {}
        self._excluded_until: dict[tuple[str, str], float] = {}
        self._suspected_at: dict[str, tuple[float, int]] = {}
        self._false_alarms: dict[str, tuple[int, float]] = {}
        self._chosen: dict[str, str] = {}
        self._visible_counts: deque[tuple[float, int]] = deque()
        self.is_stopping = False
        self._callbacks: list[Callable[[], None]] = []
        membership.on_change(self._view_changed)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback that runs whenever a choice may have changed."""
        self._callbacks.append(callback)

    def view(self) -> View:
        """Return the membership view that choices are based on."""
        return self._membership.view()

    def scheduler(self, service: str) -> str:
        """Return the VM to follow for a service."""
        chosen = self._chosen.get(service)
        if chosen is None:
            chosen = self._choose(service)
            self._chosen[service] = chosen
        return chosen

    def successor(self, service: str) -> str:
        """Return the VM to follow if the current scheduler fails, '' for none."""
        gone = self.scheduler(service)
        peers = self.view().peers
        live = [vm for vm in peers if vm != gone and not self.is_suspected(vm)]
        eligible = [vm for vm in live if self._is_eligible(service, vm)]
        return choose(service, self._strongest(eligible)) if eligible else ""

    def standbys(self, service: str) -> frozenset[str]:
        """Return the VMs that take over if the scheduler or a data centre is lost.

        These are its successor and, for each data centre, the VM that gateways there
        choose when they can see no other data centre.
        """
        by_data_centre: dict[str, list[str]] = {}
        for vm_id, peer in self.view().peers.items():
            if not self.is_suspected(vm_id) and self._is_eligible(service, vm_id):
                by_data_centre.setdefault(peer.data_centre, []).append(vm_id)
        standbys = {
            choose(service, self._strongest(vms)) for vms in by_data_centre.values()
        }
        return frozenset(standbys | {self.successor(service)}) - {""}

    def incarnation_of(self, vm_id: str) -> int:
        """Return a VM's incarnation number, 0 while it is not in the view."""
        peer = self.view().peers.get(vm_id)
        return peer.incarnation if peer is not None else 0

    def gateways(self) -> frozenset[str]:
        """Return the VMs that may hold requests, this one included."""
        peers = self.view().peers.values()
        return frozenset(p.vm_id for p in peers if p.ready) | {self._vm_id}

    def gateways_own_first(self) -> tuple[str, ...]:
        """Return the gateways as a tuple: this VM first, the others sorted by id."""
        return (self._vm_id, *sorted(self.gateways() - {self._vm_id}))

    def visible_share(self) -> float:
        """Return the share of recently visible VMs that the view holds now.

        Missing VMs may be cut off and have a scheduler of their own.
        """
        return len(self.gateways()) / self.max_visible()

    def max_visible(self) -> int:
        """Return the highest number of gateways that the view held recently."""
        self._record_visible()
        return max(count for _, count in self._visible_counts)

    def _record_visible(self) -> None:
        now_ms = self._clock.now_ms()
        self._visible_counts.append((now_ms, len(self.gateways())))
        while now_ms - self._visible_counts[0][0] > _VISIBLE_HISTORY_MS:
            self._visible_counts.popleft()
        if (
            len(self._visible_counts) > 2
            and self._visible_counts[-2][1] == self._visible_counts[-1][1]
        ):
            newest = self._visible_counts.pop()
            self._visible_counts[-1] = newest

    def is_suspected(self, vm_id: str) -> bool:
        """Return whether a VM is skipped because it is silent."""
        return vm_id in self._suspected_until

    def suspects(self) -> tuple[str, ...]:
        """Return the VMs that are skipped because they are silent."""
        return tuple(self._suspected_until)

    def suspect(self, vm_id: str, for_ms: float) -> None:
        """Skip a silent VM for a time in ms; this VM itself is never skipped."""
        if vm_id == self._vm_id:
            return
        now_ms = self._clock.now_ms()
        self._suspected_until[vm_id] = now_ms + for_ms
        self._suspected_at.setdefault(vm_id, (now_ms, self.incarnation_of(vm_id)))
        self._changed()

    def note_alive(self, vm_id: str) -> None:
        """Stop skipping a suspected VM from which a message has arrived."""
        if self._suspected_until.pop(vm_id, None) is not None:
            self._record_recovery(vm_id)
            self._changed()

    def silence_factor(self, vm_id: str) -> int:
        """Return the factor by which a VM may be silent longer before it is suspected.

        It grows with each recent false alarm.
        """
        factor, at_ms = self._false_alarms.get(vm_id, (1, 0.0))
        is_old = self._clock.now_ms() - at_ms > _FALSE_ALARM_KEPT_MS
        return 1 if is_old else factor

    def _record_recovery(self, vm_id: str) -> None:
        now_ms = self._clock.now_ms()
        suspected_ms, incarnation = self._suspected_at.pop(vm_id, (now_ms, 0))
        # A new incarnation means that the VM had died: no false alarm.
        was_alive = incarnation == self.incarnation_of(vm_id)
        if was_alive and now_ms - suspected_ms <= _FALSE_ALARM_MS:
            factor = min(_MAX_SILENCE_FACTOR, 2 * self.silence_factor(vm_id))
            self._false_alarms[vm_id] = (factor, now_ms)

    def take_hint(self, service: str, vm_id: str) -> None:
        """Follow the scheduler that another VM has named for a service, once.

        If that VM rejects the gateway too, this VM returns to its own choice and
        ignores hints for a while. Otherwise two VMs with different views could
        redirect it back and forth.
        """
        if self._hints.pop(service, None) is not None:
            self._hints_ignored_until[service] = self._clock.now_ms() + _HINT_VALID_MS
            self._changed()
            return
        usable = vm_id in self.view().peers and not self.is_suspected(vm_id)
        if vm_id == self._vm_id and self.is_stopping:
            usable = False
        if usable and service not in self._hints_ignored_until:
            self._hints[service] = (vm_id, self._clock.now_ms() + _HINT_VALID_MS)
            self._changed()

    def exclude(self, service: str, vm_id: str, for_ms: float) -> None:
        """Skip a VM that does not know a service, for that service and time in ms."""
        self._excluded_until[service, vm_id] = self._clock.now_ms() + for_ms
        if self._hints.get(service, ("",))[0] == vm_id:
            del self._hints[service]
        self._changed()

    def stop(self) -> None:
        """Stop choosing this VM unless it is the only one left."""
        self.is_stopping = True
        self._changed()

    def tick(self) -> None:
        """Drop expired suspicions, hints and exclusions."""
        now_ms = self._clock.now_ms()
        ended = [
            _drop_expired(self._suspected_until, now_ms),
            _drop_expired(self._hints, now_ms, lambda hint: hint[1]),
            _drop_expired(self._hints_ignored_until, now_ms),
            _drop_expired(self._excluded_until, now_ms),
        ]
        for vm_id in self._suspected_at.keys() - self._suspected_until.keys():
            del self._suspected_at[vm_id]
        if any(ended):
            self._changed()

    def _choose(self, service: str) -> str:
        if service in self._hints and not self.is_suspected(self._hints[service][0]):
            return self._hints[service][0]
        peers = self.view().peers
        live = [vm for vm in peers if not self.is_suspected(vm)]
        eligible = [vm for vm in live if self._is_eligible(service, vm)]
        return choose(service, self._strongest(eligible) or live or [self._vm_id])

    def _strongest(self, vm_ids: list[str]) -> list[str]:
        """Return the VMs whose capacity is close to that of the strongest."""
        peers = self.view().peers
        most = max((peers[vm].carries_per_s for vm in vm_ids), default=0)
        least = _MIN_CAPACITY_SHARE * most
        return [vm for vm in vm_ids if peers[vm].carries_per_s >= least]

    def _is_eligible(self, service: str, vm_id: str) -> bool:
        if vm_id == self._vm_id and self.is_stopping:
            return False
        peer = self.view().peers[vm_id]
        return (
            peer.ready
            and not peer.draining
            and (service, vm_id) not in self._excluded_until
        )

    def _view_changed(self, view: View) -> None:
        if self._visible_counts:
            # The previous count held until now, even if nobody queried it meanwhile.
            self._visible_counts.append(
                (self._clock.now_ms(), self._visible_counts[-1][1])
            )
        self._record_visible()
        for vm_id in [vm for vm in self._suspected_until if vm not in view.peers]:
            del self._suspected_until[vm_id]
            self._suspected_at.pop(vm_id, None)
        self._hints.clear()
        self._hints_ignored_until.clear()
        self._excluded_until.clear()
        self._changed()

    def _changed(self) -> None:
        self._chosen.clear()
        for callback in self._callbacks:
            callback()


def _drop_expired(
    expiries: dict[Any, Any], now_ms: float, expiry_of: Callable[[Any], float] = float
) -> bool:
    ended = [key for key, value in expiries.items() if expiry_of(value) <= now_ms]
    for key in ended:
        del expiries[key]
    return bool(ended)
