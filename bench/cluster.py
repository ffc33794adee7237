"""Launches a whole deployment as real processes on one machine.

Stand-ins, fault proxy and VMs run on free loopback ports, write their logs
into one folder and end with the launcher.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from itertools import cycle
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

from bench import links
from bench.controls import ControlClient, EndpointControl, PlatformControl
from bench.deployment import (
    ROOT,
    Deployment,
    EndpointPlan,
    operator_key,
    organisation_key,
    read_deployment,
)
from bench.ports import PortBlock
from bench.processes import BenchError, ManagedProcess, kill_all
from bench.vms import Vm, VmPlace

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

_KEEP_LOGS_VARIABLE = "BENCH_KEEP_LOGS"
_PRODUCT_VARIABLES = "POMELOLANE_"
_SERVE = (sys.executable, "-m", "pomelolane", "serve")
_READY_LINE = "ready"
_DEFAULT_SERVICE_MS = 20
_MIN_LIST_LAG_MS = 500


@dataclass(frozen=True, slots=True)
class ClusterOptions:
    """How a cluster is to be built.

    Attributes:
        deployment: Name of a folder under ``examples/``.
        vms_per_data_centre: VMs in each data centre.
        faults: Whether links run through the fault proxy.
        extra_flags: Flags added to each VM's command.
        policy: Placement policy of all VMs.
        declarations: Folder to read in place of ``examples/<deployment>``.
        edit: Changes the declarations before anything starts.
        service_ms: Service time of plain services.
        engine_flags: Flags added to each engine's command.
        serve: Program that runs a VM.
        programs: Programs that a VM's starts run in turn, in place of that one.
            Neighbouring VMs begin with different ones.
        start_vms: Whether VMs are started, or left to ``restart``.
    """

    deployment: str = "comision"
    vms_per_data_centre: int = 3
    faults: bool = True
    extra_flags: Sequence[str] = ()
    policy: str = "pomelolane"
    declarations: Path | None = None
    edit: Callable[[Deployment], None] | None = None
    service_ms: int = _DEFAULT_SERVICE_MS
    engine_flags: Sequence[str] = ()
    serve: Sequence[str] = _SERVE
    programs: Sequence[Sequence[str]] = ()
    start_vms: bool = True


class Cluster:
    """A running deployment; make one with :meth:`start`.

    It is an asynchronous context manager that stops all processes. Signals
    (``kill``, ``freeze``, ``thaw``, ``terminate``) are plain calls, all that
    speaks to a process is awaited.

    Args:
        options: How to build it.
    """

    def __init__(self, options: ClusterOptions) -> None:
        self.options = options
        self.deployment = read_deployment(options.deployment, options.declarations)
        if options.edit is not None:
            options.edit(self.deployment)
        self.folder = Path(tempfile.mkdtemp(prefix="pomelolane-cluster-"))
        self.vms: list[Vm] = []
        self.endpoints: list[EndpointControl] = []
        self._processes: list[ManagedProcess] = []
        self._ports = PortBlock()
        self._session = aiohttp.ClientSession()
        self._platform: PlatformControl | None = None
        self.network = links.Network(None)

    @classmethod
    async def start(cls, deployment: str = "comision", **options: object) -> Cluster:
        """Start a cluster and wait until every VM is ready.

        Args:
            deployment: Name of a folder under ``examples/``.
            **options: Other fields of :class:`ClusterOptions`.

        Raises:
            BenchError: Something did not start; all that did was ended.
        """
        cluster = cls(ClusterOptions(deployment=deployment, **options))
        try:
            await cluster._start()
        except BaseException:
            await cluster.stop()
            raise
        return cluster

    async def __aenter__(self) -> Cluster:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    @property
    def platform(self) -> PlatformControl:
        """The platform's stand-in."""
        if self._platform is None:
            raise BenchError("the cluster has not started")
        return self._platform

    @property
    def data_centres(self) -> list[str]:
        """Names of the data centres, in the order of declaration."""
        return self.deployment.data_centres()

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes of the cluster."""
        return list(self._processes)

    def vm(self, vm_id: str) -> Vm:
        """Return a VM by its id, ``<data centre>-vm<number from 1>``."""
        return _by_id(self.vms, "vm_id", vm_id)

    def vms_in(self, data_centre: str) -> list[Vm]:
        """Return the VMs of one data centre."""
        return [vm for vm in self.vms if vm.data_centre == data_centre]

    def endpoint(self, endpoint_id: str) -> EndpointControl:
        """Return an endpoint's stand-in by id."""
        return _by_id(self.endpoints, "endpoint_id", endpoint_id)

    def endpoints_of(self, service: str) -> list[EndpointControl]:
        """Return the endpoints of one service."""
        return [item for item in self.endpoints if item.plan.service == service]

    def organisation_key(self, name: str) -> str:
        """Return an organisation's bearer key."""
        return organisation_key(name)

    def operator_key(self, team: str) -> str:
        """Return the bearer key of a team's operator."""
        return operator_key(team)

    async def cut(self, one: str, other: str) -> None:
        """Cut two data centres off from each other, endpoints included."""
        await self.network.set_between(one, other, mode="cut")

    async def cut_platform(self, data_centre: str) -> None:
        """Cut a data centre off from the platform."""
        await self.network.set_between(data_centre, links.PLATFORM, mode="cut")

    async def heal(self) -> None:
        """Let all links pass again."""
        await self.network.heal()

    async def list_vms(self, leaving: Sequence[str] = ()) -> None:
        """Put all VMs and endpoints on the platform's list.

        Args:
            leaving: Ids that are marked as leaving.
        """
        rows = [
            (vm.vm_id, vm.data_centre, vm.place.peer_address) for vm in self.vms
        ] + [
            (item.endpoint_id, item.plan.data_centre, item.address)
            for item in self.endpoints
        ]
        await self.platform.set_vms(
            [
                {
                    "vm_id": name,
                    "data_centre": data_centre,
                    "address": address,
                    "leaving": name in leaving,
                }
                for name, data_centre, address in rows
            ]
        )

    async def stop(self) -> None:
        """End all processes, close the session and remove the folder."""
        self.close()
        with suppress(Exception):
            await self._session.close()

    def close(self) -> None:
        """Do what :meth:`stop` does where no loop runs any more."""
        kill_all(self._processes)
        self._ports.close()
        if not os.environ.get(_KEEP_LOGS_VARIABLE):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _start(self) -> None:
        self._start_stand_ins()
        await asyncio.gather(
            *(process.wait_for_line(_READY_LINE) for process in self._processes)
        )
        places = self._place_vms()
        tree = self._write_tree()
        for place in places:
            self.vms.append(await self._make_vm(place, places, tree))
        await self.list_vms()
        if self.options.start_vms:
            for vm in self.vms:
                vm.spawn()
            await asyncio.gather(*(vm.wait_ready() for vm in self.vms))

    def _start_stand_ins(self) -> None:
        if self.options.faults:
            _, client = self._stand_in("proxy", "standins.proxy", ())
            self.network = links.Network(client)
        flags = ("--list-lag-ms", str(_MIN_LIST_LAG_MS))
        port = self._ports.take()
        process, client = self._stand_in(
            "platform", "standins.platform", ("--port", str(port), *flags)
        )
        self._platform = PlatformControl(process, f"http://127.0.0.1:{port}", client)
        for plan in self.deployment.endpoints():
            self._start_endpoint(plan)

    def _start_endpoint(self, plan: EndpointPlan) -> None:
        port = self._ports.take()
        flags = ["--port", str(port), "--endpoint-id", plan.endpoint_id]
        if plan.kind == "engine":
            module = "standins.engine"
            flags += _engine_flags(plan) + list(self.options.engine_flags)
        else:
            module = "standins.service"
            flags += ["--service-ms", str(self.options.service_ms)]
        process, client = self._stand_in(plan.endpoint_id, module, flags)
        address = f"127.0.0.1:{port}"
        self.endpoints.append(EndpointControl(plan, process, address, client))

    def _stand_in(
        self, name: str, module: str, flags: Sequence[str]
    ) -> tuple[ManagedProcess, ControlClient]:
        port = self._ports.take()
        command = (
            *(sys.executable, "-m", module),
            *("--control-port", str(port)),
            *flags,
        )
        process = ManagedProcess(
            name, command, self.folder / f"{name}.log", child_environment()
        )
        self._processes.append(process)
        process.spawn()
        return process, ControlClient(self._session, port)

    def _place_vms(self) -> list[VmPlace]:
        return [
            VmPlace(
                f"{data_centre}-vm{number}",
                data_centre,
                self._ports.take(),
                self._ports.take(),
            )
            for data_centre in self.data_centres
            for number in range(1, self.options.vms_per_data_centre + 1)
        ]

    def _write_tree(self) -> Path:
        addresses = {item.endpoint_id: item.address for item in self.endpoints}
        self.deployment.set_addresses(addresses)
        self.deployment.set_keys()
        tree = self.folder / "tree"
        self.deployment.write(tree)
        return tree

    async def _make_vm(
        self, place: VmPlace, places: Sequence[VmPlace], tree: Path
    ) -> Vm:
        seeds = [
            f"{peer.vm_id}={peer.data_centre}={await self._peer_route(place, peer)}"
            for peer in places
            if peer.vm_id != place.vm_id
        ]
        platform = await self.network.route(
            links.platform_link(place.data_centre),
            place.data_centre,
            links.PLATFORM,
            self.platform.url.removeprefix("http://"),
        )
        command = (
            *self.options.serve,
            *("--vm-id", place.vm_id),
            *("--region", self.deployment.region),
            *("--data-centre", place.data_centre),
            *("--host", "127.0.0.1"),
            *("--port", str(place.port)),
            *("--peer-port", str(place.peer_port)),
            *("--advertise", place.peer_address),
            *("--seeds", ",".join(seeds)),
            *("--address-map", ",".join(await self._address_map(place))),
            *("--platform", f"http://{platform}"),
            *("--tree", str(tree)),
            *("--policy", self.options.policy),
            *self.options.extra_flags,
        )
        log_path = self.folder / f"{place.vm_id}.log"
        programs = None
        if self.options.programs:
            turns = deque(self.options.programs)
            turns.rotate(-len(self.vms))
            programs = cycle(turns)
        vm = Vm(place, command, log_path, child_environment(), self._session, programs)
        self._processes.append(vm)
        return vm

    async def _peer_route(self, place: VmPlace, peer: VmPlace) -> str:
        return await self.network.route(
            links.vm_link(place.vm_id, peer.vm_id),
            place.data_centre,
            peer.data_centre,
            peer.peer_address,
        )

    async def _address_map(self, place: VmPlace) -> list[str]:
        routes = []
        for item in self.endpoints:
            route = await self.network.route(
                links.endpoint_link(place.data_centre, item.endpoint_id),
                place.data_centre,
                item.plan.data_centre,
                item.address,
            )
            if route != item.address:
                routes.append(f"{item.endpoint_id}={route}")
        return routes


