from __future__ import annotations

import pytest

from marlramp import counters
from marlramp import logs
from marlramp.platform import clients
from marlramp.protocol import messages
from marlramp.settings import store
from marlramp.shell import settings_sync


class UnusedClient(clients.ConfigurationClient):
    """A client of the configuration service that must not be called."""

    def __init__(self) -> None:
        pass


def test_refused_document_is_logged_with_its_key(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusal reasons that are missing from the log."""
    logged: list[dict[str, object]] = []
    monkeypatch.setattr(logs, "log", lambda event, **more: logged.append(more))
    key = "deployment/fairs"
    settings = store.SettingsStore([key])
    sync = settings_sync.SettingsSync(
        settings, UnusedClient(), counters.Counters(), lambda: None
    )
    valid = messages.Document(key, 4, "schema = 1")
    text = 'schema = 1\n[customers.acme]\nallowed_regions = ["west"]'
    sync.offer([valid, messages.Document(key, 5, text)], "watch")
    assert settings.revisions() == [4]
    assert logged[-1]["verdict"] == "refused"
    assert "customers.acme.allowed_regions" in str(logged[-1]["detail"])
