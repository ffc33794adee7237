"""Checks over the whole tree: duplicates, references and sums of shares.

They look at every branch together and note all problems, not only the first.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from pomelolane.model import ServiceKind
from pomelolane.settings.schema import NAME_PATTERN, PLATFORM_BRANCH, rule_of_branch

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from pomelolane.exceptions import DeclarationError
    from pomelolane.settings.documents import Document, DocumentPath

SHARE_TOLERANCE = 1e-9
"""Slack for sums of decimal fractions such as three times 0.1."""

_LIMIT_FIELDS = ("requests_per_s", "tokens_per_s", "concurrency")

_Found = tuple["Document", "DocumentPath", dict[str, Any]]


def problems_of_documents(
    documents: Sequence[Document],
) -> tuple[DeclarationError, ...]:
    """Return every problem of a tree, in order of file and line."""
    for document in documents:
        if not document.problems or document.data:
            rule_of_branch(document.branch).check(document, (), document.data)
        _check_branch_name(document)
    _check_across(documents)
    problems = [each for document in documents for each in document.problems]
    unique = dict.fromkeys((each.file, each.line, str(each)) for each in problems)
    by_text = {(each.file, each.line, str(each)): each for each in problems}
    return tuple(by_text[key] for key in sorted(unique))


def _check_across(documents: Sequence[Document]) -> None:
    _check_platform_branch(documents)
    _check_unique(documents, "tiers", "name")
    _check_unique(documents, "tiers", "rank")
    _check_unique(documents, "services", "name")
    _check_unique(documents, "endpoints", "endpoint_id")
    _check_unique(documents, "endpoints", "address")
    _check_unique(documents, "organisations", "name")
    _check_unique(documents, "organisations", "key_sha256", secret=True)
    _check_works(documents)
    _check_endpoints(documents)
    _check_organisations(documents)
    _check_team_shares(documents)
    for document in documents:
        _check_organisation_shares(document)


def _check_branch_name(document: Document) -> None:
    if not NAME_PATTERN.fullmatch(document.branch):
        document.report((), "branch name not allowed", "letters, digits, '.', '_', '-'")


def _check_platform_branch(documents: Sequence[Document]) -> None:
    if documents and all(each.branch != PLATFORM_BRANCH for each in documents):
        documents[0].report(
            (), "no branch 'platform'", "a branch 'platform' with region and tiers"
        )


def _check_unique(
    documents: Sequence[Document], section: str, name: str, *, secret: bool = False
) -> None:
    seen: dict[object, _Found] = {}
    for found in _items(documents, section):
        document, path, item = found
        value = item.get(name)
        if not isinstance(value, str | int):
            continue
        if value not in seen:
            seen[value] = found
            continue
        first = seen[value][0].position(seen[value][1])
        shown = "value" if secret else repr(value)
        problem = f"{shown} is declared already in {first.file}:{first.line}"
        document.report((*path, name), problem, "a value unique over the tree")


def _check_works(documents: Sequence[Document]) -> None:
    tiers = {str(item.get("name")) for _, _, item in _items(documents, "tiers")}
    known = "one of the platform's tiers: " + ", ".join(sorted(tiers))
    for document, path, service in _items(documents, "services"):
        names: set[object] = set()
        for index, work in enumerate(_mappings(service.get("works"))):
            at = (*path, "works", index)
            tier = work.get("tier")
            if isinstance(tier, str) and tier not in tiers:
                document.report((*at, "tier"), f"no tier {tier!r}", known)
            name = work.get("name")
            if isinstance(name, str) and name in names:
                document.report(
                    (*at, "name"), f"{name!r} twice", "unique within the service"
                )
            names.add(str(name))
        _check_model(document, path, service)


def _check_model(
    document: Document, path: DocumentPath, service: Mapping[str, Any]
) -> None:
    kind = service.get("kind")
    if kind == ServiceKind.ENGINE and not service.get("model"):
        document.report(path, "model is missing", "the model of the engines")
    if kind == ServiceKind.PLAIN and service.get("model"):
        document.report((*path, "model"), "a plain service has none", "no model")


def _check_endpoints(documents: Sequence[Document]) -> None:
    owners = _service_owners(documents)
    for document, path, endpoint in _items(documents, "endpoints"):
        service = endpoint.get("service")
        if not isinstance(service, str):
            continue
        _check_reference(document, (*path, "service"), service, owners)
        kind = owners.get(service, ("", ""))[1]
        if kind == ServiceKind.ENGINE and not endpoint.get("kv_tokens"):
            document.report(path, "kv_tokens is missing", "KV cache size in tokens")


def _check_organisations(documents: Sequence[Document]) -> None:
    owners = _service_owners(documents)
    for document, path, organisation in _items(documents, "organisations"):
        for index, service in enumerate(_sequence(organisation.get("services"))):
            if isinstance(service, str):
                at = (*path, "services", index)
                _check_reference(document, at, service, owners)
        _check_limits(document, path, organisation)


def _check_reference(
    document: Document,
    path: DocumentPath,
    service: str,
    owners: Mapping[str, tuple[str, str]],
) -> None:
    owner = owners.get(service, ("", ""))[0]
    if owner == document.branch:
        return
    own = sorted(name for name, each in owners.items() if each[0] == document.branch)
    allowed = "one of this team's services: " + (", ".join(own) or "none")
    if owner:
        problem = f"service {service!r} belongs to the branch of team {owner!r}"
    else:
        problem = f"no service {service!r}"
    document.report(path, problem, allowed)


def _check_limits(
    document: Document, path: DocumentPath, organisation: Mapping[str, Any]
) -> None:
    team = document.data.get("team")
    bounds = team.get("limits") if isinstance(team, dict) else None
    limits = organisation.get("limits")
    if not isinstance(bounds, dict) or not isinstance(limits, dict):
        return
    for name in _LIMIT_FIELDS:
        bound, limit = _amount(bounds.get(name)), _amount(limits.get(name))
        if bound and limit > bound:
            problem = f"{limit:g} is above the team's limit"
            document.report((*path, "limits", name), problem, f"at most {bound:g}")


def _check_team_shares(documents: Sequence[Document]) -> None:
    teams = [each for each in documents if each.branch != PLATFORM_BRANCH]
    shares = [
        (document, ("team", "weight"), _team_weight(document)) for document in teams
    ]
    _check_sum(shares, "the teams' weights")


def _check_organisation_shares(document: Document) -> None:
    items = list(_items((document,), "organisations"))
    if not any("weight" in item for _, _, item in items):
        return
    for _, path, item in items:
        if "weight" not in item:
            allowed = "a weight for each of the team's organisations, or for none"
            document.report(path, "weight is missing", allowed)
    shares = [
        (document, (*path, "weight"), _amount(item.get("weight")))
        for _, path, item in items
    ]
    _check_sum(shares, "the organisations' weights")


def _check_sum(
    shares: Sequence[tuple[Document, DocumentPath, float]], what: str
) -> None:
    total = math.fsum(share for _, _, share in shares)
    if total <= 1 + SHARE_TOLERANCE:
        return
    for document, path, share in shares:
        others = max(0.0, 1 - (total - share))
        problem = f"{what} sum to {total:g}"
        allowed = f"a sum of at most 1; the others leave {others:g} for this one"
        document.report(path, problem, allowed)


def _team_weight(document: Document) -> float:
    team = document.data.get("team")
    return _amount(team.get("weight", 1.0)) if isinstance(team, dict) else 0.0


def _service_owners(documents: Sequence[Document]) -> dict[str, tuple[str, str]]:
    owners: dict[str, tuple[str, str]] = {}
    for document, _, item in _items(documents, "services"):
        kind = str(item.get("kind"))
        owners.setdefault(str(item.get("name")), (document.branch, kind))
    return owners


def _items(documents: Sequence[Document], section: str) -> Iterator[_Found]:
    for document in documents:
        for index, item in enumerate(_sequence(document.data.get(section))):
            if isinstance(item, dict):
                yield document, (section, index), item


def _mappings(value: object) -> list[dict[str, Any]]:
    return [item if isinstance(item, dict) else {} for item in _sequence(value)]


def _sequence(value: object) -> list[Any]:
    return value if isinstance(value, list) else []


def _amount(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    return float(value)
