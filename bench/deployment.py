"""A deployment's declarations, made ready to run on one machine.

Addresses and keys of the declarations are replaced by local ones, and the
result is written as a tree that ``pomelolane serve --tree`` reads.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from bench.processes import BenchError

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"

Branch = dict[str, Any]
"""One team's declarations, as read from YAML."""


@dataclass(frozen=True, slots=True)
class EndpointPlan:
    """What the launcher has to know to start one endpoint's stand-in.

    Attributes:
        endpoint_id: Unique id.
        service: Its service.
        kind: ``engine`` or ``plain``.
        model: Model of the service, empty for plain ones.
        declared: The endpoint's declaration.
    """

    endpoint_id: str
    service: str
    kind: str
    model: str
    declared: dict[str, Any]

    @property
    def data_centre(self) -> str:
        """Where it stands."""
        return self.declared["data_centre"]


@dataclass(slots=True)
class Deployment:
    """All branches of a deployment by team.

    Attributes:
        name: For messages and folders.
        branches: Declarations by team.
    """

    name: str
    branches: dict[str, Branch] = field(default_factory=dict)

    @property
    def region(self) -> str:
        """Region named by the branch ``platform``."""
        return str(self.branches.get("platform", {}).get("region", "local"))

    def endpoints(self) -> list[EndpointPlan]:
        """Return all endpoints in the order of declaration."""
        services = {item["name"]: item for item in self._all("services")}
        return [
            _plan_endpoint(item, services[item["service"]])
            for item in self._all("endpoints")
        ]

    def organisations(self) -> list[str]:
        """Return the names of all organisations."""
        return [item["name"] for item in self._all("organisations")]

    def services(self) -> dict[str, dict[str, Any]]:
        """Return the services' declarations by name."""
        return {item["name"]: item for item in self._all("services")}

    def tiers(self) -> dict[str, dict[str, Any]]:
        """Return the tiers' declarations by name."""
        return {item["name"]: item for item in self._all("tiers")}

    def data_centres(self) -> list[str]:
        """Return the data centres in which endpoints stand."""
        names = (item["data_centre"] for item in self._all("endpoints"))
        return list(dict.fromkeys(names))

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replace the endpoints' addresses by id."""
        for item in self._all("endpoints"):
            item["address"] = addresses[item["endpoint_id"]]

    def set_keys(self) -> None:
        """Replace all digests of keys by those of the local keys."""
        for item in self._all("organisations"):
            item["key_sha256"] = _digest(organisation_key(item["name"]))
        for team, branch in self.branches.items():
            section = branch.setdefault("team", {}) or {}
            section["operator_key_sha256"] = _digest(operator_key(team))
            branch["team"] = section

    def write(self, folder: Path) -> None:
        """Write the branches as ``folder/<team>/branch.yaml``."""
        for team, branch in self.branches.items():
            target = folder / team
            target.mkdir(parents=True, exist_ok=True)
            text = yaml.safe_dump(branch, sort_keys=False, allow_unicode=True)
            (target / "branch.yaml").write_text(text, encoding="utf-8")

    def _all(self, section: str) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = []
        for branch in self.branches.values():
            found.extend(branch.get(section) or ())
        return found


def organisation_key(name: str) -> str:
    """Return the local bearer key of an organisation."""
    return f"caller-key-of-{name}"


def operator_key(team: str) -> str:
    """Return the local bearer key of a team's operator."""
    return f"operator-key-of-{team}"


def read_deployment(name: str, folder: Path | None = None) -> Deployment:
    """Read ``examples/<name>`` (or another folder) into memory.

    Raises:
        BenchError: There is no such deployment.
    """
    source = folder or EXAMPLES / name
    if not source.is_dir():
        raise BenchError(f"no deployment at {source}")
    deployment = Deployment(name)
    for team_folder in sorted(path for path in source.iterdir() if path.is_dir()):
        deployment.branches[team_folder.name] = _read_branch(team_folder)
    return deployment


def _read_branch(folder: Path) -> Branch:
    branch: Branch = {}
    for path in sorted(folder.glob("*.yaml")):
        content = yaml.safe_load(path.read_text(encoding="utf-8")) or {}
        for key, value in content.items():
            _merge_key(branch, key, value)
    return branch


def _merge_key(branch: Branch, key: str, value: Any) -> None:
    known = branch.get(key)
    if isinstance(known, list):
        known.extend(value)
    elif isinstance(known, dict):
        known.update(value)
    else:
        branch[key] = value


def _plan_endpoint(item: dict[str, Any], service: dict[str, Any]) -> EndpointPlan:
    return EndpointPlan(
        endpoint_id=item["endpoint_id"],
        service=service["name"],
        kind=str(service["kind"]),
        model=str(service.get("model", "")),
        declared=item,
    )


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