def _engine_flags(plan: EndpointPlan) -> list[str]:
    declared = plan.declared
    flags = [
        *("--model", plan.model),
        *("--slots", str(declared.get("slots", 8))),
        *("--kv-tokens", str(declared.get("kv_tokens", 65536))),
        *("--prefill-tokens-per-s", str(declared.get("prefill_tokens_per_s", 4000))),
        *("--decode-tokens-per-s", str(declared.get("decode_tokens_per_s", 40))),
        *("--generation", str(declared.get("generation", "g1"))),
    ]
    if declared.get("honours_fencing"):
        flags.append("--honours-fencing")
    return flags


def child_environment() -> dict[str, str]:
    """Return the variables for a child, without any setting of the product."""
    environment = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(_PRODUCT_VARIABLES)
    }
    paths = [str(ROOT / "src"), str(ROOT)]
    if environment.get("PYTHONPATH"):
        paths.append(environment["PYTHONPATH"])
    environment["PYTHONPATH"] = os.pathsep.join(paths)
    environment["PYTHONUNBUFFERED"] = "1"
    return environment


def _by_id(items: Sequence, attribute: str, name: str):
    for item in items:
        if getattr(item, attribute) == name:
            return item
    known = ", ".join(getattr(item, attribute) for item in items)
    raise BenchError(f"no {name!r} in this cluster; there are: {known}")
