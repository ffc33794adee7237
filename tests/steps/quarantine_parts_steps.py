"""Steps of tests/quarantine/parts.feature."""

from behave import then

from pomelolane.platform.dialect import PlatformDialect
from pomelolane.quarantine import fingerprint_from_part, fingerprint_from_request
from pomelolane.quarantine.fingerprint import is_part


def _parts(described):
    headers = [(b"prompt-prefix", described.encode())]
    return PlatformDialect().describe(headers).prompt_parts


@then('the parts that a prompt "{described}" may share are "{parts}"')
def step_parts(context, described, parts):
    expected = () if parts == "none" else tuple(parts.split())
    assert _parts(described) == expected, _parts(described)


@then('the parts that a prompt "" may share are "none"')
def step_no_parts(context):
    assert _parts("") == ()
    assert PlatformDialect().describe([]).prompt_parts == ()


@then("at most {most:d} parts of a prompt are known")
def step_number(context, most):
    described = ",".join(f"{number:x}:1" for number in range(1000))
    assert len(_parts(described)) == most


@then("a part whose id has more than {most:d} digits is not known")
def step_length(context, most):
    assert _parts(f"{'a' * most}:1,b:1") == ("a" * most,)
    assert _parts(f"{'a' * (most + 1)}:1,b:1") == ()


@then('the part "{part}" has another fingerprint at another service')
def step_service(context, part):
    assert fingerprint_from_part("a", part) == fingerprint_from_part("a", part)
    assert fingerprint_from_part("a", part) != fingerprint_from_part("b", part)


@then("no fingerprint of a part is that of a request")
def step_kinds(context):
    assert is_part(fingerprint_from_part("a", "b"))
    assert not is_part(fingerprint_from_request("a", "b", b"", b""))
