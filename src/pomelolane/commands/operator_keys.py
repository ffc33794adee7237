"""Operators' keys as client commands get them, never shown again.

They come from a JSON file or from an environment variable.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from pomelolane.exceptions import SettingError, UnknownOperatorError
from pomelolane.settings.schema import PLATFORM_BRANCH

if TYPE_CHECKING:
    from collections.abc import Mapping

KEYS_VARIABLE = "POMELOLANE_OPERATOR_KEYS"

_FILE_FORM = 'a JSON file {"operators": {"team": "key"}}'
_VARIABLE_FORM = "team=key pairs parted by commas"


class _KeyFile(msgspec.Struct, frozen=True):
    operators: dict[str, str]


@dataclass(frozen=True, slots=True)
class OperatorKeys:
    """Keys by team.

    Attributes:
        by_team: The keys.
    """

    by_team: Mapping[str, str] = field(repr=False)

    def of_team(self, team: str) -> str:
        """Return a team's key.

        Raises:
            UnknownOperatorError: There is none at hand.
        """
        if team not in self.by_team:
            known = ", ".join(sorted(self.by_team)) or "none"
            raise UnknownOperatorError(
                f"no operator's key of team {team} at hand (known: {known}); "
                f"give --key-file or {KEYS_VARIABLE}"
            )
        return self.by_team[team]

    def of_team_or_platform(self, team: str) -> str:
        """Return a team's key, or the platform's where the team's is not at hand.

        Raises:
            UnknownOperatorError: Neither is at hand.
        """
        if team in self.by_team or PLATFORM_BRANCH not in self.by_team:
            return self.of_team(team)
        return self.by_team[PLATFORM_BRANCH]

    def any(self) -> str:
        """Return some key, the platform's if it is at hand.

        Raises:
            UnknownOperatorError: There is none.
        """
        teams = sorted(self.by_team) or [PLATFORM_BRANCH]
        return self.of_team_or_platform(teams[0])


def operator_keys_from(
    key_file: str | None, environ: Mapping[str, str]
) -> OperatorKeys:
    """Return the keys of a file, or else of the environment.

    Raises:
        SettingError: The file can't be read, or the variable is malformed.
    """
    if key_file:
        return _keys_of_file(Path(key_file))
    text = environ.get(KEYS_VARIABLE, "")
    pairs = [item.strip().partition("=") for item in text.split(",") if item.strip()]
    if not all(team and key for team, _, key in pairs):
        raise SettingError(KEYS_VARIABLE, "(hidden)", _VARIABLE_FORM)
    return OperatorKeys({team: key for team, _, key in pairs})


def _keys_of_file(path: Path) -> OperatorKeys:
    try:
        kept = msgspec.json.decode(path.read_bytes(), type=_KeyFile)
    except (OSError, msgspec.DecodeError) as error:
        problem = type(error).__name__
        raise SettingError(
            "--key-file", str(path), f"{_FILE_FORM} ({problem})"
        ) from None
    return OperatorKeys(kept.operators)
