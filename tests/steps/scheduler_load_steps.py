"""Steps of tests/scheduler/load: simulated days of load, without a network."""

from dataclasses import replace

from behave import then, when

from bench.lab import draw_day, play_day, score_play
from pomelolane.scheduler.objective import ObjectiveCore, ObjectiveOptions


def _play(seed, **options):
    changed = replace(ObjectiveOptions(), **options)
    play = play_day(draw_day(seed), lambda service: ObjectiveCore(service, changed))
    return score_play(play)


@when("a day of load drawn from seed {seed:d} is simulated")
def step_play(context, seed):
    context.seed = seed
    context.score = _play(seed)


@when('it is simulated again with "{option}" at {value:d}')
def step_play_again(context, option, value):
    context.other = _play(context.seed, **{option: value})


@then("rank {rank:d} earns at least {least:f} of what it is owed")
def step_rank_earns(context, rank, least):
    earned = context.score.by_kind[f"rank-{rank}"]
    assert earned >= least, earned


@then("at least {least:f} of what is owed is earned")
def step_earned(context, least):
    assert context.score.whole >= least, context.score.whole


@then("at most {most:f} of the callers disconnect")
def step_leave(context, most):
    assert context.score.left <= most, context.score.left


@then("the first run scores at least {more:f} more")
def step_scores_more(context, more):
    gain = context.score.worth - context.other.worth
    assert gain >= more, gain


@then("the run scores at least {least:f}")
def step_scores_at_least(context, least):
    assert context.score.worth >= least, context.score.worth
