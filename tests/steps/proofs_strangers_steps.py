"""Steps of the proof of strangers: peers that have no business in the cluster."""

import asyncio
import random
from itertools import count

import msgspec
from behave import given, then, when

from bench.caller import Caller
from bench.cluster import Cluster
from bench.operators import Operator
from pomelolane.membership.envelope import encode_envelope
from pomelolane.messages import (
    BranchContent,
    BranchWanted,
    ClaimBatch,
    ClaimResults,
    Digest,
    DigestPulse,
    DigestWanted,
    EndpointLeaving,
    Granted,
    Handle,
    Heartbeat,
    HeartbeatWanted,
    KeyAnswer,
    KeyQuery,
    MemberState,
    NotScheduler,
    Progress,
    Pulse,
    Refused,
    RelayedResult,
    RelayedWrite,
    StreamEvent,
    Submit,
    SubmitAck,
    Sync,
    SyncAck,
    Unfollow,
    Withdraw,
    encode_message,
)
from pomelolane.outcomes import Reason
from tests.faults import until
from tests.hostile_peers import (
    HostilePeer,
    RecordingRelay,
    fuzzed_messages,
    make_key_pair,
    replay,
)

GUEST = "guest"
BRANCH = "flota"
FORGED_VERSION = 900
SEED = 5
BAD_STATES = ("Traceback", "task_failed")
REFUSED = "message_rejected"
SETTLE_S = 1.5


class StrangersProof:
    """A cluster with keys, and all keys."""

    def __init__(self, cluster, keys):
        self.cluster = cluster
        self.keys = keys
        self.content = b""
        self.peers = []
        self.incarnations = count(2**52, 2)
        self.heard = []

    async def read_content(self):
        """Read a branch that passes all checks."""
        async with Operator(self.cluster.operator_key(BRANCH)) as operator:
            answer = await operator.read(self.cluster.vms[0], BRANCH)
        self.content = msgspec.json.encode(answer.content, order="sorted")

    def branch(self, version=FORGED_VERSION):
        """Return a message that puts a branch in force."""
        return BranchContent(BRANCH, version, self.content)

    def peer(self, vm, name, keys, port=0):
        """Connect to a VM under a name, with some keys."""
        port = port or vm.place.peer_port
        server_key = self.keys[vm.vm_id].public
        # Above that of any VM, and higher with each start.
        incarnation = next(self.incarnations)
        peer = HostilePeer(port, name, keys, server_key, incarnation)
        self.peers.append(peer)
        return peer

    def guest(self, vm, port=0):
        """Connect to a VM as the guest."""
        return self.peer(vm, GUEST, self.keys[GUEST], port)

    def close_peers(self):
        """Close all connections."""
        while self.peers:
            self.peers.pop().close()

    def logged(self, vm, word):
        """Return a VM's log lines with a word."""
        text = vm.log_path.read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]

    async def version(self, vm):
        """Return the version in force at a VM."""
        return (await vm.status())["settings"][BRANCH]


def with_keys(vm, keys):
    """Add the three settings of keys to a VM's command."""
    listed = ",".join(f"{name}={pair.public_hex}" for name, pair in keys.items())
    own = keys[vm.vm_id]
    vm.command = (
        *vm.command,
        *("--private-key-hex", own.private_hex),
        *("--public-key-hex", own.public_hex),
        *("--cluster-keys", listed),
    )


async def start_with_keys():
    """Start a cluster whose VMs have a key pair each."""
    cluster = await Cluster.start(
        "comision", vms_per_data_centre=1, faults=False, start_vms=False
    )
    names = [vm.vm_id for vm in cluster.vms] + [GUEST]
    keys = {name: make_key_pair() for name in names}
    for vm in cluster.vms:
        with_keys(vm, keys)
        vm.spawn()
    await asyncio.gather(*(vm.wait_ready() for vm in cluster.vms))
    proof = StrangersProof(cluster, keys)
    await proof.read_content()
    return proof


@given('a strangers proof with a key for each VM, and one for "{guest}"')
def step_cluster(context, guest):
    assert guest == GUEST
    context.proof = context.run(start_with_keys())
    context.add_cleanup(lambda: context.run(context.proof.cluster.stop()))
    context.add_cleanup(context.proof.close_peers)


@when("these strangers send a branch of a higher version to every VM")
def step_strangers(context):
    for row in context.table:
        for vm in context.proof.cluster.vms:
            context.run(STRANGERS[row["stranger"]](context.proof, vm))
            if row["refused as"]:
                context.run(await_refusal(context.proof, vm, row["refused as"]))
    # Time enough for every connection to be made and for what it sent to land.
    context.run(asyncio.sleep(SETTLE_S))


async def await_refusal(proof, vm, reason):
    """Wait until a VM has logged a refusal; ZeroMQ itself tells of none."""
    logged = reason.replace(" ", "_")
    try:
        await until(lambda: any(logged in line for line in proof.logged(vm, REFUSED)))
    except AssertionError:
        proof.heard.append(f"{vm.vm_id}: not {reason!r}")


async def in_the_clear(proof, vm):
    """Connect without keys."""
    proof.peer(vm, other_vm(proof, vm), None).send(proof.branch())


async def unlisted_key(proof, vm):
    """Connect with keys that nobody lists."""
    proof.peer(vm, other_vm(proof, vm), make_key_pair()).send(proof.branch())


async def false_name(proof, vm):
    """Connect with the guest's keys and state another VM's name."""
    proof.peer(vm, other_vm(proof, vm), proof.keys[GUEST]).send(proof.branch())


