"""Steps for the command line, alone and against a VM."""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import re
import shlex
import sys

from behave import given, then, when
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from bench.processes import ManagedProcess, wait_until
from pomelolane.commands.application import run_application
from pomelolane.events import CATALOGUE
from pomelolane.report import (
    EndpointReport,
    PeerReport,
    StatusReport,
    VmReport,
    decode_report,
)
from pomelolane.settings import OPTIONS, branch_content_from_directory
from pomelolane.store import EmbeddedTable
from tests.commands.vm import FakeVm
from tests.settings.trees import make_settings_directory

REPORT = StatusReport(
    vm=VmReport("vm1", "hall-a", "here", 3, True, False, "0.1.0"),
    peers=(PeerReport("vm2", "hall-a", 1, "127.0.0.1:7402"),),
    endpoints=(
        EndpointReport("e1", "asker", "hall-a", "ready", 8, 7, 4000.0, 40.0, True),
    ),
    queues={"asker": {"urgent": 2}},
    settings={"fleet": 1},
)

LISTENING = re.compile(r"E101 .* address=(\S+)")

TEAMS = ("platform", "fleet", "quota", "tags")

TAGS_YAML = "team:\n  weight: 0.0001\n  operator_key_sha256: {digest}\n"


def key_of(team):
    return f"secret-key-of-{team}"


def digest_of(team):
    return hashlib.sha256(key_of(team).encode()).hexdigest()


@contextlib.contextmanager
def environment(**variables):
    kept = dict(os.environ)
    os.environ.update(variables)
    try:
        yield
    finally:
        os.environ.clear()
        os.environ.update(kept)


def run_command(context, call, **variables):
    output, errors = BufferedOutput(), BufferedOutput()
    command_input = ArgvInput(["pomelolane", *shlex.split(call)])
    with environment(**variables):
        context.exit_code = run_application(command_input, output, errors)
    context.printed, context.complained = output.fetch(), errors.fetch()


def set_operator_keys(directory):
    for team in TEAMS:
        for path in directory.glob(f"{team}/*.yaml"):
            lines = [
                line.partition(":")[0] + ": " + digest_of(team)
                if "operator_key_sha256" in line
                else line
                for line in path.read_text().splitlines()
            ]
            path.write_text("\n".join(lines) + "\n")


def make_declarations(context):
    context.directory = make_settings_directory(context)
    set_operator_keys(context.directory)
    context.key_file = context.directory / "keys.json"
    keys = {"operators": {team: key_of(team) for team in TEAMS[:3]}}
    context.key_file.write_text(json.dumps(keys))


@given("a command VM with the declarations of fleet and quota")
def given_vm(context):
    make_declarations(context)
    branches = branch_content_from_directory(context.directory)
    context.vm = FakeVm(EmbeddedTable(), branches, REPORT)
    context.vm.start()
    context.add_cleanup(context.vm.stop)
    context.vm_url = context.vm.url


@given("a command VM process with the declarations of fleet and quota")
def given_vm_process(context):
    make_declarations(context)
    command = (
        *(sys.executable, "-m", "pomelolane", "serve", "--vm-id", "vm1"),
        *("--region", "here", "--data-centre", "d", "--port", "0"),
        *("--peer-port", "0", "--tree", str(context.directory)),
        *("--drain-grace-ms", "0"),
    )
    log = context.directory / "vm.log"
    context.vm_process = ManagedProcess("vm1", command, log, os.environ)
    context.vm_process.spawn()
    context.add_cleanup(context.vm_process.kill)
    context.run(wait_until(lambda: is_ready(log.read_text()), 30, "not ready"))
    address = LISTENING.search(log.read_text())[1]
    context.vm_url = f"http://{address}"


def is_ready(logged):
    return "E102" in logged and LISTENING.search(logged) is not None


@when("the command VM process gets SIGTERM")
def when_terminated(context):
    context.vm_process.terminate()


@then("the command VM process ends with {code:d}")
def then_process_ends(context, code):
    assert context.run(context.vm_process.wait_exit()) == code


@then("the command VM process logs no operator's key or digest")
def then_log_without_keys(context):
    logged = context.vm_process.log_text()
    for team in TEAMS:
        assert key_of(team) not in logged
        assert digest_of(team) not in logged


