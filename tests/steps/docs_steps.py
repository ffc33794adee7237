"""Steps of docs/catalogue.feature."""

import io
import re
from contextlib import redirect_stdout
from pathlib import Path

from behave import then

from pomelolane.commands.events import EventsCommand
from pomelolane.events import CATALOGUE

ROOT = Path(__file__).parents[2]
METRIC = re.compile(r"pomelolane_[a-z_]+")
MADE_METRIC = re.compile(r'"(pomelolane_[a-z_]+)"')
LINK = re.compile(r"\]\((?!https?:|#)([^)#]+)")


@then('docs/LOG-EVENTS.md holds what "pomelolane events --markdown" prints')
def step_catalogue(context):
    from cleo.testers.command_tester import CommandTester

    tester = CommandTester(EventsCommand())
    output = io.StringIO()
    with redirect_stdout(output):
        tester.execute("--markdown")
    printed = tester.io.fetch_output() or output.getvalue()
    written = (ROOT / "docs" / "LOG-EVENTS.md").read_text()
    assert written.strip() == printed.strip(), "run `make docs`"


@then("each log event's name is unique and its number is in its hundred")
def step_unique(context):
    names = [event.name for event in CATALOGUE.values()]
    assert len(names) == len(set(names))
    assert all(100 < number < 900 for number in CATALOGUE)


@then("each relative link in the documents leads to a file")
def step_links(context):
    pages = [ROOT / "README.md", *(ROOT / "docs").glob("*.md")]
    broken = [
        f"{page.name}: {target}"
        for page in pages
        for target in LINK.findall(page.read_text())
        if not (page.parent / target).exists()
    ]
    assert not broken, broken


@then("each metric of the code is named on a page, and each one named exists")
def step_metrics(context):
    sources = (ROOT / "src" / "pomelolane").rglob("*.py")
    pages = (ROOT / "docs").glob("OPERAT*.md")
    made = {name for path in sources for name in MADE_METRIC.findall(path.read_text())}
    named = {name for page in pages for name in METRIC.findall(page.read_text())}
    assert made == named, made ^ named
