"""Steps of node.feature."""

from behave import given, then, when

from bench.cluster import Cluster

EXIT_TIMEOUT_S = 30


@given("a cluster of one VM in each data centre with no open request")
def step_cluster(context):
    context.cluster = context.run(Cluster.start(vms_per_data_centre=1, faults=False))
    context.add_cleanup(lambda: context.run(context.cluster.stop()))


@when("all its VMs are told to stop together")
def step_stop(context):
    for vm in context.cluster.vms:
        vm.terminate()


@then("each of its VMs exits with 0")
def step_exits(context):
    async def exits():
        return [await vm.wait_exit(EXIT_TIMEOUT_S) for vm in context.cluster.vms]

    assert context.run(exits()) == [0, 0, 0]
