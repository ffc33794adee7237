"""Steps of the proof of settings: operators, faults and a watch over versions."""

import asyncio
from itertools import count

import aiohttp
from behave import given, then, when

from bench.cluster import Cluster
from bench.operators import Operator, knows_key, with_organisation
from bench.versions import VersionWatch
from tests.faults import until

BRANCH = "flota"


class SettingsProof:
    """A cluster, the operators of one branch and the watch over it."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.watch = VersionWatch(cluster.vms)
        self.operators = [Operator(cluster.operator_key(BRANCH)) for _ in range(2)]
        self.races = []
        self.version = 1
        self.key = cluster.organisation_key("flota-camaronera")
        self.numbers = count(1)
        self.frozen = None
        self.lone = None
        self.reachable = list(cluster.vms)

    async def close(self):
        """End all tasks and sessions."""
        await self.watch.stop()
        for operator in self.operators:
            await operator.__aexit__()
        await self.cluster.stop()

    async def current(self, vm):
        """Read the branch as committed."""
        answer = await self.operators[0].read(vm, BRANCH)
        assert answer.accepted, answer
        return answer

    async def change(self, vm):
        """Let one operator add an organisation, whose key then is known."""
        current = await self.current(vm)
        key, content = self.draft(current.content)
        answer = await self.operators[0].change(vm, BRANCH, content, current.version)
        assert answer.accepted, answer
        self.version, self.key = answer.version, key

    def draft(self, content):
        """Return a new version of a branch and the key that tells it."""
        number = next(self.numbers)
        key = f"caller-key-of-proof-{number}"
        return key, with_organisation(content, f"proof-{number}", key)

    async def in_force(self, vm):
        """Tell whether the last accepted version is in force at a VM."""
        try:
            versions = (await vm.status())["settings"]
        except (aiohttp.ClientError, TimeoutError):
            return False
        return versions.get(BRANCH, 0) >= self.version and await knows_key(vm, self.key)

    async def race(self, lost_reply):
        """Let two operators replace the same version at two data centres."""
        vms = [self.cluster.vms_in(name)[0] for name in self.cluster.data_centres[:2]]
        before = await self.current(vms[0])
        drafts = [self.draft(before.content) for _ in vms]
        if lost_reply:
            await self.cluster.platform.control(lose_replies=1)
        answers = await asyncio.gather(
            *(
                operator.change(vm, BRANCH, content, before.version)
                for operator, vm, (_, content) in zip(
                    self.operators, vms, drafts, strict=True
                )
            )
        )
        after = await self.current(vms[1])
        self.races.append((before, drafts, answers, after))
        self.version = after.version
        won = [key for key, content in drafts if content == after.content]
        assert len(won) == 1, (after, drafts)
        self.key = won[0]


@given("a settings proof on {number:d} VMs in each data centre")
def step_cluster(context, number):
    cluster = context.run(Cluster.start("comision", vms_per_data_centre=number))
    context.add_cleanup(cluster.close)

    async def make():
        return SettingsProof(cluster)

    context.proof = context.run(make())
    context.add_cleanup(lambda: context.run(context.proof.close()))


@when(
    'two operators race {times:d} times for the branch "{branch}", with a lost reply '
    "in every third race"
)
def step_race(context, times, branch):
    assert branch == BRANCH
    for number in range(times):
        context.run(context.proof.race(lost_reply=number % 3 == 0))


@then("each settings race had one winner, and one conflict that told its version")
def step_one_winner(context):
    for before, _, answers, _ in context.proof.races:
        winners = [answer for answer in answers if answer.accepted]
        losers = [answer for answer in answers if answer.conflicts]
        assert len(winners) == len(losers) == 1, answers
        assert winners[0].version == before.version + 1, (before, winners)
        assert losers[0].version == winners[0].version, answers


@then('the branch "{branch}" was after each settings race just what its winner wrote')
def step_nothing_half(context, branch):
    del branch
    for _, drafts, answers, after in context.proof.races:
        won = next(i for i, answer in enumerate(answers) if answer.accepted)
        assert after.content == drafts[won][1], (after, drafts)
        assert after.version == answers[won].version


@then('the settings history of "{branch}" holds each winner\'s version once')
def step_history(context, branch):
    proof = context.proof
    answer = context.run(proof.operators[0].history(proof.cluster.vms[-1], branch))
    kept = {each["version"]: each["content"] for each in answer.document["versions"]}
    assert len(kept) == len(answer.document["versions"])
    for _, _, _, after in proof.races:
        assert kept.get(after.version, after.content) == after.content
    assert max(kept) == proof.version


@then('the settings proof finds "{branch}" in force on every VM within {seconds:d} s')
def step_in_force(context, branch, seconds):
    assert branch == BRANCH
    proof = context.proof

    async def wait(vm):
        try:
            await until(lambda: proof.in_force(vm), timeout_s=seconds)
        except AssertionError as error:
            raise AssertionError(f"{vm.vm_id}: {vm.log_tail()}") from error

    async def wait_all():
        vms = [vm for vm in proof.reachable if vm.alive and vm is not proof.frozen]
        assert vms
        await asyncio.gather(*(wait(vm) for vm in vms))

    context.run(wait_all())


@then("the settings proof has seen no version go back")
def step_none_back(context):
    watch = context.proof.watch
    assert watch.readings > len(context.proof.cluster.vms)
    assert not watch.steps_back, watch.steps_back


@when('"{branch}" is changed at "{vm_id}", and the platform goes away at once')
def step_change_outage(context, branch, vm_id):
    assert branch == BRANCH
    proof = context.proof

    async def change():
        await proof.change(proof.cluster.vm(vm_id))
        await proof.cluster.platform.control(outage=True)

    context.run(change())


@when("the settings proof's platform comes back")
def step_platform_back(context):
    context.run(context.proof.cluster.platform.control(outage=False))


@when('"{branch}" is changed at "{vm_id}", and that VM is killed at once')
def step_change_kill(context, branch, vm_id):
    assert branch == BRANCH
    proof = context.proof
    vm = proof.cluster.vm(vm_id)

    async def change():
        await proof.change(vm)
        vm.kill()

    context.run(change())


@when('"{branch}" is changed at "{vm_id}" while "{frozen}" is frozen')
def step_change_frozen(context, branch, vm_id, frozen):
    assert branch == BRANCH
    proof = context.proof
    proof.frozen = proof.cluster.vm(frozen)
    proof.frozen.freeze()
    context.run(proof.change(proof.cluster.vm(vm_id)))


@when("the settings proof's frozen VM wakes")
def step_wake(context):
    context.proof.frozen.thaw()
    context.proof.frozen = None


@when('"{branch}" is changed at "{vm_id}" while "{place}" is cut off from the others')
def step_change_cut(context, branch, vm_id, place):
    assert branch == BRANCH
    proof = context.proof
    context.run(cut_off(proof.cluster, place))
    context.run(proof.change(proof.cluster.vm(vm_id)))


@when(
    '"{branch}" is changed at "{vm_id}" while "{place}" is cut off from all and the '
    "platform"
)
def step_change_cut_all(context, branch, vm_id, place):
    proof = context.proof
    context.run(proof.cluster.cut_platform(place))
    proof.reachable = [vm for vm in proof.cluster.vms if vm.data_centre != place]
    step_change_cut(context, branch, vm_id, place)


@when("the settings proof heals all links")
def step_heal(context):
    proof = context.proof
    proof.reachable = list(proof.cluster.vms)
    context.run(proof.cluster.heal())


@when(
    '"{branch}" is changed {times:d} times at VMs in turn while links freeze and thaw, '
    "replies get lost and VMs restart"
)
def step_changes_under_faults(context, branch, times):
    assert branch == BRANCH
    proof = context.proof

    async def change_all():
        for number in range(times):
            await change_under_faults(proof, number)

    context.run(change_all())


async def change_under_faults(proof, number):
    """Let one data centre hear of an older version after a newer one."""
    cluster = proof.cluster
    late, early, near = (cluster.data_centres[(number + i) % 3] for i in range(3))
    writer, bystander = cluster.vms_in(early)
    await cluster.platform.control(lose_replies=number % 2)
    await cluster.network.set_between(early, late, mode="freeze")
    await proof.change(writer)
    await proof.change(cluster.vms_in(near)[number % 2])
    for vm in cluster.vms_in(late):
        await until(lambda vm=vm: proof.in_force(vm), timeout_s=9.0)
    # What the writer sent arrives only now.
    await cluster.heal()
    await bystander.restart()


async def cut_off(cluster, place):
    """Cut a data centre off from the others."""
    for other in cluster.data_centres:
        if other != place:
            await cluster.cut(place, other)


@when('the settings proof restarts "{vm_id}"')
def step_restart(context, vm_id):
    context.run(context.proof.cluster.vm(vm_id).restart())


@when('the settings proof starts "{vm_id}" with neither platform nor peers')
def step_start_alone(context, vm_id):
    proof = context.proof
    proof.lone = proof.cluster.vm(vm_id)
    for vm in proof.cluster.vms_in(proof.lone.data_centre):
        vm.kill()
    context.run(cut_off(proof.cluster, proof.lone.data_centre))
    proof.lone.spawn()
    proof.reachable.remove(proof.lone)


@then("that VM is not ready and holds no settings")
def step_not_ready(context):
    lone = context.proof.lone

    async def answers():
        try:
            return await lone.get_json("/status")
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def look():
        await until(answers, timeout_s=20.0)
        # Longer than a starting VM listens for peers.
        for _ in range(10):
            await asyncio.sleep(0.2)
            assert not await lone.is_ready()
            assert not (await lone.status())["settings"]

    context.run(look())
