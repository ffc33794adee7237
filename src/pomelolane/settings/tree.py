"""Compiles branches into the :class:`~pomelolane.model.Tree` that is in force.

Branches come from a directory of declarations or from the platform's table;
both pass the same checks.
"""

from __future__ import annotations

from pathlib import Path
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from pomelolane.exceptions import InvalidTreeError
from pomelolane.model import (
    Endpoint,
    Limits,
    Organisation,
    Service,
    ServiceKind,
    Team,
    Tier,
    Tree,
    Work,
)
from pomelolane.settings.checks import problems_of_documents
from pomelolane.settings.documents import (
    content_of_document,
    document_from_content,
    documents_from_directory,
)
from pomelolane.settings.schema import PLATFORM_BRANCH

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from pomelolane.settings.documents import Document

_NO_VERSIONS: Mapping[str, int] = MappingProxyType({})


def tree_from_directory(path: str | Path) -> Tree:
    """Return the checked tree of a directory with one folder a team.

    Raises:
        DeclarationError: The directory can't be read.
        InvalidTreeError: A declaration is wrong; holds every problem.
    """
    return _compiled(_checked(documents_from_directory(Path(path))), _NO_VERSIONS)


def tree_from_branches(
    branches: Mapping[str, bytes], versions: Mapping[str, int] = _NO_VERSIONS
) -> Tree:
    """Return the checked tree of branches as the table holds them.

    Args:
        branches: Canonical JSON by branch.
        versions: Committed version by branch, kept in the tree.

    Raises:
        InvalidTreeError: A branch is wrong; holds every problem.
    """
    documents = [document_from_content(*each) for each in sorted(branches.items())]
    return _compiled(_checked(documents), versions)


def branch_content_from_directory(path: str | Path) -> dict[str, bytes]:
    """Return the canonical JSON of each branch of a checked directory.

    Raises:
        DeclarationError: The directory can't be read.
        InvalidTreeError: A declaration is wrong; holds every problem.
    """
    documents = _checked(documents_from_directory(Path(path)))
    return {each.branch: content_of_document(each) for each in documents}


def _checked(documents: list[Document]) -> list[Document]:
    problems = problems_of_documents(documents)
    if problems:
        raise InvalidTreeError(problems)
    return documents


def _compiled(documents: Iterable[Document], versions: Mapping[str, int]) -> Tree:
    by_branch = {each.branch: each.data for each in documents}
    platform = by_branch.pop(PLATFORM_BRANCH, {})
    tree = Tree(region=platform.get("region", ""), versions=dict(versions))
    for item in platform.get("tiers", ()):
        tree.tiers[item["name"]] = Tier(**item)
    if platform:
        tree.teams[PLATFORM_BRANCH] = _team(PLATFORM_BRANCH, platform["team"])
    for name, data in by_branch.items():
        _add_branch(tree, name, data)
    return tree


def _add_branch(tree: Tree, name: str, data: Mapping[str, Any]) -> None:
    tree.teams[name] = _team(name, data["team"])
    for item in data.get("services", ()):
        tree.services[item["name"]] = _service(name, item)
    for item in data.get("endpoints", ()):
        tree.endpoints[item["endpoint_id"]] = Endpoint(**item)
    for item in data.get("organisations", ()):
        tree.organisations[item["name"]] = _organisation(name, item)


def _team(name: str, item: Mapping[str, Any]) -> Team:
    fields = {**item, "limits": Limits(**item.get("limits", {}))}
    return Team(name=name, **fields)


def _service(team: str, item: Mapping[str, Any]) -> Service:
    works = {work["name"]: Work(**work) for work in item["works"]}
    fields = {**item, "kind": ServiceKind(item["kind"]), "works": works}
    return Service(team=team, **fields)


def _organisation(team: str, item: Mapping[str, Any]) -> Organisation:
    fields = {
        **item,
        "limits": Limits(**item.get("limits", {})),
        "services": tuple(item.get("services", ())),
    }
    return Organisation(team=team, **fields)
