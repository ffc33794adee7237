"""Steps of messages.feature."""

from behave import given, then, when

from pomelolane.exceptions import TransportError
from pomelolane.messages import Handle, Submit, decode_message, encode_message


@given("a submit message with one waiting handle")
def step_submit(context):
    handle = Handle("r1", "s", "w", 0, "o", "t", 1000, 10, 5, (1, 2))
    context.message = Submit(epoch=7, waiting=(handle,))


@when("the message is encoded and decoded")
def step_round_trip(context):
    context.decoded = decode_message(encode_message(context.message))


@then("the decoded message equals the first one")
def step_equal(context):
    assert context.decoded == context.message


@when('the bytes "{text}" are decoded as a message')
def step_decode(context, text):
    try:
        decode_message(bytes.fromhex(text))
        context.error = None
    except TransportError as error:
        context.error = error


@then("decoding fails with a transport error")
def step_failed(context):
    assert context.error is not None