@given('in the command directory "{file}" has "{old}" replaced by "{new}"')
def given_directory_changed(context, file, old, new):
    path = context.directory / file
    text = path.read_text()
    assert old in text, old
    path.write_text(text.replace(old, new, 1))


@given('the command directory gains the team "{team}"')
def given_new_team(context, team):
    for path in context.directory.glob("*/*.yaml"):
        path.write_text(path.read_text().replace("weight: 0.5", "weight: 0.4"))
    folder = context.directory / team
    folder.mkdir()
    (folder / "t.yaml").write_text(TAGS_YAML.format(digest=digest_of(team)))


@given("the command VM drops the next answer to a change")
def given_dropped(context):
    context.vm.drop_answers = 1


def chat_event(text):
    chunk = {"choices": [{"index": 0, "delta": {"content": text}}]}
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


@given('the command VM streams the answer "{text}" whole')
def given_whole(context, text):
    events = [chat_event(word) for word in text.partition(" ")]
    context.vm.chat_events = [*events, b"data: [DONE]\n\n"]


@given('the command VM streams the answer "{text}" cut short')
def given_cut(context, text):
    context.vm.chat_events = [chat_event(text)]


@given('the command VM streams the answer "{text}" and a problem "{outcome}"')
def given_problem_event(context, text, outcome):
    problem = json.dumps({"detail": "gone", "outcome": outcome}).encode()
    error = b"event: error\ndata: " + problem + b"\n\n"
    context.vm.chat_events = [chat_event(text), error]


@given('the command VM refuses with {status:d} "{outcome}" "{reason}"')
def given_refusal(context, status, outcome, reason):
    body = {
        "detail": "full",
        "outcome": outcome,
        "reason": reason,
        "retry_after_ms": 700,
    }
    context.vm.chat_problem = (status, json.dumps(body).encode())


@when('the command "{call}" is run')
def when_run(context, call):
    run_command(context, call)


@when('the client command "{call}" is run')
def when_client_run(context, call):
    call = call.format(directory=context.directory, keys=context.key_file)
    run_command(
        context, call, POMELOLANE_URL=context.vm_url, POMELOLANE_KEY="caller-key"
    )


@when('the client command "{call}" is run with the operator key of "{team}" alone')
def when_run_with_key(context, call, team):
    call = call.format(directory=context.directory)
    keys = f"{team}={key_of(team)}"
    run_command(
        context, call, POMELOLANE_URL=context.vm_url, POMELOLANE_OPERATOR_KEYS=keys
    )


@then("the command ends with {code:d}")
def then_code(context, code):
    said = context.printed + context.complained
    assert context.exit_code == code, (context.exit_code, said)


@then('the command prints "{text}"')
def then_prints(context, text):
    assert text in context.printed, context.printed


@then('the command complains in one line with "{text}"')
def then_complains(context, text):
    assert text in context.complained, context.complained
    assert len(context.complained.splitlines()) == 1, context.complained


@then("the command prints every flag of serve")
def then_flags(context):
    for option in OPTIONS:
        assert option.flag in context.printed
        assert option.variable in context.printed


@then("the command prints every event's number, name and fields")
def then_events(context):
    for number, event in CATALOGUE.items():
        row = f"| E{number} | `{event.name}` | {event.level} |"
        assert row in context.printed, row
        assert all(f"`{name}`" in context.printed for name in event.fields)


@then("the command prints the VM's status report")
def then_report(context):
    assert decode_report(context.printed.encode()) == REPORT


@then('the command VM holds "{branch}" at version {version:d}')
def then_holds_version(context, branch, version):
    versions = context.vm.run(context.vm.store.snapshot()).versions()
    assert versions[branch] == version, versions


@then("the command prints no operator's key or digest")
def then_no_keys(context):
    said = context.printed + context.complained
    for team in TEAMS:
        assert key_of(team) not in said
        assert digest_of(team) not in said


@then('the command VM has drained ""')
def then_drained_nothing(context):
    assert context.vm.drained == [], context.vm.drained


@then('the command VM has drained "{target}"')
def then_drained(context, target):
    assert context.vm.drained == [target], context.vm.drained


@then('the command VM saw the header "{name}" as "{value}"')
def then_header_seen(context, name, value):
    assert context.vm.seen_headers.get(name) == value, context.vm.seen_headers


@then("the command VM got {count:d} call of a plain service")
def then_calls(context, count):
    assert context.vm.dropped_calls == count, context.vm.dropped_calls
