"""A region of members in one process, for the membership features.

They communicate over real sockets. Traffic between data centres passes a link of the
fault proxy for every VM of the other side, which can be cut or frozen.
"""

from __future__ import annotations

import asyncio

from bench.ports import PortBlock
from pomelolane.addresses import Seed
from pomelolane.membership import make_member
from standins.listening import reserve_port
from standins.proxy.links import Link, LinkMode


class Region:
    """Members by VM id, which can be started, stopped and partitioned.

    Args:
        layout: VM ids by data centre.
        keys: CURVE keys by VM id.
        vm_list: The platform's list of VMs, shared by all members.
    """

    def __init__(self, layout, keys=None, vm_list=None):
        self.members = {}
        self._keys = keys or {}
        self._vm_list = vm_list
        self._block = PortBlock()
        self._data_centre = {
            vm_id: data_centre for data_centre, ids in layout.items() for vm_id in ids
        }
        self._ports = {vm_id: self._block.take() for vm_id in self._data_centre}
        self._links = {}
        self._incarnation = 0

    async def start(self, *vm_ids, seeds=None):
        """Start some VMs, or all."""
        for vm_id in vm_ids or self._data_centre:
            await self._start_one(vm_id, seeds)

    async def _start_one(self, vm_id, seed_ids):
        self._incarnation += 1
        wanted = self._data_centre if seed_ids is None else seed_ids
        routes = await self._routes(vm_id)
        seeds = [
            Seed(other, self._data_centre[other], routes[other])
            for other in wanted
            if other != vm_id
        ]
        member = make_member(
            vm_id,
            self._data_centre[vm_id],
            self._incarnation,
            peer_port=self._ports[vm_id],
            seeds=seeds,
            address_map=routes,
            keys=self._keys.get(vm_id),
            vm_list=self._vm_list,
        )
        await member.start()
        member.set_ready()
        self.members[vm_id] = member

    async def _routes(self, vm_id):
        here = self._data_centre[vm_id]
        routes = {}
        for other, there in self._data_centre.items():
            port = self._ports[other]
            if there != here:
                port = (await self._link(here, other)).port
            routes[other] = f"127.0.0.1:{port}"
        return routes

    async def _link(self, here, other):
        key = (here, other)
        if key not in self._links:
            target = ("127.0.0.1", self._ports[other])
            self._links[key] = Link(
                f"{here}-{other}", reserve_port("127.0.0.1"), target
            )
            await self._links[key].start()
        return self._links[key]

    async def set_between(self, one, other, mode):
        """Set the mode of all links between two data centres."""
        for (here, vm_id), link in self._links.items():
            if {here, self._data_centre[vm_id]} == {one, other}:
                await link.set_mode(LinkMode(mode))

    async def kill(self, vm_id):
        """End a VM without announcing it to the others."""
        member = self.members.pop(vm_id)
        await halt(member)

    async def leave(self, vm_id):
        """End a VM gracefully."""
        await self.members.pop(vm_id).stop()

    async def stop(self):
        """End everything."""
        for member in self.members.values():
            await halt(member)
        for link in self._links.values():
            link.close()
        self._block.close()

    def sees(self, vm_id):
        """Return the VMs in a VM's view."""
        return set(self.members[vm_id].view().peers)

    def agree(self):
        """Return whether every view holds exactly the running VMs."""
        running = set(self.members)
        return all(self.sees(vm_id) == running for vm_id in running)

    def delegates(self, data_centre):
        """Return the delegates of a data centre."""
        return {
            vm_id
            for vm_id, member in self.members.items()
            if member.is_delegate and member.data_centre == data_centre
        }


async def halt(member):
    """Stop a member's tasks and transport without a final heartbeat."""
    tasks = member._tasks
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await member.transport.stop()
