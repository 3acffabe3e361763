"""A dispatcher before a fake agent."""

from __future__ import annotations

import random

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.entry import admission
from marlramp.entry import agent_queries
from marlramp.entry import agent_table
from marlramp.entry import crash_guard
from marlramp.entry import dispatcher
from marlramp.experiments import documents
from marlramp.protocol import messages
from marlramp.settings import store

CUSTOMER = ids.CustomerId("crews")
STOCK = ids.ServiceId("stock")


class Built(msgspec.Struct):
    """A dispatcher without calls, and what it works with."""

    dispatcher: dispatcher.Dispatcher
    queries: agent_queries.AgentQueries
    settings: store.SettingsStore
    table: agent_table.AgentTable
    totals: counters.Counters


def build(
    sender: agent_queries.AgentSender,
    crashes: crash_guard.CrashGuard,
    time: clock.Clock,
) -> Built:
    """Returns a dispatcher for the plain service `STOCK`."""
    keys = [
        documents.TRADE_BODY_KEY,
        documents.MEMBER_KEY,
        documents.DEPLOYMENT_KEY,
    ]
    texts = [
        documents.base([CUSTOMER]),
        documents.base([]),
        documents.deployment({}, [STOCK]),
    ]
    settings = store.SettingsStore(keys)
    for key, text in zip(keys, texts, strict=True):
        settings.offer(messages.Document(key, 1, text))
    table = agent_table.AgentTable(settings.tree.effective)
    rng = random.Random(1)
    totals = counters.Counters()
    queries = agent_queries.AgentQueries(
        ids.VmId("entry-0"), table, sender, rng
    )
    built = dispatcher.Dispatcher(
        settings,
        table,
        admission.Admission(settings, table),
        queries,
        sender,
        crashes,
        totals,
        time,
        rng,
    )
    return Built(built, queries, settings, table, totals)
