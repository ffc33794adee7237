"""Steps of the proof of bad input: hostile clients beside good ones."""

import asyncio
import statistics
from collections import Counter

import msgspec
from behave import given, then, when

from bench.caller import Caller
from bench.cluster import Cluster
from bench.operators import Operator
from tests.hostile_http import chat_head, fuzzed_requests, send_all

SECRET = "hush-5cbd1f"
PROMPT = f"{SECRET} the catch of the Lucero"
MAX_BODY_BYTES = 65536
TIMEOUT_MS = 1500
GOOD_PAUSE_S = 0.05
DRIP_S = 0.1
SPARE_FACTOR = 3
SPARE_MS = 100.0
FLAGS = (
    *("--log-level", "debug"),
    *("--max-body-bytes", str(MAX_BODY_BYTES)),
    *("--header-timeout-ms", str(TIMEOUT_MS)),
    *("--body-timeout-ms", str(TIMEOUT_MS)),
)
BAD_STATES = ("Traceback", "task_failed", "Unhandled")


class BadInputProof:
    """A cluster and what good and hostile callers got from one VM of it."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.vm = cluster.vms[0]
        self.pid = self.vm.pid
        self.key = cluster.organisation_key("puerto-tampico")
        self.before = []
        self.during = []
        self.endings = []
        self.tries = []

    async def good_call(self, caller):
        """Ask for an entry check."""
        return await caller.send(
            self.vm.url,
            self.key,
            service="modelo-bitacora",
            work="entry-check",
            prompt=PROMPT,
            output_tokens=4,
        )

    async def good_calls(self, records, until_done=None, number=0):
        """Send good calls one after the other and keep what they got."""
        async with Caller() as caller:
            while len(records) < number or (until_done and not until_done.done()):
                records.append(await self.good_call(caller))
                await asyncio.sleep(GOOD_PAUSE_S)

    async def attack(self, kinds):
        """Send hostile requests, given by kind, all at one time."""
        port = self.vm.place.port
        groups = await asyncio.gather(
            *(
                send_all(port, requests, _drip_s(kind))
                for kind, requests in kinds.items()
            )
        )
        self.endings = [ending for group in groups for ending in group]

    def make(self, kind, number):
        """Return the hostile requests of a kind."""
        if kind == "fuzzed requests":
            return fuzzed_requests(SECRET, self.key, number)
        body = msgspec.json.encode({"model": "modelo-bitacora", "x": PROMPT})
        whole = chat_head(self.key, len(body)) + body
        made = {
            "half-sent heads": whole[:90],
            "half-sent bodies": whole[:-5],
            "heads sent byte-wise": whole,
            "bodies sent byte-wise": whole,
            "oversized heads": chat_head(
                self.key, len(body), b"X-Note: " + b"n" * 200_000 + b"\r\n"
            ),
            "oversized bodies": chat_head(self.key, 10_000_000) + b"b" * 10_000_000,
            "endless chunked bodies": _chunked(self.key),
        }
        return [made[kind]] * number


def _drip_s(kind):
    return DRIP_S if kind.endswith("byte-wise") else 0.0


def _chunked(key):
    head = chat_head(key, 0).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    chunk = b"8000\r\n" + b"c" * 0x8000 + b"\r\n"
    return head + chunk * 40


@given("a bad-input proof on {number:d} VM in each data centre")
def step_cluster(context, number):
    cluster = context.run(
        Cluster.start(
            "comision", vms_per_data_centre=number, faults=False, extra_flags=FLAGS
        )
    )
    context.add_cleanup(lambda: context.run(cluster.stop()))
    context.proof = BadInputProof(cluster)


@when("{number:d} good calls are sent to the VM under attack before anything hostile")
def step_before(context, number):
    proof = context.proof
    context.run(proof.good_calls(proof.before, number=number))


@when("good calls go on at the VM under attack while these come")
def step_attack(context):
    proof = context.proof
    # Made before, as making them takes this process's whole attention.
    kinds = {
        row["hostile"]: proof.make(row["hostile"], int(row["number"]))
        for row in context.table
    }

    async def attack():
        attacking = asyncio.create_task(proof.attack(kinds))
        await proof.good_calls(proof.during, until_done=attacking)
        await attacking

    context.run(attack())


@then("each hostile request had a typed end or a closed connection")
def step_typed(context):
    untyped = [ending for ending in context.proof.endings if not ending.typed]
    print("hostile ends:", Counter(ending.status for ending in context.proof.endings))
    assert not untyped, f"{len(untyped)}: {untyped[:5]}"


@then("all good calls got their whole answers, hardly later than before")
def step_good(context):
    proof = context.proof
    records = proof.before + proof.during
    assert all(record.whole for record in records), [
        record for record in records if not record.whole
    ][:3]
    before, during = (
        statistics.median(record.total_ms for record in part)
        for part in (proof.before, proof.during)
    )
    print(
        f"good calls: {len(proof.before)} before, median {before:.0f} ms; "
        f"{len(proof.during)} during, median {during:.0f} ms, "
        f"most {max(record.total_ms for record in proof.during):.0f} ms"
    )
    assert during <= SPARE_FACTOR * before + SPARE_MS, (before, during)


@then("the VM under attack is the same process and reports no fault")
def step_no_fault(context):
    proof = context.proof
    assert proof.vm.alive
    assert proof.vm.pid == proof.pid
    text = proof.vm.log_path.read_text(errors="replace")
    found = [line for line in text.splitlines() if any(b in line for b in BAD_STATES)]
    assert not found, found[:5]


@then("no log of the bad-input proof holds a key or a body")
def step_no_secrets(context):
    proof = context.proof
    names = proof.cluster.deployment.organisations()
    secrets = [proof.cluster.organisation_key(name) for name in names]
    secrets += [proof.cluster.operator_key(team) for team in teams(proof)]
    secrets += [SECRET, *{record.tag for record in proof.before + proof.during}]
    for vm in proof.cluster.vms:
        text = vm.log_path.read_text(errors="replace")
        assert text
        for line in text.splitlines():
            assert not any(secret in line for secret in secrets), line


@when("every key of the deployment is tried on every branch")
def step_try_keys(context):
    proof = context.proof
    context.run(try_keys(proof))


async def try_keys(proof):
    """Read each branch as its operator, then write it back with every key."""
    cluster = proof.cluster
    keys = {team: cluster.operator_key(team) for team in teams(proof)}
    keys |= {
        f"caller {name}": cluster.organisation_key(name)
        for name in cluster.deployment.organisations()
    }
    keys |= {"nobody": "", "a guess": "operator-key-of-nobody"}
    for branch in teams(proof):
        for holder, key in keys.items():
            await try_key(proof, branch, holder, key)


async def try_key(proof, branch, holder, key):
    """Write a branch back, with one letter more in its operator's digest."""
    vm = proof.vm
    async with Operator(proof.cluster.operator_key(branch)) as owner:
        before = await owner.read(vm, branch)
        async with Operator(key) as operator:
            answer = await operator.change(vm, branch, before.content, before.version)
        after = await owner.read(vm, branch)
    proof.tries.append((branch, holder, answer, before, after))


@then("only each team's own operator was let in, and nothing changed")
def step_own_only(context):
    proof = context.proof
    operators = set(teams(proof))
    for branch, holder, answer, before, after in proof.tries:
        if holder == branch:
            assert answer.accepted, (branch, holder, answer)
            assert after.version == before.version + 1
            continue
        expected = 403 if holder in operators else 401
        assert answer.status == expected, (branch, holder, answer)
        assert answer.document["outcome"] == "not_run"
        assert (after.version, after.content) == (before.version, before.content)
    assert {branch for branch, *_ in proof.tries} == operators


def teams(proof):
    """Return the names of all teams, the platform's included."""
    return list(proof.cluster.deployment.branches)
