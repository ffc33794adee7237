"""Branches of the settings tree as plain data that remembers where it stood.

A branch comes from a team's folder of YAML files or from the canonical JSON
that the platform's table holds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
import yaml

from pomelolane.exceptions import DeclarationError

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from yaml.nodes import MappingNode, Node, SequenceNode


LIST_SECTIONS = ("tiers", "services", "endpoints", "organisations")
"""Sections that several files of one folder may contribute to."""

MAX_FILE_BYTES = 4 * 1024 * 1024

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_MAX_DEPTH = 16

DocumentPath = tuple[str | int, ...]
"""Keys and indexes that lead from a branch's root to a value."""


@dataclass(frozen=True, slots=True)
class Position:
    """Where a value stood.

    Attributes:
        file: File relative to the tree's root, or the branch's row.
        line: 1-based line, 0 where there is none.
    """

    file: str
    line: int


@dataclass(slots=True)
class Document:
    """One branch before it is checked.

    Attributes:
        branch: Its name, which is also the team's.
        data: Plain mappings, lists and scalars.
        positions: Where each value stood, by its path.
        problems: What was wrong with the text itself.
    """

    branch: str
    data: dict[str, Any] = field(default_factory=dict)
    positions: dict[DocumentPath, Position] = field(default_factory=dict)
    problems: list[DeclarationError] = field(default_factory=list)

    def position(self, path: DocumentPath) -> Position:
        """Return the position of a value, or of its nearest known parent."""
        for length in range(len(path), -1, -1):
            found = self.positions.get(path[:length])
            if found:
                return found
        return Position(self.branch, 0)

    def report(self, path: DocumentPath, problem: str, allowed: str) -> None:
        """Note a problem at the position of a value."""
        where = self.position(path)
        text = f"{dotted(path)}: {problem}" if path else problem
        self.problems.append(DeclarationError(where.file, where.line, text, allowed))


def dotted(path: DocumentPath) -> str:
    """Return a path as people write it, e.g. ``services[0].works[1].tier``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def document_from_content(branch: str, content: bytes) -> Document:
    """Return the document of a branch's canonical JSON."""
    document = Document(branch)
    document.positions[()] = Position(f"settings/branch/{branch}", 0)
    try:
        data = msgspec.json.decode(content)
    except (msgspec.DecodeError, RecursionError) as error:
        document.report((), f"no JSON: {error}", "canonical JSON of the branch")
        return document
    if not isinstance(data, dict):
        document.report((), "no mapping", "a mapping of sections")
        return document
    document.data = data
    return document


def content_of_document(document: Document) -> bytes:
    """Return the canonical JSON: sorted keys, no spaces."""
    return msgspec.json.encode(document.data, order="sorted")


def documents_from_directory(root: Path) -> list[Document]:
    """Return one document a team's folder, by name.

    Raises:
        DeclarationError: The directory can't be read.
    """
    if not root.is_dir():
        raise DeclarationError(str(root), 0, "no directory", "a directory of teams")
    folders = sorted(entry for entry in root.iterdir() if _is_team_folder(entry))
    if not folders:
        raise DeclarationError(
            str(root), 0, "no team's folder", "one folder of *.yaml files a team"
        )
    return [document_from_folder(folder, root) for folder in folders]


def document_from_folder(folder: Path, root: Path) -> Document:
    """Return the document that a folder's YAML files make together."""
    document = Document(folder.name)
    document.positions[()] = Position(str(folder.relative_to(root)), 0)
    files = sorted((*folder.glob("*.yaml"), *folder.glob("*.yml")))
    if not files:
        document.report((), "no declarations", "at least one *.yaml file")
    for file in files:
        _read_file(document, file, str(file.relative_to(root)))
    return document


def _is_team_folder(entry: Path) -> bool:
    return entry.is_dir() and not entry.name.startswith((".", "_"))


def _read_file(document: Document, file: Path, shown_as: str) -> None:
    try:
        if file.stat().st_size > MAX_FILE_BYTES:
            raise DeclarationError(
                shown_as, 0, "file too large", f"at most {MAX_FILE_BYTES} bytes"
            )
        node = yaml.compose(file.read_text("utf-8"), Loader=_LOADER)
        if node is None:
            return
        _FileReader(document, shown_as).merge(node)
    except DeclarationError as problem:
        document.problems.append(problem)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 0
        problem = f"no YAML: {error.problem}"
        document.problems.append(
            DeclarationError(shown_as, line, problem, "well-formed YAML")
        )
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        document.problems.append(
            DeclarationError(shown_as, 0, f"unreadable: {error}", "UTF-8 YAML")
        )


class _FileReader:
    """Turns one file's nodes into data and positions of the document."""

    def __init__(self, document: Document, file: str) -> None:
        self._document = document
        self._file = file
        self._constructor = yaml.SafeLoader("")

    def merge(self, root: Node) -> None:
        """Add the file's sections to the document."""
        if not isinstance(root, yaml.MappingNode):
            raise DeclarationError(
                self._file, self._line(root), "no mapping", "a mapping of sections"
            )
        for key, key_node, value in self._pairs(root, ()):
            self._add_section(key, key_node, value)

    def _add_section(self, key: str, key_node: Node, value: Node) -> None:
        data = self._document.data
        if key not in data:
            data[key] = self._plain(value, (key,), key_node)
        elif key in LIST_SECTIONS and isinstance(value, yaml.SequenceNode):
            self._extend(data[key], key, value)
        else:
            first = self._document.position((key,))
            problem = f"{key}: declared already in {first.file}:{first.line}"
            self._note(key_node, problem, "once a team")

    def _extend(self, items: Any, key: str, value: SequenceNode) -> None:
        if not isinstance(items, list):
            return
        for node in value.value:
            path = (key, len(items))
            items.append(self._plain(node, path, node))

    def _plain(self, node: Node, path: DocumentPath, at: Node) -> Any:
        if len(path) > _MAX_DEPTH:
            raise DeclarationError(
                self._file, self._line(node), "nested too deep", "no such nesting"
            )
        self._document.positions[path] = Position(self._file, self._line(at))
        if isinstance(node, yaml.MappingNode):
            return {
                key: self._plain(value, (*path, key), key_node)
                for key, key_node, value in self._pairs(node, path)
            }
        if isinstance(node, yaml.SequenceNode):
            return [
                self._plain(item, (*path, index), item)
                for index, item in enumerate(node.value)
            ]
        return self._scalar(node)

    def _scalar(self, node: Node) -> Any:
        try:
            value = self._constructor.construct_object(node)
        except (yaml.YAMLError, ValueError):
            self._note(node, "unknown tag or malformed value", "a plain YAML value")
            return None
        if value is None or isinstance(value, str | int | float | bool):
            return value
        return node.value

    def _pairs(
        self, node: MappingNode, path: DocumentPath
    ) -> Iterator[tuple[str, Node, Node]]:
        seen: set[str] = set()
        for key_node, value in node.value:
            key = str(key_node.value)
            if key in seen:
                text = dotted((*path, key))
                self._note(key_node, f"{text}: key given twice", "each key once")
                continue
            seen.add(key)
            yield key, key_node, value

    def _note(self, node: Node, problem: str, allowed: str) -> None:
        self._document.problems.append(
            DeclarationError(self._file, self._line(node), problem, allowed)
        )

    @staticmethod
    def _line(node: Node) -> int:
        return node.start_mark.line + 1