async def recorded_bytes(proof, vm):
    """Record a connection of the guest and repeat it byte for byte."""
    relay = RecordingRelay(vm.place.peer_port)
    await relay.start()
    guest = proof.guest(vm, relay.port)
    guest.send(BranchWanted(BRANCH, FORGED_VERSION))
    await until(lambda: len(relay.recorded) > 500)
    guest.close()
    proof.peers.remove(guest)
    await relay.stop()
    answer = await replay(vm.place.peer_port, relay.recorded)
    # ZeroMQ says so at the end of a handshake.
    if b"READY" in answer:
        proof.heard.append(f"{vm.vm_id}: repeated bytes were shaken hands with")


async def repeated_frame(proof, vm):
    """Let the guest send a branch in a frame whose number was used."""
    guest = proof.guest(vm)
    guest.send(BranchWanted(BRANCH, FORGED_VERSION))
    data = encode_message(proof.branch())
    guest.send_frame(encode_envelope(guest.incarnation, 1, [data]))


async def earlier_start(proof, vm):
    """Let the guest send a branch in a frame of an earlier start."""
    guest = proof.guest(vm)
    guest.send(BranchWanted(BRANCH, FORGED_VERSION))
    data = encode_message(proof.branch())
    guest.send_frame(encode_envelope(guest.incarnation - 1, 99, [data]))


STRANGERS = {
    "a peer in the clear": in_the_clear,
    "a peer with an unlisted key": unlisted_key,
    "the guest in the name of another VM": false_name,
    "the guest's recorded bytes sent again": recorded_bytes,
    "the guest's frame sent again": repeated_frame,
    "the guest's frame of an earlier start": earlier_start,
}


def other_vm(proof, vm):
    """Return the id of a VM that a stranger may pretend to be."""
    return next(each.vm_id for each in proof.cluster.vms if each is not vm)


@then("no VM of the strangers proof has that branch in force")
def step_not_in_force(context):
    proof = context.proof
    for vm in proof.cluster.vms:
        assert context.run(proof.version(vm)) == 1, vm.vm_id


@then("each stranger was refused as stated")
def step_refused_as(context):
    assert not context.proof.heard, context.proof.heard


@then("every VM of the strangers proof has logged refused messages")
def step_refusals(context):
    proof = context.proof
    for vm in proof.cluster.vms:
        refusals = proof.logged(vm, REFUSED)
        reasons = sorted({line.partition("error=")[2][:60] for line in refusals})
        print(f"{vm.vm_id}: {len(refusals)} refused: {reasons[:6]}")
        assert refusals


@when("the guest itself sends a branch of a higher version to every VM")
def step_guest(context):
    proof = context.proof
    proof.close_peers()
    for vm in proof.cluster.vms:
        proof.guest(vm).send(proof.branch())


@then("every VM of the strangers proof has that branch in force")
def step_in_force(context):
    proof = context.proof

    async def look():
        for vm in proof.cluster.vms:
            await until(lambda vm=vm: has_version(proof, vm), timeout_s=9.0)

    async def has_version(proof, vm):
        return await proof.version(vm) == FORGED_VERSION

    context.run(look())


@when(
    "the guest sends {messages:d} fuzzed messages and {frames:d} fuzzed frames to "
    "every VM"
)
def step_fuzz(context, messages, frames):
    proof = context.proof
    dice = random.Random(SEED)
    for vm in proof.cluster.vms:
        guest = proof.guest(vm)
        for data in fuzzed_messages(samples(proof), SEED, messages):
            guest.send_scrap(data)
        for _ in range(frames):
            guest.send_frame(dice.randbytes(dice.randint(0, 200)))
    context.run(asyncio.sleep(SETTLE_S))


def samples(proof):
    """Return a message of each kind, as the guest might send it."""
    service, place = "modelo-bitacora", "sala-tampico"
    state = MemberState(GUEST, 1, False, False, "127.0.0.1:1")
    return [
        proof.branch(0),
        BranchWanted(BRANCH, 0),
        ClaimBatch(1, False, (RelayedWrite("claims/guest", b"", 0),)),
        ClaimResults(1, (RelayedResult(True, 1),)),
        Digest(place, 1, (state,), {BRANCH: 1}),
        DigestPulse(place, 1),
        DigestWanted(place),
        EndpointLeaving("nowhere", "operator"),
        Granted(1, "r", "e", 1.0),
        Heartbeat(GUEST, 1, place, 1, False, False, {BRANCH: 1}),
        HeartbeatWanted(),
        KeyAnswer("q", True),
        KeyQuery("q", "k"),
        NotScheduler(1, service, "nobody"),
        Progress(1, (StreamEvent("r", "e"),)),
        Pulse(1),
        Refused(1, "r", Reason.QUEUE_FULL, 1),
        Submit(1, (Handle("r", service, "entry-check", 0, "o", "t", 9, 9, 9),)),
        SubmitAck(1, ("r",)),
        Sync(1, service, True, ("r",)),
        SyncAck(1, service, ("r",)),
        Unfollow(1, service),
        Withdraw(1, ("r",)),
    ]


@then("every VM of the strangers proof answers its callers and reports no fault")
def step_still_serves(context):
    proof = context.proof

    async def ask(vm):
        async with Caller() as caller:
            return await caller.send(
                vm.url,
                proof.cluster.organisation_key("puerto-tampico"),
                service="modelo-bitacora",
                work="entry-check",
                prompt="the catch of the Lucero",
                output_tokens=4,
            )

    for vm in proof.cluster.vms:
        record = context.run(ask(vm))
        assert record.whole, record
        found = [line for word in BAD_STATES for line in proof.logged(vm, word)]
        assert not found, found[:5]


@then("no log of the strangers proof holds a private key")
def step_no_private_key(context):
    proof = context.proof
    for vm in proof.cluster.vms:
        text = vm.log_path.read_text(errors="replace")
        for pair in proof.keys.values():
            assert pair.private_hex not in text
            assert pair.private.decode() not in text
