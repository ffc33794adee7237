"""``pomelolane status``: what one VM knows of the system.

It prints tables, or the report itself as JSON.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import option

from pomelolane.commands.base import ClientCommand
from pomelolane.commands.exits import ExitCode
from pomelolane.report import encode_report

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

    from pomelolane.commands.client import VmClient
    from pomelolane.report import EndpointReport, StatusReport, VmReport


class StatusCommand(ClientCommand):
    """Shows a VM's status report."""

    name = "status"
    description = "Show VMs, roles, endpoints, queues and settings as a VM sees them."
    explanation = "Exit code 0 says that the VM answered, not that it is ready."
    options: ClassVar[list[Option]] = [
        option("json", None, "Print the report as JSON.")
    ]

    async def talk(self, client: VmClient) -> ExitCode:
        """Read and print the report."""
        report = await client.status()
        if self.option("json"):
            self.say(encode_report(report).decode())
        else:
            self._say_report(report)
        return ExitCode.OK

    def _say_report(self, report: StatusReport) -> None:
        vm = report.vm
        self.say(
            f"VM {vm.id} of {vm.data_centre}, region {vm.region}: {_state(vm)}, "
            f"incarnation {vm.incarnation}, version {vm.version}"
        )
        self._say_vms(report)
        self._say_endpoints(report)
        self._say_pairs(report)

    def _say_vms(self, report: StatusReport) -> None:
        self.say("")
        self.say_table(
            ("VM", "DATA CENTRE", "ADDRESS", "INCARNATION", "STATE"),
            [
                (
                    each.id,
                    each.data_centre,
                    each.address,
                    each.incarnation,
                    "draining" if each.draining else "alive",
                )
                for each in report.peers
            ],
        )
        role = "a delegate" if report.roles.delegate else "no delegate"
        self.say(f"this VM is {role} of its data centre")

    def _say_endpoints(self, report: StatusReport) -> None:
        self.say("")
        titles = (
            *("ENDPOINT", "SERVICE", "DATA CENTRE", "STATE", "IN FLIGHT"),
            *("PREFILL TOKENS/S", "DECODE TOKENS/S"),
        )
        self.say_table(titles, [_endpoint_row(each) for each in report.endpoints])

    def _say_pairs(self, report: StatusReport) -> None:
        self.say("")
        rows = [
            (service, report.roles.services.get(service, "unknown"), tier, waiting)
            for service, tiers in report.queues.items()
            for tier, waiting in tiers.items()
        ]
        self.say_table(("SERVICE", "SCHEDULER", "TIER", "WAITING"), rows)
        self.say("")
        self.say_table(("BRANCH", "VERSION"), report.settings.items())
        self.say("")
        counters = [(name, f"{total:g}") for name, total in report.counters.items()]
        self.say_table(("COUNTER", "TOTAL"), counters)


def _state(vm: VmReport) -> str:
    if vm.draining:
        return "draining"
    return "ready" if vm.ready else "not ready"


def _endpoint_row(each: EndpointReport) -> tuple[object, ...]:
    state = f"{each.state}, straggling" if each.straggling else each.state
    return (
        each.id,
        each.service,
        each.data_centre,
        state,
        f"{each.in_flight}/{each.slots}",
        f"{each.prefill_tokens_per_s:.0f}",
        f"{each.decode_tokens_per_s:.1f}",
    )
