"""Steps of tests/forwarding/ranks.feature."""

from behave import given, then

from pomelolane.forwarding.configuration import (
    Configuration,
    Route,
    RouteKind,
    RouteTarget,
)

NO_ORGANISATION = ""


def _route(rank):
    target = RouteTarget("portal")
    return Route("added", "host", "/", RouteKind.IDEMPOTENT, (target,), rank=rank)


def _rank(context, organisation, route_rank):
    return context.configuration.rank(organisation, _route(route_rank))


@given("a configuration with the organisations")
def step_organisations(context):
    ranks = {row["organisation"]: int(row["rank"]) for row in context.table}
    context.configuration = Configuration(1, rank_by_organisation=ranks)


@given("a configuration without organisations")
def step_no_organisations(context):
    context.configuration = Configuration(1)


@then(
    "a request without an organisation on a route of rank {rank:d}"
    ' has the rank of "{organisation}"'
)
def step_same_rank(context, rank, organisation):
    context.rank = _rank(context, NO_ORGANISATION, rank)
    assert context.rank == _rank(context, organisation, rank), context.rank


@then('it goes before a request of "{organisation}" on a route of rank {rank:d}')
def step_before(context, organisation, rank):
    assert context.rank < _rank(context, organisation, rank), context.rank


@then('it goes behind a request of "{organisation}" on a route of rank {rank:d}')
def step_behind(context, organisation, rank):
    assert context.rank > _rank(context, organisation, rank), context.rank


@then(
    "a request on a route of rank {first:d}"
    " goes before one on a route of rank {second:d}"
)
def step_route_decides(context, first, second):
    assert _rank(context, NO_ORGANISATION, first) < _rank(
        context, NO_ORGANISATION, second
    )
