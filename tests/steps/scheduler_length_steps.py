"""Steps on learnt answer lengths, used with those of scheduler_steps.py."""

from behave import given
from scheduler_driver import make_handle


@given(
    "the core has served {number:d} {how} answers of {tokens:d} tokens "
    'to "{organisation}"'
)
def step_answers(context, number, how, tokens, organisation):
    driver = context.core
    outcome = "cut_short" if how == "cut" else ""
    for index in range(number):
        row = {"id": f"{how}-{tokens}-{index}", "decode": 100, "prefill": 8, "tier": 2}
        driver.submit(make_handle({**row, "organisation": organisation}))
        driver.event(row["id"], ttft_ms=21.0)
        driver.event(row["id"], tokens=tokens, elapsed_ms=tokens * 20.0)
        driver.event(row["id"], finished=True, outcome=outcome)


@given('the core\'s slots are all taken by tier {tier:d} of "{organisation}"')
def step_taken_by(context, tier, organisation):
    driver = context.core
    for index in range(sum(endpoint.slots for endpoint in driver.endpoints)):
        row = {"id": f"full-{index}", "tier": tier, "decode": 1000, "prefill": 8}
        driver.submit(make_handle({**row, "organisation": organisation}))
        assert f"full-{index}" in driver.running
