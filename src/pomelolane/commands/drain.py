"""``pomelolane drain``: begin the planned stop of a VM or an endpoint.

Open requests are finished first; nothing new is sent there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option

from pomelolane.commands.base import OperatorCommand
from pomelolane.commands.exits import ExitCode
from pomelolane.exceptions import SettingError
from pomelolane.settings.schema import PLATFORM_BRANCH

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from pomelolane.commands.client import VmClient
    from pomelolane.report import StatusReport


class DrainCommand(OperatorCommand):
    """Drains the VM at ``--url``, or an endpoint."""

    name = "drain"
    description = "Begin the planned stop of a VM or an endpoint."
    explanation = (
        "A VM drains only at its own --url and with the platform's operator key; "
        "it finishes what it has accepted and then ends. An endpoint is marked as "
        "leaving with its team's key or the platform's: it gets no new request."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("target", "Id of the VM at --url, or of an endpoint.")
    ]
    options: ClassVar[list[Option]] = [
        option(
            "team",
            None,
            "Team whose operator's key is used.",
            flag=False,
            default=PLATFORM_BRANCH,
        )
    ]

    async def talk(self, client: VmClient) -> ExitCode:
        """Find out what the target is and drain it."""
        target = self.argument("target")
        key = self.operator_keys().of_team(self.option("team"))
        report = await client.status()
        if target == report.vm.id:
            await client.drain(key)
            self.say(f"VM {target} drains")
        elif target in {each.id for each in report.endpoints}:
            await client.mark_leaving(target, key)
            self.say(f"endpoint {target} is marked as leaving")
        else:
            raise SettingError("TARGET", target, _allowed(report, target))
        return ExitCode.OK


def _allowed(report: StatusReport, target: str) -> str:
    if target in {each.id for each in report.peers}:
        return f"VM {target} drains only at its own --url, this one is {report.vm.id}"
    endpoints = ", ".join(each.id for each in report.endpoints) or "none"
    return f"the VM {report.vm.id}, or one of the endpoints {endpoints}"
