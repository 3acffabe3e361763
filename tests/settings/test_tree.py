from __future__ import annotations

import pytest

from marlramp import ids
from marlramp.protocol import messages
from marlramp.settings import checking
from marlramp.settings import process
from marlramp.settings import schema
from marlramp.settings import store
from marlramp.settings import tree

TRADE_BODY = """
schema = 1
[settings]
retries_max = 2
queue_length_max = 100
[customers.acme]
requests_per_s = 5.0
"""
MEMBER = """
schema = 1
[settings]
queue_length_max = 50
[services.pool.settings]
retries_max = 1
"""
DEPLOYMENT = """
schema = 1
[services.pool]
kind = "model"
[services.pool.customers.acme]
requests_per_s = 9.0
"""


@pytest.fixture
def levels() -> tree.SettingsTree:
    return tree.SettingsTree(
        {
            schema.Level.TRADE_BODY: tree.parse_document(TRADE_BODY, "a"),
            schema.Level.MEMBER: tree.parse_document(MEMBER, "b"),
            schema.Level.DEPLOYMENT: tree.parse_document(DEPLOYMENT, "c"),
        }
    )


def test_inheritance(levels: tree.SettingsTree) -> None:
    """Guards against a general value that overrides a more specific one."""
    pool = levels.effective(ids.ServiceId("pool"), ids.CustomerId("acme"))
    assert pool.retries_max == 1
    assert pool.queue_length_max == 50
    assert pool.requests_per_s == 9.0
    other = levels.effective(None, ids.CustomerId("acme"))
    assert other.requests_per_s == 5.0


def test_explain_names_the_level(levels: tree.SettingsTree) -> None:
    """Guards against an origin that is not the table that set the value."""
    origins = {
        value.name: value.origin
        for value in levels.explain(ids.ServiceId("pool"))
    }
    assert origins["retries_max"] == "member: services.pool.settings"
    assert origins["queue_length_max"] == "member: settings"
    assert origins["burst_s"] == tree.DEFAULT_ORIGIN


@pytest.mark.parametrize(
    ("text", "path", "expected"),
    [
        ("schema = 2", "schema", "expected 1"),
        ("", "schema", "missing"),
        ("schema = 1\nx = 1", "x", "unknown key"),
        (
            "schema = 1\n[settings]\nrequest_timeout_s = 5",
            "settings.request_timeout_s",
            "use 'request_timeout_ms'",
        ),
        (
            "schema = 1\n[settings]\norigin_copies_max = 9",
            "settings.origin_copies_max",
            "a number >= 1.0 and <= 4.0",
        ),
        (
            'schema = 1\n[settings]\nretries_max = "many"',
            "settings.retries_max",
            "a whole number",
        ),
        (
            'schema = 1\n[services.pool]\nkind = "modl"',
            "services.pool.kind",
            "'model', 'plain'",
        ),
        (
            "schema = 1\n[customers.a]\ntokens_pr_s = 5.0",
            "customers.a.tokens_pr_s",
            "did you mean 'tokens_per_s'",
        ),
        ("schema = ", "", "not valid TOML"),
    ],
)
def test_refusals_name_the_key_and_what_is_expected(
    text: str, path: str, expected: str
) -> None:
    """Guards against an error that does not show how to fix the document."""
    with pytest.raises(ExceptionGroup) as caught:
        tree.parse_document(text, "deployment/fairs")
    problems = [str(error) for error in caught.value.exceptions]
    assert any(
        (path or "(file)") in line and expected in line for line in problems
    ), problems


@pytest.mark.parametrize(
    "path",
    [
        "",
        "settings",
        "services.pool",
        "services.pool.rollout",
        "services.pool.settings",
        "services.pool.customers.acme",
        "customers.acme",
    ],
)
@pytest.mark.parametrize(
    "key", ["allowed_regions", "evacuate", "evacuated_data_centres"]
)
@pytest.mark.parametrize("level", list(schema.Level))
def test_placement_constraint_is_refused_at_each_level(
    level: schema.Level, key: str, path: str
) -> None:
    """Guards against a constraint that the grants path silently ignores."""
    header = f"[{path}]\n" if path else ""
    source = schema.document_key(level, "fairs")
    with pytest.raises(ExceptionGroup) as caught:
        tree.parse_document(f'schema = 1\n{header}{key} = ["west"]', source)
    problems = [str(error) for error in caught.value.exceptions]
    location = f"{source}: {path}.{key}" if path else f"{source}: {key}"
    assert f"{location}: {checking.PLACEMENT_PROBLEM}" in problems


def test_placement_constraint_in_a_process_file_is_refused() -> None:
    """Guards against a constraint in a file that only one process reads."""
    with pytest.raises(ExceptionGroup) as caught:
        process.parse('[entry]\nallowed_regions = ["west"]', "entry.toml")
    problems = "\n".join(str(error) for error in caught.value.exceptions)
    problem = f"entry.allowed_regions: {checking.PLACEMENT_PROBLEM}"
    assert problem in problems


def test_all_errors_are_shown_together() -> None:
    """Guards against validation that stops at the first error."""
    with pytest.raises(ExceptionGroup) as caught:
        tree.parse_document("schema = 1\na = 1\nb = 2\n[settings]\nc = 3", "x")
    assert len(caught.value.exceptions) == 3


def test_process_settings_need_the_roles_table() -> None:
    """Guards against a process that starts without its role's settings."""
    with pytest.raises(ExceptionGroup) as caught:
        process.parse('role = "entry"', "entry.toml")
    problems = "\n".join(str(error) for error in caught.value.exceptions)
    assert "entry.toml: entry: missing; a process of role 'entry'" in problems


def document(revision: int, text: str = "schema = 1") -> messages.Document:
    return messages.Document("deployment/fairs", revision, text)


@pytest.fixture
def settings() -> store.SettingsStore:
    return store.SettingsStore(["deployment/fairs"])


def test_settings_only_go_forward(settings: store.SettingsStore) -> None:
    """Guards against a stale source that reverts settings."""
    assert settings.offer(document(5)) is store.Verdict.ACCEPTED
    assert settings.offer(document(4)) is store.Verdict.OLDER
    assert settings.offer(document(5)) is store.Verdict.KNOWN
    assert settings.revisions() == [5]


def test_refused_document_keeps_the_last_in_force(
    settings: store.SettingsStore,
) -> None:
    """Guards against an invalid document that disables the valid settings.

    A refused revision must not count as missing either, since an agent issues
    no grants while an entry has newer settings.
    """
    settings.offer(document(5))
    assert settings.offer(document(6, "x = 1")) is store.Verdict.REFUSED
    assert settings.revisions() == [5]
    assert settings.refusals[0].revision == 6
    assert not settings.behind([6])
    assert settings.offer(document(7)) is store.Verdict.ACCEPTED
    assert settings.refusals == []


def test_document_of_another_deployment_is_foreign(
    settings: store.SettingsStore,
) -> None:
    """Guards against adopting the settings of another deployment."""
    foreign = messages.Document("deployment/other", 1, "schema = 1")
    assert settings.offer(foreign) is store.Verdict.FOREIGN
