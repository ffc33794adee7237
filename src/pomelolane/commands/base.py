"""What the commands share that talk to a VM: flags of clients, operators' keys."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import option

from pomelolane.commands.client import VmClient
from pomelolane.commands.operator_keys import OperatorKeys, operator_keys_from
from pomelolane.commands.plain import PlainCommand
from pomelolane.exceptions import SettingError

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

    from pomelolane.commands.exits import ExitCode


DEFAULT_URL = "http://127.0.0.1:8080"
URL_VARIABLE = "POMELOLANE_URL"
MAX_TIMEOUT_S = 86_400

URL_OPTION = option(
    "url",
    None,
    f"HTTP address of a VM (or {URL_VARIABLE}); default {DEFAULT_URL}.",
    flag=False,
)
KEY_FILE_OPTION = option(
    "key-file",
    None,
    "JSON file with operators' keys by team; else POMELOLANE_OPERATOR_KEYS, "
    "as team=key pairs parted by commas.",
    flag=False,
)


class ClientCommand(PlainCommand):
    """A command that talks to one VM over HTTP.

    Attributes:
        default_timeout_s: Longest wait for an answer unless told otherwise.
    """

    default_timeout_s: ClassVar[int] = 10

    def configure(self) -> None:
        """Add the client's flags behind the command's own."""
        super().configure()
        self._definition.add_option(URL_OPTION)
        self._definition.add_option(_timeout_option(self.default_timeout_s))

    def handle(self) -> int:
        """Run the command's coroutine on a loop."""
        return asyncio.run(self._with_client())

    async def talk(self, client: VmClient) -> ExitCode:
        """Do the command's work."""
        raise NotImplementedError

    async def _with_client(self) -> ExitCode:
        url = self.option("url") or os.environ.get(URL_VARIABLE) or DEFAULT_URL
        async with VmClient(url, timeout_s=self._timeout_s()) as client:
            return await self.talk(client)

    def _timeout_s(self) -> int:
        return self.whole_number("timeout-s", 1, MAX_TIMEOUT_S)

    def whole_number(self, name: str, minimum: int, maximum: int) -> int:
        """Return a flag's value as a number.

        Raises:
            SettingError: It is none, or out of range.
        """
        return checked_number(f"--{name}", self.option(name), minimum, maximum)


class OperatorCommand(ClientCommand):
    """A client command that needs operators' keys."""

    def configure(self) -> None:
        """Add the flag of the key file."""
        super().configure()
        self._definition.add_option(KEY_FILE_OPTION)

    def operator_keys(self) -> OperatorKeys:
        """Return the operators' keys at hand.

        Raises:
            SettingError: They can't be read.
        """
        return operator_keys_from(self.option("key-file"), os.environ)


def _timeout_option(default_s: int) -> Option:
    return option(
        "timeout-s",
        None,
        f"Longest wait for an answer in seconds, 1 to {MAX_TIMEOUT_S}.",
        flag=False,
        default=str(default_s),
    )


def checked_number(flag: str, text: str, minimum: int, maximum: int) -> int:
    """Return a text as a number within a range.

    Raises:
        SettingError: It is none, or out of range.
    """
    allowed = f"a whole number from {minimum} to {maximum}"
    if not (text.isascii() and text.isdecimal()):
        raise SettingError(flag, text, allowed)
    if not minimum <= int(text) <= maximum:
        raise SettingError(flag, text, allowed)
    return int(text)
